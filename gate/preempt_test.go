package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

func TestReservationDelaysPreemption(t *testing.T) {
	// Guards against several lower-tier runs that are cancelled for one first-tier request: it reserves at several
	// full gates, which don't know of each other, so each has to wait for a while before it preempts.
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(2))
	b.trainPace(20*time.Millisecond, 100)
	long := workOf(func(w *wire.Work) { w.OutputTokens, w.RemainingMs = 2000, 600_000 })
	b.start(entryA, id("long-1", 1), long)
	b.start(entryA, id("long-2", 1), long)
	urgent := workOf(func(w *wire.Work) { w.Tier, w.RemainingMs, w.OutputTokens = 1, 4000, 10 })
	require.Empty(t, actionsOf[CancelEngine](b.reserve(entryB, id("check", 1), urgent)))
	b.actions = nil
	b.advance(500 * time.Millisecond)
	require.Empty(t, actionsOf[CancelEngine](b.actions), "no preemption while most of the slack is left")
	b.advance(600 * time.Millisecond)
	require.Len(t, actionsOf[CancelEngine](b.actions), 1, "preempts after the delay")
	noChartErrors(t, b)
}

func TestDispatchedBodyPreemptsAtOnce(t *testing.T) {
	// No other gate can serve a request whose body was sent to this one.
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(1))
	b.trainPace(20*time.Millisecond, 100)
	b.start(entryA, id("long", 1), workOf(func(w *wire.Work) { w.OutputTokens, w.RemainingMs = 2000, 600_000 }))
	urgent := workOf(func(w *wire.Work) { w.Tier, w.RemainingMs, w.OutputTokens = 1, 4000, 10 })
	require.Len(t, actionsOf[CancelEngine](b.dispatch(entryB, id("check", 1), urgent)), 1)
}

func TestFirstTierWaitsForAsManySlotsAsItNeeds(t *testing.T) {
	// Guards against cancelling runs that are about to end when two first-tier requests arrive together: the gate
	// has to wait for as many slots as there are waiting requests, not only for one.
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(2))
	b.trainPace(20*time.Millisecond, 100)
	ending := workOf(func(w *wire.Work) { w.OutputTokens = 32 })
	b.start(entryA, id("ending-1", 1), ending)
	b.start(entryA, id("ending-2", 1), ending)
	b.streamTokens(id("ending-1", 1), 20*time.Millisecond, 15)
	b.streamTokens(id("ending-2", 1), 20*time.Millisecond, 29)
	b.actions = nil
	b.dispatch(entryB, id("check-1", 1), firstTierWork())
	b.dispatch(entryB, id("check-2", 1), firstTierWork())
	require.Empty(t, actionsOf[CancelEngine](b.actions))
}
