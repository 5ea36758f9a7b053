package quorum_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/quorum"
)

// When all replicas start at once, a leader must be elected soon after the
// first pre-votes are lost because no connection is open yet. If pre-votes were
// repeated only after an election timeout, which is long enough for slow disks,
// the group would have no leader for seconds.
func TestLeaderElectedSoonAfterAllReplicasStart(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, 3, seed)
		c.cfg.ElectionTicks, c.cfg.FirstElectionTicks = 100, 4
		for _, r := range c.replicas {
			c.restart(r)
		}
		c.isolate(replicaID(0), replicaID(1), replicaID(2))
		for range 8 {
			c.tick()
		}
		c.heal()
		ticks := 0
		for ; c.leader() == nil && ticks < 100; ticks++ {
			c.tick()
		}
		require.Less(t, ticks, 20, "seed %d", seed)
	}
}

// A replica that starts while a leader is active must not depose it. With a
// short first timeout it may campaign before the first heartbeat arrives, and
// only pre-votes keep that from starting a new term.
func TestStartingReplicaDoesNotDeposeLeader(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.cfg.ElectionTicks, c.cfg.FirstElectionTicks = 100, 2
	for _, r := range c.replicas {
		c.restart(r)
	}
	leader := c.elect()
	require.NotNil(t, leader)
	term := leader.node.Status().Term
	for _, r := range c.replicas {
		if r != leader {
			c.restart(r)
			for range 50 {
				c.tick()
			}
		}
	}
	require.Equal(t, quorum.RoleLeader, leader.node.Status().Role)
	require.Equal(t, term, leader.node.Status().Term)
}
