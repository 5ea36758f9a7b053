package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// requireRunsOn requires that the run of a failed suspension goes on to its end and is left alone for a while.
func (b *harness) requireRunsOn(s SuspendEngine, pause time.Duration) {
	b.t.Helper()
	b.actions = nil
	b.runFor(pause - testTokenTime)
	for _, again := range actionsOf[SuspendEngine](b.actions) {
		require.False(b.t, sameAttempt(again.Attempt, s.Attempt), "asked again too soon")
	}
	over := onlyOver(b.t, b.finish(s.Attempt), entryA, wire.Proof_PROOF_COMPLETED)
	require.NotNil(b.t, over.Answer)
	noChartErrors(b.t, b)
}

// Guards against a run that is lost, or asked to stop again and again, because the engine did not suspend it.
func TestRunGoesOnIfItsSuspensionIsRefused(t *testing.T) {
	pauses := map[error]time.Duration{
		engine.ErrNoRoom: noRoomPause, engine.ErrUnknownStream: refusedRunPause, engine.ErrBusy: refusedRunPause,
		engine.ErrUnsupported: refusedRunPause, engine.ErrNeverSent: refusedRunPause,
	}
	for class, pause := range pauses {
		t.Run(class.Error(), func(t *testing.T) {
			b := newSuspendingHarness(t, 2)
			s := b.suspendOne()
			b.answerSuspend(s, callErr(class, nil))
			require.Empty(t, b.gate.suspended)
			b.requireRunsOn(s, pause)
		})
	}
}

// Guards against a run that ended while the gate asked to suspend it and stays in the gate for ever.
func TestRunMayEndWhileItIsSuspended(t *testing.T) {
	b := newSuspendingHarness(t, 2)
	s := b.suspendOne()
	onlyOver(t, b.finish(s.Attempt), entryA, wire.Proof_PROOF_COMPLETED)
	b.answerSuspend(s, callErr(engine.ErrUnknownStream, nil))
	require.Equal(t, 1, b.gate.inFlight())
	noChartErrors(t, b)
}

// Guards against a lost run after a lost answer: the gate asks again, a bounded number of times, and a later answer or
// the end of the call tells that the run was stopped.
func TestLostAnswerIsAskedForAgain(t *testing.T) {
	unknown := callErr(engine.ErrOutcomeUnknown, nil)
	t.Run("the next try is answered", func(t *testing.T) {
		b := newSuspendingHarness(t, 2)
		first := b.suspendOne()
		b.answerSuspend(first, unknown)
		b.runFor(2 * suspendRetryDelay)
		again := actionsOf[SuspendEngine](b.actions)[1]
		require.Equal(t, first.Try+1, again.Try)
		b.answerSuspend(again, nil)
		b.endSuspended(again)
		require.Len(t, b.gate.suspended, 1)
		require.Equal(t, 1, b.gate.suspended[0].suspension.count)
		noChartErrors(t, b)
	})
	t.Run("the call ends", func(t *testing.T) {
		b := newSuspendingHarness(t, 2)
		s := b.suspendOne()
		b.answerSuspend(s, unknown)
		b.endSuspended(s)
		require.Len(t, b.gate.suspended, 1)
		b.runFor(time.Second)
		require.Len(t, actionsOf[SuspendEngine](b.actions), 1, "the outcome is known")
		noChartErrors(t, b)
	})
	t.Run("the call ends before the answer", func(t *testing.T) {
		b := newSuspendingHarness(t, 2)
		s := b.suspendOne()
		b.endSuspended(s)
		b.answerSuspend(s, unknown)
		require.Len(t, b.gate.suspended, 1)
		noChartErrors(t, b)
	})
	t.Run("no answer tells", func(t *testing.T) {
		b := newSuspendingHarness(t, 2)
		first := b.suspendOne()
		b.answerSuspend(first, unknown)
		for try := range uint32(maxSuspendTries - 1) {
			b.runFor(2 * suspendRetryDelay)
			again := first
			again.Try += try + 1
			b.answerSuspend(again, unknown)
		}
		tries := 0
		for _, asked := range actionsOf[SuspendEngine](b.actions) {
			if sameAttempt(asked.Attempt, first.Attempt) {
				tries++
			}
		}
		require.Equal(t, maxSuspendTries, tries)
		b.requireRunsOn(first, refusedRunPause)
	})
	t.Run("the run was stopped and no answer tells", func(t *testing.T) {
		b := newSuspendingHarness(t, 2)
		s := b.suspendOne()
		b.answerSuspend(s, unknown)
		b.loseConnection(s.Attempt)
		b.runFor(2 * suspendRetryDelay)
		asked := actionsOf[SuspendEngine](b.actions)
		b.actions = nil
		over := onlyOver(t, b.answerSuspend(asked[1], callErr(engine.ErrUnknownStream, nil)), entryA, wire.Proof_PROOF_CANCELLED)
		require.True(t, over.Began)
		require.Equal(t, result.EngineLost, result.Code(over.Code))
		require.Equal(t, 1, b.gate.inFlight())
		noChartErrors(t, b)
	})
	t.Run("the connection breaks and nothing is answered", func(t *testing.T) {
		b := newSuspendingHarness(t, 2)
		s := b.suspendOne()
		b.actions = nil
		b.loseConnection(s.Attempt)
		require.Empty(t, oversTo(b.actions, entryA))
		b.runFor(suspendAnswerTimeout + 100*time.Millisecond)
		onlyOver(t, b.actions, entryA, unprovenProof)
		require.NotEmpty(t, actionsOf[CancelEngine](b.actions), "as after any broken connection")
		noChartErrors(t, b)
	})
}

