package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/engine"
)

// WeightStore is a store of model weights with a limited rate, which the loads
// of all stand-ins that share it take in turn.
type WeightStore struct {
	rate float64
	mu   sync.Mutex
	free time.Time
}

// NewWeightStore makes a store of rate bytes a second.
func NewWeightStore(rate float64) *WeightStore {
	return &WeightStore{rate: rate}
}

// reserve gives the time at which size bytes are fetched.
func (w *WeightStore) reserve(size int64) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); w.free.Before(now) {
		w.free = now
	}
	w.free = w.free.Add(time.Duration(float64(size) / w.rate * float64(time.Second)))
	return w.free
}

// orderBook is what orders have made of an engine.
type orderBook struct {
	options Options
	fence   uint64
	// models is replaced at each change, never changed in place.
	models  []string
	loading string
	readyAt time.Time
	role    string
}

func newOrderBook(options Options) orderBook {
	return orderBook{
		options: options,
		models:  slices.Clone(options.Models),
	}
}

// settle takes a load that is through.
func (o *orderBook) settle() {
	if o.loading == "" || time.Now().Before(o.readyAt) {
		return
	}
	o.models = append(slices.Clone(o.models), o.loading)
	o.loading = ""
}

func (o *orderBook) ready(model string) bool {
	o.settle()
	return slices.Contains(o.models, model)
}

// order obeys or refuses an order; users counts the streams of its model.
func (o *orderBook) order(order engine.Order, users int) engine.OrderResult {
	o.settle()
	if o.options.Capabilities.Fencing == engine.FencingRefuses && order.Fence < o.fence {
		return o.result(engine.OrderStale, "fence number is old")
	}
	o.fence = max(o.fence, order.Fence)
	switch order.Kind {
	case engine.OrderLoad:
		return o.load(order.Model)
	case engine.OrderUnload:
		return o.unload(order.Model, users)
	case engine.OrderRole:
		return o.setRole(order.Role)
	default:
		return o.result(engine.OrderRefused, "unknown order")
	}
}

func (o *orderBook) load(model string) engine.OrderResult {
	switch {
	case model == "":
		return o.result(engine.OrderRefused, "no model is named")
	case slices.Contains(o.models, model):
		return o.result(engine.OrderDone, "")
	case o.loading == model:
		return o.running()
	case o.loading != "":
		return o.result(engine.OrderBusy, "loading "+o.loading)
	}
	o.loading = model
	o.readyAt = o.options.Weights.reserve(o.options.WeightBytes)
	return o.running()
}

func (o *orderBook) running() engine.OrderResult {
	result := o.result(engine.OrderRunning, "")
	result.RemainingMs = time.Until(o.readyAt).Milliseconds()
	return result
}

// unload takes no new streams of the model at once, and is done when the last
// old one ends.
func (o *orderBook) unload(model string, users int) engine.OrderResult {
	if o.loading != "" {
		return o.result(engine.OrderBusy, "loading "+o.loading)
	}
	o.models = slices.DeleteFunc(slices.Clone(o.models), func(name string) bool { return name == model })
	if users > 0 {
		return o.result(engine.OrderRunning, "streams of the model are finishing")
	}
	return o.result(engine.OrderDone, "")
}

func (o *orderBook) setRole(role string) engine.OrderResult {
	if !slices.Contains(o.options.Roles, role) {
		return o.result(engine.OrderRefused, "unknown role")
	}
	o.role = role
	return o.result(engine.OrderDone, "")
}

func (o *orderBook) result(state engine.OrderState, message string) engine.OrderResult {
	result := engine.OrderResult{
		State:   state,
		Message: message,
	}
	if o.options.Capabilities.Fencing == engine.FencingRefuses {
		result.Fence = o.fence
	}
	return result
}

// order gives the engine an order.
func (b *batch) order(order engine.Order) engine.OrderResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	if order.Fence < b.orders.fence {
		b.counters.add(func(stats *Stats) { stats.StaleOrders++ })
	}
	users := 0
	for _, s := range b.streams {
		if s.state.Running() && s.spec.Model == order.Model {
			users++
		}
	}
	result := b.orders.order(order, users)
	b.noteLoad()
	return result
}

// load gives the late load report.
func (b *batch) load() engine.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.orders.loading
	if b.orders.settle(); b.orders.loading != before {
		b.noteLoad()
	}
	return b.loads.report()
}

// cacheEvents gives the published cache events above a number.
func (b *batch) cacheEvents(after uint64) []engine.CacheEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.events.after(after)
}

// ready gives the models that are ready.
func (b *batch) ready() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.orders.settle()
	return b.orders.models
}
