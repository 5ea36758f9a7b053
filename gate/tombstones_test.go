package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	neverStartedProof = wire.Proof_PROOF_NEVER_STARTED
	cancelledProof    = wire.Proof_PROOF_CANCELLED
	completedProof    = wire.Proof_PROOF_COMPLETED
	unprovenProof     = wire.Proof_PROOF_UNPROVEN
	retryCause        = wire.CancelCause_CANCEL_CAUSE_RETRY
	takeoverCause     = wire.CancelCause_CANCEL_CAUSE_TAKEOVER
)

func TestDispatchAfterItsOwnCancelIsRefused(t *testing.T) {
	// Guards against two engines that run one request. A cancel overtakes the long body of its dispatch, the entry
	// is told that nothing started and sends the request to another server, and then the body arrives.
	cases := map[string]struct {
		cancelled, arrives uint64
		refused            bool
	}{
		"the same number":  {3, 3, true},
		"a lower number":   {3, 1, true},
		"number 0":         {0, 0, true},
		"the next number":  {3, 4, false},
		"the first number": {0, 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newReadyHarness(t)
			onlyOver(t, b.cancelAttempt(entryA, id("r", c.cancelled), retryCause), entryA, neverStartedProof)
			b.advance(time.Minute)
			late := b.dispatch(entryA, id("r", c.arrives), work())
			if c.refused {
				refusedWith(t, late, result.RefusedNeverStarted)
				refusedWith(t, b.reserve(entryA, id("r", c.arrives), work()), result.RefusedNeverStarted)
			} else {
				require.Len(t, actionsOf[StartEngine](late), 1)
			}
			noChartErrors(t, b)
		})
	}
}

func TestEveryRefusalLeavesATombstone(t *testing.T) {
	// Guards against a request that runs although its caller was told that it did not. A reservation is refused
	// while the entry's direct dispatch of the same number is in transit; the entry takes the refusal as the answer
	// to the dispatch.
	b := newReadyHarness(t)
	b.advance(time.Second)
	refusedWith(t, b.reserve(entryA, id("r", 1), workOf(func(w *wire.Work) { w.Target = "other" })), result.NoServer)
	refusedWith(t, b.dispatch(entryA, id("r", 1), work()), result.NoServer)
	require.Len(t, actionsOf[StartEngine](b.dispatch(entryA, id("r", 2), work())), 1)
}

func TestTombstonesExpireAfterTheirLifetime(t *testing.T) {
	b := newReadyHarness(t)
	b.cancelAttempt(entryA, id("r", 1), retryCause)
	b.advance(DefaultTombstoneLifetime - time.Second)
	require.Equal(t, 1, b.gate.Status().Records)
	b.advance(2 * time.Second)
	require.Zero(t, b.gate.Status().Records)
}

func TestTombstoneOutlivesTheDeadline(t *testing.T) {
	// Guards against answering "never started" for an attempt that ran: an attempt with a long deadline ends early,
	// its Over is lost, and its owner asks after TombstoneLifetime but before the deadline.
	b := newReadyHarness(t)
	b.start(entryA, id("r", 1), workOf(func(w *wire.Work) { w.RemainingMs = uint32(10 * time.Minute / time.Millisecond) }))
	b.finish(id("r", 1))
	b.advance(10 * time.Minute)
	onlyOver(t, b.cancelAttempt(entryA, id("r", 1), retryCause), entryA, completedProof)
}

