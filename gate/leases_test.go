package gate

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// advanceWithoutEntryA advances the clock without heartbeats of entry A.
func (b *harness) advanceWithoutEntryA(d time.Duration) {
	b.advanceWith(d, func() {
		b.receive(entryB, heartbeat())
		b.step(Announced{Server: b.gate.server.record})
	})
}

// keyedCall returns a call that may not be repeated and whose outcome is reported to control.
func keyedCall(attempt *wire.AttemptID) *wire.Dispatch {
	w := workOf(func(w *wire.Work) { w.Repeatable, w.Preemptible, w.Service = false, false, true })
	return &wire.Dispatch{
		Attempt: attempt, Work: w, IdempotencyKey: "key", Operation: "operation", ReportToControl: true,
	}
}

func TestExpiryOfALease(t *testing.T) {
	// Guards against an engine that works for an entry that died or was ended by control: nobody receives the
	// answer, and a caller that retries through another entry finds its own request still running.
	expiries := map[string]func(*harness){
		"silent": func(b *harness) { b.advanceWithoutEntryA(DefaultLeaseDuration + time.Second) },
		"ended":  func(b *harness) { b.step(EntryEnded{Entry: entryA}) },
	}
	for name, expire := range expiries {
		t.Run(name, func(t *testing.T) {
			b := newReadyHarness(t)
			b.start(entryA, id("run", 1), work())
			b.start(entryB, id("other", 1), work())
			b.reserve(entryA, id("wait", 1), work())
			b.reserve(entryB, id("other-wait", 1), work())
			b.actions = nil
			expire(b)
			cancels := actionsOf[CancelEngine](b.actions)
			require.NotEmpty(t, cancels)
			require.Equal(t, "run", cancels[0].Attempt.Request)
			over := onlyOver(t, b.actions, entryA, neverStartedProof)
			require.Equal(t, "wait", over.Attempt.Request)
			require.EqualValues(t, result.LeaseExpired, over.Code)
			proved := b.answerCancel(id("run", 1), engine.CancelConfirmed)
			require.EqualValues(t, result.LeaseExpired, onlyOver(t, proved, entryA, cancelledProof).Code)
			require.Equal(t, []string{"other-wait.1"}, offeredIDs(proved))
			noChartErrors(t, b)
		})
	}
}

func TestHeartbeatsRenewLeases(t *testing.T) {
	b := newReadyHarness(t)
	b.start(entryA, id("run", 1), work())
	b.advance(5 * DefaultLeaseDuration)
	require.Empty(t, actionsOf[CancelEngine](b.actions))
}

func TestLostLinkKeepsTheLease(t *testing.T) {
	b := newReadyHarness(t)
	b.start(entryA, id("run", 1), work())
	b.step(EntryDisconnected{Entry: entryA})
	b.advanceWithoutEntryA(DefaultLeaseDuration - time.Second)
	require.Empty(t, actionsOf[CancelEngine](b.actions))
}

func TestNonRepeatableCallFinishesAndIsReported(t *testing.T) {
	// Guards against an operation that is charged twice or whose outcome is lost. An entry dies during a call that
	// may not be repeated; the call must neither be cancelled nor report its outcome to the dead entry only.
	b := newReadyHarness(t)
	b.dispatchOf(entryA, keyedCall(id("r", 3<<epochShift+1)))
	b.advanceWithoutEntryA(DefaultLeaseDuration + time.Second)
	require.Empty(t, actionsOf[CancelEngine](b.actions))
	b.progress(id("r", 3<<epochShift+1), `{"pass":`, `1}`)
	reports := actionsOf[ReportOutcome](b.finish(id("r", 3<<epochShift+1)))
	require.Len(t, reports, 1)
	c := reports[0].Complete
	require.Equal(t, "org", c.Organisation)
	require.Equal(t, "key", c.Key)
	require.Equal(t, "r", c.Request)
	require.EqualValues(t, 3, c.Epoch)
	require.Equal(t, `{"pass":1}`, string(c.Answer.Body))
	require.EqualValues(t, 200, c.Answer.Status)
}

