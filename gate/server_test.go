package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	ready    = wire.ServerCondition_SERVER_CONDITION_READY
	suspect  = wire.ServerCondition_SERVER_CONDITION_SUSPECT
	draining = wire.ServerCondition_SERVER_CONDITION_DRAINING
	drained  = wire.ServerCondition_SERVER_CONDITION_DRAINED
	gone     = wire.ServerCondition_SERVER_CONDITION_GONE
)

func streams(ids ...engine.AttemptID) []engine.StreamInfo {
	var out []engine.StreamInfo
	for _, s := range ids {
		out = append(out, engine.StreamInfo{ID: s, State: engine.StreamDecode})
	}
	return out
}

// rooms returns the broadcast rooms.
func rooms(actions []Action) []*wire.Room {
	var out []*wire.Room
	for _, s := range actionsOf[Broadcast](actions) {
		if r := s.Message.GetRoom(); r != nil {
			out = append(out, r)
		}
	}
	return out
}

func TestNothingIsAdmittedBeforeTheEngineIsCleared(t *testing.T) {
	// Guards against two engines that run one request. An agent dies while its engine runs an attempt, and the
	// entry takes the announcement of the new incarnation as proof that the attempt is over, so the engine has to
	// be cleared before that announcement.
	b := newHarness(t, Config{NoPredecessor: true})
	require.Len(t, actionsOf[ListEngine](b.step(Announced{Server: sampleRecord(2)})), 1)
	b.step(EntryConnected{Entry: entryA})
	b.receive(entryA, heartbeat())
	refusedWith(t, b.reserve(entryA, id("new", 1), work()), result.Starting)
	onlyOver(t, b.cancelAttempt(entryA, id("old", 1), retryCause), entryA, unprovenProof)
	b.step(EngineListed{Err: engine.ErrOutcomeUnknown})
	b.advance(time.Second)
	require.Len(t, actionsOf[ListEngine](b.actions), 2)
	listed := b.step(EngineListed{Streams: streams("old.1", "strange", "old.7")})
	require.Len(t, actionsOf[CancelEngine](listed), 3)
	b.answerCancel(id("old", 1), engine.CancelConfirmed)
	b.answerCancel(id("strange", 0), engine.CancelUnknownID)
	b.answerCancel(id("old", 7), engine.CancelNone)
	refusedWith(t, b.dispatch(entryA, id("new", 2), work()), result.Starting)
	b.advance(time.Second)
	require.Empty(t, actionsOf[ServerChanged](b.actions))
	require.Empty(t, rooms(b.actions))
	b.answerCancel(id("old", 7), engine.CancelConfirmed)
	require.Len(t, actionsOf[ListEngine](b.actions), 3, "a second listing shows what was in transit during the first")
	require.Len(t, actionsOf[CancelEngine](b.step(EngineListed{Streams: streams("old.8")})), 1)
	b.answerCancel(id("old", 8), engine.CancelConfirmed)
	require.Empty(t, actionsOf[ServerChanged](b.actions))
	open := b.step(EngineListed{})
	require.Equal(t, ready, actionsOf[ServerChanged](open)[0].Server.Condition)
	require.Len(t, rooms(open), 1)
	require.Equal(t, neverStartedProof, oversTo(open, entryA)[0].Proof)
	require.Len(t, actionsOf[StartEngine](b.dispatch(entryA, id("new", 3), work())), 1)
	noChartErrors(t, b)
}

func TestServerWithoutAListGetsASettleTime(t *testing.T) {
	b := newHarness(t, Config{})
	b.step(Announced{Server: sampleRecord(2)})
	b.step(EngineListed{Err: &engine.CallError{Call: "streams", Class: engine.ErrUnsupported}})
	b.advance(DefaultUnlistedSettle / 2)
	require.False(t, b.gate.Status().Cleared)
	b.advance(DefaultUnlistedSettle)
	require.True(t, b.gate.Status().Cleared)
	require.True(t, b.gate.Status().Unlisted)
}

// Guards against idle servers after a loss of all machines. An agent hears of its server only once control has a
// leader; counted from the listing, the settle time would then delay work although no predecessor can still be
// running anything.
func TestSettleTimeCountsFromTheProcessStart(t *testing.T) {
	b := newHarness(t, Config{ProcessStarted: time.Unix(1000, 0)})
	b.advance(DefaultUnlistedSettle)
	b.step(Announced{Server: sampleRecord(2)})
	b.step(EngineListed{Err: &engine.CallError{Call: "streams", Class: engine.ErrUnsupported}})
	b.advance(TickInterval)
	require.True(t, b.gate.Status().Cleared)
}

