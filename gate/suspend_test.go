package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Figures of the tests of suspension: callers that leave after two seconds of silence, and a server that keeps a
// stopped run for five.
const (
	testAbandonMs   = 2000
	testSuspendedMs = 5000
	testTokenTime   = 4 * time.Millisecond
	testLongTokens  = 1000
)

func suspendingRecord(slots uint32) *wire.ServerRecord {
	r := sampleRecord(slots)
	r.Suspends, r.SuspendedMs = true, testSuspendedMs
	return r
}

func suspendingConfig() Config {
	return Config{NoPredecessor: true, Suspension: SuspensionConfig{Enabled: true}}
}

// longWork is third-class work whose run takes four seconds, urgentWork first-class work with an objective of 500 ms.
func longWork() *wire.Work {
	return workOf(func(w *wire.Work) {
		w.Class, w.Precedence, w.PromptTokens, w.OutputTokens = "third", 4, 500, testLongTokens
		w.AbandonMs, w.PauseMs, w.ObjectiveMs = testAbandonMs, 400, 400
		w.SuspendTargets = []string{"10.0.0.2:80"}
	})
}

func urgentWork() *wire.Work {
	return workOf(func(w *wire.Work) {
		w.Class, w.Precedence, w.PromptTokens, w.OutputTokens = "first", 2, 100, 50
		w.AbandonMs, w.PauseMs, w.ObjectiveMs, w.RemainingMs = testAbandonMs, 400, 500, 5000
		w.SuspendTargets = []string{"10.0.0.2:80"}
	})
}

// newSuspendingHarness returns a harness whose server has learnt its pace and whose slots all hold long work of entry
// A.
func newSuspendingHarness(t tester, slots int) *harness {
	return newSuspendingHarnessWith(t, suspendingConfig(), suspendingRecord(uint32(slots)))
}

func newSuspendingHarnessWith(t tester, config Config, record *wire.ServerRecord) *harness {
	b := newReadyHarnessWith(t, config, record)
	b.learnPace()
	for i := range int(record.GetSlots()) {
		b.start(entryA, long(i), longWork())
		b.progress(long(i), "x")
	}
	b.actions = nil
	return b
}

func long(i int) *wire.AttemptID { return id(fmt.Sprint("long-", i), 1) }

// learnPace lets a few runs show the time between tokens.
func (b *harness) learnPace() {
	attempt := id("pace", 1)
	b.start(entryA, attempt, longWork())
	for range 500 {
		b.now = b.now.Add(testTokenTime)
		b.progress(attempt, "x")
		b.step(Tick{})
		b.beat()
	}
	b.finish(attempt)
}

func (b *harness) beat() {
	if b.now.Before(b.nextHeartbeat) {
		return
	}
	b.receive(entryA, heartbeat())
	b.receive(entryB, heartbeat())
	b.step(Announced{Server: b.gate.server.record})
	b.nextHeartbeat = b.now.Add(500 * time.Millisecond)
}

// runFor advances time in steps of a token, in each of which all open runs that match produce one.
func (b *harness) runFor(d time.Duration) []Action {
	before := len(b.actions)
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(testTokenTime)
		for _, a := range b.runningAttempts() {
			b.progress(a, "x")
		}
		b.step(Tick{})
		b.beat()
	}
	return b.actions[before:]
}

func (b *harness) runningAttempts() []*wire.AttemptID {
	var all []*wire.AttemptID
	for _, a := range b.gate.runs {
		if a.run.callOpen {
			all = append(all, a.id())
		}
	}
	return all
}

// suspendOne lets an urgent attempt wait and returns the run that the gate asks to suspend for it.
func (b *harness) suspendOne() SuspendEngine {
	b.t.Helper()
	b.reserve(entryB, id("urgent", 1), urgentWork())
	b.runFor(20 * time.Millisecond)
	asked := actionsOf[SuspendEngine](b.actions)
	require.Len(b.t, asked, 1)
	return asked[0]
}

