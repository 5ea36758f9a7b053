package gate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/wire"
)

func TestEveryGuardAndActionOfTheChartsIsImplemented(t *testing.T) {
	b := newReadyHarness(t)
	for _, guard := range attemptTable.Chart().Guards {
		a := b.gate.newAttempt(&record{index: -1}, &entryState{}, id("r", 1), "", work())
		b.gate.attemptGuard(a, guard.Name, &eventDetails{})
	}
	for _, guard := range serverTable.Chart().Guards {
		b.gate.serverGuard(guard.Name)
	}
	for _, action := range attemptTable.Chart().Actions {
		require.NotPanics(t, func() { b.checkAction(action.Name) })
	}
	for _, action := range serverTable.Chart().Actions {
		b.gate.serverAction(action.Name)
	}
	require.Zero(t, b.gate.chartErrors)
	b.gate.serverAction("not an action")
	require.EqualValues(t, 1, b.gate.chartErrors)
}

// checkAction carries out one action on an attempt that is complete enough for any action.
func (b *harness) checkAction(name string) {
	r := b.gate.records.add("chart-"+name, 100)
	owner := b.gate.entries.get(entryA, b.now)
	a := b.gate.newAttempt(r, owner, id(r.request, 1), "", work())
	a.dispatch = &wire.Dispatch{Attempt: id(r.request, 1), Work: work()}
	a.frames.begin(a.dispatch)
	a.suspension.held = &engine.Suspension{Handle: "h"}
	a.wait.queue = b.gate.waiting.tier(2).queue(&wire.Work{Class: "summary", Organisation: "org"})
	b.gate.attemptAction(a, name, &eventDetails{end: &EngineEnded{}})
}

func TestEventThatTheChartDoesNotAllowIsCounted(t *testing.T) {
	// Guards against an attempt that stays in a state forever without any trace. The agent reports the end of a run
	// that was never started or has already ended, or an answer to a cancel that was never sent; such events must
	// not be ignored silently.
	cases := map[string]func(*harness) []Action{
		"end of an unknown run": func(b *harness) []Action { return b.finish(id("unknown", 1)) },
		"second end": func(b *harness) []Action {
			b.finish(id("r", 1))
			return b.finish(id("r", 1))
		},
		"progress after the end": func(b *harness) []Action {
			b.finish(id("r", 1))
			return b.progress(id("r", 1), "x")
		},
		"answer without a cancel": func(b *harness) []Action {
			return b.step(EngineCancelled{Attempt: id("r", 1), Result: engine.CancelConfirmed})
		},
		"message of an unknown kind": func(b *harness) []Action { return b.receive(entryA, &wire.EntryMessage{}) },
	}
	for name, act := range cases {
		t.Run(name, func(t *testing.T) {
			b := newReadyHarness(t)
			b.start(entryA, id("r", 1), work())
			counts := actionsOf[Count](act(b))
			require.NotEmpty(t, counts)
			last := counts[len(counts)-1]
			require.Equal(t, ChartErrors, last.Counter)
			require.NotEmpty(t, last.Label)
			require.EqualValues(t, 1, b.gate.Status().ChartErrors)
		})
	}
}