// A server that was gone may have work that is younger than the process.
func TestSettleTimeRestartsAfterTheServerWasGone(t *testing.T) {
	b := newHarness(t, Config{ProcessStarted: time.Unix(1000, 0)})
	b.advance(DefaultUnlistedSettle)
	b.gate.clearing.restart()
	b.step(Announced{Server: sampleRecord(2)})
	b.step(EngineListed{Err: &engine.CallError{Call: "streams", Class: engine.ErrUnsupported}})
	b.advance(DefaultUnlistedSettle / 2)
	require.False(t, b.gate.Status().Cleared)
	b.advance(DefaultUnlistedSettle)
	require.True(t, b.gate.Status().Cleared)
}

func TestDrain(t *testing.T) {
	// Guards against a graceful shutdown that cuts a stream, and against new work at a server that leaves. Work is
	// running, waiting, offered and unproven when the leave arrives, and a dispatch for the offer is in transit.
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(3))
	b.start(entryA, id("run", 1), work())
	b.start(entryA, id("lost", 1), work())
	b.loseConnection(id("lost", 1))
	b.reserve(entryA, id("offered", 1), work())
	b.reserve(entryA, id("wait", 1), work())
	left := b.step(Leaving{})
	require.Len(t, oversTo(left, entryA), 2)
	require.Equal(t, draining, rooms(left)[0].Condition)
	require.Zero(t, rooms(left)[0].Free)
	require.Equal(t, draining, actionsOf[ServerChanged](left)[0].Server.Condition)
	refusedWith(t, b.dispatchOffered(entryA, id("offered", 1), work()), result.NoServer)
	refusedWith(t, b.dispatch(entryA, id("new", 1), work()), result.NoServer)
	refusedWith(t, b.reserve(entryA, id("new", 2), firstTierWork()), result.NoServer)
	require.Len(t, framesOf(b.progress(id("run", 1), "x"), "run"), 1)
	b.advance(10 * time.Second)
	b.step(Leaving{})
	onlyOver(t, b.finish(id("run", 1)), entryA, completedProof)
	require.NotEqual(t, drained, b.gate.Status().Condition, "not drained while one attempt is not proved over")
	require.False(t, b.gate.fireServer(onEmptied), "the chart must not allow it either")
	b.gate.chartErrors = 0
	over := b.answerCancel(id("lost", 1), engine.CancelConfirmed)
	require.Equal(t, drained, actionsOf[ServerChanged](over)[0].Server.Condition)
	require.Equal(t, drained, rooms(over)[0].Condition)
	b.advance(time.Minute)
	refusedWith(t, b.dispatch(entryA, id("new", 3), work()), result.NoServer)
	require.Equal(t, drained, b.gate.Status().Condition)
	noChartErrors(t, b)
}

func TestDrainBeforeTheEngineIsCleared(t *testing.T) {
	b := newHarness(t, Config{})
	b.step(Announced{Server: sampleRecord(2)})
	b.step(Leaving{})
	require.Empty(t, actionsOf[ServerChanged](b.actions))
	b.step(EngineListed{Streams: streams("old.1")})
	b.answerCancel(id("old", 1), engine.CancelConfirmed)
	require.Empty(t, actionsOf[ServerChanged](b.actions))
	changed := actionsOf[ServerChanged](b.step(EngineListed{}))
	require.Equal(t, drained, changed[len(changed)-1].Server.Condition)
}

func TestDrainEndsDespiteAnUnprovableCall(t *testing.T) {
	// Guards against a shutdown that never ends: the connection of a service call is lost, and since the service
	// has no cancel call the attempt can never be proved over.
	b := newReadyHarness(t)
	b.start(entryA, id("r", 1), workOf(func(w *wire.Work) { w.Service = true }))
	b.loseConnection(id("r", 1))
	b.step(Leaving{})
	unsupported := EngineCancelled{Attempt: id("r", 1), Try: 1, Err: engine.ErrUnsupported}
	b.step(unsupported)
	b.advance(DefaultUnprovenHold - time.Second)
	require.Equal(t, draining, b.gate.Status().Condition)
	b.advance(2 * time.Second)
	require.Equal(t, drained, b.gate.Status().Condition)
	refusedWith(t, b.dispatch(entryA, id("r", 2), work()), result.NoServer)
}

