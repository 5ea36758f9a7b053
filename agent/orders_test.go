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

// newFence returns a fence whose committed number is known.
func newFence(number uint64) *fence {
	view := &session.View{ConfigVersion: 1, Fence: number}
	return &fence{view: func() *session.View { return view }}
}

// awaitResult waits for the nth result of an order, counted from 1.
func (env *testEnv) awaitResult(n int) *wire.OrderResult {
	env.t.Helper()
	env.waitUntil("the result of an order", func() bool { return len(env.control.orderResults()) >= n })
	return env.control.orderResults()[n-1]
}

// Orders of a leader that was replaced without knowing it must be refused, whether or not the engine checks fence
// numbers. Otherwise it unloads, for example, the model that the current leader loaded.
func TestOldFenceIsRefused(t *testing.T) {
	for _, fencing := range []engine.Fencing{engine.FencingRefuses, engine.FencingIgnores} {
		t.Run(string(fencing), func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.startAgent()
				options := slowModel()
				options.Capabilities = standin.ModelDefaults().Capabilities
				options.Capabilities.Fencing = fencing
				model := env.startEngine(options)
				env.waitReady()

				env.control.orders <- loadOrder(1, 4, "old")
				assert.Equal(t, uint32(result.FenceTooOld), env.awaitResult(1).GetCode(), "the committed number is 5")
				env.control.orders <- loadOrder(2, 7, "new")
				assert.Zero(t, env.awaitResult(2).GetCode())
				env.control.orders <- loadOrder(3, 6, "old")
				assert.Equal(t, uint32(result.FenceTooOld), env.awaitResult(3).GetCode(), "the last order had 7")
				uncommitted := loadOrder(4, 9, "old")
				uncommitted.Committed = false
				env.control.orders <- uncommitted
				assert.Equal(t, uint32(result.OrderRefused), env.awaitResult(4).GetCode())

				assert.Equal(t, []string{"sample", "new"}, model.Announcement().Models)
			})
		})
	}
}

// A newer leader's fence number must stop an order that is in progress. Checking only at the arrival of the order
// would carry out the replaced leader's order.
func TestNewerFenceStopsOrderInProgress(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent()
		options := slowModel()
		options.WeightRate = float64(options.WeightBytes) / 30 // a load takes 30 s
		env.startEngine(options)
		env.waitReady()
		env.control.orders <- loadOrder(1, 5, "new")
		time.Sleep(3 * time.Second)
		env.control.setView(&session.View{ConfigVersion: 2, Fence: 8})
		assert.Equal(t, uint32(result.FenceTooOld), env.awaitResult(1).GetCode())
	})
}

// A restarted agent must refuse orders of a leader that was replaced before the restart. The highest fence number is
// lost with the process, so orders wait until the committed state is known.
func TestAgentCrashDuringOrder(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent()
		options := slowModel()
		options.WeightRate = float64(options.WeightBytes) / 30
		options.Capabilities = standin.ModelDefaults().Capabilities
		options.Capabilities.Fencing = engine.FencingIgnores
		model := env.startEngine(options)
		env.waitReady()
		env.control.orders <- loadOrder(1, 5, "new")
		time.Sleep(3 * time.Second)
		env.killAgent()
		assert.Empty(t, env.control.orderResults(), "nothing was reported")

		env.control.setView(new(session.View)) // no committed state is known
		env.startAgent()
		env.waitReady()
		env.control.orders <- loadOrder(7, 3, "old")
		assert.Equal(t, uint32(result.Starting), env.awaitResult(1).GetCode())

		env.control.setView(&session.View{ConfigVersion: 2, Fence: 6})
		env.control.orders <- loadOrder(8, 5, "old")
		assert.Equal(t, uint32(result.FenceTooOld), env.awaitResult(2).GetCode())
		env.control.orders <- loadOrder(1, 6, "new")
		assert.Zero(t, env.awaitResult(3).GetCode())
		assert.Equal(t, []string{"sample", "new"}, model.Announcement().Models)
	})
}

func TestOneOrderAtATime(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent()
		options := slowModel()
		options.WeightRate = float64(options.WeightBytes) / 30
		env.startEngine(options)
		env.waitReady()
		env.control.orders <- loadOrder(1, 5, "new")
		env.control.orders <- loadOrder(2, 5, "other")
		assert.Equal(t, uint32(result.ServerBusy), env.awaitResult(1).GetCode())
		env.control.orders <- loadOrder(1, 5, "new") // a repeated order that is in progress
		first := env.awaitResult(2)
		assert.Equal(t, uint64(1), first.GetOrder())
		assert.Zero(t, first.GetCode())
		time.Sleep(time.Minute)
		assert.Len(t, env.control.orderResults(), 2)
	})
}

func TestOrderForUnknownServerIsRefused(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent()
		env.startEngine(slowModel())
		env.waitReady()
		order := loadOrder(1, 5, "new")
		order.Server = "server-9"
		env.control.orders <- order
		assert.Equal(t, uint32(result.UnknownServer), env.awaitResult(1).GetCode())
	})
}

// The engine's answers to an order must be reported to control with the right result code.
func TestOrderStates(t *testing.T) {
	refused := &engine.CallError{Call: "order", Class: engine.ErrRefused}
	unsupported := &engine.CallError{Call: "order", Class: engine.ErrUnsupported}
	tests := map[string]struct {
		answers []engine.OrderResult
		errs    []error
		code    result.Code
		calls   int
	}{
		"done":                {answers: []engine.OrderResult{{State: engine.OrderDone}}, calls: 1},
		"running":             {answers: []engine.OrderResult{{State: engine.OrderRunning}, {State: engine.OrderDone}}, calls: 2},
		"call result unknown": {errs: []error{engine.ErrOutcomeUnknown}, answers: []engine.OrderResult{{}, {State: engine.OrderDone}}, calls: 2},
		"stale":               {answers: []engine.OrderResult{{State: engine.OrderStale, Fence: 9}}, code: result.FenceTooOld, calls: 1},
		"busy":                {answers: []engine.OrderResult{{State: engine.OrderBusy}}, code: result.ServerBusy, calls: 1},
		"refused":             {answers: []engine.OrderResult{{State: engine.OrderRefused}}, code: result.OrderRefused, calls: 1},
		"refused by call":     {errs: []error{refused}, answers: []engine.OrderResult{{}}, code: result.OrderRefused, calls: 1},
		"unsupported":         {errs: []error{unsupported}, answers: []engine.OrderResult{{}}, code: result.OrderRefused, calls: 1},
		"never ends":          {answers: nil, code: result.OrderExpired, calls: int(orderTimeout / orderPollInterval)},
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

// An order must end when its server is gone. An order that waits for the engine would keep the server busy forever.
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
