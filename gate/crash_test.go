package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/wire"
)

// startWithFingerprint dispatches an attempt of a request with a fingerprint.
func (b *harness) startWithFingerprint(request string, print poison.Fingerprint) {
	b.t.Helper()
	actions := b.dispatchOf(entryA, &wire.Dispatch{Attempt: id(request, 1), Work: work(), Fingerprint: uint64(print)})
	require.Len(b.t, actionsOf[StartEngine](actions), 1, "%v", actions)
}

// crashedFingerprints are the fingerprints of what the server ran when it crashedFingerprints.
func crashedFingerprints(actions []Action) []poison.Fingerprint {
	var prints []poison.Fingerprint
	for _, crash := range actionsOf[Crashed](actions) {
		for _, run := range crash.Runs {
			prints = append(prints, run.Fingerprint)
		}
	}
	return prints
}

// Symptom: nobody can tell which request crashes servers. Sequence: a server crashes with two requests on it; its agent reads the
// end of one connection, looks for the process, and reads the end of the other one later. Cause: the ends of single attempts
// noted and not that of the process.
func TestCrashReportNamesTheRunsOfTheServer(t *testing.T) {
	b := newReadyHarness(t)
	b.startWithFingerprint("r1", 1)
	b.startWithFingerprint("r2", 2)
	b.actions = nil
	b.loseConnection(id("r1", 1))
	require.Len(t, actionsOf[VerifyServer](b.actions), 1)
	require.Empty(t, crashedFingerprints(b.actions), "a broken connection alone is no evidence")
	b.step(ServerVerified{Ended: true})
	b.now = b.now.Add(10 * time.Millisecond)
	b.loseConnection(id("r2", 1))
	require.Equal(t, []poison.Fingerprint{1, 2}, crashedFingerprints(b.actions))
	require.Len(t, actionsOf[VerifyServer](b.actions), 1)
	require.Equal(t, "org", actionsOf[Crashed](b.actions)[0].Runs[0].Organisation)
	noChartErrors(t, b)
}

// The end of one process must count as one crash, however late the broken connections are read.
func TestBrokenConnectionsOfOneProcessAreOneCrash(t *testing.T) {
	b := newReadyHarness(t)
	b.startWithFingerprint("r1", 1)
	b.startWithFingerprint("r2", 2)
	b.loseConnection(id("r1", 1))
	b.step(ServerVerified{Ended: true})
	b.now = b.now.Add(10 * time.Millisecond)
	b.loseConnection(id("r2", 1))
	crashes := actionsOf[Crashed](b.actions)
	require.Len(t, crashes, 2)
	require.Equal(t, crashes[0].Crash.GetId(), crashes[1].Crash.GetId())
	require.False(t, crashes[0].Repeated)
	require.True(t, crashes[1].Repeated)
}

// Symptom: a crash is evidence against nobody. Sequence: a server spoils an answer; while its process is looked for, it crashes
// under another request; the look had found it. Cause: one look taken for all that broke until its answer came.
func TestCrashAfterACorruptAnswerIsDetected(t *testing.T) {
	b := newReadyHarness(t)
	b.startWithFingerprint("r1", 1)
	b.startWithFingerprint("r2", 2)
	b.loseConnection(id("r1", 1))
	b.now = b.now.Add(5 * time.Millisecond)
	b.loseConnection(id("r2", 1))
	b.actions = nil
	b.step(ServerVerified{})
	require.Len(t, actionsOf[VerifyServer](b.actions), 1, "once more")
	b.step(ServerVerified{Ended: true})
	require.Equal(t, []poison.Fingerprint{2}, crashedFingerprints(b.actions))
}

