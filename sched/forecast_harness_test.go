package sched

import (
	"testing"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Classes of one tier for tests of the forecast.
var (
	firstClass = &wire.Class{Name: "first", Tier: 2, DeadlineMs: 5000, Kind: kindModel, Repeatable: true, Precedence: 1}
	lastClass  = &wire.Class{Name: "last", Tier: 2, DeadlineMs: 15_000, Kind: kindModel, Repeatable: true, Precedence: 3}
)

const forecastTestSlots = 8

// forecastHarness returns a harness with one full server of forecastTestSlots slots, all held by this entry, whose runs of
// the last class take a second and those of the first a quarter.
func forecastHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, Options{Forecast: true, RetryAdvice: true, LongTermShare: true})
	h.addServer("s1", kindModel, testModel, forecastTestSlots)
	for i := range forecastTestSlots {
		h.arrive(nameOf("running", i), lastClass)
	}
	for i := range forecastTestSlots {
		sent := h.lastDispatch(nameOf("running", i), 1)
		h.receive("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Started{Started: &wire.Started{Attempt: sent.id, Server: "s1"}}})
	}
	h.reportRoom("s1", kindModel, testModel, 0)
	for range minSamples {
		h.load().addOccupancy(h.s.classFor(lastClass), time.Second)
		h.load().addOccupancy(h.s.classFor(firstClass), 250*time.Millisecond)
	}
	h.load().occupancy = 1
	h.load().since = h.now.Add(-time.Minute)
	return h
}

func nameOf(prefix string, i int) string { return prefix + "-" + string(rune('a'+i)) }

func (h *harness) load() *poolLoad {
	return &h.s.pool(poolKey{kind: kindModel, target: testModel}).load
}

// setArrivals makes the load of a class appear as if its requests had arrived, and been queued as on time, at these rates for
// long.
func (h *harness) setArrivals(class *wire.Class, offered, admitted float64) {
	steady := func(perSecond float64) flow {
		return flow{sum: perSecond * forecastWindow.Seconds(), at: h.now, since: h.now.Add(-time.Minute)}
	}
	load := h.load().of(h.s.classFor(class))
	load.offered, load.arrivals = steady(offered), steady(admitted)
}

// hold makes a queued request late.
func (h *harness) hold(id string) {
	h.t.Helper()
	h.s.actions = h.s.actions[:0]
	h.s.startHold(h.s.requests[id])
	for _, a := range h.s.actions {
		h.recordAction(a)
	}
}

// stream returns a request for a stream whose caller leaves after the silence.
func (h *harness) stream(id string, class *wire.Class, objective, abandon time.Duration) *Request {
	r := h.request(id, class)
	r.Stream, r.Pause, r.Abandon = true, 400*time.Millisecond, abandon
	r.Objective = h.now.Add(objective)
	return r
}
