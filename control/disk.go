package control

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
)

// diskRetry is how often an instance whose disk refuses writes tries again.
const diskRetry = 500 * time.Millisecond

// RunWithDiskRetry runs the control instance that open makes until ctx ends, and begins it anew while its disk refuses writes.
//
// An instance that can't write must not count for a quorum, so it ends, and another one leads within an election
// timeout. But a full disk is often emptied by others: a process that exits for good would cost the group a member,
// and one that is restarted in a loop by its platform looks broken. Errors are those of open and Run, but for
// result.DiskFull.
func RunWithDiskRetry(ctx context.Context, open func() (*Control, error), logger log.Interface) error {
	for {
		c, err := open()
		if err == nil {
			err = c.Run(ctx)
		}
		if !result.Is(err, result.DiskFull) {
			return err
		}
		logger.WithError(err).WithField("again_in", diskRetry).Warn("disk_refuses_writes")
		if !pause.For(ctx, diskRetry) {
			return nil
		}
	}
}