// Guards against a request that waits for its deadline, or is reported as never started, after the engine has dropped
// the memory of its suspended run.
func TestLostHandleEndsTheAttempt(t *testing.T) {
	b := newSuspendingHarness(t, 2)
	s := b.suspendConfirmed()
	b.dispatchOffered(entryB, id("urgent", 1), urgentWork())
	b.finish(id("urgent", 1))
	require.Len(t, resumes(b.actions), 1)
	b.actions = nil
	lost := callErr(engine.ErrNeverSent, callErr(engine.ErrUnknownStream, nil))
	over := onlyOver(t, b.endRun(s.Attempt, engine.Outcome{}, lost), entryA, wire.Proof_PROOF_CANCELLED)
	require.True(t, over.Began)
	require.Equal(t, result.EngineLost, result.Code(over.Code))
	require.Empty(t, actionsOf[DiscardSuspended](b.actions))
	require.Empty(t, b.gate.suspended)
	require.Equal(t, 1, b.gate.inFlight())
	noChartErrors(t, b)
}

// Guards against a suspended run that stays in the gate after its server has ended, and against one that is lost
// because a single connection could not be opened.
func TestSuspendedRunAtAnEndedServer(t *testing.T) {
	t.Run("gone", func(t *testing.T) {
		b := newSuspendingHarness(t, 2)
		b.suspendConfirmed()
		unreachable := callErr(engine.ErrNeverSent, engine.ErrUnreachable)
		b.actions = nil
		for range 3 * maxResumeTries {
			for _, r := range resumes(b.actions) {
				b.actions = nil
				b.endRun(r.Dispatch.Attempt, engine.Outcome{}, unreachable)
			}
			if len(b.gate.suspended) == 0 {
				break
			}
			b.now = b.now.Add(time.Second)
			b.receive(entryA, heartbeat())
			b.receive(entryB, heartbeat())
			b.step(Probed{OK: false})
			b.step(Tick{})
		}
		require.Empty(t, b.gate.suspended)
		over := oversTo(b.actions, entryA)
		require.Len(t, over, 1)
		require.Equal(t, wire.Proof_PROOF_CANCELLED, over[0].Proof)
		require.True(t, over[0].Began)
		noChartErrors(t, b)
	})
	t.Run("reachable again", func(t *testing.T) {
		b := newSuspendingHarness(t, 2)
		s := b.suspendConfirmed()
		b.dispatchOffered(entryB, id("urgent", 1), urgentWork())
		b.finish(id("urgent", 1))
		b.actions = nil
		b.endRun(s.Attempt, engine.Outcome{}, callErr(engine.ErrNeverSent, nil))
		require.Len(t, b.gate.suspended, 1)
		b.runFor(2 * suspendRetryDelay)
		again := resumes(b.actions)
		require.Len(t, again, 1)
		require.Equal(t, suspensionOf(s), *again[0].Resume)
		noChartErrors(t, b)
	})
}

