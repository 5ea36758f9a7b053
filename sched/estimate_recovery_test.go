package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// serve lets a call arrive, gives it room after a wait, and ends it after its service time if it was dispatched.
func (h *harness) serve(id string, class *wire.Class, wait, took time.Duration) {
	h.t.Helper()
	if wait == 0 {
		h.reportRoom("s1", kindService, testService, 1)
		h.arrive(id, class)
	} else {
		h.reportRoom("s1", kindService, testService, 0)
		h.arrive(id, class)
		h.advance(wait)
		if reserved := h.reserves(id); len(reserved) > 0 && h.failures[id] == nil {
			h.offer("s1", reserved[len(reserved)-1].id)
		}
	}
	sent := h.dispatches(id)
	if len(sent) == 0 {
		return
	}
	h.now = h.now.Add(took)
	h.frame("s1", sent[0].id, 0, "x")
	h.complete("s1", sent[0].id, 0, "x")
}

// Guards against a class of calls that is refused without end after a time in which calls took nearly as long as their deadline:
// refused calls give no sample that shows that they have become fast again.
func TestCallsAreServedAgainAfterSlowPeriod(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindService, testService, 1)
	class := &wire.Class{Name: "hold", Tier: 2, DeadlineMs: 600, LateMax: 0.01, LostMax: 0.01, Kind: kindService, Repeatable: true}
	for n := range 2 * windowSamples {
		h.serve(fmt.Sprint("slow-", n), class, 0, 580*time.Millisecond)
	}
	refused := 0
	for n := range 600 {
		id := fmt.Sprint("fast-", n)
		h.serve(id, class, 40*time.Millisecond, 15*time.Millisecond)
		h.advance(50 * time.Millisecond)
		if err := h.failures[id]; err != nil {
			refused++
		}
	}
	require.Less(t, refused, 60, "%d of 600 calls refused in a minute", refused)
}

// Guards against calls that are refused for times that none had. The correction of a server was learnt against the default time, or
// against the median of a faster time before, and then applied to the median of the slower times.
func TestCorrectionIsNotAppliedToAnotherMedian(t *testing.T) {
	for name, fastCalls := range map[string]int{"after the start": 0, "after fast calls": windowSamples + minSamples} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, Options{})
			h.addServer("s1", kindService, testService, 1)
			class := &wire.Class{Name: "hold", Tier: 2, DeadlineMs: 3000, LateMax: 0.01, LostMax: 0.01, Kind: kindService}
			const fast, slow, objective = 20 * time.Millisecond, 120 * time.Millisecond, 300 * time.Millisecond
			for n := range fastCalls {
				h.serveWithObjective(fmt.Sprint("fast-", n), class, objective, fast)
			}
			for n := range 10 * minSamples {
				h.serveWithObjective(fmt.Sprint("slow-", n), class, objective, slow)
				h.reportRoom("s1", kindService, testService, 0)
				id := fmt.Sprint("without-room-", n)
				h.arriveWithObjective(id, class, objective)
				require.Nil(t, h.failures[id], "after %d calls of %s, with an objective of %s", n+1, slow, objective)
				h.step(CallerLeft{Request: id})
			}
		})
	}
}

// serveWithObjective lets a call arrive while there is room, and ends it after its service time.
func (h *harness) serveWithObjective(id string, class *wire.Class, objective, took time.Duration) {
	h.t.Helper()
	h.reportRoom("s1", kindService, testService, 1)
	h.arriveWithObjective(id, class, objective)
	sent := h.lastDispatch(id, 1)
	h.now = h.now.Add(took)
	h.frame("s1", sent.id, 0, "x")
	h.complete("s1", sent.id, 0, "x")
}

// Guards against calls that are all refused for times of a slow period while the entry has none that would show the present time.
func TestOneCallAtATimeTriesServiceThatWasSlow(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindService, testService, 1)
	class := &wire.Class{Name: "hold", Tier: 2, DeadlineMs: 3000, LateMax: 0.01, LostMax: 0.01, Kind: kindService}
	const objective = 300 * time.Millisecond
	for n := range 2 * minSamples {
		h.serveWithObjective(fmt.Sprint("slow-", n), class, objective, 400*time.Millisecond)
	}
	h.reportRoom("s1", kindService, testService, 0)
	for n := range 4 {
		id := fmt.Sprint("trial-", n)
		h.arriveWithObjective(id, class, objective)
		require.Nil(t, h.failures[id])
		h.arriveWithObjective("beside-"+id, class, objective)
		require.Equal(t, result.CannotFinishInTime, h.failures["beside-"+id].Code, "more than one call tries the service")
		reserved := h.reserves(id)
		h.offer("s1", reserved[len(reserved)-1].id)
		h.arriveWithObjective("during-"+id, class, objective)
		require.Equal(t, result.CannotFinishInTime, h.failures["during-"+id].Code, "more than one call tries the service")
		h.now = h.now.Add(10 * time.Millisecond)
		h.frame("s1", h.lastDispatch(id, 1).id, 0, "x")
		h.complete("s1", h.lastDispatch(id, 1).id, 0, "x")
	}
}

// arriveStream submits a stream of a plain service.
func (h *harness) arriveStream(id string, class *wire.Class, objective, deadline time.Duration) {
	h.t.Helper()
	r := h.request(id, class)
	r.Stream = true
	r.Objective, r.Deadline = h.now.Add(objective), h.now.Add(deadline)
	h.step(Arrive{Request: r})
}

// Guards against streams of plain services that are refused because their whole length exceeds an objective that is about their
// first event.
func TestStreamOfAServiceIsJudgedByItsFirstEvent(t *testing.T) {
	class := &wire.Class{Name: "hold", Tier: 2, DeadlineMs: 3000, LateMax: 0.01, LostMax: 0.01, Kind: kindService}
	const first, whole, objective = 10 * time.Millisecond, 600 * time.Millisecond, 300 * time.Millisecond
	learn := func(first time.Duration) *harness {
		h := newHarness(t, Options{})
		h.addServer("s1", kindService, testService, 1)
		for n := range 2 * minSamples {
			id := fmt.Sprint("learnt-", n)
			h.reportRoom("s1", kindService, testService, 1)
			h.arriveStream(id, class, objective, 3*time.Second)
			sent := h.lastDispatch(id, 1)
			h.now = h.now.Add(first)
			h.frame("s1", sent.id, 0, "x")
			h.now = h.now.Add(whole - first)
			h.frame("s1", sent.id, 1, "y")
			h.complete("s1", sent.id, 0, "x", "y")
		}
		h.reportRoom("s1", kindService, testService, 1)
		h.arriveStream("running", class, objective, 3*time.Second)
		h.lastDispatch("running", 1)
		h.reportRoom("s1", kindService, testService, 0)
		return h
	}
	h := learn(first)
	h.arriveStream("in time", class, objective, 3*time.Second)
	require.NotContains(t, h.failures, "in time")
	h.step(CallerLeft{Request: "in time"})
	h.arriveStream("without time", class, objective, whole/2)
	require.Equal(t, result.CannotFinishInTime, h.failures["without time"].Code, "it can't end by its deadline")
	h = learn(whole - time.Millisecond)
	h.arriveStream("late", class, objective, 3*time.Second)
	require.Equal(t, result.CannotFinishInTime, h.failures["late"].Code, "its first event can't come by the objective")
}
