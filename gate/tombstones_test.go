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
	// Symptom: two engines run one request.
	// Sequence: an entry dispatches with a long body and cancels; the cancel overtakes the body; the entry hears that
	// nothing started and sends the request elsewhere; then the body arrives.
	// Cause: nothing was remembered of a cancel for an attempt never heard of.
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
	// Symptom: a caller is told "not run" and the request runs.
	// Sequence: a reservation is refused for want of time; the entry's direct dispatch of the same number crosses the
	// refusal, which the entry then takes for the dispatch's answer.
	// Cause: only cancels left tombstones.
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
	// Symptom: an owner that asks until its deadline hears "never started" of an attempt that ran.
	// Sequence: an attempt with a long deadline ends early; its Over is lost; the owner asks after TombstoneLife.
	// Cause: the record's time was counted from the end alone.
	b := newReadyHarness(t)
	b.start(entryA, id("r", 1), workOf(func(w *wire.Work) { w.RemainingMs = uint32(10 * time.Minute / time.Millisecond) }))
	b.finish(id("r", 1))
	b.advance(10 * time.Minute)
	onlyOver(t, b.cancelAttempt(entryA, id("r", 1), retryCause), entryA, completedProof)
}

func TestFullRecordTableRefusesNewWorkAndKeepsTombstones(t *testing.T) {
	// Symptom: under a storm of cancels a late dispatch runs after all.
	// Sequence: more requests are cancelled than the table holds; the first one's dispatch arrives.
	// Cause: the oldest tombstone made room for the newest.
	const most = 4
	b := newReadyHarnessWith(t, Config{NoPredecessor: true, MaxRecords: most}, sampleRecord(sampleSlots))
	for i := range most + 1 {
		onlyOver(t, b.cancelAttempt(entryA, id(fmt.Sprint("r", i), 1), retryCause), entryA, neverStartedProof)
	}
	refusedWith(t, b.dispatch(entryA, id("new", 1), work()), result.QueueFull)
	for i := range most {
		refusedWith(t, b.dispatch(entryA, id(fmt.Sprint("r", i), 1), work()), result.RefusedNeverStarted)
	}
	// Without a place for one more tombstone nothing is promised.
	b.cancelAttempt(entryA, id("more-1", 1), retryCause)
	b.cancelAttempt(entryA, id("more-2", 1), retryCause)
	onlyOver(t, b.cancelAttempt(entryA, id("beyond", 1), retryCause), entryA, unprovenProof)
	onlyOver(t, b.dispatch(entryA, id("beyond", 1), work()), entryA, unprovenProof)
	require.Empty(t, actionsOf[StartEngine](b.actions))
	require.Equal(t, 2*most, b.gate.Status().Records)
}

func TestMessagesOfAnEndedEntryAreAlwaysRefused(t *testing.T) {
	// Symptom: a pass is issued twice.
	// Sequence: control ends an entry incarnation and another entry takes the operation over; hours later the old
	// entry's dispatch comes out of a buffer.
	// Cause: ended incarnations were forgotten with their tombstones.
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
	// Symptom: a slot is confirmed to two vendors.
	// Sequence: attempt 1 runs; attempt 2 is refused with "never started"; the owner dies; the new owner asks about
	// all attempts up to 2, hears "never started" and runs the work again.
	// Cause: the answer for the last attempt was taken for all of them.
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
	// Symptom: a pass is issued a second time hours after the first.
	// Sequence: a keyed attempt ends; its record expires; its entry dies; the new owner asks.
	// Cause: "never heard of" was taken for "never started".
	b := newReadyHarness(t)
	b.dispatchOf(entryA, &wire.Dispatch{Attempt: id("r", 1), Work: work(), IdempotencyKey: "key"})
	b.finish(id("r", 1))
	b.advance(DefaultTombstoneLifetime + 2*time.Minute)
	require.Zero(t, b.gate.Status().Records)
	onlyOver(t, b.cancelAttempt(entryB, id("r", 65535), takeoverCause), entryB, cancelledProof)
	onlyOver(t, b.cancelAttempt(entryB, id("other", 1), takeoverCause), entryB, neverStartedProof)
}

func TestAnswerOfANewIncarnationIsStable(t *testing.T) {
	// Symptom: an entry hears "over", and a moment later "never started", of one attempt.
	// Sequence: it asks twice, just before and just after the incarnation is old enough to be sure.
	// Cause: the second answer looked at the age alone, though the record was made when nothing was sure.
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
	// Symptom: a pass is issued twice.
	// Sequence: the agent dies while it runs an attempt and restarts with no memory; the entry, or the next owner,
	// asks the new incarnation about that attempt.
	// Cause: an empty table was taken for the knowledge that nothing ran.
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
	// Symptom: an agent runs out of memory under long prompts.
	// Sequence: attempts end; their records stay for minutes.
	// Cause: a record held its attempt, and that the prompt.
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
