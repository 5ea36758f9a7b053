package agent

import (
	"sync"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// fence keeps the highest committed fence number and refuses orders with a lower one, whatever the engine does.
//
// A leader that was cut off doesn't know at once that another was elected, and may go on giving orders. An engine that
// ignores fence numbers would carry them out; one would notice it as a model that the present leader loaded and that
// is gone again. So the agent is the guard, for engines of both kinds.
type fence struct {
	mu      sync.Mutex
	known   bool // a committed number was seen by this incarnation
	highest uint64
}

// committed notes a number from control's committed state.
func (f *fence) committed(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = true
	f.highest = max(f.highest, number)
}

// check says whether an order may be carried out now. Errors have the code starting (no committed number was seen, so
// that an old order can't be told from a new one), order_refused (the order isn't committed) or fence_too_old.
func (f *fence) check(order *wire.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		return result.New(result.Starting, "no committed fence number is known yet")
	}
	if !order.GetCommitted() {
		return result.New(result.OrderRefused, "the order is not committed")
	}
	if order.GetFence() < f.highest {
		return result.New(result.FenceTooOld, "the order's fence number is %d, the highest committed is %d",
			order.GetFence(), f.highest)
	}
	f.highest = order.GetFence()
	return nil
}
