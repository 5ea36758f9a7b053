package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
