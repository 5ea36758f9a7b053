package control_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/quorum/journal/journaltest"
	"github.com/carawaypitch/carawaypitch/result"
)

// longPartition is much longer than any timeout.
const longPartition = 3 * time.Minute

// Guards against followers that apply a change again, or answer reads from an older state.
func TestAnyInstanceAnswersOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		follower := c.follower()
		var class classAnswer
		c.get(follower, "/v1/classes/gate-check").decode(t, &class)
		a := c.put(follower, "gate-check", classBody(500), class.Version, "one")
		require.Equal(t, http.StatusOK, a.status, string(a.body))
		for _, n := range c.instances {
			again := c.put(n, "gate-check", classBody(500), class.Version, "one")
			require.Equal(t, string(a.body), string(again.body), "the change sent to another instance gets the first answer")
			require.Equal(t, string(a.body), string(c.get(n, "/v1/classes/gate-check").body), "reads are linearizable")
		}
	})
}

// Guards against a leader that does not notice that it has lost its quorum. It is cut off for a long time while
// operators on both sides send changes and read. A change that it accepted alone would be lost later.
func TestIsolatedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		old := c.leader()
		var class classAnswer
		c.get(old, "/v1/classes/gate-check").decode(t, &class)
		for _, n := range c.instances {
			if n != old {
				c.net.Cut(old.host, n.host)
			}
		}
		read := make(chan int, 1)
		go func() { read <- c.get(old, "/v1/classes").status }()
		lost := c.put(old, "gate-check", classBody(111), class.Version, "lost")
		require.Equal(t, http.StatusServiceUnavailable, lost.status, string(lost.body))
		require.Equal(t, int(result.ProposalUnknown), lost.code(t), "the change may still be committed")
		require.Contains(t, string(lost.body), "Change-Id")
		require.Equal(t, http.StatusServiceUnavailable, <-read, "no stale read while the old leader still leads")
		require.Equal(t, http.StatusServiceUnavailable, c.get(old, "/v1/classes").status, "no stale read afterwards")
		c.eventually("the old leader isn't ready", func() bool {
			return c.get(old, "/readyz").status == http.StatusServiceUnavailable
		})

		c.eventually("the others elect a leader that commits a change", func() bool {
			for _, n := range c.instances {
				if n != old && c.status(n).Role == "leader" && c.put(n, "gate-check", classBody(222), class.Version, "won").status == http.StatusOK {
					return true
				}
			}
			return false
		})
		time.Sleep(longPartition)
		for _, n := range c.instances {
			c.net.Heal(old.host, n.host)
		}
		c.eventually("the old leader is ready again", func() bool { return c.get(old, "/readyz").status == http.StatusOK })
		c.get(old, "/v1/classes/gate-check").decode(t, &class)
		require.Equal(t, 222, class.DeadlineMS)
		resent := c.put(old, "gate-check", classBody(111), class.Version-1, "lost")
		require.Equal(t, http.StatusConflict, resent.status, "the lost change was not applied, and is not applied late")
	})
}

// Guards against an accepted change that is lost when an instance fails right after a repair. A replica that restarts
// with an empty disk must not vote under its old identity, nor start a new group.
func TestWipedDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		leader := c.leader()
		var class classAnswer
		c.get(leader, "/v1/classes/gate-check").decode(t, &class)
		a := c.put(leader, "gate-check", classBody(333), class.Version, "one")
		require.Equal(t, http.StatusOK, a.status)

		wiped := c.follower()
		before := c.replicaOf(wiped)
		c.stop(wiped)
		wiped.fs = journaltest.New()
		c.start(wiped)
		c.eventually("the new replica votes and the old one is removed", func() bool {
			now := c.replicaOf(wiped)
			return now.ID != before.ID && now.Voter && len(c.status(c.leader()).Replicas) == 3
		})
		for _, n := range c.instances {
			if n != wiped {
				c.stop(n)
				break
			}
		}
		n := c.leader()
		c.get(n, "/v1/classes/gate-check").decode(t, &class)
		require.Equal(t, 333, class.DeadlineMS)
	})
}

