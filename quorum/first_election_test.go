package quorum_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/quorum"
)

// Symptom: a deployment is without a leader for seconds after all of its machines lost power. Sequence: all replicas
// start; the first pre-votes are lost, since no link is open yet; each replica then waits for a whole election timeout,
// which is chosen for slow disks, before it asks again. Cause: one timeout for two things.
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

// Symptom: a leader is deposed whenever a replica starts. Sequence: a replica starts beside a living leader and asks for
// an election before it has heard the first heartbeat. Cause: a short first timeout without pre-votes.
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