func (b *harness) answerSuspend(s SuspendEngine, err error) []Action {
	e := EngineSuspended{Attempt: s.Attempt, Try: s.Try, Err: err}
	if err == nil {
		e.Suspension = suspensionOf(s)
	}
	return b.step(e)
}

func suspensionOf(s SuspendEngine) engine.Suspension {
	return engine.Suspension{Handle: fmt.Sprint(s.Stream, "/", s.Try), Events: 10}
}

func (b *harness) endSuspended(s SuspendEngine) []Action {
	return b.endRun(s.Attempt, engine.Outcome{End: engine.EndSuspended, Suspension: suspensionOf(s)}, nil)
}

// suspendConfirmed suspends one run for an urgent attempt.
func (b *harness) suspendConfirmed() SuspendEngine {
	b.t.Helper()
	s := b.suspendOne()
	b.answerSuspend(s, nil)
	b.endSuspended(s)
	require.Len(b.t, b.gate.suspended, 1)
	return s
}

func resumes(actions []Action) []StartEngine {
	var out []StartEngine
	for _, s := range actionsOf[StartEngine](actions) {
		if s.Resume != nil {
			out = append(out, s)
		}
	}
	return out
}

func callErr(class, cause error) error { return &engine.CallError{Call: "x", Class: class, Err: cause} }

// Guards against urgent requests that miss their objective while long, less urgent work holds all slots: the slot of a
// suspended run goes to the urgent request, and the run goes on once that has ended.
func TestSlotOfSuspendedRunGoesToUrgentRequest(t *testing.T) {
	b := newSuspendingHarness(t, 2)
	memory := b.gate.usage.memoryTokens
	s := b.suspendOne()
	require.Equal(t, []string{"10.0.0.2:80"}, s.Targets)
	require.True(t, sameAttempt(id("urgent", 1), s.For))
	require.InDelta(t, testLongTokens*testTokenTime, s.Remaining, float64(100*time.Millisecond))
	require.Empty(t, offeredIDs(b.actions), "the run may go on")
	require.Contains(t, offeredIDs(b.answerSuspend(s, nil)), "urgent.1")
	b.endSuspended(s)
	require.Equal(t, memory+memoryNeed(urgentWork()), b.gate.usage.memoryTokens, "a suspended run keeps its memory")
	require.EqualValues(t, 1, b.gate.currentRoom().GetSuspended())
	require.EqualValues(t, 2, b.gate.currentRoom().GetLowestRunningTier())
	require.Len(t, b.gate.Status().Suspended, 1)
	require.Equal(t, 2, b.gate.inFlight())

	b.dispatchOffered(entryB, id("urgent", 1), urgentWork())
	require.Empty(t, resumes(b.runFor(200*time.Millisecond)))
	resumed := resumes(b.finish(id("urgent", 1)))
	require.Len(t, resumed, 1)
	require.Equal(t, suspensionOf(s), *resumed[0].Resume)
	require.True(t, sameAttempt(s.Attempt, resumed[0].Dispatch.Attempt))
	require.Equal(t, ResumeFreeSlot, resumed[0].Reason)
	require.InDelta(t, 200*time.Millisecond, resumed[0].Suspended, float64(20*time.Millisecond))
	before := b.gate.pace.window
	b.progress(s.Attempt, "y")
	require.Equal(t, before, b.gate.pace.window, "the time of the suspension is no sample of the pace")
	b.finish(s.Attempt)
	require.Zero(t, len(b.gate.suspended))
	noChartErrors(t, b)
}

