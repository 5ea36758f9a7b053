// Package ring holds the bounded rings that join the duties of a daemon.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded queue for any number of producers and consumers. It is a buffered channel with a name and a
// count of refusals, so it works in testing/synctest bubbles and in select statements.
//
// A scheduler uses TryPush only. With an unbounded queue, or one that blocks, a slow duty would stop the scheduler
// or let memory grow until the process dies; one would notice it as latency without a cause. A full ring refuses
// at once, and the count names the duty that is slow.
type Ring[T any] struct {
	name    string
	items   chan T
	refused atomic.Uint64
}

// New returns an empty ring that holds at most capacity items. It panics if capacity is less than 1. The name is
// for logs and metrics.
func New[T any](name string, capacity int) *Ring[T] {
	if capacity < 1 {
		panic("ring: capacity of " + name + " is less than 1")
	}
	return &Ring[T]{name: name, items: make(chan T, capacity)}
}

// Name returns the ring's name.
func (r *Ring[T]) Name() string {
	return r.name
}

// TryPush adds v and returns true. If the ring is full it counts a refusal and returns false at once.
func (r *Ring[T]) TryPush(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Push adds v, and waits while the ring is full. It returns the cause of ctx's end if that comes first.
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

// Pop takes the oldest item, and waits while the ring is empty. It returns the cause of ctx's end if that comes
// first; items that remain can then still be taken through C.
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

// PopBatch waits for one item, then takes what else is there without waiting, up to len(buf). It returns how many
// items it put into buf. An empty buf gives 0 at once. Errors are those of Pop.
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

// C returns the channel to receive from, for select statements. It is never closed.
func (r *Ring[T]) C() <-chan T {
	return r.items
}

// Len returns how many items the ring holds now.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Cap returns how many items the ring can hold.
func (r *Ring[T]) Cap() int {
	return cap(r.items)
}

// Refused returns how many times TryPush found the ring full.
func (r *Ring[T]) Refused() uint64 {
	return r.refused.Load()
}
