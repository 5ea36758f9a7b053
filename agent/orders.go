package agent

import (
	"context"
	"sync"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// orderDeps are the dependencies of orders.
type orderDeps struct {
	log     log.Interface
	meter   *meter
	fence   *fence
	ready   *readiness
	servers *servers
	spawn   func(func(ctx context.Context))
	report  func(*wire.OrderResult)
}

// orders carries out the orders of the control leader, one at a time for each server.
type orders struct {
	orderDeps

	mu         sync.Mutex
	inProgress map[string]uint64 // ID of the order in progress, by server
}

func newOrders(deps orderDeps) *orders {
	return &orders{
		orderDeps:  deps,
		inProgress: make(map[string]uint64),
	}
}

// handle starts an order, or reports at once why it can't. A repeated order that is still in progress is not started
// again; the session answers one that is repeated after its result was reported.
func (o *orders) handle(ctx context.Context, order *wire.Order) {
	s, err := o.check(order)
	if err != nil {
		o.reportResult(order, err)
		return
	}
	if order.GetKind() == wire.OrderKind_ORDER_KIND_DRAIN {
		o.reportResult(order, s.leave(ctx, "order"))
		return
	}
	if begun, err := o.begin(order); !begun {
		if err != nil {
			o.reportResult(order, err)
		}
		return
	}
	o.spawn(func(ctx context.Context) {
		err := o.execute(ctx, s, order)
		o.end(order)
		if ctx.Err() != nil {
			// The engine continues the order without this agent; the leader sends it to the next incarnation again.
			return
		}
		o.reportResult(order, err)
	})
}

// check returns the server of an order that may be started. Errors have the code of the refusal.
func (o *orders) check(order *wire.Order) (*server, error) {
	if code := o.ready.refusalCode(); code != 0 {
		return nil, result.New(code, "")
	}
	if err := o.fence.check(order); err != nil {
		return nil, err
	}
	s := o.servers.get(order.GetServer())
	if s == nil || !s.view.Load().recovered {
		return nil, result.New(result.UnknownServer, "")
	}
	return s, nil
}

// begin marks the server as busy. It returns false without an error if this order is already in progress.
func (o *orders) begin(order *wire.Order) (bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	running, busy := o.inProgress[order.GetServer()]
	if busy && running == order.GetId() {
		return false, nil
	}
	if busy {
		return false, result.New(result.ServerBusy, "order %d is under way", running)
	}
	o.inProgress[order.GetServer()] = order.GetId()
	return true, nil
}

func (o *orders) end(order *wire.Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.inProgress, order.GetServer())
}

// reportResult reports the result of an order to control. A nil err means that it is done.
func (o *orders) reportResult(order *wire.Order, err error) {
	code := result.CodeOf(err)
	outcome := &wire.OrderResult{
		Order:  order.GetId(),
		Server: order.GetServer(),
		Fence:  order.GetFence(),
		Code:   uint32(code),
	}
	if err != nil {
		outcome.Message = result.From(err).Message
	}
	o.meter.orderEnded(code)
	o.log.WithField("order", order.GetId()).
		WithField("kind", order.GetKind()).
		WithField("server", order.GetServer()).
		WithField("fence", order.GetFence()).
		WithField("code", uint16(code)).
		Info("order_ended")
	o.report(outcome)
}

// execute sends an order to the engine repeatedly until it is done; the answer to a repeated order gives its progress.
// The fence is checked before each call, since a newer leader may have been elected in between.
func (o *orders) execute(ctx context.Context, s *server, order *wire.Order) error {
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	for {
		if err := o.fence.check(order); err != nil {
			return err
		}
		view := s.view.Load()
		if view.client == nil || view.gone() {
			return result.New(result.OrderFailed, "the backend server is gone")
		}
		done, err := callOrder(ctx, view.client, order)
		if done || err != nil {
			return err
		}
		if !pause.For(ctx, orderPollInterval) {
			return result.New(result.OrderExpired, "")
		}
	}
}
