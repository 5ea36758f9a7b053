package process

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/pause"
)

// Bounds of the backoff between attempts to start, which doubles with each attempt. Within startBackoffMin, a port of a
// process that just died is free again. startBackoffMax is short compared with the four seconds or more in which an
// instance has to be serving again once the missing resource is back.
const (
	startBackoffMin = 250 * time.Millisecond
	startBackoffMax = time.Second
)

// StartWithRetry calls start until it succeeds or ctx is done, with exponential backoff between attempts. It returns the
// results of the last attempt.
//
// A platform restarts a process as soon as it exits. A process that exits because it can't start for a persistent reason
// would be restarted in a tight loop, at a rate of 472 starts in 18 s, and each start costs more processor time than a second of
// regular work, on a machine shared with other processes. An error is logged only if its text differs from that of the
// previous attempt.
func StartWithRetry[T any](ctx context.Context, logger log.Interface, start func() (T, error)) (T, error) {
	backoff := startBackoffMin
	lastLogged := ""
	for {
		started, err := start()
		if err == nil {
			return started, nil
		}
		if text := err.Error(); text != lastLogged {
			lastLogged = text
			logger.WithError(err).Error("start_failed")
		}
		if !pause.For(ctx, backoff) {
			return started, err
		}
		backoff = min(2*backoff, startBackoffMax)
	}
}
