package agent

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// SIGTERM must not interrupt streams: the agent ends after the drain, not with the signal.
func TestStopFinishesInFlightAttempts(t *testing.T) {
	withModelEnv(t, func(env *testEnv, _ *standin.Server, entry *fakeEntry) {
		entry.dispatch(withBody(completionDispatch("r1", 1), `{"model":"sample","prompt":"a","max_tokens":100}`))
		env.waitUntil("the stream runs", func() bool { return entry.eventCount("r1", 1) > 3 })
		env.stop()
		time.Sleep(time.Second)
		status, body := env.call("GET", "/readyz", nil)
		assert.Equal(t, 503, status)
		assert.Contains(t, body, `"name":"stopping"`)
		entry.dispatch(completionDispatch("r2", 1))
		assert.Equal(t, wire.Proof_PROOF_NEVER_STARTED, entry.awaitOver("r2", 1).GetProof())

		assert.NoError(t, <-env.ended)
		env.stop = nil
		time.Sleep(time.Second)
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, entry.over("r1", 1).GetProof())
		commands := env.control.commands()
		require.NotEmpty(t, commands)
		removal := commands[len(commands)-1].GetRemoveAgent()
		assert.Equal(t, "agent-1", removal.GetAgent())
		assert.Equal(t, env.agent.incarnation, removal.GetIncarnation())
	})
}

// A stream that doesn't end must not keep a stopping agent from ending after timing.drain.
func TestStopEndsAtTheDrainTimeout(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent(func(s *settings.Agent) { s.Timing.Drain = 10 * time.Second })
		env.startEngine(slowModel())
		env.waitReady()
		entry := env.startEntry(entryHost, "entry-1")
		entry.awaitRoom("server-1")
		entry.dispatch(longCompletionDispatch("r1", 1))
		env.waitUntil("the stream runs", func() bool { return entry.eventCount("r1", 1) > 3 })
		assert.ErrorIs(t, env.stopAgent(), ErrDrainTimeout)
	})
}

// An agent whose session has failed must end at once, also during a drain. Without a session it can't drain, and it
// would be neither ready nor ended for as long as its longest stream runs.
func TestFailedActorEndsShutdown(t *testing.T) {
	for name, ordered := range map[string]bool{"not stopping": false, "draining": true} {
		t.Run(name, func(t *testing.T) {
			withModelEnv(t, func(env *testEnv, _ *standin.Server, entry *fakeEntry) {
				entry.dispatch(longCompletionDispatch("r1", 1))
				env.waitUntil("the stream runs", func() bool { return entry.eventCount("r1", 1) > 3 })
				if ordered {
					env.stop()
					time.Sleep(time.Second)
				}
				env.supersede()
				synctest.Wait()
				time.Sleep(2 * httpShutdownTimeout)
				require.Len(env.t, env.ended, 1, "the agent still runs")
				assert.ErrorIs(t, <-env.ended, ErrSuperseded)
				env.stop()
				env.stop = nil
			})
		})
	}
}

func TestStopWithoutServers(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent()
		time.Sleep(5 * time.Second)
		status, body := env.call("GET", "/readyz", nil)
		assert.Equal(t, 503, status)
		assert.Contains(t, body, `"name":"no_server"`)
		assert.NoError(t, env.stopAgent())
		assert.Empty(t, env.control.commands(), "this incarnation was never registered")
	})
}

// Guards against a call that is being read when an agent stops, and loses its answer with the process.
func TestStopAnswersCallsInProgress(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent()
		env.startEngine(slowModel())
		env.waitReady()
		body, rest := io.Pipe()
		request, err := http.NewRequestWithContext(env.t.Context(), http.MethodPost, "http://"+env.agent.HTTPAddr()+"/v1/leave", body)
		require.NoError(env.t, err)
		answered := make(chan int, 1)
		go func() {
			response, err := env.http.Do(request)
			if err != nil {
				answered <- 0
				return
			}
			response.Body.Close()
			answered <- response.StatusCode
		}()
		_, err = io.WriteString(rest, `{"server":`)
		require.NoError(env.t, err)
		synctest.Wait()
		env.stop()
		env.stop = nil
		time.Sleep(httpShutdownTimeout / 2)
		assert.Empty(env.t, env.ended, "the agent ended beside a call in progress")
		_, err = io.WriteString(rest, `"none"}`)
		require.NoError(env.t, err)
		require.NoError(env.t, rest.Close())
		assert.Equal(env.t, http.StatusNotFound, <-answered)
		assert.NoError(env.t, <-env.ended)
	})
}
