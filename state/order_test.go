package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	load   = wire.OrderKind_ORDER_KIND_LOAD
	unload = wire.OrderKind_ORDER_KIND_UNLOAD
	role   = wire.OrderKind_ORDER_KIND_ROLE
)

// A leader is disconnected while it decides, a new leader raises the fence, and the old leader's order is committed
// afterwards. It must be refused, or a server would get orders of two leaders.
func TestOrderOfOlderLeaderIsRefused(t *testing.T) {
	l := newLog(t)
	l.accept(agent("x", 1, readyServer("s", "m")))
	l.refuse(result.FenceTooOld, putOrder(0, "s", load, "m"))
	l.accept(raiseFence())
	old := l.state.Fence()
	require.Equal(t, l.index, old)
	first := l.accept(putOrder(old, "s", load, "n")).GetOrder()
	require.True(t, first.GetCommitted())
	l.accept(raiseFence())
	require.Equal(t, l.state.Fence(), l.state.Orders()[0].GetFence(), "open orders continue with the new fence number")
	l.accept(endOrder(first.GetId()))
	l.refuse(result.FenceTooOld, putOrder(old, "s", load, "n"))
	l.refuse(result.FenceTooOld, putOrder(l.state.Fence()+1, "s", load, "n"))
}

// A server must have at most one open order, and order IDs must be unique.
func TestOneOpenOrderPerServer(t *testing.T) {
	l := newLog(t)
	l.accept(agent("x", 1, readyServer("s", "m"), readyServer("t", "m")))
	l.accept(raiseFence())
	fence := l.state.Fence()
	first := l.accept(putOrder(fence, "s", load, "n")).GetOrder()
	l.refuse(result.ServerBusy, putOrder(fence, "s", load, "o"))
	second := l.accept(putOrder(fence, "t", load, "n")).GetOrder()
	require.NotEqual(t, first.GetId(), second.GetId())
	l.accept(endOrder(first.GetId()))
	l.accept(endOrder(first.GetId()))
	third := l.accept(putOrder(fence, "s", load, "o")).GetOrder()
	require.Greater(t, third.GetId(), second.GetId(), "order IDs are not reused")
	l.refuse(result.UnknownServer, putOrder(fence, "u", load, "n"))
	l.refuse(result.BadMessage, putOrder(fence, "s", 0, "n"))
}

// Two copies of a model are ready, and each is ordered to unload while the other counts as ready. The second order
// must be refused, as must one that leaves only a draining copy, or no server would serve the model.
func TestLastReadyCopyStays(t *testing.T) {
	l := newLog(t)
	draining := readyServer("d", "m")
	draining.Condition = wire.ServerCondition_SERVER_CONDITION_DRAINING
	l.accept(agent("x", 1, readyServer("s", "m"), readyServer("t", "m"), draining))
	l.accept(raiseFence())
	fence := l.state.Fence()
	first := l.accept(putOrder(fence, "s", unload, "m")).GetOrder()
	l.refuse(result.LastReadyCopy, putOrder(fence, "t", unload, "m"))
	l.refuse(result.LastReadyCopy, putOrder(fence, "t", role, ""))
	l.accept(endOrder(first.GetId()))
	l.accept(putOrder(fence, "t", role, ""))
	l.refuse(result.LastReadyCopy, putOrder(fence, "s", unload, "m"))
	l.accept(putOrder(fence, "s", unload, "other"))
}
