package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	callTime  = 20 * time.Millisecond
	bodyDelay = 10 * time.Millisecond // from an offer to the body
)

func callWork(tier uint32) *wire.Work {
	return workOf(func(w *wire.Work) {
		w.Service, w.Tier, w.PromptTokens, w.OutputTokens = true, tier, 0, 0
	})
}

func (b *harness) advanceClock(d time.Duration) { b.now = b.now.Add(d) }

// trainCalls lets the gate learn the duration of calls and the offer latency.
func (b *harness) trainCalls() {
	b.t.Helper()
	for i := range 200 {
		call := id(fmt.Sprint("teach-", i), 1)
		b.reserve(entryA, call, callWork(3))
		b.advanceClock(bodyDelay)
		b.dispatchOffered(entryA, call, callWork(3))
		b.advanceClock(callTime)
		b.finish(call)
	}
	b.advance(time.Second)
	b.actions = nil
}

func TestShortCallsAreOfferedEarly(t *testing.T) {
	// Guards against a plain service that runs at four fifths of its capacity while requests to it are refused for
	// their deadline: if a slot is offered only once it is free, it is empty until the body arrives, and a call
	// takes hardly longer than that.
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(2))
	b.trainCalls()
	for i := range 5 {
		b.reserve(entryA, id(fmt.Sprint("r", i), 1), callWork(3))
	}
	require.Equal(t, []string{"r0.1", "r1.1", "r2.1"}, offeredIDs(b.actions), "one for each slot, and one early")
	for i := range 3 {
		b.dispatchOffered(entryA, id(fmt.Sprint("r", i), 1), callWork(3))
	}
	require.Equal(t, []string{"r0.1", "r1.1"}, startedIDs(b.actions), "the third waits in the gate, not in the service")
	next := b.finish(id("r0", 1))
	require.Equal(t, []string{"r2.1"}, startedIDs(next), "the slot is used again at once")
	require.Equal(t, []string{"r3.1"}, offeredIDs(next))
	noChartErrors(t, b)
}

func TestEarlyBodyIsRefusedAsNeverStarted(t *testing.T) {
	// Guards against a request that stays unanswered until its deadline after its server left or became suspect,
	// because only reservations and offers were refused then and not bodies that arrived early.
	for name, end := range map[string]func(*harness){
		"leaving": func(b *harness) { b.step(Leaving{}) },
		"suspect": func(b *harness) { b.step(Probed{}); b.step(Probed{}) },
		"cancel":  func(b *harness) { b.callerLeft(entryA, id("ahead", 1)) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(1))
			b.trainCalls()
			for _, r := range []string{"runs", "ahead"} {
				b.reserve(entryA, id(r, 1), callWork(3))
				b.dispatchOffered(entryA, id(r, 1), callWork(3))
			}
			require.Equal(t, admitted, b.gate.records.get("ahead").current.state)
			b.actions = nil
			end(b)
			over := onlyOver(t, b.actions, entryA, neverStartedProof)
			require.Equal(t, "ahead", over.Attempt.Request)
			require.Empty(t, startedIDs(b.finish(id("runs", 1))))
			require.Empty(t, b.gate.held)
			noChartErrors(t, b)
		})
	}
}

func TestFirstTierStartsBeforeEarlyBodies(t *testing.T) {
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(1))
	b.trainCalls()
	for _, r := range []string{"runs", "ahead"} {
		b.reserve(entryA, id(r, 1), callWork(3))
		b.dispatchOffered(entryA, id(r, 1), callWork(3))
	}
	require.Equal(t, []string{"check.1"}, offeredIDs(b.reserve(entryB, id("check", 1), callWork(1))))
	b.dispatchOffered(entryB, id("check", 1), callWork(1))
	require.Equal(t, []string{"check.1"}, startedIDs(b.finish(id("runs", 1))))
	require.Equal(t, []string{"ahead.1"}, startedIDs(b.finish(id("check", 1))))
	noChartErrors(t, b)
}

func TestEarlyBodyThatMissesItsDeadlineIsRefused(t *testing.T) {
	// Guards against calls that end as unproven at the deadline under overload: an early body waits for the call
	// before it and must not start with less time left than it takes.
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(1))
	b.trainCalls()
	short := func() *wire.Work { w := callWork(3); w.RemainingMs = 50; return w }
	b.reserve(entryB, id("runs", 1), callWork(3))
	b.dispatchOffered(entryB, id("runs", 1), callWork(3))
	b.reserve(entryA, id("ahead", 1), short())
	b.dispatchOffered(entryA, id("ahead", 1), short())
	b.advanceClock(45 * time.Millisecond)
	b.actions = nil
	refusedWith(t, b.finish(id("runs", 1)), result.CannotFinishInTime)
	require.Empty(t, b.gate.held)
	noChartErrors(t, b)
}

func TestOfferLatencyCountsAgainstTheDeadline(t *testing.T) {
	// Guards against calls that end in time at the server and arrive late or unproven at the entry, because the
	// latency of the answer was not counted.
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(1))
	b.trainCalls()
	tight := callWork(3)
	tight.RemainingMs = uint32((callTime + bodyDelay/2).Milliseconds())
	refusedWith(t, b.reserve(entryA, id("tight", 1), tight), result.CannotFinishInTime)
	sufficient := callWork(3)
	sufficient.RemainingMs = uint32((callTime + 2*bodyDelay).Milliseconds())
	require.Equal(t, []string{"fair.1"}, offeredIDs(b.reserve(entryA, id("fair", 1), sufficient)))
}