// Guards against a change of behaviour where suspension is off, at servers that can't suspend runs, for callers that
// leave at once, and for work that other rules protect.
func TestNothingIsSuspendedWithoutNeedOrPermission(t *testing.T) {
	cases := map[string]func(*Config, *wire.ServerRecord, *wire.Work, *wire.Work){
		"off":                           func(c *Config, _ *wire.ServerRecord, _, _ *wire.Work) { c.Suspension = SuspensionConfig{} },
		"server can't suspend":          func(_ *Config, r *wire.ServerRecord, _, _ *wire.Work) { r.Suspends = false },
		"caller leaves at once":         func(_ *Config, _ *wire.ServerRecord, long, _ *wire.Work) { long.AbandonMs = 0 },
		"promoted run":                  func(_ *Config, _ *wire.ServerRecord, long, _ *wire.Work) { long.Precedence = 1 },
		"equal rank":                    func(_ *Config, _ *wire.ServerRecord, long, _ *wire.Work) { long.Precedence = 2 },
		"higher rank":                   func(_ *Config, _ *wire.ServerRecord, long, _ *wire.Work) { long.Tier, long.Preemptible = 1, false },
		"run ends soon":                 func(_ *Config, _ *wire.ServerRecord, long, _ *wire.Work) { long.OutputTokens = 20 },
		"waiting work has no objective": func(_ *Config, _ *wire.ServerRecord, _, urgent *wire.Work) { urgent.ObjectiveMs = 0 },
		"waiting work is overdue":       func(_ *Config, _ *wire.ServerRecord, _, urgent *wire.Work) { urgent.Overdue = true },
		"waiting work has time":         func(_ *Config, _ *wire.ServerRecord, _, urgent *wire.Work) { urgent.ObjectiveMs = 60_000 },
		"no targets": func(_ *Config, _ *wire.ServerRecord, long, urgent *wire.Work) {
			long.SuspendTargets, urgent.SuspendTargets = nil, nil
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			config, record, long, urgent := suspendingConfig(), suspendingRecord(2), longWork(), urgentWork()
			change(&config, record, long, urgent)
			b := newReadyHarnessWith(t, config, record)
			b.learnPace()
			b.gate.suspension.targets = nil
			for i := range 2 {
				b.start(entryA, id(fmt.Sprint("long-", i), 1), long)
				b.progress(id(fmt.Sprint("long-", i), 1), "x")
			}
			b.reserve(entryB, id("urgent", 1), urgent)
			b.runFor(600 * time.Millisecond)
			require.Empty(t, actionsOf[SuspendEngine](b.actions))
			noChartErrors(t, b)
		})
	}
}

// Guards against a run that misses its deadline because it was suspended.
func TestRunWithoutTimeToSpareIsNotSuspended(t *testing.T) {
	b := newSuspendingHarness(t, 1)
	b.gate.records.get("long-0").current.deadline = b.now.Add(testLongTokens*testTokenTime + minSuspended)
	b.reserve(entryB, id("urgent", 1), urgentWork())
	b.runFor(600 * time.Millisecond)
	require.Empty(t, actionsOf[SuspendEngine](b.actions))
}

// Guards against a run that is stopped before its first event, when nothing shows how long its prompt still takes.
func TestRunIsSuspendedOnlyAfterItsFirstEvent(t *testing.T) {
	b := newReadyHarnessWith(t, suspendingConfig(), suspendingRecord(2))
	b.learnPace()
	for i := range 2 {
		b.start(entryA, long(i), longWork())
	}
	b.reserve(entryB, id("urgent", 1), urgentWork())
	b.now = b.now.Add(50 * time.Millisecond)
	b.step(Tick{})
	require.Empty(t, actionsOf[SuspendEngine](b.actions))
}

// Guards against a server that suspends the run which is nearly done, or one that is on time while another is late
// already.
func TestLateRunsAreSuspendedFirstThenTheLongest(t *testing.T) {
	b := newReadyHarnessWith(t, suspendingConfig(), suspendingRecord(3))
	b.learnPace()
	for i, tokens := range []uint32{300, 1000, 600} {
		b.start(entryA, long(i), workOf(func(w *wire.Work) {
			*w = wire.Work{}
			l := longWork()
			w.Organisation, w.Class, w.Tier, w.Target, w.Repeatable = l.Organisation, l.Class, l.Tier, l.Target, true
			w.Precedence, w.PromptTokens, w.OutputTokens, w.RemainingMs = 4, 500, tokens, 60_000
			w.AbandonMs, w.PauseMs = testAbandonMs, 400
		}))
		b.progress(long(i), "x")
	}
	b.gate.records.get("long-2").current.suspension.paused = true
	for i := range 2 {
		b.reserve(entryB, id(fmt.Sprint("urgent-", i), 1), urgentWork())
	}
	b.runFor(20 * time.Millisecond)
	asked := actionsOf[SuspendEngine](b.actions)
	require.Len(t, asked, 2)
	require.Equal(t, "long-2", asked[0].Attempt.GetRequest(), "late already")
	require.Equal(t, "long-1", asked[1].Attempt.GetRequest(), "the most work left")
}