func TestOutcomeBeforeTheLeaseEndIsReported(t *testing.T) {
	// Guards against an operation record that stays without an outcome: a call ends, and its entry dies after the
	// agent has told it and before it commits the outcome. Outcomes from before the lease's end have to be reported
	// too.
	b := newReadyHarness(t)
	b.dispatchOf(entryA, keyedCall(id("r", 1)))
	b.progress(id("r", 1), "done")
	require.Empty(t, actionsOf[ReportOutcome](b.finish(id("r", 1))))
	b.advanceWithoutEntryA(DefaultLeaseDuration + time.Second)
	require.Len(t, actionsOf[ReportOutcome](b.actions), 1)
}

func TestReportedOutcomes(t *testing.T) {
	cases := map[string]struct {
		end     func(*harness) []Action
		reports int
		check   func(*testing.T, *wire.Answer)
	}{
		"too large": {
			end: func(b *harness) []Action {
				b.progress(id("r", 1), strings.Repeat("x", DefaultMaxAnswerBytes), "x")
				return b.finish(id("r", 1))
			},
			reports: 1,
			check: func(t *testing.T, a *wire.Answer) {
				require.True(t, a.Dropped)
				require.Empty(t, a.Body)
			},
		},
		"failed": {
			end: func(b *harness) []Action {
				return b.endRun(id("r", 1), engine.Outcome{End: engine.EndFailed}, nil)
			},
			reports: 1,
			check:   func(t *testing.T, a *wire.Answer) { require.EqualValues(t, result.EngineFailed, a.Code) },
		},
		"lost":       {end: func(b *harness) []Action { return b.loseConnection(id("r", 1)) }},
		"never sent": {end: func(b *harness) []Action { return b.endRun(id("r", 1), engine.Outcome{}, engine.ErrNeverSent) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newReadyHarness(t)
			b.dispatchOf(entryA, keyedCall(id("r", 1)))
			b.step(EntryEnded{Entry: entryA})
			reports := actionsOf[ReportOutcome](c.end(b))
			require.Len(t, reports, c.reports)
			if c.check != nil {
				c.check(t, reports[0].Complete.Answer)
			}
		})
	}
}

func TestCancelledCallHasNoOutcomeToReport(t *testing.T) {
	// Guards against an operation recorded as failed, or with an empty answer, although its effect is unknown: a
	// keyed call is cancelled with the engine's confirmation and its entry dies.
	b := newReadyHarness(t)
	b.dispatchOf(entryA, keyedCall(id("r", 1)))
	b.callerLeft(entryA, id("r", 1))
	onlyOver(t, b.answerCancel(id("r", 1), engine.CancelConfirmed), entryA, cancelledProof)
	require.Empty(t, actionsOf[ReportOutcome](b.step(EntryEnded{Entry: entryA})))
}

func TestMessagesDroppedByALostLinkAreResent(t *testing.T) {
	// Guards against cutting a stream that is nearly complete because its link was lost for less than a lease: the
	// dropped events, offers and ends have to be sent again.
	b := newReadyHarness(t)
	b.start(entryA, id("run", 1), work())
	b.progress(id("run", 1), "a", "b")
	b.start(entryA, id("done", 1), work())
	b.step(EntryDisconnected{Entry: entryA})
	b.progress(id("run", 1), "c")
	b.finish(id("done", 1))
	b.reserve(entryA, id("wait", 1), work())
	up := b.step(EntryConnected{Entry: entryA})
	require.Equal(t, []string{"wait.1"}, offeredIDs(up))
	require.Equal(t, "done", onlyOver(t, up, entryA, completedProof).Attempt.Request)
	frames := framesOf(up, "run")
	require.Len(t, frames, 1)
	require.Zero(t, frames[0].Offset)
	require.Equal(t, [][]byte{[]byte("a"), []byte("b"), []byte("c")}, frames[0].Events)
}

func TestExpiredEntriesAreRemoved(t *testing.T) {
	b := newReadyHarness(t)
	for i := range 10 {
		b.receive(EntryID{Name: fmt.Sprint("old-", i), Incarnation: 1}, heartbeat())
	}
	b.step(EntryDisconnected{Entry: entryA})
	b.advance(entryRetention + 2*DefaultLeaseDuration)
	require.Len(t, b.gate.entries.order, 2)
}
