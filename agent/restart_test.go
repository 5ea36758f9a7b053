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

// longCompletionDispatch is a completion whose stream takes minutes on a slowModel.
func longCompletionDispatch(request string, number uint64) *wire.Dispatch {
	return withBody(completionDispatch(request, number), strings.Replace(chatBody, `"max_tokens":20`, `"max_tokens":2000`, 1))
}

// Symptom: a request runs on two engines.
// Sequence: an agent dies while its engine runs a stream; the engine goes on, and ignores cancels for a while; a new
// incarnation of the agent says hello, the entry takes that for the proof and runs the request elsewhere.
// Cause: the new incarnation showed itself before the engine confirmed that the old stream is over.
func TestRestartedAgentRegistersAfterEngineRecovery(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.startAgent()
		model := w.startEngine(slowModel())
		w.waitReady()
		entry := w.startEntry(entryHost, "entry-1")
		entry.awaitRoom("server-1")
		entry.dispatch(longCompletionDispatch("r1", 1))
		w.waitUntil("the stream runs", func() bool { return entry.eventCount("r1", 1) > 3 })
		require.NoError(t, model.SetFaults(standin.Faults{IgnoreCancel: true}))
		w.killAgent()

		w.startAgent()
		time.Sleep(10 * time.Second)
		assert.Equal(t, 1, w.ledger.Running(), "the engine ignores cancels")
		assert.False(t, w.control.isRunning(), "not registered")
		links, _ := entry.links()
		assert.Equal(t, 1, links, "no hello")
		status, body := w.call(http.MethodGet, "/readyz", nil)
		assert.Equal(t, http.StatusServiceUnavailable, status)
		assert.Contains(t, body, `"code":1401`)

		require.NoError(t, model.SetFaults(standin.Faults{}))
		w.waitUntil("a newer incarnation says hello", func() bool {
			links, _ := entry.links()
			return links == 2
		})
		assert.Zero(t, w.ledger.Running())
		w.waitReady()
		assert.True(t, w.control.isRunning())
	})
}

// Symptom: a request runs on two engines after a restart, although the engine's list was empty.
// Sequence: the last dispatch of a dead agent is still on its way when the new incarnation lists the engine; the list
// is empty; the engine then starts the stream.
// Cause: one empty list was taken for the proof.
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

// Symptom: two processes with one instance name cancel each other's streams.
// Sequence: a second agent starts with the settings of the first; both go on.
// Cause: the older one didn't notice that a newer incarnation is registered.
func TestNewerIncarnationStopsAgent(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.startAgent()
		w.startEngine(slowModel())
		w.waitReady()
		w.supersede()
		w.waitUntil("the agent ends", func() bool { return len(w.ended) == 1 })
		assert.ErrorIs(t, <-w.ended, ErrSuperseded)
		w.stop()
		w.stop = nil
	})
}

// scriptedEngine is an engine whose answers the test gives.
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

// Symptom: the agent of a plain service never becomes ready.
// Sequence: a new incarnation asks the service for its streams; a service has no such call.
// Cause: the missing list was taken for an engine that doesn't answer.
func TestServiceWithoutStreamListBecomesReady(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.startAgent()
		w.startEngine(slowService())
		w.waitReady()
		assert.Equal(t, result.Code(0), w.agent.ready.refusalCode())
	})
}
