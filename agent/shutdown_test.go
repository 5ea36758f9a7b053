package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Symptom: SIGTERM of an agent cuts streams.
// Sequence: the platform replaces the agent while a stream runs.
// Cause: the process ended with the signal instead of after the drain.
func TestStopFinishesInFlightAttempts(t *testing.T) {
	withModelEnv(t, func(w *testEnv, _ *standin.Server, entry *fakeEntry) {
		entry.dispatch(withBody(completionDispatch("r1", 1), `{"model":"sample","prompt":"a","max_tokens":100}`))
		w.waitUntil("the stream runs", func() bool { return entry.eventCount("r1", 1) > 3 })
		w.stop()
		time.Sleep(time.Second)
		status, body := w.call("GET", "/readyz", nil)
		assert.Equal(t, 503, status)
		assert.Contains(t, body, `"name":"stopping"`)
		entry.dispatch(completionDispatch("r2", 1))
		assert.Equal(t, wire.Proof_PROOF_NEVER_STARTED, entry.awaitOver("r2", 1).GetProof())

		assert.NoError(t, <-w.ended)
		w.stop = nil
		time.Sleep(time.Second)
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, entry.over("r1", 1).GetProof())
		commands := w.control.commands()
		require.NotEmpty(t, commands)
		removal := commands[len(commands)-1].GetRemoveAgent()
		assert.Equal(t, "agent-1", removal.GetAgent())
		assert.Equal(t, w.agent.incarnation, removal.GetIncarnation())
	})
}

// Symptom: an agent never ends.
// Sequence: SIGTERM comes while a stream runs that doesn't end.
// Cause: the wait for what is in flight had no bound.
func TestStopEndsAtTheDrainTimeout(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.startAgent(func(s *settings.Agent) { s.Timing.Drain = 10 * time.Second })
		w.startEngine(slowModel())
		w.waitReady()
		entry := w.startEntry(entryHost, "entry-1")
		entry.awaitRoom("server-1")
		entry.dispatch(longCompletionDispatch("r1", 1))
		w.waitUntil("the stream runs", func() bool { return entry.eventCount("r1", 1) > 3 })
		assert.ErrorIs(t, w.stopAgent(), ErrDrainTimeout)
	})
}

// Symptom: an agent that has failed is neither ready nor gone for as long as its longest stream may take.
// Sequence: a stream runs; a newer incarnation of the agent registers, so that the duty of the session ends; in the
// second case the agent was told to stop just before.
// Cause: the duty that stops the agent took the end of another duty for the order to stop, and drained without a session.
func TestFailedActorEndsShutdown(t *testing.T) {
	for name, ordered := range map[string]bool{"no order to stop": false, "while it drains": true} {
		t.Run(name, func(t *testing.T) {
			withModelEnv(t, func(w *testEnv, _ *standin.Server, entry *fakeEntry) {
				entry.dispatch(longCompletionDispatch("r1", 1))
				w.waitUntil("the stream runs", func() bool { return entry.eventCount("r1", 1) > 3 })
				if ordered {
					w.stop()
					time.Sleep(time.Second)
				}
				w.supersede()
				synctest.Wait()
				time.Sleep(2 * httpShutdownTimeout)
				require.Len(w.t, w.ended, 1, "the agent still runs")
				assert.ErrorIs(t, <-w.ended, ErrSuperseded)
				w.stop()
				w.stop = nil
			})
		})
	}
}

func TestStopWithoutServers(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.startAgent()
		time.Sleep(5 * time.Second)
		status, body := w.call("GET", "/readyz", nil)
		assert.Equal(t, 503, status)
		assert.Contains(t, body, `"name":"no_server"`)
		assert.NoError(t, w.stopAgent())
		assert.Empty(t, w.control.commands(), "this incarnation was never registered")
	})
}
