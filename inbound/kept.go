package inbound

import (
	"context"
	"sync/atomic"
)

// keepers are those that need what was kept: the handler of the request, and what it was passed on to.
const keepers = 2

// Kept is what was read of a request that has been passed on. It is held until both its handler has returned and Release was called. A
// nil Kept holds nothing.
type Kept struct {
	budget *Budget
	held   amount
	needed atomic.Int32
}

// Keep holds what was read of the request with the given context beyond the end of its handler. Release has to follow. It returns nil
// if the request isn't counted. A request that is passed on again keeps nothing more.
//
// A request whose caller has left is over only when the servers that it was sent to are known not to run it.
func Keep(ctx context.Context) *Kept {
	c := ConnOf(ctx)
	if c == nil || c.kept != nil {
		return nil
	}
	return c.budget.keep(c)
}

func (b *Budget) keep(c *Conn) *Kept {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := &Kept{budget: b, held: c.amount()}
	k.held.bytes -= c.own
	k.needed.Store(keepers)
	b.change(c, -c.extra)
	b.held.add(k.held)
	c.kept = k
	return k
}

// Release ends the need of what the request was passed on to. It is called once.
func (k *Kept) Release() {
	if k == nil || k.needed.Add(-1) > 0 {
		return
	}
	k.budget.mu.Lock()
	defer k.budget.mu.Unlock()
	k.budget.held.subtract(k.held)
	k.budget.wakeAll()
}
