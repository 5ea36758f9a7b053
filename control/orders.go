package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// pendingOrder is an order that the leader's loop has yet to commit.
type pendingOrder struct {
	order *wire.Order
	done  chan error
}

// PlaceOrder hands an order to the leader's loop, which commits it, sends it to the agent, and closes it when the agent
// reports its result. It returns once the order is committed. Errors have code result.NotLeader at another instance,
// result.ServerBusy or another code of the state, or that of a failed proposal.
func (c *Control) PlaceOrder(ctx context.Context, order *wire.Order) error {
	p := pendingOrder{order: proto.CloneOf(order), done: make(chan error, 1)}
	if !c.leader.pendingOrders.TryPush(p) {
		return result.New(result.ProposalQueueFull, "").WithRan(result.RanNo)
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return result.Wrap(context.Cause(ctx), result.ProposalUnknown, "")
	}
}

// place commits an order with this leader's fence number. The order is sent only after that.
func (l *leader) place(ctx context.Context, p pendingOrder) {
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

// resendOrders sends the open orders again, since one may have been lost with a session or with the leader that placed
// it. It closes orders whose server is no longer registered.
func (l *leader) resendOrders(ctx context.Context) error {
	if time.Since(l.lastResend) < orderResendInterval {
		return nil
	}
	l.lastResend = time.Now()
	for _, o := range l.sendOrders() {
		if err := l.closeOrder(ctx, o.GetId(), result.OrderExpired); err != nil {
			return err
		}
	}
	return nil
}

// sendOrders sends the open orders to their agents. It returns those whose server is no longer registered.
func (l *leader) sendOrders() (orphaned []*wire.Order) {
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
			orphaned = append(orphaned, o)
			continue
		}
		if sess := l.control.sessions.agentSession(agent); sess != nil {
			sess.sendOrder(o)
		}
	}
	return orphaned
}

// enqueueResult passes an agent's result of an order to the leader's loop. It drops the result if the ring is full: the
// agent sends it again while the order is open.
func (l *leader) enqueueResult(r *wire.OrderResult) {
	l.results.TryPush(r)
}

// applyResult closes an order by its agent's result. A refusal of an old fence number does not close it: the order
// stays open under the new number.
func (l *leader) applyResult(ctx context.Context, r *wire.OrderResult) {
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
