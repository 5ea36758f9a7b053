package state

import (
	"slices"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
	"google.golang.org/protobuf/proto"
)

// raiseFence makes the index of this command the fence number of the leader that proposed it. Open orders get the new
// fence number as well, since the new leader sends them again.
func (s *State) raiseFence() *wire.CommandResult {
	s.fence = s.index
	for server, order := range s.orders {
		raised := proto.CloneOf(order)
		raised.Fence = s.fence
		s.orders[server] = raised
	}
	return accepted()
}

// putOrder commits an order before it is sent. It is refused unless it has the current fence number and its server
// has no open order.
func (s *State) putOrder(order *wire.Order) *wire.CommandResult {
	if order.GetFence() != s.fence || s.fence == 0 {
		// A leader that was disconnected may have decided on stale state, for example of an hour ago.
		return refuse(result.FenceTooOld, "fence %d, the current one is %d", order.GetFence(), s.fence)
	}
	if order.GetKind() == wire.OrderKind_ORDER_KIND_UNSPECIFIED || len(order.GetModel()) > maxName || len(order.GetRole()) > maxName {
		return refuse(result.BadMessage, "an order without a kind, or with a long model or role")
	}
	_, server := s.lookUpServer(order.GetServer())
	if server == nil {
		return refuse(result.UnknownServer, "")
	}
	if open := s.orders[order.GetServer()]; open != nil {
		return refuse(result.ServerBusy, "order %d is open", open.GetId())
	}
	if model := s.lastReadyCopy(server, order); model != "" {
		return refuse(result.LastReadyCopy, "model %s has no other ready copy", model)
	}
	order = proto.CloneOf(order)
	order.Id = s.nextOrder
	order.Committed = true
	s.nextOrder++
	s.orders[order.GetServer()] = order
	return &wire.CommandResult{Order: order}
}

// lastReadyCopy returns a model whose last ready copy the order would remove, or "".
func (s *State) lastReadyCopy(server *wire.ServerRecord, order *wire.Order) string {
	for _, model := range server.GetModels() {
		if removesModel(order, model) && !s.isReadyElsewhere(model, server.GetServer()) {
			return model
		}
	}
	return ""
}

// removesModel reports whether a server may stop serving the model because of the order. A change of role may unload
// any model.
func removesModel(order *wire.Order, model string) bool {
	switch order.GetKind() {
	case wire.OrderKind_ORDER_KIND_UNLOAD:
		return order.GetModel() == model
	case wire.OrderKind_ORDER_KIND_ROLE, wire.OrderKind_ORDER_KIND_DRAIN:
		return true
	default:
		return false
	}
}

// isReadyElsewhere reports whether another server has a ready copy of the model. Copies that an open order removes do
// not count. Otherwise two orders, each of which counts the other's copy, would unload the last two copies.
func (s *State) isReadyElsewhere(model, server string) bool {
	for _, agent := range s.agents {
		for _, other := range agent.GetServers() {
			if other.GetServer() != server && hasReadyModel(other, model) && !removesModel(s.orders[other.GetServer()], model) {
				return true
			}
		}
	}
	return false
}

// hasReadyModel reports whether a server is ready and serves the model.
func hasReadyModel(server *wire.ServerRecord, model string) bool {
	return server.GetCondition() == wire.ServerCondition_SERVER_CONDITION_READY && slices.Contains(server.GetModels(), model)
}

// endOrder closes an order, regardless of its outcome. An order that is not open is ignored.
func (s *State) endOrder(cmd *wire.EndOrder) *wire.CommandResult {
	for server, order := range s.orders {
		if order.GetId() == cmd.GetOrder() {
			delete(s.orders, server)
		}
	}
	return accepted()
}
