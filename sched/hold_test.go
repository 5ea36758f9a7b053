package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

const (
	testObjective = 400 * time.Millisecond
	testAbandon   = 3200 * time.Millisecond
)

// arriveHeld submits a stream of the last class that will begin late, but while its caller waits: two requests of a second
// each are ahead of it on eight slots, of which new ones of its class take between five and six.
func arriveHeld(t *testing.T, h *harness) {
	t.Helper()
	for i := range 2 {
		r := h.stream(nameOf("ahead", i), lastClass, testObjective, testAbandon)
		h.step(Arrive{Request: r})
	}
	h.setArrivals(lastClass, 4.9, 0)
	h.step(Arrive{Request: h.stream("held", lastClass, testObjective, testAbandon)})
	require.Empty(t, h.failures)
	require.True(t, h.s.requests["held"].late)
}

// Guards against giving up requests at their objective although a late answer still has value: a request that will begin late
// must be held, and served when there is room.
func TestLateRequestIsHeldPastItsObjective(t *testing.T) {
	h := forecastHarness(t)
	arriveHeld(t, h)
	require.Equal(t, []HeldCount{{Class: "last", Organisation: "org", Requests: heldCount(h)}}, h.s.HeldRequests())
	h.advance(testObjective + 100*time.Millisecond)
	require.NotContains(t, h.failures, "held")
	h.reportRoom("s1", kindModel, testModel, 2*forecastTestSlots)
	require.Len(t, h.dispatches("held"), 1)
	require.Greater(t, h.s.trace(h.s.requests["held"]).HeldFor, testObjective)
	require.Contains(t, h.counts, Count{Counter: Forecasts, Tier: 2, Class: "last", Label: forecastServedLate, Add: 1})
}

func heldCount(h *harness) int {
	n := 0
	for _, r := range h.s.requests {
		if r.late {
			n++
		}
	}
	return n
}

// Guards against late requests that take slots of those that may be in time: they go behind, also behind a class of lower
// precedence, at this entry and at the gates.
func TestLateRequestGoesBehindTimelyOnes(t *testing.T) {
	h := forecastHarness(t)
	h.step(Arrive{Request: h.stream("late", firstClass, testObjective, testAbandon)})
	h.hold("late")
	h.step(Arrive{Request: h.stream("timely", lastClass, testObjective, testAbandon)})
	require.False(t, h.s.requests["timely"].late)
	work := h.s.describeWork(h.s.requests["late"], h.s.servers["s1"])
	require.True(t, work.GetOverdue())
	require.Greater(t, work.GetPrecedence(), h.s.requests["timely"].gatePrecedence())
	h.reportRoom("s1", kindModel, testModel, 1)
	require.Len(t, h.dispatches("timely"), 1)
	require.Empty(t, h.dispatches("late"))
}

// Guards against gates that keep a request in front of timely ones after it has become late: its reservations must be sent
// again with the new order.
func TestGatesAreToldOfLateRequests(t *testing.T) {
	h := forecastHarness(t)
	h.step(Arrive{Request: h.stream("a", lastClass, testObjective, testAbandon)})
	require.Len(t, h.reserves("a"), 1)
	h.hold("a")
	h.step(Tick{})
	require.Len(t, h.reserves("a"), 2)
	last := h.sent[len(h.sent)-1].Message.GetReserve()
	require.True(t, last.GetWork().GetOverdue())
	require.Greater(t, last.GetWork().GetPrecedence(), uint32(latePrecedence))
}

// Guards against late requests that use up the bounded reservations and so keep timely ones from the gates.
func TestLateRequestsDoNotKeepOthersFromGates(t *testing.T) {
	h := forecastHarness(t)
	bound := h.s.maxReserved(h.s.pool(poolKey{kind: kindModel, target: testModel}))
	for i := range 4 * bound {
		h.step(Arrive{Request: h.stream(nameOf("late", i), lastClass, testObjective, testAbandon)})
		if r := h.s.requests[nameOf("late", i)]; r != nil {
			h.s.setLate(r, true)
		}
	}
	h.setArrivals(firstClass, 0, 0)
	h.step(Arrive{Request: h.stream("timely", firstClass, testObjective, testAbandon)})
	require.Len(t, h.reserves("timely"), 1)
	pool := h.s.requests["timely"].pool
	require.LessOrEqual(t, pool.lateReserved[1], h.s.maxLateReserved(pool))
}

