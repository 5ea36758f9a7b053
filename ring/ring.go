// Package ring provides the bounded queues through which the event loops of a daemon exchange items.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded queue for any number of producers and consumers. It is a buffered channel with a name and a
// count of refused items, so it works in testing/synctest bubbles and in select statements.
//
// A scheduler uses TryPush only. With a queue that blocks, a slow consumer would stall the scheduler, which shows as
// latency without a visible cause; with an unbounded queue, memory would grow until the process is killed. A full ring
// refuses at once, and its count of refusals identifies the slow consumer.
type Ring[T any] struct {
	name    string
	items   chan T
	refused atomic.Uint64
}

// New returns an empty ring that holds at most capacity items. It panics if capacity is less than 1. The name appears
// in logs and metrics.
func New[T any](name string, capacity int) *Ring[T] {
	if capacity < 1 {
		panic("ring: capacity of " + name + " is less than 1")
	}
	return &Ring[T]{name: name, items: make(chan T, capacity)}
}

// Name returns the name given to New.
func (r *Ring[T]) Name() string {
	return r.name
}

// TryPush adds v without blocking. It reports whether there was room; if not, it counts a refusal and drops v.
func (r *Ring[T]) TryPush(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Push adds v, blocking while the ring is full. If ctx is done first, it returns the cause.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	select {
	case r.items <- v:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Pop removes and returns the oldest item, blocking while the ring is empty. If ctx is done first, it returns the
// cause; remaining items can then still be received from C.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	var zero T
	if ctx.Err() != nil {
		return zero, context.Cause(ctx)
	}
	select {
	case v := <-r.items:
		return v, nil
	case <-ctx.Done():
		return zero, context.Cause(ctx)
	}
}

// PopBatch blocks until there is one item, then takes further items without blocking, up to len(buf) in all. It
// returns the number of items stored in buf. With an empty buf it returns 0 at once. Errors are those of Pop.
func (r *Ring[T]) PopBatch(ctx context.Context, buf []T) (int, error) {
	if len(buf) == 0 {
		return 0, nil
	}
	first, err := r.Pop(ctx)
	if err != nil {
		return 0, err
	}
	buf[0] = first
	for n := 1; n < len(buf); n++ {
		select {
		case buf[n] = <-r.items:
		default:
			return n, nil
		}
	}
	return len(buf), nil
}

// C returns the channel of the items, for use in select statements. It is never closed.
func (r *Ring[T]) C() <-chan T {
	return r.items
}

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Cap returns the maximum number of items.
func (r *Ring[T]) Cap() int {
	return cap(r.items)
}

// Refused returns the number of items that TryPush refused because the ring was full.
func (r *Ring[T]) Refused() uint64 {
	return r.refused.Load()
}
