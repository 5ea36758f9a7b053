package session

import (
	"sync"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// orders passes orders to the agent, each once, and remembers the last result of each server.
type orders struct {
	out chan *wire.Order

	mu      sync.Mutex
	fence   uint64                       // highest seen
	pending map[string]uint64            // by server: the order that the agent works on
	results map[string]*wire.OrderResult // by server
}

func newOrders() *orders {
	return &orders{
		out:     make(chan *wire.Order, orderRing),
		pending: make(map[string]uint64),
		results: make(map[string]*wire.OrderResult),
	}
}

// Orders returns the channel of committed orders for this agent's backend servers. An order comes once, however often
// the leader sends it, until Report has named it; none comes while the process is cut off.
func (s *Session) Orders() <-chan *wire.Order {
	return s.orders.out
}

// Report sends the result of an order, and again whenever the leader sends the order again.
func (s *Session) Report(r *wire.OrderResult) {
	s.orders.mu.Lock()
	s.orders.results[r.GetServer()] = r
	delete(s.orders.pending, r.GetServer())
	s.orders.mu.Unlock()
	for _, p := range s.all() {
		p.report(r)
	}
}

func (p *peer) report(r *wire.OrderResult) {
	p.send(&wire.ClientMessage{Kind: &wire.ClientMessage_OrderResult{OrderResult: r}})
}

// order takes an order that came from a control instance. One with an older fence number than the highest seen is
// refused: its leader was replaced, perhaps without knowing, and a newer leader may have ordered otherwise.
func (s *Session) order(from *peer, o *wire.Order) {
	if s.CutOff() != nil {
		s.counters.ordersCutOff.Inc()
		return
	}
	known, full := s.orders.take(o, s.View().Fence)
	if full {
		s.counters.ordersFull.Inc()
	}
	if known.GetCode() == uint32(result.FenceTooOld) {
		s.counters.ordersFenced.Inc()
	}
	if known != nil {
		from.report(known)
	}
}

// take passes a new order on, and returns the result of one that has ended or is refused. It tells whether the channel
// was full; the leader sends the order again.
func (r *orders) take(o *wire.Order, committedFence uint64) (known *wire.OrderResult, full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fence = max(r.fence, committedFence)
	if o.GetFence() < r.fence || !o.GetCommitted() {
		return refusedOrder(o, result.FenceTooOld), false
	}
	r.fence = o.GetFence()
	if done := r.results[o.GetServer()]; done.GetOrder() == o.GetId() {
		return done, false
	}
	if r.pending[o.GetServer()] == o.GetId() {
		return nil, false
	}
	select {
	case r.out <- o:
		r.pending[o.GetServer()] = o.GetId()
		return nil, false
	default:
		return nil, true
	}
}

func refusedOrder(o *wire.Order, code result.Code) *wire.OrderResult {
	return &wire.OrderResult{
		Order:   o.GetId(),
		Server:  o.GetServer(),
		Fence:   o.GetFence(),
		Code:    uint32(code),
		Message: code.Info().Message,
	}
}