// Guards against holding a request that will not begin while its caller waits: it must be refused at once, so that its caller
// can still retry.
func TestRequestThatWillNotBeginIsRefusedAtOnce(t *testing.T) {
	h := forecastHarness(t)
	h.setArrivals(firstClass, 40, 40)
	h.step(Arrive{Request: h.stream("a", lastClass, testObjective, testAbandon)})
	require.Equal(t, result.CannotFinishInTime, h.failures["a"].Code)
	require.Contains(t, h.counts, Count{Counter: Forecasts, Tier: 2, Class: "last", Label: forecastRefusedAtOnce, Add: 1})
}

// Guards against changes of behaviour with the forecast off, and for streams whose callers' tolerance isn't known: they are
// queued until their objective.
func TestRequestsThatMayNotBeHeldEndAtTheirObjective(t *testing.T) {
	for _, row := range []struct {
		forecast bool
		abandon  time.Duration
	}{{false, testAbandon}, {true, 0}} {
		t.Run(fmt.Sprintf("%+v", row), func(t *testing.T) {
			h := forecastHarness(t)
			h.s.options.Forecast = row.forecast
			h.setArrivals(firstClass, 40, 40)
			h.step(Arrive{Request: h.stream("a", lastClass, testObjective, row.abandon)})
			h.advance(testObjective - 2*MinTickInterval)
			require.Empty(t, h.failures)
			h.advance(3 * MinTickInterval)
			require.Equal(t, result.DeadlinePassedInQueue, h.failures["a"].Code)
		})
	}
}

// Guards against a forecast without evidence: right after the start, or while no gate reports, no request may be refused by
// forecast. It is queued until its objective.
func TestNoForecastWithoutEvidence(t *testing.T) {
	for name, remove := range map[string]func(*harness){
		"just started":       func(h *harness) { h.load().since = h.now },
		"few requests ended": func(h *harness) { h.load().samples = minSamples - 1 },
		"old reports":        func(h *harness) { h.now = h.now.Add(DefaultMaxRoomAge + MinTickInterval); h.step(Tick{}) },
		"gate unreachable":   func(h *harness) { h.linkDown("s1") },
	} {
		t.Run(name, func(t *testing.T) {
			h := forecastHarness(t)
			remove(h)
			h.setArrivals(firstClass, 40, 40)
			h.step(Arrive{Request: h.stream("a", lastClass, testObjective, testAbandon)})
			require.NotContains(t, h.failures, "a")
			require.False(t, h.s.requests["a"].late)
			h.advance(testObjective - 2*MinTickInterval)
			require.NotContains(t, h.failures, "a")
			h.advance(3 * MinTickInterval)
			require.Equal(t, result.DeadlinePassedInQueue, h.failures["a"].Code)
		})
	}
}

// Guards against a request that is held although the forecast has turned: a burst of the first class takes all slots. It must
// be refused after a few forecasts rather than at the end of its caller's patience.
func TestHeldRequestIsRefusedWhenTheForecastTurns(t *testing.T) {
	h := forecastHarness(t)
	arriveHeld(t, h)
	const step = 50 * time.Millisecond
	for range (maxUnfavourable + 1) * forecastInterval / step {
		h.setArrivals(firstClass, 40, 40)
		h.reportRoom("s1", kindModel, testModel, 0)
		h.advance(step)
	}
	require.Contains(t, h.failures, "held")
	require.Equal(t, result.CannotFinishInTime, h.failures["held"].Code)
	require.Contains(t, h.counts, Count{Counter: Forecasts, Tier: 2, Class: "last", Label: forecastHeldInVain, Add: 1})
}

