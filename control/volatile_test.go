package control_test

import (
	"io"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/quorum/journal"
)

// noFS is the file system of a machine without a disk: it refuses all.
type noFS struct{}

func (noFS) MkdirAll(string) error               { return syscall.EBADF }
func (noFS) ReadDir(string) ([]string, error)    { return nil, syscall.EBADF }
func (noFS) ReadFile(string) ([]byte, error)     { return nil, syscall.EBADF }
func (noFS) Create(string) (journal.File, error) { return nil, syscall.EBADF }
func (noFS) Truncate(string, int64) error        { return syscall.EBADF }
func (noFS) Rename(string, string) error         { return syscall.EBADF }
func (noFS) Remove(string) error                 { return syscall.EBADF }
func (noFS) SyncDir(string) error                { return syscall.EBADF }
func (noFS) Lock(string) (io.Closer, error)      { return nil, syscall.EBADF }

// Symptom: on machines without a disk the control process ends within 0.2 s of each start, hundreds of times in half a
// minute, with "journal_locked". Sequence: it makes a folder for its log among the temporary files and locks it; the
// platform has no locks there. Cause: an instance that keeps nothing went by way of files all the same.
func TestInstanceWithoutADiskTouchesNoFile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		n := c.addNode(4, 1, 2, 3)
		n.settings.Ephemeral = true
		n.settings.DataDir = ""
		for range 3 {
			c.startOn(n, noFS{})
			c.eventually("it serves", func() bool { return n.control.Ready() == nil })
			require.NoError(t, c.leader().control.PutDesired(t.Context(), testDesired(2)))
			c.eventually("it has the state", func() bool {
				desired, err := n.control.Desired(t.Context())
				return err == nil && desired.GetVersion() == 2
			})
			c.stop(n)
		}
	})
}
