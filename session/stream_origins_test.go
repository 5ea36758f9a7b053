package session

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// newVersionsCluster returns a group of three and the last of what OnVersions was told.
func newVersionsCluster(t *testing.T, prepare func(*fakeControl)) (*fakeCluster, *atomic.Pointer[Versions]) {
	last := new(atomic.Pointer[Versions])
	f := newFakeClusterWith(t, 3, func(c *Config) {
		c.OnVersions = func(v Versions) { last.Store(&v) }
	}, prepare)
	return f, last
}

// Guards against a control instance that is behind, such as one that has just started, and vouches for the versions of all pools
// because it knows that one of them has several.
func TestUnconfirmedAnswerDoesNotVouchForVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, last := newVersionsCluster(t, func(c *fakeControl) {
			c.confirmed = false
			c.versions = &wire.PoolVersions{Complete: true, Mixed: []string{"other"}}
		})
		time.Sleep(10 * time.Second)
		require.True(t, last.Load().Mixed["other"], "what it knows is true")
		require.False(t, last.Load().Complete)
	})
}

// Guards against a control instance that is gone and vouches for versions for another minute, while those that confirm say that
// they don't know all.
func TestInstanceThatIsGoneDoesNotVouchForVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, last := newVersionsCluster(t, func(c *fakeControl) {
			c.versions = &wire.PoolVersions{Complete: c.name == "control-3"}
		})
		f.awaitReady()
		time.Sleep(2 * DefaultPollInterval)
		require.True(t, last.Load().Complete, "one instance that knows all is enough")
		f.controls[2].stop()
		time.Sleep(maxVouchAge + 2*DefaultPollInterval)
		require.False(t, last.Load().Complete)
	})
}

// Guards against versions that are forgotten while no instance can confirm anything: nothing can have
// changed meanwhile, and streams go on without control.
func TestVersionsStayKnownWhileControlIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, last := newVersionsCluster(t, func(c *fakeControl) { c.versions = &wire.PoolVersions{Complete: true} })
		f.awaitReady()
		time.Sleep(2 * DefaultPollInterval)
		for _, c := range f.controls {
			c.update(func(c *fakeControl) { c.confirmed = false })
		}
		time.Sleep(10 * time.Second)
		require.True(t, last.Load().Complete)
	})
}
