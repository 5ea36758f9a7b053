package control_test

import (
	"io"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/quorum/journal"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// failingFS is the file system of a machine without a disk: every operation fails.
type failingFS struct{}

func (failingFS) MkdirAll(string) error               { return syscall.EBADF }
func (failingFS) ReadDir(string) ([]string, error)    { return nil, syscall.EBADF }
func (failingFS) ReadFile(string) ([]byte, error)     { return nil, syscall.EBADF }
func (failingFS) Create(string) (journal.File, error) { return nil, syscall.EBADF }
func (failingFS) Truncate(string, int64) error        { return syscall.EBADF }
func (failingFS) Rename(string, string) error         { return syscall.EBADF }
func (failingFS) Remove(string) error                 { return syscall.EBADF }
func (failingFS) SyncDir(string) error                { return syscall.EBADF }
func (failingFS) Lock(string) (io.Closer, error)      { return nil, syscall.EBADF }

// Guards against an instance without a disk that uses files for its log. Where the platform has no file locks it would
// end within 0.2 s of each start with "journal_locked", hundreds of times in half a minute.
func TestInstanceWithoutDiskUsesNoFiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		n := c.addInstance(4, 1, 2, 3)
		n.settings.Ephemeral = true
		n.settings.DataDir = ""
		for range 3 {
			c.startOn(n, failingFS{})
			c.eventually("the instance is ready", func() bool { return n.control.Ready() == nil })
			require.NoError(t, c.leader().control.PutDesired(t.Context(), testDesired(2)))
			c.eventually("the instance has the desired state", func() bool {
				desired, err := n.control.Desired(t.Context())
				return err == nil && desired.GetVersion() == 2
			})
			c.stop(n)
		}
	})
}

// Guards against learners that take the place of voters among a client's links. With a learner in each zone of a group of
// three voters there are more instances than a client links to, and it could hear of a new leader from none of them.
func TestClientsOfSmallGroupLinkToVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		for i := 4; i <= 6; i++ {
			n := c.addInstance(i, 1, 2, 3)
			n.settings.Ephemeral = true
		}
		c.startAll()
		defer c.stopAll()
		c.eventually("all instances are members", func() bool {
			for _, n := range c.instances {
				if n.control.Ready() != nil {
					return false
				}
			}
			return true
		})
		s, stop := c.run(session.Config{
			Instance: "entry-1", Role: wire.Role_ROLE_ENTRY, Incarnation: 1, Zone: "zone-1",
			Controls: c.links()[:3], Network: c.net.Host("10.0.1.1"),
		})
		defer stop()
		c.eventually("the client is ready", func() bool { return s.Ready() == nil })
		time.Sleep(5 * time.Second)
		require.Len(t, s.Addresses(), 3)
		for _, reachability := range s.Reachability() {
			require.Equal(t, session.Answering, reachability)
		}
	})
}
