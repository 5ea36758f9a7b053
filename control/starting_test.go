package control_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Symptom: after a loss of all power with two disks nothing is served for 15 s and more: the three replicas that are left stay
// pre-candidates. Sequence: hundreds of processes start before a leader is elected; each asks the control instances that it knows
// whether its state is confirmed. Cause: an instance that can't confirm answers at once and is asked again at once; each answer
// is followed by another poll, beside those of the interval, so that there is a chain of polls more each second.
func TestProcessesThatStartDontFloodAnInstanceWithoutALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		c.start(c.nodes[0])
		s, stop := c.client("entry-1", "10.0.1.1", wire.Role_ROLE_ENTRY, 1)
		defer stop()
		time.Sleep(time.Second)
		before := s.Questions()
		const span = 10 * time.Second
		time.Sleep(span)
		// A poll is kept for half a second, and one comes with each interval of a second.
		require.LessOrEqual(t, s.Questions()-before, uint64(3*span/time.Second))
		c.start(c.nodes[1])
		c.start(c.nodes[2])
		c.leader()
		c.eventually("it is ready", func() bool { return s.Ready() == nil })
	})
}
