package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWaitingCountsByTargetAndTier(t *testing.T) {
	w := newWorld(t, Options{})
	w.list("s1", kindService, testService)
	w.list("m1", kindModel, testModel)
	require.Empty(t, w.s.TargetQueues())
	w.arrive("check", gateCheck)
	w.pass(time.Second)
	w.arrive("text", summary)
	w.arrive("more", appeal)
	w.pass(500 * time.Millisecond)
	require.Equal(t, []TargetQueue{
		{Kind: kindModel, Target: testModel, Queued: [tierCount]int{0, 1, 1}, OldestWait: 500 * time.Millisecond},
		{Kind: kindService, Target: testService, Queued: [tierCount]int{1, 0, 0}, OldestWait: 1500 * time.Millisecond},
	}, w.s.TargetQueues())
}
