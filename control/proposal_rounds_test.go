package control

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a delay of the first proposal after an idle time, and against proposals that are not proposed together
// while others are under way.
func TestProposalsWaitForCommonRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r proposalRounds
		start := time.Now()
		r.wait(t.Context())
		require.Zero(t, time.Since(start), "the first one")

		var ended atomic.Int64
		for range 3 {
			time.Sleep(proposalRoundInterval / 10)
			go func() {
				r.wait(t.Context())
				ended.Add(1)
			}()
		}
		synctest.Wait()
		require.Zero(t, ended.Load())
		time.Sleep(time.Until(start.Add(proposalRoundInterval)))
		synctest.Wait()
		require.EqualValues(t, 3, ended.Load(), "all in one round")

		time.Sleep(10 * proposalRoundInterval)
		start = time.Now()
		r.wait(t.Context())
		require.Zero(t, time.Since(start), "after an idle time")
	})
}

// Guards against a proposal that waits longer than its sender.
func TestProposalStopsWaitingWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r proposalRounds
		r.wait(t.Context())
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		start := time.Now()
		r.wait(ctx)
		require.Zero(t, time.Since(start))
		time.Sleep(2 * proposalRoundInterval)
	})
}