// Guards against holding a request for longer than its caller stays, if every forecast is wrong.
func TestNothingIsHeldBeyondItsCallersPatience(t *testing.T) {
	h := forecastHarness(t)
	arriveHeld(t, h)
	arrived := h.now
	for h.failures["held"] == nil && h.now.Sub(arrived) < testAbandon {
		h.reportRoom("s1", kindModel, testModel, 0)
		h.advance(50 * time.Millisecond)
	}
	require.Contains(t, h.failures, "held")
	require.Less(t, h.now.Sub(arrived), testAbandon)
}

// Guards against a run for a caller who has left while its request was held.
func TestHeldRequestOfACallerWhoLeftIsNeverSent(t *testing.T) {
	h := forecastHarness(t)
	arriveHeld(t, h)
	h.step(CallerLeft{Request: "held"})
	require.Equal(t, result.CallerLeft, h.failures["held"].Code)
	h.reportRoom("s1", kindModel, testModel, 4*forecastTestSlots)
	h.advance(time.Second)
	require.Empty(t, h.dispatches("held"))
}

// Guards against rates and ages that are computed from a clock that does not move: no request may end, and none may be lost,
// until it moves again.
func TestForecastWithAClockThatStandsStill(t *testing.T) {
	h := forecastHarness(t)
	for i := range forecastTestSlots {
		h.step(Arrive{Request: h.stream(nameOf("a", i), firstClass, testObjective, testAbandon)})
		h.step(Tick{})
		f := h.s.forecastWait(h.s.newEstimationRequest(h.stream("probe", firstClass, testObjective, testAbandon)), false)
		require.True(t, f.known)
		require.GreaterOrEqual(t, f.wait, time.Duration(0))
		require.LessOrEqual(t, f.wait, neverWait)
	}
	require.Empty(t, h.failures)
	// The same with the time of an earlier event, which counts as the latest time.
	h.now = h.now.Add(-time.Hour)
	h.step(Tick{})
	require.Empty(t, h.failures)
	h.now = h.now.Add(time.Hour)
	h.reportRoom("s1", kindModel, testModel, forecastTestSlots)
	for i := range forecastTestSlots {
		require.Len(t, h.dispatches(nameOf("a", i)), 1)
	}
}

// Guards against a gate's slot that goes to a late request while a timely one waits at the same gate.
func TestOfferToALateRequestGoesToATimelyOne(t *testing.T) {
	h := forecastHarness(t)
	h.step(Arrive{Request: h.stream("late", firstClass, testObjective, testAbandon)})
	h.step(Arrive{Request: h.stream("timely", lastClass, testObjective, testAbandon)})
	h.hold("late")
	h.step(Tick{})
	reserved := h.reserves("late")
	h.offer("s1", reserved[len(reserved)-1].id)
	require.Len(t, h.declines("late"), 1)
	require.Len(t, h.dispatches("timely"), 1)
}

// Guards against a promised request that waits until its caller leaves, because requests of a lower class that may be in time
// are queued ahead of it one after another.
func TestPromisedRequestIsNotOvertakenForever(t *testing.T) {
	h := forecastHarness(t)
	h.setArrivals(lastClass, 6, 0)
	h.step(Arrive{Request: h.stream("promised", firstClass, testObjective, testAbandon)})
	h.hold("promised")
	probe := h.s.newEstimationRequest(h.stream("probe", lastClass, testObjective, testAbandon))
	require.False(t, h.s.endangersPromised(probe))
	patience := h.s.requests["promised"].latestBegin().Sub(h.now)
	h.advance(time.Duration(endangeredAfter*float64(patience)) + MinTickInterval)
	h.reportRoom("s1", kindModel, testModel, 0)
	h.setArrivals(lastClass, 6, 0)
	h.step(Arrive{Request: h.stream("overtaking", lastClass, testObjective, testAbandon)})
	require.Contains(t, h.s.requests, "promised")
	if r := h.s.requests["overtaking"]; r != nil {
		require.True(t, r.late)
	}
}