// Guards against memory that a server keeps for a caller who has left, and against a caller's next request that waits
// for the proof of one that the engine has stopped.
func TestSuspendedRunEndsWithItsCaller(t *testing.T) {
	cases := map[string]func(*harness, SuspendEngine) []Action{
		"caller leaves": func(b *harness, s SuspendEngine) []Action { return b.callerLeft(entryA, s.Attempt) },
		"entry ends":    func(b *harness, _ SuspendEngine) []Action { return b.step(EntryEnded{Entry: entryA}) },
		"lease expires": func(b *harness, _ SuspendEngine) []Action {
			before := len(b.actions)
			b.advanceWith(DefaultLeaseDuration+sweepInterval, func() {
				b.receive(entryB, heartbeat())
				b.step(Announced{Server: b.gate.server.record})
			})
			return b.actions[before:]
		},
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			b := newSuspendingHarness(t, 2)
			s := b.suspendConfirmed()
			// A run that goes on for long keeps the suspended one from resuming meanwhile.
			b.gate.suspended[0].suspension.notBefore = b.now.Add(time.Hour)
			actions := end(b, s)
			discarded := actionsOf[DiscardSuspended](actions)
			require.Len(t, discarded, 1)
			require.Equal(t, suspensionOf(s), discarded[0].Suspension)
			var proofs []*wire.Over
			for _, over := range oversTo(actions, entryA) {
				if sameAttempt(over.Attempt, s.Attempt) {
					proofs = append(proofs, over)
				}
			}
			require.Len(t, proofs, 1)
			require.Equal(t, wire.Proof_PROOF_CANCELLED, proofs[0].Proof)
			require.True(t, proofs[0].Began)
			require.Empty(t, b.gate.suspended)
			noChartErrors(t, b)
		})
	}
}

// Guards against a run whose caller left while it was being stopped: the engine keeps its memory until it expires, and
// the proof waits for the engine's answer to the cancel.
func TestCancelDuringASuspension(t *testing.T) {
	b := newSuspendingHarness(t, 2)
	s := b.suspendOne()
	b.actions = nil
	b.callerLeft(entryA, s.Attempt)
	require.Len(t, actionsOf[CancelEngine](b.actions), 1)
	b.endSuspended(s)
	onlyOver(t, b.actions, entryA, wire.Proof_PROOF_CANCELLED)
	require.Len(t, actionsOf[DiscardSuspended](b.actions), 1)
	b.answerSuspend(s, nil)
	b.answerCancel(s.Attempt, engine.CancelUnknownID)
	require.Len(t, actionsOf[DiscardSuspended](b.actions), 1)
	require.Equal(t, 1, b.gate.inFlight())
	noChartErrors(t, b)
}

// Guards against events that an entry misses after its link was interrupted while its run was suspended.
func TestEntryGetsEventsOfASuspendedRunAgain(t *testing.T) {
	b := newSuspendingHarness(t, 2)
	s := b.suspendConfirmed()
	b.step(EntryDisconnected{Entry: entryA})
	frames := 0
	for _, m := range actionsOf[Send](b.step(EntryConnected{Entry: entryA})) {
		if f := m.Message.GetFrame(); f != nil && sameAttempt(f.Attempt, s.Attempt) {
			frames++
		}
	}
	require.Equal(t, 1, frames)
}

