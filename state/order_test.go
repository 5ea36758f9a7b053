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

// Symptom: a server gets orders of two leaders.
// Sequence: a leader is cut off while it decides; a new one raises the fence; the old one's order is committed after.
// Cause: an order that isn't tied to a leadership.
func TestOrderOfAnOlderLeader(t *testing.T) {
	l := newLog(t)
	l.accept(agent("x", 1, ready("s", "m")))
	l.refuse(result.FenceTooOld, putOrder(0, "s", load, "m"))
	l.accept(raiseFence())
	old := l.state.Fence()
	require.Equal(t, l.index, old)
	first := l.accept(putOrder(old, "s", load, "n")).GetOrder()
	require.True(t, first.GetCommitted())
	l.accept(raiseFence())
	require.Equal(t, l.state.Fence(), l.state.Orders()[0].GetFence(), "open orders go on under the new fence")
	l.accept(endOrder(first.GetId()))
	l.refuse(result.FenceTooOld, putOrder(old, "s", load, "n"))
	l.refuse(result.FenceTooOld, putOrder(l.state.Fence()+1, "s", load, "n"))
}

func TestOneOrderForEachServer(t *testing.T) {
	l := newLog(t)
	l.accept(agent("x", 1, ready("s", "m"), ready("t", "m")))
	l.accept(raiseFence())
	fence := l.state.Fence()
	first := l.accept(putOrder(fence, "s", load, "n")).GetOrder()
	l.refuse(result.ServerBusy, putOrder(fence, "s", load, "o"))
	second := l.accept(putOrder(fence, "t", load, "n")).GetOrder()
	require.NotEqual(t, first.GetId(), second.GetId())
	l.accept(endOrder(first.GetId()))
	l.accept(endOrder(first.GetId()))
	third := l.accept(putOrder(fence, "s", load, "o")).GetOrder()
	require.Greater(t, third.GetId(), second.GetId(), "ids aren't used again")
	l.refuse(result.UnknownServer, putOrder(fence, "u", load, "n"))
	l.refuse(result.BadMessage, putOrder(fence, "s", 0, "n"))
}

// Symptom: a model is gone from the pool although callers want it.
// Sequence: two copies are ready; each is ordered away while the other still counts.
// Cause: counting copies that an open order takes away, or that are draining.
func TestLastReadyCopyStays(t *testing.T) {
	l := newLog(t)
	draining := ready("d", "m")
	draining.Condition = wire.ServerCondition_SERVER_CONDITION_DRAINING
	l.accept(agent("x", 1, ready("s", "m"), ready("t", "m"), draining))
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
