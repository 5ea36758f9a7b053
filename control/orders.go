package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// placement is an order to be placed by the leader's duty.
type placement struct {
	order *wire.Order
	done  chan error
}

// PlaceOrder has an order committed by the leader's duty, which sends it to the agent and closes it by its result. It
// returns once the order is committed. Errors have code result.NotLeader at another instance, result.ServerBusy or
// another code of the state, or that of a failed proposal.
func (c *Control) PlaceOrder(ctx context.Context, order *wire.Order) error {
	p := placement{order: proto.CloneOf(order), done: make(chan error, 1)}
	if !c.leader.placements.TryPush(p) {
		return result.New(result.ProposalQueueFull, "").WithRan(result.RanNo)
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return result.Wrap(context.Cause(ctx), result.ProposalUnknown, "")
	}
}

// place commits an order with this leader's fence, and only then sends it.
func (l *leader) place(ctx context.Context, p placement) {
	if l.term == 0 {
		p.done <- result.New(result.NotLeader, "").WithRan(result.RanNo)
		return
	}
	p.order.Fence = l.fence
	_, err := l.propose(ctx, &wire.Command{Kind: &wire.Command_PutOrder{PutOrder: &wire.PutOrder{Order: p.order}}})
	if err == nil {
		l.sendOrders()
	}
	p.done <- err
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
