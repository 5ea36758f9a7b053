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
		lost := c.put(old, "gate-check", classBody(111), class.Version, "lost")
		require.Equal(t, http.StatusServiceUnavailable, lost.status, string(lost.body))
		require.Contains(t, []int{int(result.ProposalUnknown), int(result.ControlUnavailable)}, lost.code(t))
		require.Equal(t, http.StatusServiceUnavailable, c.get(old, "/v1/classes").status, "no stale reads")
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
		c.stop(wiped)
		wiped.fs = journaltest.New()
		c.start(wiped)
		c.eventually("the new replica has a vote, the old one is gone", func() bool {
			status := c.status(c.leader())
			voters := 0
			for _, r := range status.Replicas {
				if r.Voter {
					voters++
				}
			}
			return len(status.Replicas) == 3 && voters == 3
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
