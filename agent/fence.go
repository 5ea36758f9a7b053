package agent

import (
	"sync"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// fence holds the highest committed fence number and refuses orders with a lower one.
//
// A leader that was cut off doesn't learn at once that another was elected, and may go on sending orders. An engine
// that ignores fence numbers would carry them out and, for example, unload a model that the current leader loaded. So
// the agent checks orders for all engines, whether they check fence numbers themselves or not.
type fence struct {
	// view returns the committed view. It is read at each check: waiting for viewLoop to deliver a newer leader's
	// number would let an order of the earlier leader pass in between.
	view func() *session.View

	mu      sync.Mutex
	highest uint64 // fence number of the committed orders
}

// check returns nil if an order may be carried out. Errors have the code starting (no committed state is known, so an
// old order can't be told from a new one), order_refused (the order isn't committed) or fence_too_old.
func (f *fence) check(order *wire.Order) error {
	view := f.view()
	if view.ConfigVersion == 0 {
		return result.New(result.Starting, "no committed fence number is known yet")
	}
	if !order.GetCommitted() {
		return result.New(result.OrderRefused, "the order is not committed")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.highest = max(f.highest, view.Fence)
	if order.GetFence() < f.highest {
		return result.New(result.FenceTooOld, "the order's fence number is %d, the highest committed is %d",
			order.GetFence(), f.highest)
	}
	f.highest = order.GetFence()
	return nil
}