func TestFullRecordTableRefusesNewWorkAndKeepsTombstones(t *testing.T) {
	// Guards against a late dispatch that runs after all: more requests are cancelled than the table holds, and the
	// oldest tombstone must not be replaced by the newest.
	const most = 4
	b := newReadyHarnessWith(t, Config{NoPredecessor: true, MaxRecords: most}, sampleRecord(sampleSlots))
	for i := range most + 1 {
		onlyOver(t, b.cancelAttempt(entryA, id(fmt.Sprint("r", i), 1), retryCause), entryA, neverStartedProof)
	}
	refusedWith(t, b.dispatch(entryA, id("new", 1), work()), result.QueueFull)
	for i := range most {
		refusedWith(t, b.dispatch(entryA, id(fmt.Sprint("r", i), 1), work()), result.RefusedNeverStarted)
	}
	// Without space for another tombstone nothing is promised.
	b.cancelAttempt(entryA, id("more-1", 1), retryCause)
	b.cancelAttempt(entryA, id("more-2", 1), retryCause)
	onlyOver(t, b.cancelAttempt(entryA, id("beyond", 1), retryCause), entryA, unprovenProof)
	onlyOver(t, b.dispatch(entryA, id("beyond", 1), work()), entryA, unprovenProof)
	require.Empty(t, actionsOf[StartEngine](b.actions))
	require.Equal(t, 2*most, b.gate.Status().Records)
}

func TestMessagesOfAnEndedEntryAreAlwaysRefused(t *testing.T) {
	// Guards against an operation that runs twice. Control ends an entry incarnation, another entry takes the
	// operation over, and hours later the old entry's dispatch arrives from a buffer, when the tombstones have
	// expired.
	b := newReadyHarness(t)
	b.step(EntryEnded{Entry: EntryID{Name: entryA.Name, Incarnation: 5}})
	b.step(EntryDisconnected{Entry: entryA})
	b.advance(DefaultTombstoneLifetime + entryRetention)
	b.step(EntryConnected{Entry: entryA})
	refusedWith(t, b.dispatch(entryA, id("r", 1), work()), result.LeaseExpired)
	refusedWith(t, b.reserve(entryA, id("s", 1), work()), result.LeaseExpired)
	onlyOver(t, b.cancelAttempt(entryA, id("q", 1), retryCause), entryA, unprovenProof)
	next := EntryID{Name: entryA.Name, Incarnation: 6}
	b.step(EntryConnected{Entry: next})
	require.Len(t, actionsOf[StartEngine](b.dispatch(next, id("n", 1), work())), 1)
}

func TestTakeoverAnswerCoversAllAttempts(t *testing.T) {
	// Guards against running the work again after a takeover. Attempt 1 runs, attempt 2 is refused with "never
	// started"; the new owner asks about all attempts up to 2, so the answer for attempt 2 alone would be wrong.
	b := newReadyHarness(t)
	b.start(entryA, id("r", 1), work())
	b.finish(id("r", 1))
	b.fillSlots()
	refusedWith(t, b.dispatch(entryA, id("r", 2), work()), result.RefusedNeverStarted)
	onlyOver(t, b.cancelAttempt(entryB, id("r", 2), takeoverCause), entryB, completedProof)
	onlyOver(t, b.cancelAttempt(entryB, id("r", 65535), takeoverCause), entryB, completedProof)
	onlyOver(t, b.cancelAttempt(entryA, id("r", 2), retryCause), entryA, neverStartedProof)
}

func TestTakeoverWaitsForARunningAttempt(t *testing.T) {
	b := newReadyHarness(t)
	b.start(entryA, id("r", 1), work())
	asked := b.cancelAttempt(entryB, id("r", 65535), takeoverCause)
	require.Empty(t, oversTo(asked, entryB))
	require.Len(t, actionsOf[CancelEngine](asked), 1)
	proved := b.answerCancel(id("r", 1), engine.CancelConfirmed)
	over := onlyOver(t, proved, entryB, cancelledProof)
	require.EqualValues(t, 65535, over.Attempt.Number)
	require.EqualValues(t, 1, onlyOver(t, proved, entryA, cancelledProof).Attempt.Number)
	refusedWith(t, b.dispatch(entryA, id("r", 2), work()), result.RefusedNeverStarted)
}

