package agent

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// longCompletionDispatch returns a dispatch whose stream takes minutes on a slowModel.
func longCompletionDispatch(request string, number uint64) *wire.Dispatch {
	return withBody(completionDispatch(request, number), strings.Replace(chatBody, `"max_tokens":20`, `"max_tokens":2000`, 1))
}

// A new incarnation must not register or accept entries before the engine confirmed the end of the old streams, also
// if it ignores cancels for a while. Entries take the new incarnation as a proof and run the requests elsewhere.
func TestRestartedAgentRegistersAfterEngineRecovery(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent()
		model := env.startEngine(slowModel())
		env.waitReady()
		entry := env.startEntry(entryHost, "entry-1")
		entry.awaitRoom("server-1")
		entry.dispatch(longCompletionDispatch("r1", 1))
		env.waitUntil("the stream runs", func() bool { return entry.eventCount("r1", 1) > 3 })
		require.NoError(t, model.SetFaults(standin.Faults{IgnoreCancel: true}))
		env.killAgent()

		env.startAgent()
		time.Sleep(10 * time.Second)
		assert.Equal(t, 1, env.ledger.Running(), "the engine ignores cancels")
		assert.False(t, env.control.isRunning(), "the agent must not register yet")
		links, _ := entry.links()
		assert.Equal(t, 1, links, "the agent must not accept links yet")
		status, body := env.call(http.MethodGet, "/readyz", nil)
		assert.Equal(t, http.StatusServiceUnavailable, status)
		assert.Contains(t, body, `"code":1401`)

		require.NoError(t, model.SetFaults(standin.Faults{}))
		env.waitUntil("the newer incarnation opens a link", func() bool {
			links, _ := entry.links()
			return links == 2
		})
		assert.Zero(t, env.ledger.Running())
		env.waitReady()
		assert.True(t, env.control.isRunning())
	})
}

// An empty list of streams must be confirmed by a second one. The last dispatch of a dead agent may still be in flight
// at the first list, and the request would run on two engines.
func TestEmptyStreamListIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &scriptedEngine{lists: [][]engine.StreamInfo{
			nil,
			{{ID: "r1.1", State: engine.StreamPrefill}},
		}}
		streams, err := confirmedStreams(t.Context(), client)
		require.NoError(t, err)
		assert.Len(t, streams, 1)
	})
}

// An agent must end when a newer incarnation is registered. Two processes with one instance name would cancel each
// other's streams.
func TestNewerIncarnationStopsAgent(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent()
		env.startEngine(slowModel())
		env.waitReady()
		env.supersede()
		env.waitUntil("the agent has ended", func() bool { return len(env.ended) == 1 })
		assert.ErrorIs(t, <-env.ended, ErrSuperseded)
		env.stop()
		env.stop = nil
	})
}

// scriptedEngine is an engine whose answers the test supplies.
type scriptedEngine struct {
	engine.Client
	lists    [][]engine.StreamInfo
	run      func(ctx context.Context) (engine.Outcome, error)
	cancel   func() (engine.CancelResult, error)
	order    func(engine.Order) (engine.OrderResult, error)
	orders   []engine.Order
	resumed  []engine.AttemptID
	imported []engine.AttemptID
}

func (e *scriptedEngine) Streams(context.Context) ([]engine.StreamInfo, error) {
	if len(e.lists) == 0 {
		return nil, nil
	}
	list := e.lists[0]
	e.lists = e.lists[1:]
	return list, nil
}

func (e *scriptedEngine) Run(ctx context.Context, _ engine.Request, _ engine.Sink) (engine.Outcome, error) {
	return e.run(ctx)
}

func (e *scriptedEngine) Resume(ctx context.Context, id engine.AttemptID, _ int, _ []byte, _ engine.Sink) (engine.Outcome, error) {
	e.resumed = append(e.resumed, id)
	return e.run(ctx)
}

func (e *scriptedEngine) ExportKV(context.Context, engine.AttemptID) ([]byte, error) {
	return []byte("kv"), nil
}

func (e *scriptedEngine) ImportKV(_ context.Context, id engine.AttemptID, _ []byte) error {
	e.imported = append(e.imported, id)
	return nil
}

func (e *scriptedEngine) Cancel(context.Context, engine.AttemptID) (engine.CancelResult, error) {
	return e.cancel()
}

func (e *scriptedEngine) Load(context.Context) (engine.Load, error) {
	return engine.Load{}, engine.ErrUnsupported
}

func (e *scriptedEngine) Order(_ context.Context, order engine.Order) (engine.OrderResult, error) {
	e.orders = append(e.orders, order)
	return e.order(order)
}

// A plain service has no list of streams. An agent that takes the missing list for an engine that doesn't answer would
// never become ready.
func TestServiceWithoutStreamListBecomesReady(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent()
		env.startEngine(slowService())
		env.waitReady()
		assert.Equal(t, result.Code(0), env.agent.ready.refusalCode())
	})
}
