package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

// adviseAll returns the advice for callers of the last class that are refused at the same moment.
func adviseAll(h *harness, n int, deadline time.Duration) []time.Duration {
	var advice []time.Duration
	for i := range n {
		r := h.stream(nameOf("refused", i), lastClass, 400*time.Millisecond, 500*time.Millisecond)
		r.Deadline = h.now.Add(deadline)
		advice = append(advice, h.s.retryAfter(h.s.newEstimationRequest(r)))
	}
	return advice
}

// Guards against callers that are advised to return together and are refused together again: each must be counted as load of
// the time at which it was told to return. Six of eight slots are taken by the first class, so that the last class gets two
// slots for a second each.
func TestAdvisedCallersAreSpread(t *testing.T) {
	h := forecastHarness(t)
	h.setArrivals(firstClass, 24, 24)
	h.setArrivals(lastClass, 0, 0)
	advice := adviseAll(h, 6, 30*time.Second)
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
	h.setArrivals(lastClass, 0, 0)
	const deadline = 6 * time.Second
	for _, d := range adviseAll(h, 6, deadline) {
		require.LessOrEqual(t, d, deadline/3)
	}
}

// Guards against advice to return at a time when no slot is expected: if higher ranks take all slots for the whole remaining
// time, the advice is the ceiling.
func TestAdviceIsTheCeilingWithoutASlot(t *testing.T) {
	h := forecastHarness(t)
	h.setArrivals(firstClass, 40, 40)
	h.setArrivals(lastClass, 0, 0)
	require.Equal(t, []time.Duration{maxRetryAfter, maxRetryAfter}, adviseAll(h, 2, 6*time.Second))
	h.step(Arrive{Request: h.stream("refused", lastClass, 400*time.Millisecond, 500*time.Millisecond)})
	require.Equal(t, result.CannotFinishInTime, h.failures["refused"].Code)
	require.Equal(t, maxRetryAfter, h.failures["refused"].RetryAfter)
}

// Guards against a forecast for the caller's return that marks the refused request itself as overdue, in its log line.
func TestAdviceLeavesTheRequestUnchanged(t *testing.T) {
	h := forecastHarness(t)
	h.setArrivals(firstClass, 24, 24)
	r := h.stream("refused", lastClass, testObjective, testAbandon)
	h.s.retryAfter(h.s.newEstimationRequest(r))
	require.False(t, r.Overdue)
}

// Guards against advice to return when the answer can't be complete in the remaining time any more, also where only the
// advice is forecast and no admission has estimated the run.
func TestAdviceLeavesTimeForTheRun(t *testing.T) {
	for _, row := range []struct {
		name     string
		forecast bool
		tokens   int64
		ceiling  bool
	}{
		{"short answers", false, 10, false},
		{"long answers", false, 400, true},
		{"long answers, with the forecast", true, 400, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := forecastHarness(t)
			h.s.options.Forecast = row.forecast
			h.setArrivals(firstClass, 24, 24)
			h.setArrivals(lastClass, 0, 0)
			for range minSamples {
				h.s.classFor(lastClass).outputTokens.add(row.tokens)
			}
			for _, d := range adviseAll(h, 1, 3*time.Second) {
				require.Equal(t, row.ceiling, d == maxRetryAfter, "%v", d)
			}
		})
	}
}