// Guards against a suspended run for each reservation, although each request waits at several gates and is served at
// one.
func TestSuspensionsAreBoundedByWhatIsServedHere(t *testing.T) {
	b := newSuspendingHarness(t, 8)
	b.gate.waiting.servedShare.elsewhere = 2.0 / 3
	for i := range 9 {
		b.reserve(entryB, id(fmt.Sprint("urgent-", i), 1), urgentWork())
	}
	b.runFor(100 * time.Millisecond)
	require.Len(t, actionsOf[SuspendEngine](b.actions), 3)
	require.Len(t, b.gate.missingObjective(), 0, "the suspensions in progress are enough")
}

// Guards against three suspended runs for one request that waits at three gates, and against none of them suspending
// a run.
func TestGatesShareTheSuspensionForOneRequest(t *testing.T) {
	const requests, gates = 60, 3
	suspended, early := 0, 0
	for i := range requests {
		for g := range gates {
			record := suspendingRecord(2)
			record.Server = fmt.Sprint("engine-", g)
			b := newSuspendingHarnessWith(t, suspendingConfig(), record)
			b.gate.waiting.servedShare.elsewhere = 2.0 / 3
			b.reserve(entryB, id(fmt.Sprint("urgent-", i), 1), urgentWork())
			b.runFor(100 * time.Millisecond)
			early += len(actionsOf[SuspendEngine](b.actions))
			b.runFor(500 * time.Millisecond)
			suspended += len(actionsOf[SuspendEngine](b.actions))
		}
	}
	require.InDelta(t, requests, early, requests/4.0)
	require.Greater(t, suspended, early, "a request that nobody has served by then counts in full")
}

// Guards against two runs that take turns in one slot and spend the time on suspensions.
func TestResumedRunKeepsItsSlotForAWhile(t *testing.T) {
	b := newSuspendingHarness(t, 1)
	s := b.suspendConfirmed()
	b.dispatchOffered(entryB, id("urgent", 1), urgentWork())
	b.progress(id("urgent", 1), "x")
	b.finish(id("urgent", 1))
	require.Len(t, resumes(b.actions), 1)
	b.progress(s.Attempt, "x")
	resumedAt := b.now
	b.actions = nil
	b.reserve(entryB, id("urgent-2", 1), urgentWork())
	for len(actionsOf[SuspendEngine](b.actions)) == 0 && b.now.Sub(resumedAt) < time.Second {
		b.runFor(testTokenTime)
	}
	require.GreaterOrEqual(t, b.now.Sub(resumedAt), minRunAfterResume)
	again := actionsOf[SuspendEngine](b.actions)
	require.Len(t, again, 1)
	b.answerSuspend(again[0], nil)
	b.endSuspended(again[0])
	b.dispatchOffered(entryB, id("urgent-2", 1), urgentWork())
	b.finish(id("urgent-2", 1))
	b.progress(s.Attempt, "x")
	b.runFor(time.Second)
	b.actions = nil
	b.reserve(entryB, id("urgent-3", 1), urgentWork())
	b.runFor(600 * time.Millisecond)
	require.Empty(t, actionsOf[SuspendEngine](b.actions), "it was suspended as often as a run may be")
	noChartErrors(t, b)
}

