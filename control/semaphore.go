package control

import "context"

// semaphore bounds the number of operations in progress.
type semaphore chan struct{}

func newSemaphore(n int) semaphore {
	return make(semaphore, n)
}

// tryAcquire takes a slot without waiting and reports whether there was one.
func (s semaphore) tryAcquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s semaphore) release() {
	<-s
}

// drain waits until no operation is in progress or ctx ends. It keeps the slots that it takes, so tryAcquire fails
// afterwards.
func (s semaphore) drain(ctx context.Context) {
	for range cap(s) {
		select {
		case s <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}
