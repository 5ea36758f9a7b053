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

// longCut is much longer than any timeout, and short enough for a run of the tests.
const longCut = 3 * time.Minute

func TestAnyInstanceAnswersOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheck())
		c.startAll()
		defer c.stopAll()
		follower := c.follower()
		var class classAnswer
		c.get(follower, "/v1/classes/gate-check").decode(t, &class)
		a := c.put(follower, "gate-check", classBody(500), class.Version, "one")
		require.Equal(t, http.StatusOK, a.status, string(a.body))
		for _, n := range c.nodes {
			again := c.put(n, "gate-check", classBody(500), class.Version, "one")
			require.Equal(t, string(a.body), string(again.body), "a resend elsewhere gets the first answer")
			require.Equal(t, string(a.body), string(c.get(n, "/v1/classes/gate-check").body), "reads are linearizable")
		}
	})
}

// Symptom: an operator is told that a change is in force, and later it isn't.
// Sequence: the leader is cut off silently for a long time; operators on both sides send changes and read.
// Cause: a leader that doesn't notice that it lost its quorum.
func TestLeaderCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheck())
		c.startAll()
		defer c.stopAll()
		old := c.leader()
		var class classAnswer
		c.get(old, "/v1/classes/gate-check").decode(t, &class)
		for _, n := range c.nodes {
			if n != old {
				c.net.Cut(old.host, n.host)
			}
		}
		read := make(chan int, 1)
		go func() { read <- c.get(old, "/v1/classes").status }()
		lost := c.put(old, "gate-check", classBody(111), class.Version, "lost")
		require.Equal(t, http.StatusServiceUnavailable, lost.status, string(lost.body))
		require.Equal(t, int(result.ProposalUnknown), lost.code(t), "nothing less: it may be committed yet")
		require.Contains(t, string(lost.body), "Change-Id")
		require.Equal(t, http.StatusServiceUnavailable, <-read, "no stale reads while it still leads")
		require.Equal(t, http.StatusServiceUnavailable, c.get(old, "/v1/classes").status, "nor after")
		c.eventually("the old leader isn't ready", func() bool {
			return c.get(old, "/readyz").status == http.StatusServiceUnavailable
		})

		c.eventually("the others elect a leader", func() bool {
			for _, n := range c.nodes {
				if n != old && c.status(n).Role == "leader" && c.put(n, "gate-check", classBody(222), class.Version, "won").status == http.StatusOK {
					return true
				}
			}
			return false
		})
		time.Sleep(longCut)
		for _, n := range c.nodes {
			c.net.Heal(old.host, n.host)
		}
		c.eventually("the old leader is back", func() bool { return c.get(old, "/readyz").status == http.StatusOK })
		c.get(old, "/v1/classes/gate-check").decode(t, &class)
		require.Equal(t, 222, class.DeadlineMS)
		resent := c.put(old, "gate-check", classBody(111), class.Version-1, "lost")
		require.Equal(t, http.StatusConflict, resent.status, "the lost change was not applied, and isn't now")
	})
}

// Symptom: after a repair and a second failure, an accepted change is gone.
// Sequence: a disk is wiped and its instance starts again; right after the repair another instance is lost.
// Cause: a replica with an empty disk that votes under its old identity, or a wiped instance that starts a new group.
func TestWipedDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheck())
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
		c.eventually("the new replica has a vote, the old one is gone", func() bool {
			now := c.replicaOf(wiped)
			return now.ID != before.ID && now.Voter && len(c.status(c.leader()).Replicas) == 3
		})
		for _, n := range c.nodes {
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

// replicaOf returns what the leader lists for an instance, the zero value unless it is exactly one replica.
func (c *cluster) replicaOf(n *node) replicaAnswer {
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

// Symptom: a group with an empty configuration beside the old one.
// Sequence: an instance with bootstrap in its settings loses its disk while the others are down.
// Cause: a bootstrap that doesn't ask the others first.
func TestWipedDiskAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheck())
		c.startAll()
		c.leader()
		c.stopAll()
		wiped := c.nodes[0]
		wiped.fs = journaltest.New()
		c.start(wiped)
		time.Sleep(longCut)
		require.Equal(t, http.StatusServiceUnavailable, c.get(wiped, "/readyz").status)
		require.Empty(t, c.status(wiped).Replicas)
		c.start(c.nodes[1])
		c.start(c.nodes[2])
		c.leader()
		var class classAnswer
		c.get(wiped, "/v1/classes/gate-check").decode(t, &class)
		require.Equal(t, 800, class.DeadlineMS)
		c.stopAll()
	})
}

// Symptom: a deleted class is back after a restart.
// Sequence: an operator deletes a class of initial_classes; all instances start again.
// Cause: initial classes that are applied at each start.
func TestInitialClassesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheck())
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

// A stop hands leadership over, so the others go on without an election timeout.
func TestLeaderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheck())
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

// Symptom: an operator reads what was replaced.
// Sequence: the leader and one follower are cut off from the other three; the follower asks the leader.
// Cause: a leader that answers a follower's read without asking a quorum.
func TestMinorityConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, gateCheck())
		c.startAll()
		defer c.stopAll()
		leader, follower := c.leader(), c.follower()
		for _, n := range c.nodes {
			if n != leader && n != follower {
				c.net.Cut(leader.host, n.host)
				c.net.Cut(follower.host, n.host)
			}
		}
		require.Equal(t, http.StatusServiceUnavailable, c.get(follower, "/v1/classes").status)
		for _, n := range c.nodes {
			c.net.Heal(leader.host, n.host)
			c.net.Heal(follower.host, n.host)
		}
	})
}

// Symptom: an operator's change isn't there when the operator looks at another instance.
// Sequence: the entry of the change is still on its way to a follower, which is asked and has its read confirmed.
// Cause: a read that is confirmed, but answered from a state which is behind it.
func TestFollowerCatchesUpBeforeItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheck())
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