func TestUnprovableCallIsReportedAtOnce(t *testing.T) {
	// Guards against a caller of a plain service that gets no answer until its deadline or later: the service has
	// no cancel call and then loses the answer, so the entry must be told that no proof will come.
	b := newReadyHarness(t)
	b.start(entryA, id("r", 1), workOf(func(w *wire.Work) { w.Service = true }))
	b.cancelAttempt(entryA, id("r", 1), wire.CancelCause_CANCEL_CAUSE_RETRY)
	unsupported := EngineCancelled{Attempt: id("r", 1), Try: 1, Err: engine.ErrUnsupported}
	for _, over := range oversTo(b.step(unsupported), entryA) {
		require.False(t, over.Unprovable, "the answer may still arrive")
	}
	actions := append(b.loseConnection(id("r", 1)), b.step(EngineCancelled{Attempt: id("r", 1), Try: 2, Err: engine.ErrUnsupported})...)
	var reported bool
	for _, over := range oversTo(actions, entryA) {
		require.Equal(t, wire.Proof_PROOF_UNPROVEN, over.Proof)
		reported = reported || over.Unprovable
	}
	require.True(t, reported)
}

func TestTakeoverAtAServerWithoutAListIsUnproven(t *testing.T) {
	// Guards against a service call that runs twice at a time. An entry and the agent die during the call; the new
	// incarnation, whose service keeps no list, ended nothing and must not answer the next owner that all attempts
	// are over.
	b := newHarness(t, Config{})
	b.step(Announced{Server: sampleRecord(2)})
	b.step(EngineListed{Err: &engine.CallError{Call: "streams", Class: engine.ErrUnsupported}})
	b.advance(DefaultUnlistedSettle + time.Second)
	actions := b.cancelAttempt(entryA, id("r", 1<<16-1), wire.CancelCause_CANCEL_CAUSE_TAKEOVER)
	over := onlyOver(t, actions, entryA, wire.Proof_PROOF_UNPROVEN)
	require.True(t, over.Unprovable)
}

func TestSilentServerGetsNoNewWork(t *testing.T) {
	// Guards against requests to a server that died without a leave notice, while one slot is offered, one is free
	// and one request waits.
	b := newReadyHarness(t)
	b.start(entryA, id("run", 1), work())
	silent := func() {
		b.receive(entryA, heartbeat())
		b.receive(entryB, heartbeat())
	}
	b.advanceWith(DefaultSilentAfter+200*time.Millisecond, silent)
	require.Equal(t, suspect, b.gate.Status().Condition)
	require.Equal(t, []string{"no announcement"}, b.gate.Status().SuspectReasons)
	b.reserve(entryA, id("wait", 1), work())
	refusedWith(t, b.dispatch(entryA, id("new", 1), work()), result.RefusedNeverStarted)
	require.Empty(t, offeredIDs(b.actions))
	b.advanceWith(DefaultGoneAfter-DefaultSilentAfter, silent)
	require.Equal(t, gone, b.gate.Status().Condition)
	require.Equal(t, "wait", oversTo(b.actions, entryA)[1].Attempt.Request)
	refusedWith(t, b.reserve(entryA, id("new", 2), work()), result.NoServer)
	require.Len(t, b.gate.runs, 1, "running work is not cancelled")
	back := b.step(Announced{Server: sampleRecord(2)})
	require.Len(t, actionsOf[ListEngine](back), 1, "the engine is listed again after the server was gone")
	refusedWith(t, b.reserve(entryA, id("new", 3), work()), result.Starting)
	cleared := b.step(EngineListed{Streams: streams("run.1")})
	require.Empty(t, actionsOf[CancelEngine](cleared), "a run of this incarnation is not cancelled")
	require.Equal(t, ready, b.gate.Status().Condition)
	noChartErrors(t, b)
}

func TestFailingProbe(t *testing.T) {
	b := newReadyHarness(t)
	b.reserve(entryA, id("r", 1), work())
	b.step(Probed{})
	require.Equal(t, ready, b.gate.Status().Condition)
	b.step(Probed{})
	require.Equal(t, suspect, b.gate.Status().Condition)
	refusedWith(t, b.dispatchOffered(entryA, id("r", 1), work()), result.RefusedNeverStarted)
	b.step(Announced{Server: sampleRecord(2)})
	require.Equal(t, suspect, b.gate.Status().Condition, "an announcement doesn't replace a successful probe")
	b.step(Probed{OK: true})
	require.Equal(t, ready, b.gate.Status().Condition)
}

func TestStatusShowsBlockedAndWaitingAttempts(t *testing.T) {
	b := newReadyHarness(t)
	b.fillSlots()
	b.reserve(entryB, id("wait", 1), work())
	s := b.gate.Status()
	require.Equal(t, string(blockedSlots), s.Blocked)
	require.Len(t, s.Running, 2)
	require.Equal(t, "running", s.Running[0].State)
	require.Len(t, s.Waiting, 1)
	require.Equal(t, entryB, s.Waiting[0].Entry)
	require.Equal(t, 2, s.Held)
	require.Zero(t, s.Free)
	require.Equal(t, 2, s.Entries)
}
