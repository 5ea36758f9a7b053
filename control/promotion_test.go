package control_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Guards against a lost voter that is never replaced while changes are committed all the time and the machine that replaces it
// answers later than the others: it holds all entries but the last few at any moment. The next lost disks would leave no majority.
func TestSlowLearnerReplacesVoterUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		learner := c.addAndStart(4, 1, 2, 3)
		c.eventually("the fourth instance is ready", func() bool { return learner.control.Ready() == nil })
		for _, n := range c.instances[:3] {
			c.net.Delay(learner.host, n.host, 30*time.Millisecond)
			c.net.Delay(n.host, learner.host, 30*time.Millisecond)
		}
		s, stop := c.client("entry-1", "10.0.1.1", wire.Role_ROLE_ENTRY, 1)
		defer stop()
		c.eventually("the entry is registered", func() bool { return s.Ready() == nil && s.View().Entries["entry-1"] != nil })
		done := make(chan struct{})
		var load sync.WaitGroup
		load.Go(func() {
			for n := uint64(1); ; n++ {
				select {
				case <-done:
					return
				case <-time.After(5 * time.Millisecond):
				}
				load.Go(func() {
					_, _ = s.Propose(t.Context(), &wire.Command{Kind: &wire.Command_MoveShares{MoveShares: &wire.MoveShares{
						Entry: "entry-1", Incarnation: 1, Sequence: n,
						Shares:    []*wire.Share{{Organisation: "org", Units: n}},
						Tolerance: &wire.CapTolerance{WindowMs: 8000, Allowance: 1 << 20},
					}}})
				})
			}
		})
		defer load.Wait()
		defer close(done)
		c.stop(c.follower())
		lost := time.Now()
		for votersSeenByVoter(c, learner) != 3 && time.Since(lost) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		require.Less(t, time.Since(lost), 6*time.Second, "until three replicas vote again")
	})
}
