package control_test

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/control"
)

// Guards against a process that exits while its disk is full, which costs its group a member. While the disk refuses
// writes the others must go on without the instance; once there is space it must catch up with what they committed.
func TestInstanceSurvivesFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		full := c.leader()
		c.stop(full)
		var isFull atomic.Bool
		var latest atomic.Pointer[control.Control]
		full.fs.SetFault(func(op, _ string) error {
			if isFull.Load() && op == "write" {
				return syscall.ENOSPC
			}
			return nil
		})
		discardLogger := &log.Logger{Handler: discard.Default, Level: log.ErrorLevel}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			done <- control.RunWithDiskRetry(ctx, func() (*control.Control, error) {
				opened, err := control.New(full.settings, control.Options{Network: c.net.Host(full.host), FS: full.fs, Seed: 1})
				if err == nil {
					latest.Store(opened)
				}
				return opened, err
			}, discardLogger)
		}()
		c.eventually("the instance is ready", func() bool { return latest.Load() != nil && latest.Load().Ready() == nil })
		isFull.Store(true)
		other := c.instances[0]
		if other == full {
			other = c.instances[1]
		}
		for version := range uint64(5) {
			c.eventually("the others commit a change", func() bool {
				return other.control.PutDesired(t.Context(), testDesired(version+1)) == nil
			})
		}
		time.Sleep(5 * time.Second)
		select {
		case err := <-done:
			require.Fail(t, "the instance ended", "%v", err)
		default:
		}
		isFull.Store(false)
		c.eventually("the instance has all changes", func() bool {
			// An instance that has ended answers no read.
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			desired, err := latest.Load().Desired(ctx)
			return err == nil && desired.GetVersion() == 5
		})
		stop()
		require.NoError(t, <-done)
	})
}

// Guards against a retry loop on errors other than a full disk.
func TestOtherErrorsAreNotRetried(t *testing.T) {
	discardLogger := &log.Logger{Handler: discard.Default, Level: log.ErrorLevel}
	broken := errors.New("broken")
	err := control.RunWithDiskRetry(t.Context(), func() (*control.Control, error) { return nil, broken }, discardLogger)
	require.ErrorIs(t, err, broken)
}
