package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

func loadOrder(id, fence uint64, model string) *wire.Order {
	return &wire.Order{
		Id:        id,
		Fence:     fence,
		Server:    "server-1",
		Kind:      wire.OrderKind_ORDER_KIND_LOAD,
		Model:     model,
		Committed: true,
	}
}

// newFence is a guard that knows the committed number.
func newFence(number uint64) *fence {
	view := &session.View{ConfigVersion: 1, Fence: number}
	return &fence{view: func() *session.View { return view }}
}

// awaitResult waits for the next result of an order.
func (w *testEnv) awaitResult(n int) *wire.OrderResult {
	w.t.Helper()
	w.waitUntil("result of an order", func() bool { return len(w.control.orderResults()) >= n })
	return w.control.orderResults()[n-1]
}

// Symptom: a model that the present leader loaded is gone again.
// Sequence: a control leader is cut off; another is elected and committed its fence number; the old one, which doesn't
// know, gives an order.
// Cause: the engine ignores fence numbers, or has never seen the new one, and the agent left the check to it.
func TestOldFenceIsRefused(t *testing.T) {
	for _, fencing := range []engine.Fencing{engine.FencingRefuses, engine.FencingIgnores} {
		t.Run(string(fencing), func(t *testing.T) {
			withEnv(t, func(w *testEnv) {
				w.startAgent()
				options := slowModel()
				options.Capabilities = standin.ModelDefaults().Capabilities
				options.Capabilities.Fencing = fencing
				model := w.startEngine(options)
				w.waitReady()

				w.control.orders <- loadOrder(1, 4, "old")
				assert.Equal(t, uint32(result.FenceTooOld), w.awaitResult(1).GetCode(), "the committed number is 5")
				w.control.orders <- loadOrder(2, 7, "new")
				assert.Zero(t, w.awaitResult(2).GetCode())
				w.control.orders <- loadOrder(3, 6, "old")
				assert.Equal(t, uint32(result.FenceTooOld), w.awaitResult(3).GetCode(), "the last order had 7")
				uncommitted := loadOrder(4, 9, "old")
				uncommitted.Committed = false
				w.control.orders <- uncommitted
				assert.Equal(t, uint32(result.OrderRefused), w.awaitResult(4).GetCode())

				assert.Equal(t, []string{"sample", "new"}, model.Announcement().Models)
			})
		})
	}
}

// Symptom: an order of a replaced leader is carried out while its agent waits for the engine.
// Sequence: a load goes on for long; a newer leader commits its fence number meanwhile.
// Cause: the number was looked at only when the order came.
func TestNewerFenceStopsOrderInProgress(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.startAgent()
		options := slowModel()
		options.WeightRate = float64(options.WeightBytes) / 30 // a load takes 30 s
		w.startEngine(options)
		w.waitReady()
		w.control.orders <- loadOrder(1, 5, "new")
		time.Sleep(3 * time.Second)
		w.control.setView(&session.View{ConfigVersion: 2, Fence: 8})
		assert.Equal(t, uint32(result.FenceTooOld), w.awaitResult(1).GetCode())
	})
}

// Symptom: a restarted agent carries out an order of a leader that was replaced long ago.
// Sequence: the agent dies while it carries out an order; the new incarnation hears first from the old leader, then
// from the new one, which gives the order again.
// Cause: the highest fence number was forgotten with the process, and any number passed.
func TestAgentCrashDuringOrder(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.startAgent()
		options := slowModel()
		options.WeightRate = float64(options.WeightBytes) / 30
		options.Capabilities = standin.ModelDefaults().Capabilities
		options.Capabilities.Fencing = engine.FencingIgnores
		model := w.startEngine(options)
		w.waitReady()
		w.control.orders <- loadOrder(1, 5, "new")
		time.Sleep(3 * time.Second)
		w.killAgent()
		assert.Empty(t, w.control.orderResults(), "nothing was reported")

		w.control.setView(new(session.View)) // nothing is known yet
		w.startAgent()
		w.waitReady()
		w.control.orders <- loadOrder(7, 3, "old")
		assert.Equal(t, uint32(result.Starting), w.awaitResult(1).GetCode())

		w.control.setView(&session.View{ConfigVersion: 2, Fence: 6})
		w.control.orders <- loadOrder(8, 5, "old")
		assert.Equal(t, uint32(result.FenceTooOld), w.awaitResult(2).GetCode())
		w.control.orders <- loadOrder(1, 6, "new")
		assert.Zero(t, w.awaitResult(3).GetCode())
		assert.Equal(t, []string{"sample", "new"}, model.Announcement().Models)
	})
}

