package control

import "context"

// slots bounds how many of something are under way.
type slots chan struct{}

func newSlots(n int) slots {
	return make(slots, n)
}

// take takes a slot, and returns false if there is none.
func (s slots) take() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s slots) put() {
	<-s
}

// drain waits until nothing is under way, or ctx ends. Nothing gets a slot afterwards.
func (s slots) drain(ctx context.Context) {
	for range cap(s) {
		select {
		case s <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}
