package control

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
)

// diskRetryInterval is the pause before an instance whose disk refuses writes is started again.
const diskRetryInterval = 500 * time.Millisecond

// RunWithDiskRetry runs the control instance that open returns until ctx ends, and opens it again while its disk
// refuses writes. It returns nil when ctx ends. Errors are those of open and Run, except result.DiskFull.
//
// An instance that cannot write must not count towards a quorum, so it ends, and another one leads within an election
// timeout. A full disk is often emptied by others, though. A process that exits for good would cost the group a member,
// and one that its platform restarts in a loop looks broken.
func RunWithDiskRetry(ctx context.Context, open func() (*Control, error), logger log.Interface) error {
	for {
		c, err := open()
		if err == nil {
			err = c.Run(ctx)
		}
		if !result.Is(err, result.DiskFull) {
			return err
		}
		logger.WithError(err).WithField("again_in", diskRetryInterval).Warn("disk_refuses_writes")
		if !pause.For(ctx, diskRetryInterval) {
			return nil
		}
	}
}
