package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/engine"
)

// WeightStore is a store of model weights with a limited rate. The loads of all stand-ins that
// share it are served one after another.
type WeightStore struct {
	rate      float64
	mu        sync.Mutex
	busyUntil time.Time
}

// NewWeightStore returns a store with a rate in bytes per second.
func NewWeightStore(rate float64) *WeightStore {
	return &WeightStore{rate: rate}
}

// reserve queues a fetch of size bytes and returns the time at which it completes.
func (w *WeightStore) reserve(size int64) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); w.busyUntil.Before(now) {
		w.busyUntil = now
	}
	w.busyUntil = w.busyUntil.Add(time.Duration(float64(size) / w.rate * float64(time.Second)))
	return w.busyUntil
}

// orderState is the state of an engine that orders change.
type orderState struct {
	options Options
	fence   uint64
	// models is replaced on each change and never modified in place.
	models  []string
	loading string
	readyAt time.Time
	role    string
}

func newOrderState(options Options) orderState {
	return orderState{
		options: options,
		models:  slices.Clone(options.Models),
	}
}

// finishLoad marks the model that is being loaded as ready once its load time has passed.
func (o *orderState) finishLoad() {
	if o.loading == "" || time.Now().Before(o.readyAt) {
		return
	}
	o.models = append(slices.Clone(o.models), o.loading)
	o.loading = ""
}

func (o *orderState) ready(model string) bool {
	o.finishLoad()
	return slices.Contains(o.models, model)
}

// apply executes or refuses an order; streams is the number of running streams of its model.
func (o *orderState) apply(order engine.Order, streams int) engine.OrderResult {
	o.finishLoad()
	if o.options.Capabilities.Fencing == engine.FencingRefuses && order.Fence < o.fence {
		return o.result(engine.OrderStale, "fence number is old")
	}
	o.fence = max(o.fence, order.Fence)
	switch order.Kind {
	case engine.OrderLoad:
		return o.load(order.Model)
	case engine.OrderUnload:
		return o.unload(order.Model, streams)
	case engine.OrderRole:
		return o.setRole(order.Role)
	default:
		return o.result(engine.OrderRefused, "unknown order")
	}
}

func (o *orderState) load(model string) engine.OrderResult {
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

func (o *orderState) running() engine.OrderResult {
	result := o.result(engine.OrderRunning, "")
	result.RemainingMs = time.Until(o.readyAt).Milliseconds()
	return result
}

// unload stops the admission of new streams of the model immediately. It is done when the last
// running stream of the model ends.
func (o *orderState) unload(model string, streams int) engine.OrderResult {
	if o.loading != "" {
		return o.result(engine.OrderBusy, "loading "+o.loading)
	}
	o.models = slices.DeleteFunc(slices.Clone(o.models), func(name string) bool { return name == model })
	if streams > 0 {
		return o.result(engine.OrderRunning, "streams of the model are finishing")
	}
	return o.result(engine.OrderDone, "")
}

func (o *orderState) setRole(role string) engine.OrderResult {
	if !slices.Contains(o.options.Roles, role) {
		return o.result(engine.OrderRefused, "unknown role")
	}
	o.role = role
	return o.result(engine.OrderDone, "")
}

func (o *orderState) result(state engine.OrderState, message string) engine.OrderResult {
	result := engine.OrderResult{
		State:   state,
		Message: message,
	}
	if o.options.Capabilities.Fencing == engine.FencingRefuses {
		result.Fence = o.fence
	}
	return result
}

// order executes an order and counts it if its fence number is stale.
func (b *batch) order(order engine.Order) engine.OrderResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	if order.Fence < b.orders.fence {
		b.counters.add(func(stats *Stats) { stats.StaleOrders++ })
	}
	streams := 0
	for _, s := range b.streams {
		if s.state.Running() && s.spec.Model == order.Model {
			streams++
		}
	}
	result := b.orders.apply(order, streams)
	b.recordLoad()
	return result
}

// load returns the delayed load report.
func (b *batch) load() engine.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.orders.loading
	if b.orders.finishLoad(); b.orders.loading != before {
		b.recordLoad()
	}
	return b.loadHistory.report()
}

// cacheEvents returns the published cache events with sequence numbers above after.
func (b *batch) cacheEvents(after uint64) []engine.CacheEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.events.after(after)
}

// ready returns the models that are ready.
func (b *batch) ready() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.orders.finishLoad()
	return b.orders.models
}
