package gate

import (
	"fmt"
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

// crashedFingerprints returns the fingerprints of the runs in all crash reports.
func crashedFingerprints(actions []Action) []poison.Fingerprint {
	var prints []poison.Fingerprint
	for _, crash := range actionsOf[Crashed](actions) {
		for _, run := range crash.Runs {
			prints = append(prints, run.Fingerprint)
		}
	}
	return prints
}

// Guards against a crash report that misses requests. The agent reads the end of one connection, has the process
// checked, and reads the end of the second connection only later; both requests belong to the crash.
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

// Guards against a crash report without the parts of the prompts, by which requests that are not alike have their crashes in common.
func TestCrashReportNamesThePartsOfTheRuns(t *testing.T) {
	b := newReadyHarness(t)
	for i, parts := range [][]uint64{{1, 2}, {1, 3}} {
		b.dispatchOf(entryA, &wire.Dispatch{Attempt: id(fmt.Sprint("r", i), 1), Work: work(), Fingerprint: uint64(i + 1), Parts: parts})
	}
	b.actions = nil
	b.loseConnection(id("r0", 1))
	b.loseConnection(id("r1", 1))
	b.step(ServerVerified{Ended: true})
	var parts [][]uint64
	for _, run := range actionsOf[Crashed](b.actions)[0].Runs {
		require.Equal(t, work().GetTarget(), run.Target)
		parts = append(parts, run.Parts)
	}
	require.Equal(t, [][]uint64{{1, 2}, {1, 3}}, parts)
}

// All broken connections of one process count as one crash, however late they are read.
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

// Guards against a crash that is attributed to no request. A server corrupts an answer and crashes under another
// request while its process is being checked: the result of that check doesn't cover runs that broke after it was
// issued.
func TestCrashAfterACorruptAnswerIsDetected(t *testing.T) {
	b := newReadyHarness(t)
	b.startWithFingerprint("r1", 1)
	b.startWithFingerprint("r2", 2)
	b.loseConnection(id("r1", 1))
	b.now = b.now.Add(5 * time.Millisecond)
	b.loseConnection(id("r2", 1))
	b.actions = nil
	b.step(ServerVerified{})
	require.Len(t, actionsOf[VerifyServer](b.actions), 1, "another check")
	b.step(ServerVerified{Ended: true})
	require.Equal(t, []poison.Fingerprint{2}, crashedFingerprints(b.actions))
}

// Guards against a request that is taken for one that crashes servers although its run broke for another reason: a
// corrupt answer, a cancel, an unreachable server, or a server that had announced its leave.
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

// Guards against quarantining a request that only ran beside those that crash servers. After two crashes it must
// run alone, so that a third crash is evidence against it and no other request.
func TestWatchedRequestStartsExclusively(t *testing.T) {
	b := newReadyHarness(t)
	b.start(entryA, id("r1", 1), work())
	b.reserve(entryA, id("w1", 1), watchedWork())
	b.reserve(entryB, id("r2", 1), work())
	b.reserve(entryB, id("w2", 1), watchedWork())
	b.actions = nil
	b.finish(id("r1", 1))
	require.Equal(t, []string{"w1.1"}, offeredIDs(b.actions), "offered once the server is empty")
	b.dispatchOffered(entryA, id("w1", 1), watchedWork())
	require.Zero(t, b.gate.free())
	onlyOver(t, b.dispatch(entryB, id("r3", 1), work()), entryB, wire.Proof_PROOF_NEVER_STARTED)

	b.progress(id("w1", 1), "token")
	b.advance(exclusiveTime / 2)
	require.Len(t, b.gate.held, 1)
	b.actions = nil
	b.advance(exclusiveTime/2 + 2*TickInterval)
	require.Equal(t, []string{"r2.1"}, offeredIDs(b.actions), "offered once the watched request has begun")
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
	require.Equal(t, actionsOf[Crashed](b.actions)[0].Crash, over.GetCrash(), "the entry is told of the same crash")
}

// Guards against an entry that sends further requests to a crashed server until a probe fails. The server must be
// suspect as soon as its process is found to have ended.
func TestCrashedServerGetsNoNewWork(t *testing.T) {
	b := newReadyHarness(t)
	b.startWithFingerprint("r1", 1)
	b.loseConnection(id("r1", 1))
	require.Equal(t, serverReady, b.gate.server.state)
	b.step(ServerVerified{Ended: true})
	require.Equal(t, serverSuspect, b.gate.server.state)
	over := onlyOver(t, b.answerCancel(id("r1", 1), engine.CancelUnknownID), entryA, wire.Proof_PROOF_CANCELLED)
	require.NotNil(t, over.GetCrash(), "the entry is told of the crash")
	b.step(Probed{OK: true})
	require.Equal(t, serverReady, b.gate.server.state)
}
