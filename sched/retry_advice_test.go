package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

// refuseAll submits streams of the last class that are refused on arrival, and returns the advice of each.
func refuseAll(t *testing.T, h *harness, n int, deadline time.Duration) []time.Duration {
	t.Helper()
	var advice []time.Duration
	for i := range n {
		r := h.stream(nameOf("refused", i), lastClass, 400*time.Millisecond, 500*time.Millisecond)
		r.Deadline = h.now.Add(deadline)
		h.step(Arrive{Request: r})
		require.Contains(t, h.failures, r.ID)
		require.Equal(t, result.CannotFinishInTime, h.failures[r.ID].Code)
		advice = append(advice, h.failures[r.ID].RetryAfter)
	}
	return advice
}

// Guards against callers that are advised to return together and are refused together again: each must be counted as load of
// the time at which it was told to return. Six of eight slots are taken by the first class, so that the last class gets two
// slots for a second each.
func TestAdvisedCallersAreSpread(t *testing.T) {
	h := forecastHarness(t)
	h.setArrivals(firstClass, 24, 24)
	h.setArrivals(lastClass, 20, 0)
	advice := refuseAll(t, h, 6, 30*time.Second)
	for i, d := range advice {
		expected := time.Duration(i+1) * time.Second / 2 // one more run of a second over two slots
		require.LessOrEqual(t, d, expected+2*returnSlot, "caller %d", i)
		require.GreaterOrEqual(t, d, time.Duration((1-adviceSpread)*float64(expected))-returnSlot, "caller %d", i)
	}
}

// Guards against advice that callers do not follow: they return after a third of their remaining time at the latest.
func TestAdviceIsNoLongerThanCallersFollow(t *testing.T) {
	h := forecastHarness(t)
	h.setArrivals(firstClass, 24, 24)
	h.setArrivals(lastClass, 20, 0)
	const deadline = 6 * time.Second
	for _, d := range refuseAll(t, h, 6, deadline) {
		require.LessOrEqual(t, d, deadline/3)
	}
}

// Guards against advice to return at a time when no slot is expected: if higher ranks take all slots for the whole remaining
// time, the advice is the ceiling.
func TestAdviceIsTheCeilingWithoutASlot(t *testing.T) {
	h := forecastHarness(t)
	h.setArrivals(firstClass, 40, 40)
	h.setArrivals(lastClass, 20, 0)
	require.Equal(t, []time.Duration{maxRetryAfter, maxRetryAfter}, refuseAll(t, h, 2, 6*time.Second))
}