// Guards against a copy at a target that ended: it is only needed while the run is being stopped.
func TestSuspensionDoesNotDependOnItsTargets(t *testing.T) {
	b := newSuspendingHarness(t, 2)
	s := b.suspendConfirmed()
	b.dispatchOffered(entryB, id("urgent", 1), urgentWork())
	b.runFor(suspendTargetsMaxAge + TickInterval)
	require.False(t, b.gate.suspends(), "old addresses are not used")
	resumed := resumes(b.actions)
	require.NotEmpty(t, resumed)
	require.Equal(t, suspensionOf(s), *resumed[0].Resume)
	b.finish(s.Attempt)
	noChartErrors(t, b)
}

// Guards against runs that are stopped for ever, and against new suspensions, at a server whose state is in doubt.
func TestSuspendedRunsResumeAtASuspectServer(t *testing.T) {
	b := newSuspendingHarness(t, 2)
	s := b.suspendConfirmed()
	b.dispatchOffered(entryB, id("urgent", 1), urgentWork())
	b.actions = nil
	for range DefaultProbeFailures {
		b.step(Probed{OK: false})
	}
	resumed := resumes(b.actions)
	require.Len(t, resumed, 1)
	require.Equal(t, ResumeLeaving, resumed[0].Reason)
	b.progress(s.Attempt, "x")
	b.reserve(entryB, id("urgent-2", 1), urgentWork())
	b.actions = nil
	b.runFor(600 * time.Millisecond)
	require.Empty(t, actionsOf[SuspendEngine](b.actions))
	noChartErrors(t, b)
}

// Guards against a new incarnation of the agent that admits work beside runs of its predecessor: a suspended run isn't
// known any more, and its memory is freed or expires.
func TestNextIncarnationOfTheAgentClearsStoppedRuns(t *testing.T) {
	b := newHarness(t, suspendingConfig())
	b.step(Announced{Server: suspendingRecord(2)})
	actions := b.step(EngineListed{Streams: []engine.StreamInfo{{ID: "long-0.1", State: engine.StreamImported}}})
	require.Len(t, actionsOf[CancelEngine](actions), 1)
	require.False(t, b.gate.cleared())
	b.answerCancel(long(0), engine.CancelUnknownID)
	b.step(EngineListed{})
	require.True(t, b.gate.cleared())
	require.Empty(t, b.gate.suspended)
}

// Guards against urgent requests that miss their objective because one suspension isn't answered.
func TestUnansweredSuspensionDoesNotKeepOthersFromBeingSuspended(t *testing.T) {
	b := newSuspendingHarness(t, 2)
	first := b.suspendOne()
	b.runFor(suspensionDelay + 2*suspensionInterval)
	asked := actionsOf[SuspendEngine](b.actions)
	require.Len(t, asked, 2)
	require.False(t, sameAttempt(first.Attempt, asked[1].Attempt))
	require.Contains(t, offeredIDs(b.answerSuspend(asked[1], nil)), "urgent.1")
	b.endSuspended(asked[1])
	b.answerSuspend(first, callErr(engine.ErrNoRoom, nil))
	noChartErrors(t, b)
}

// Guards against an answer to an earlier suspension that stops a resumed run a second time in the gate's accounts, and
// against a run that a late call has stopped and that nobody resumes.
func TestAnswersOfAnEarlierSuspension(t *testing.T) {
	b := newSuspendingHarness(t, 2)
	s := b.suspendOne()
	b.endSuspended(s)
	b.dispatchOffered(entryB, id("urgent", 1), urgentWork())
	b.finish(id("urgent", 1))
	require.Len(t, resumes(b.actions), 1)
	b.progress(s.Attempt, "x")
	b.answerSuspend(s, nil)
	require.Empty(t, b.gate.suspended)
	require.Len(t, b.gate.runs, 2)
	b.actions = nil
	b.endRun(s.Attempt, engine.Outcome{End: engine.EndSuspended, Suspension: engine.Suspension{Handle: "late"}}, nil)
	again := resumes(b.actions)
	require.Len(t, again, 1, "a slot is free")
	require.Equal(t, "late", again[0].Resume.Handle)
	noChartErrors(t, b)
}
