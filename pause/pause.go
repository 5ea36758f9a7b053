// Package pause provides waits and loops that end early when a context is done, and a timer that can be brought forward.
package pause

import (
	"context"
	"time"
)

// For waits until d has passed or ctx is done, whichever comes first. It reports whether d passed.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls fn at each tick of the interval, with the time of the tick, until ctx ends. Ticks that come while fn runs are
// dropped.
func Every(ctx context.Context, interval time.Duration, fn func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			fn(now)
		}
	}
}
