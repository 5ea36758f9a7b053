package session

import (
	"sync"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// orders delivers each order to the agent once, and keeps the last result of each server.
type orders struct {
	out chan *wire.Order

	mu      sync.Mutex
	fence   uint64                       // highest fence number seen
	pending map[string]uint64            // by server: id of the order in progress
	results map[string]*wire.OrderResult // by server
}

func newOrders() *orders {
	return &orders{
		out:     make(chan *wire.Order, orderBufferSize),
		pending: make(map[string]uint64),
		results: make(map[string]*wire.OrderResult),
	}
}

// Orders returns the channel of committed orders for this agent's backend servers. An order that the leader sends
// repeatedly is delivered once until Report gives its result. No order is delivered while the process is cut off.
func (s *Session) Orders() <-chan *wire.Order {
	return s.orders.out
}

// Report sends the result of an order, and sends it again whenever the leader repeats the order.
func (s *Session) Report(r *wire.OrderResult) {
	s.orders.mu.Lock()
	s.orders.results[r.GetServer()] = r
	delete(s.orders.pending, r.GetServer())
	s.orders.mu.Unlock()
	for _, p := range s.knownPeers() {
		p.sendOrderResult(r)
	}
}

func (p *peer) sendOrderResult(r *wire.OrderResult) {
	p.send(&wire.ClientMessage{Kind: &wire.ClientMessage_OrderResult{OrderResult: r}})
}

// handleOrder handles an order from a control instance. An order with a lower fence number than the highest seen is
// refused: its leader was replaced, perhaps without knowing it, and a newer leader may have given other orders.
func (s *Session) handleOrder(from *peer, o *wire.Order) {
	if s.CutOff() != nil {
		s.counters.ordersCutOff.Inc()
		return
	}
	reply, full := s.orders.accept(o, s.View().Fence)
	if full {
		s.counters.ordersFull.Inc()
	}
	if reply.GetCode() == uint32(result.FenceTooOld) {
		s.counters.ordersFenced.Inc()
	}
	if reply != nil {
		from.sendOrderResult(reply)
	}
}

// accept delivers a new order. It returns the result of an order that is finished or refused, nil for any other, and
// whether the channel was full; the leader sends the order again in that case.
func (r *orders) accept(o *wire.Order, committedFence uint64) (reply *wire.OrderResult, full bool) {
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