// Symptom: a request that never crashed a server is taken for one that does. Sequence: its server spoils its answer, is
// cancelled, can't be reached, or ends after it said that it leaves. Cause: any broken answer taken for a crash.
func TestOtherBrokenRunsAreNoCrash(t *testing.T) {
	for name, play := range map[string]func(b *harness){
		"the process is there": func(b *harness) {
			b.loseConnection(id("r1", 1))
			b.step(ServerVerified{})
		},
		"it is cancelled": func(b *harness) {
			b.callerLeft(entryA, id("r1", 1))
			b.loseConnection(id("r1", 1))
			require.Empty(b.t, actionsOf[VerifyServer](b.actions))
		},
		"it never left the agent": func(b *harness) {
			b.endRun(id("r1", 1), engine.Outcome{}, &engine.CallError{Class: engine.ErrNeverSent, Err: engine.ErrUnreachable})
			require.Empty(b.t, actionsOf[VerifyServer](b.actions))
		},
		"it fails by itself": func(b *harness) {
			b.endRun(id("r1", 1), engine.Outcome{End: engine.EndFailed, Status: 500}, nil)
			require.Empty(b.t, actionsOf[VerifyServer](b.actions))
		},
		"the server had said that it leaves": func(b *harness) {
			b.step(Leaving{})
			b.loseConnection(id("r1", 1))
			require.Empty(b.t, actionsOf[VerifyServer](b.actions))
		},
		"the server says so meanwhile": func(b *harness) {
			b.loseConnection(id("r1", 1))
			b.step(Leaving{})
			b.step(ServerVerified{Ended: true})
		},
		"it was broken off long before": func(b *harness) {
			b.loseConnection(id("r1", 1))
			b.step(ServerVerified{})
			b.answerCancel(id("r1", 1), engine.CancelUnknownID)
			b.advance(2 * crashWindow)
			b.startWithFingerprint("r2", 2)
			b.loseConnection(id("r2", 1))
			b.step(ServerVerified{Ended: true})
			require.Equal(b.t, []poison.Fingerprint{2}, crashedFingerprints(b.actions))
			b.actions = nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newReadyHarness(t)
			b.startWithFingerprint("r1", 1)
			b.actions = nil
			play(b)
			b.advance(crashWindow)
			require.Empty(t, crashedFingerprints(b.actions))
		})
	}
}

func watchedWork() *wire.Work { return workOf(func(w *wire.Work) { w.Watched = true }) }

// Symptom: a request is quarantined that was only beside the ones that crash servers. Sequence: it has been under two crashes,
// and at the third there is another such request, or one that nobody knows yet, beside it. Cause: a third crash that may speak of
// several requests.
func TestWatchedRequestStartsExclusively(t *testing.T) {
	b := newReadyHarness(t)
	b.start(entryA, id("r1", 1), work())
	b.reserve(entryA, id("w1", 1), watchedWork())
	b.reserve(entryB, id("r2", 1), work())
	b.reserve(entryB, id("w2", 1), watchedWork())
	b.actions = nil
	b.finish(id("r1", 1))
	require.Equal(t, []string{"w1.1"}, offeredIDs(b.actions), "the server has run empty for it")
	b.dispatchOffered(entryA, id("w1", 1), watchedWork())
	require.Zero(t, b.gate.free())
	onlyOver(t, b.dispatch(entryB, id("r3", 1), work()), entryB, wire.Proof_PROOF_NEVER_STARTED)

	b.progress(id("w1", 1), "token")
	b.advance(exclusiveTime / 2)
	require.Len(t, b.gate.held, 1)
	b.actions = nil
	b.advance(exclusiveTime/2 + 2*TickInterval)
	require.Equal(t, []string{"r2.1"}, offeredIDs(b.actions), "it has begun, and the server is there")
	b.dispatchOffered(entryB, id("r2", 1), work())
	b.actions = nil
	b.loseConnection(id("r2", 1))
	b.loseConnection(id("w1", 1))
	b.step(ServerVerified{Ended: true})
	require.Len(t, crashedFingerprints(b.actions), 2)
	require.False(t, actionsOf[Crashed](b.actions)[0].Crash.GetAlone())
	noChartErrors(t, b)
}

func TestCrashDuringAnExclusiveRunIsMarkedAlone(t *testing.T) {
	b := newReadyHarness(t)
	b.start(entryA, id("w1", 1), watchedWork())
	b.loseConnection(id("w1", 1))
	b.step(ServerVerified{Ended: true})
	require.True(t, actionsOf[Crashed](b.actions)[0].Crash.GetAlone())
	over := onlyOver(t, b.answerCancel(id("w1", 1), engine.CancelUnknownID), entryA, wire.Proof_PROOF_CANCELLED)
	require.Equal(t, actionsOf[Crashed](b.actions)[0].Crash, over.GetCrash(), "its entry reports the same crash")
}

// Symptom: an entry sends more to a server that has crashed until a probe notices. Sequence: its process is found to have ended.
// Cause: only a failed call or probe made a server suspect.
func TestCrashedServerGetsNoNewWork(t *testing.T) {
	b := newReadyHarness(t)
	b.startWithFingerprint("r1", 1)
	b.loseConnection(id("r1", 1))
	require.Equal(t, serverReady, b.gate.server.state)
	b.step(ServerVerified{Ended: true})
	require.Equal(t, serverSuspect, b.gate.server.state)
	over := onlyOver(t, b.answerCancel(id("r1", 1), engine.CancelUnknownID), entryA, wire.Proof_PROOF_CANCELLED)
	require.NotNil(t, over.GetCrash(), "its entry hears of it")
	b.step(Probed{OK: true})
	require.Equal(t, serverReady, b.gate.server.state)
}