// replicaOf returns the replica that the leader lists for an instance, or the zero value unless there is exactly one.
func (c *cluster) replicaOf(n *instance) replicaAnswer {
	var found []replicaAnswer
	for _, r := range c.status(c.leader()).Replicas {
		if r.Instance == n.settings.Instance {
			found = append(found, r)
		}
	}
	if len(found) != 1 {
		return replicaAnswer{}
	}
	return found[0]
}

// Guards against a second group with an empty configuration. An instance whose settings allow bootstrap loses its disk
// and restarts while the others are down. It must ask them before it starts a group.
func TestWipedDiskAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheckClass())
		c.startAll()
		c.leader()
		c.stopAll()
		wiped := c.instances[0]
		wiped.fs = journaltest.New()
		c.start(wiped)
		time.Sleep(longPartition)
		require.Equal(t, http.StatusServiceUnavailable, c.get(wiped, "/readyz").status)
		require.Empty(t, c.status(wiped).Replicas)
		c.start(c.instances[1])
		c.start(c.instances[2])
		c.leader()
		var class classAnswer
		c.get(wiped, "/v1/classes/gate-check").decode(t, &class)
		require.Equal(t, 800, class.DeadlineMS)
		c.stopAll()
	})
}

// Guards against initial classes that are applied at each start: a class that an operator deleted would be back after a
// restart.
func TestInitialClassesAreAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheckClass())
		c.startAll()
		n := c.leader()
		var class classAnswer
		c.get(n, "/v1/classes/gate-check").decode(t, &class)
		a := c.call(n, http.MethodDelete, "/v1/classes/gate-check", "", changeHeaders(class.Version, "one"))
		require.Equal(t, http.StatusOK, a.status)
		c.stopAll()
		c.startAll()
		n = c.leader()
		require.Equal(t, http.StatusNotFound, c.get(n, "/v1/classes/gate-check").status)
		require.NotZero(t, c.status(n).ConfigVersion)
		c.stopAll()
	})
}

// A leader that stops transfers its leadership, so the group does not wait for an election timeout.
func TestStoppingLeaderTransfersLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		old := c.leader()
		other := c.follower()
		term := c.status(old).Term
		c.stop(old)
		status := c.status(other)
		require.NotEmpty(t, status.Leader)
		require.NotEqual(t, old.settings.Instance, status.Leader)
		require.Greater(t, status.Term, term)
	})
}

// Guards against a leader that answers a follower's read without asking a quorum. The leader and one follower are cut
// off from the other three, which may have committed a newer state.
func TestMinorityConfirmsNoRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		leader, follower := c.leader(), c.follower()
		for _, n := range c.instances {
			if n != leader && n != follower {
				c.net.Cut(leader.host, n.host)
				c.net.Cut(follower.host, n.host)
			}
		}
		require.Equal(t, http.StatusServiceUnavailable, c.get(follower, "/v1/classes").status)
		for _, n := range c.instances {
			c.net.Heal(leader.host, n.host)
			c.net.Heal(follower.host, n.host)
		}
	})
}

// Guards against a read that is confirmed but answered from a state that is behind the confirmed index: an operator
// would not see a change at another instance. The entry of the change is still on its way to the follower.
func TestFollowerCatchesUpBeforeItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		leader, follower := c.leader(), c.follower()
		var class, seen classAnswer
		c.get(leader, "/v1/classes/gate-check").decode(t, &class)
		// Only what is written while the delay is set arrives late: the entry, on the link that the leader dialled.
		c.net.Delay(leader.host, follower.host, 500*time.Millisecond)
		c.put(leader, "gate-check", classBody(444), class.Version, "one").decode(t, &class)
		c.net.Delay(leader.host, follower.host, 0)
		c.get(follower, "/v1/classes/gate-check").decode(t, &seen)
		require.Equal(t, class, seen)
	})
}
