package process

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/pause"
)

// The wait between two tries to start: doubled each time, from a time in which a port of a process that just died is free
// again, up to one that is short beside the four seconds or more that a machine has to catch up once what it lacked is back.
const (
	startRetryMin = 250 * time.Millisecond
	startRetryMax = time.Second
)

// StartWithRetry calls begin until it succeeds or ctx ends, and returns what it made, or its last error.
//
// A platform starts a process anew as soon as it ends. One that can't start for a lasting reason would spin: each start costs
// more processor time than a second of its work, on a machine that others need. It was seen as 472 starts in 18 s. The reason is
// logged when it is another than before, not each time.
func StartWithRetry[T any](ctx context.Context, logger log.Interface, begin func() (T, error)) (T, error) {
	wait := startRetryMin
	last := ""
	for {
		made, err := begin()
		if err == nil {
			return made, nil
		}
		if text := err.Error(); text != last {
			last = text
			logger.WithError(err).Error("start_failed")
		}
		if !pause.For(ctx, wait) {
			return made, err
		}
		wait = min(2*wait, startRetryMax)
	}
}
