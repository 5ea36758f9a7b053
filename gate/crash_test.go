package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/wire"
)

// startPrint dispatches an attempt of a request with a fingerprint.
func (b *bench) startPrint(request string, print poison.Fingerprint) {
	b.t.Helper()
	actions := b.dispatchOf(entryA, &wire.Dispatch{Attempt: id(request, 1), Work: work(), Fingerprint: uint64(print)})
	require.Len(b.t, of[StartEngine](actions), 1, "%v", actions)
}

// crashed are the fingerprints of what the server ran when it crashed.
func crashed(actions []Action) []poison.Fingerprint {
	var prints []poison.Fingerprint
	for _, crash := range of[Crashed](actions) {
		for _, run := range crash.Runs {
			prints = append(prints, run.Fingerprint)
		}
	}
	return prints
}

// Symptom: nobody can tell which request crashes servers. Sequence: a server crashes with two requests on it; its agent reads the end
// of one connection, looks for the process, and reads the end of the other one later.
func TestWhatAServerRanWhenItCrashedIsTold(t *testing.T) {
	b := openBench(t)
	b.startPrint("r1", 1)
	b.startPrint("r2", 2)
	b.actions = nil
	b.lost(id("r1", 1))
	require.Len(t, of[VerifyServer](b.actions), 1)
	require.Empty(t, crashed(b.actions), "a broken connection alone is no evidence")
	b.step(Verified{Ended: true})
	b.now = b.now.Add(10 * time.Millisecond)
	b.lost(id("r2", 1))
	require.Equal(t, []poison.Fingerprint{1, 2}, crashed(b.actions))
	require.Len(t, of[VerifyServer](b.actions), 1)
	require.Equal(t, "org", of[Crashed](b.actions)[0].Runs[0].Organisation)
	noChartErrors(t, b)
}

// Symptom: a request that never crashed a server is taken for one that does. Sequence: its server spoils its answer, is cancelled,
// can't be reached, or ends after it said that it leaves.
func TestEndsOfOtherKindsAreNoCrash(t *testing.T) {
	for name, play := range map[string]func(b *bench){
		"the process is there": func(b *bench) {
			b.lost(id("r1", 1))
			b.step(Verified{})
		},
		"it is cancelled": func(b *bench) {
			b.callerLeft(entryA, id("r1", 1))
			b.lost(id("r1", 1))
			require.Empty(b.t, of[VerifyServer](b.actions))
		},
		"it never left the agent": func(b *bench) {
			b.ends(id("r1", 1), engine.Outcome{}, &engine.CallError{Class: engine.ErrNeverSent, Err: engine.ErrUnreachable})
			require.Empty(b.t, of[VerifyServer](b.actions))
		},
		"it fails by itself": func(b *bench) {
			b.ends(id("r1", 1), engine.Outcome{End: engine.EndFailed, Status: 500}, nil)
			require.Empty(b.t, of[VerifyServer](b.actions))
		},
		"the server had said that it leaves": func(b *bench) {
			b.step(Leaving{})
			b.lost(id("r1", 1))
			require.Empty(b.t, of[VerifyServer](b.actions))
		},
		"the server says so meanwhile": func(b *bench) {
			b.lost(id("r1", 1))
			b.step(Leaving{})
			b.step(Verified{Ended: true})
		},
		"it was broken off long before": func(b *bench) {
			b.lost(id("r1", 1))
			b.step(Verified{})
			b.answer(id("r1", 1), engine.CancelUnknownID)
			b.pass(2 * crashWindow)
			b.startPrint("r2", 2)
			b.lost(id("r2", 1))
			b.step(Verified{Ended: true})
			require.Equal(b.t, []poison.Fingerprint{2}, crashed(b.actions))
			b.actions = nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := openBench(t)
			b.startPrint("r1", 1)
			b.actions = nil
			play(b)
			b.pass(crashWindow)
			require.Empty(t, crashed(b.actions))
		})
	}
}
