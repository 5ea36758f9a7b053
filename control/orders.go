package control

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// placeOrder commits an order and sends it. Only the leader's duty calls it. A refusal by the state is an error with
// the state's code.
func (l *leader) placeOrder(ctx context.Context, order *wire.Order) error {
	order.Fence = l.fence
	_, err := l.propose(ctx, &wire.Command{Kind: &wire.Command_PutOrder{PutOrder: &wire.PutOrder{Order: order}}})
	if err != nil {
		return err
	}
	l.sendOrders()
	return nil
}

// resend sends the open orders again: one may have been lost with a session, or with the leader that placed it.
func (l *leader) resend(ctx context.Context) error {
	if time.Since(l.ordered) < orderInterval {
		return nil
	}
	l.ordered = time.Now()
	for _, o := range l.sendOrders() {
		if err := l.closeOrder(ctx, o.GetId(), result.OrderExpired); err != nil {
			return err
		}
	}
	return nil
}

// sendOrders sends the open orders to their agents. It returns those whose server has left.
func (l *leader) sendOrders() (left []*wire.Order) {
	agents := make(map[string]string)
	var orders []*wire.Order
	l.control.machine.read(func(s *state.State) {
		orders = s.Orders()
		for _, o := range orders {
			agents[o.GetServer()] = s.AgentOf(o.GetServer())
		}
	})
	for _, o := range orders {
		agent := agents[o.GetServer()]
		if agent == "" {
			left = append(left, o)
			continue
		}
		if one := l.control.sessions.of(agent); one != nil {
			one.order(o)
		}
	}
	return left
}

// orderEnded takes the result of an order from an agent. The agent sends it again while the order is open.
func (l *leader) orderEnded(r *wire.OrderResult) {
	l.results.TryPush(r)
}

// endOrder closes an order by its agent's result. A refusal of an old fence closes nothing: the order goes on under
// the new one.
func (l *leader) endOrder(ctx context.Context, r *wire.OrderResult) {
	if l.term == 0 || result.Code(r.GetCode()) == result.FenceTooOld {
		return
	}
	isOpen := false
	l.control.machine.read(func(s *state.State) {
		for _, o := range s.Orders() {
			isOpen = isOpen || o.GetId() == r.GetOrder() && o.GetServer() == r.GetServer()
		}
	})
	if !isOpen {
		return
	}
	l.control.counters.orderEnded(result.Code(r.GetCode())).Inc()
	if err := l.closeOrder(ctx, r.GetOrder(), result.Code(r.GetCode())); err != nil {
		l.control.log.WithError(err).Warn("order_not_closed")
	}
}

func (l *leader) closeOrder(ctx context.Context, id uint64, code result.Code) error {
	_, err := l.propose(ctx, &wire.Command{Kind: &wire.Command_EndOrder{EndOrder: &wire.EndOrder{
		Order: id,
		Code:  uint32(code),
	}}})
	return err
}
