package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against queue reports that mix targets or tiers, or that lose the longest wait.
func TestTargetQueuesCountByTargetAndTier(t *testing.T) {
	h := newHarness(t, Options{})
	h.listServer("s1", kindService, testService)
	h.listServer("m1", kindModel, testModel)
	require.Empty(t, h.s.TargetQueues())
	h.arrive("check", gateCheck)
	h.advance(time.Second)
	h.arrive("text", summary)
	h.arrive("more", appeal)
	h.advance(500 * time.Millisecond)
	require.Equal(t, []TargetQueue{
		{Kind: kindModel, Target: testModel, Queued: [tierCount]int{0, 1, 1}, OldestWait: 500 * time.Millisecond},
		{Kind: kindService, Target: testService, Queued: [tierCount]int{1, 0, 0}, OldestWait: 1500 * time.Millisecond},
	}, h.s.TargetQueues())
}