func TestExpiredKeyedRequestIsNotAnsweredNeverStarted(t *testing.T) {
	// Guards against an operation that runs a second time hours after the first: a keyed attempt ends, its record
	// expires, its entry dies, and the new owner asks about it.
	b := newReadyHarness(t)
	b.dispatchOf(entryA, &wire.Dispatch{Attempt: id("r", 1), Work: work(), IdempotencyKey: "key"})
	b.finish(id("r", 1))
	b.advance(DefaultTombstoneLifetime + 2*time.Minute)
	require.Zero(t, b.gate.Status().Records)
	onlyOver(t, b.cancelAttempt(entryB, id("r", 65535), takeoverCause), entryB, cancelledProof)
	onlyOver(t, b.cancelAttempt(entryB, id("other", 1), takeoverCause), entryB, neverStartedProof)
}

func TestAnswerOfANewIncarnationIsStable(t *testing.T) {
	// Guards against contradicting answers for one attempt, first "over" and then "never started", if the entry
	// asks just before and just after the incarnation is old enough to be certain.
	b := newReadyHarnessWith(t, Config{}, sampleRecord(1))
	b.now = b.now.Add(DefaultRequestLifetime - time.Second)
	b.step(Announced{Server: sampleRecord(1)})
	b.receive(entryA, heartbeat())
	onlyOver(t, b.cancelAttempt(entryA, id("r", 1), retryCause), entryA, cancelledProof)
	b.advance(2 * time.Second)
	onlyOver(t, b.cancelAttempt(entryA, id("r", 1), retryCause), entryA, cancelledProof)
}

func TestFullHistoryAnswersThatARequestMayHaveRun(t *testing.T) {
	now := time.Unix(0, 0)
	m := newRequestHistory(2, time.Hour)
	m.start(now)
	for i := range 5 {
		m.add(fmt.Sprint(i), now)
	}
	require.True(t, m.mayContain("0", now))
	require.True(t, m.mayContain("never", now))
	later := now.Add(time.Hour)
	m.rotateIfDue(later)
	require.False(t, m.mayContain("never", later))
	require.True(t, m.mayContain("4", later))
}

func TestAttemptOfAnEarlierIncarnationIsNotAnsweredNeverStarted(t *testing.T) {
	// Guards against an operation that runs twice. The agent dies while it runs an attempt and restarts without
	// records; the entry, or the next owner, asks the new incarnation about that attempt.
	cases := map[string]struct {
		cause         wire.CancelCause
		age           time.Duration
		noPredecessor bool
		proof         wire.Proof
	}{
		"young":                 {retryCause, 0, false, cancelledProof},
		"no predecessor":        {retryCause, 0, true, neverStartedProof},
		"old":                   {retryCause, DefaultRequestLifetime, false, neverStartedProof},
		"old, takeover":         {takeoverCause, DefaultRequestLifetime, false, cancelledProof},
		"older than operations": {takeoverCause, DefaultOperationLifetime, false, neverStartedProof},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newReadyHarnessWith(t, Config{NoPredecessor: c.noPredecessor}, sampleRecord(1))
			b.now = b.now.Add(c.age)
			b.receive(entryA, heartbeat())
			onlyOver(t, b.cancelAttempt(entryA, id("r", 1), c.cause), entryA, c.proof)
			onlyOver(t, b.cancelAttempt(entryA, id("r", 1), c.cause), entryA, c.proof)
			refusedWith(t, b.dispatch(entryA, id("r", 1), work()), result.RefusedNeverStarted)
		})
	}
}

func TestTombstonesHoldNoBodies(t *testing.T) {
	// Guards against an agent that runs out of memory under long prompts: records outlive their attempts by minutes
	// and must not retain the bodies.
	b := newReadyHarness(t)
	b.dispatchOf(entryA, &wire.Dispatch{Attempt: id("r", 1), Work: work(), Body: []byte("prompt")})
	b.progress(id("r", 1), "answer")
	b.finish(id("r", 1))
	last := b.gate.records.get("r").lastRun
	require.Empty(t, last.dispatch.Body)
	b.advance(DefaultOverRetention + time.Second)
	require.Empty(t, last.frames.kept)
	require.Empty(t, b.gate.retained)
}
