package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

func TestReservationDelaysPreemption(t *testing.T) {
	// Symptom: several runs of lower tiers are cancelled for each first-tier request, and their prefill is wasted.
	// Sequence: a first-tier request reserves at several full gates; each cancels a run for it at once.
	// Cause: no gate knows of the others, and none waited for one of them to have a slot free.
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(2))
	b.trainPace(20*time.Millisecond, 100)
	long := workOf(func(w *wire.Work) { w.OutputTokens, w.RemainingMs = 2000, 600_000 })
	b.start(entryA, id("long-1", 1), long)
	b.start(entryA, id("long-2", 1), long)
	check := workOf(func(w *wire.Work) { w.Tier, w.RemainingMs, w.OutputTokens = 1, 4000, 10 })
	require.Empty(t, actionsOf[CancelEngine](b.reserve(entryB, id("check", 1), check)))
	b.actions = nil
	b.advance(500 * time.Millisecond)
	require.Empty(t, actionsOf[CancelEngine](b.actions), "most of its slack is left")
	b.advance(600 * time.Millisecond)
	require.Len(t, actionsOf[CancelEngine](b.actions), 1, "nobody else took it")
	noChartErrors(t, b)
}

func TestDispatchedBodyPreemptsAtOnce(t *testing.T) {
	// No other gate can serve a request whose body was sent here.
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(1))
	b.trainPace(20*time.Millisecond, 100)
	b.start(entryA, id("long", 1), workOf(func(w *wire.Work) { w.OutputTokens, w.RemainingMs = 2000, 600_000 }))
	check := workOf(func(w *wire.Work) { w.Tier, w.RemainingMs, w.OutputTokens = 1, 4000, 10 })
	require.Len(t, actionsOf[CancelEngine](b.dispatch(entryB, id("check", 1), check)), 1)
}

func TestFirstTierWaitsForAsManySlotsAsItNeeds(t *testing.T) {
	// Symptom: runs that are about to end are cancelled when two first-tier requests come together.
	// Sequence: two of them wait, two runs have a few tokens left.
	// Cause: the end of a run was only waited for if a single request waited.
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
