package agent

import (
	"sync"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// fence keeps the highest committed fence number and refuses orders with a lower one, whatever the engine does.
//
// A leader that was cut off doesn't know at once that another was elected, and may go on giving orders. An engine that
// ignores fence numbers would carry them out; one would notice it as a model that the present leader loaded and that
// is gone again. So the agent is the guard, for engines of both kinds.
type fence struct {
	// view returns what control committed. It is read at each check, so that an order can't pass between a newer
	// leader's number and the duty that would hear of it.
	view func() *session.View

	mu      sync.Mutex
	highest uint64 // of committed orders
}

// check says whether an order may be carried out now. Errors have the code starting (no committed state was seen, so
// that an old order can't be told from a new one), order_refused (the order isn't committed) or fence_too_old.
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