func TestOneOrderAtATime(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.startAgent()
		options := slowModel()
		options.WeightRate = float64(options.WeightBytes) / 30
		w.startEngine(options)
		w.waitReady()
		w.control.orders <- loadOrder(1, 5, "new")
		w.control.orders <- loadOrder(2, 5, "other")
		assert.Equal(t, uint32(result.ServerBusy), w.awaitResult(1).GetCode())
		w.control.orders <- loadOrder(1, 5, "new") // again, while it is under way
		first := w.awaitResult(2)
		assert.Equal(t, uint64(1), first.GetOrder())
		assert.Zero(t, first.GetCode())
		time.Sleep(time.Minute)
		assert.Len(t, w.control.orderResults(), 2)
	})
}

func TestOrderForUnknownServerIsRefused(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.startAgent()
		w.startEngine(slowModel())
		w.waitReady()
		order := loadOrder(1, 5, "new")
		order.Server = "server-9"
		w.control.orders <- order
		assert.Equal(t, uint32(result.UnknownServer), w.awaitResult(1).GetCode())
	})
}

// What the engine says to an order, and what control hears.
func TestOrderStates(t *testing.T) {
	refused := &engine.CallError{Call: "order", Class: engine.ErrRefused}
	unsupported := &engine.CallError{Call: "order", Class: engine.ErrUnsupported}
	tests := map[string]struct {
		answers []engine.OrderResult
		errs    []error
		code    result.Code
		calls   int
	}{
		"done":            {answers: []engine.OrderResult{{State: engine.OrderDone}}, calls: 1},
		"running":         {answers: []engine.OrderResult{{State: engine.OrderRunning}, {State: engine.OrderDone}}, calls: 2},
		"call lost":       {errs: []error{engine.ErrUnknown}, answers: []engine.OrderResult{{}, {State: engine.OrderDone}}, calls: 2},
		"stale":           {answers: []engine.OrderResult{{State: engine.OrderStale, Fence: 9}}, code: result.FenceTooOld, calls: 1},
		"busy":            {answers: []engine.OrderResult{{State: engine.OrderBusy}}, code: result.ServerBusy, calls: 1},
		"refused":         {answers: []engine.OrderResult{{State: engine.OrderRefused}}, code: result.OrderRefused, calls: 1},
		"refused by call": {errs: []error{refused}, answers: []engine.OrderResult{{}}, code: result.OrderRefused, calls: 1},
		"no such call":    {errs: []error{unsupported}, answers: []engine.OrderResult{{}}, code: result.OrderRefused, calls: 1},
		"never ends":      {answers: nil, code: result.OrderExpired, calls: int(orderTimeout / orderPollInterval)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := new(scriptedEngine)
				client.order = func(engine.Order) (engine.OrderResult, error) {
					call := len(client.orders) - 1
					if call < len(test.errs) {
						return engine.OrderResult{}, test.errs[call]
					}
					if call < len(test.answers) {
						return test.answers[call], nil
					}
					return engine.OrderResult{State: engine.OrderRunning}, nil
				}
				s, _ := newTestServer(t.Context(), client)
				s.view.Store(&serverView{client: client, recovered: true})
				o := newOrders(orderDeps{
					log:   discardLog(),
					meter: newMeter(),
					fence: newFence(5),
					ready: s.ready,
				})
				err := o.execute(t.Context(), s, loadOrder(1, 5, "new"))
				assert.Equal(t, test.code, result.CodeOf(err))
				assert.InDelta(t, test.calls, len(client.orders), 1)
			})
		})
	}
}

// Symptom: a server stays busy for ever and takes no more orders.
// Sequence: a server goes away while an order is under way.
// Cause: the order waited for an engine that is gone.
func TestOrderFailsWhenServerIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := new(scriptedEngine)
		client.order = func(engine.Order) (engine.OrderResult, error) { return engine.OrderResult{}, engine.ErrNeverSent }
		s, _ := newTestServer(t.Context(), client)
		s.view.Store(&serverView{client: client, condition: wire.ServerCondition_SERVER_CONDITION_GONE, recovered: true})
		o := newOrders(orderDeps{log: discardLog(), meter: newMeter(), fence: newFence(5), ready: s.ready})
		err := o.execute(context.Background(), s, loadOrder(1, 5, "new"))
		require.Error(t, err)
		assert.Equal(t, result.OrderFailed, result.CodeOf(err))
	})
}