// Guards against callers that leave because a suspended run goes on too late: it resumes in time even if no slot is
// free, before its caller leaves, before the server drops its memory, and early enough to end by its deadline.
func TestRunResumesBeforeItsTimeIsUp(t *testing.T) {
	cases := map[string]struct {
		work        func(*wire.Work)
		suspendedMs uint32
		deadline    time.Duration // after the run's start
		latest      time.Duration
	}{
		"caller leaves":  {func(*wire.Work) {}, testSuspendedMs, time.Minute, testAbandonMs * time.Millisecond},
		"memory expires": {func(w *wire.Work) { w.AbandonMs = 60_000 }, 1000, time.Minute, time.Second},
		"deadline":       {func(*wire.Work) {}, testSuspendedMs, 5 * time.Second, time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			record := suspendingRecord(1)
			record.SuspendedMs = c.suspendedMs
			b := newReadyHarnessWith(t, suspendingConfig(), record)
			b.learnPace()
			b.start(entryA, long(0), workOf(func(w *wire.Work) {
				l := longWork()
				w.Precedence, w.PromptTokens, w.OutputTokens, w.AbandonMs = l.Precedence, l.PromptTokens, l.OutputTokens, l.AbandonMs
				c.work(w)
			}))
			b.gate.records.get("long-0").current.deadline = b.now.Add(c.deadline)
			b.progress(long(0), "x")
			b.suspendConfirmed()
			stopped := b.now
			b.dispatchOffered(entryB, id("urgent", 1), workOf(func(w *wire.Work) { w.OutputTokens = 5000 }))
			for len(resumes(b.actions)) == 0 && b.now.Sub(stopped) < 10*time.Second {
				b.runFor(testTokenTime)
			}
			require.Less(t, b.now.Sub(stopped), c.latest)
			require.Greater(t, b.now.Sub(stopped), c.latest/2-200*time.Millisecond)
			require.Len(t, b.gate.held, 2, "one more than the slots")
			noChartErrors(t, b)
		})
	}
}

// Guards against new suspensions while a server leaves, and against runs that are still stopped when it ends.
func TestSuspendedRunsResumeWhenTheServerLeaves(t *testing.T) {
	b := newSuspendingHarness(t, 2)
	s := b.suspendConfirmed()
	require.Len(t, resumes(b.step(Leaving{})), 1)
	require.Equal(t, drainingCondition, b.gate.condition())
	b.progress(s.Attempt, "x")
	for i := range 2 {
		require.Equal(t, drainingCondition, b.gate.condition())
		b.finish(long(i))
	}
	require.Equal(t, drained, b.gate.condition())
	noChartErrors(t, b)
}

const drainingCondition = wire.ServerCondition_SERVER_CONDITION_DRAINING

// Guards against a free slot that goes to waiting work while a suspended run of the same rank needs it, and against a
// resume that makes more urgent work late.
func TestSuspendedRunGoesBeforeItsEquals(t *testing.T) {
	b := newSuspendingHarness(t, 2)
	s := b.suspendConfirmed()
	b.dispatchOffered(entryB, id("urgent", 1), urgentWork())
	b.progress(id("urgent", 1), "x")
	b.reserve(entryB, id("equal", 1), longWork())
	actions := b.finish(id("urgent", 1))
	require.Len(t, resumes(actions), 1)
	require.Empty(t, offeredIDs(actions))
	b.progress(s.Attempt, "x")

	b = newSuspendingHarness(t, 2)
	b.suspendConfirmed()
	b.dispatchOffered(entryB, id("urgent", 1), urgentWork())
	b.progress(id("urgent", 1), "x")
	b.reserve(entryB, id("urgent-2", 1), urgentWork())
	actions = b.finish(id("urgent", 1))
	require.Empty(t, resumes(actions))
	require.Equal(t, []string{"urgent-2.1"}, offeredIDs(actions))
	noChartErrors(t, b)
}

// Guards against work of the lowest rank that is offered the slots of suspended runs: without them, a slot counts as
// free no sooner than the running work ends.
func TestSuspendedRunsAreNoSlotsInPredictions(t *testing.T) {
	b := newSuspendingHarness(t, 2)
	b.suspendConfirmed()
	b.dispatchOffered(entryB, id("urgent", 1), urgentWork())
	times := b.gate.slotTimes()
	require.Len(t, times.times, 2)
	_, known := b.gate.nthFree(3)
	require.False(t, known)
}
