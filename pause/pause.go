// Package pause provides waits that end early when a context is done, and a timer that can be brought forward.
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
