package control_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/origin"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// originEntry is the session of an entry that keeps origins of streams.
type originEntry struct {
	*session.Session
	stop func()

	mu       sync.Mutex
	kept     *origin.Table
	versions session.Versions
}

func (c *cluster) startOriginEntry(name, host string) *originEntry {
	e := &originEntry{kept: origin.NewTable(100)}
	e.Session, e.stop = c.run(session.Config{
		Instance: name, Role: roleEntry, Incarnation: 1, Zone: "zone-1", Controls: c.links(), Network: c.net.Host(host),
		StreamOrigins: func() *wire.StreamOrigins {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.kept.All(time.Now())
		},
		OnVersions: func(v session.Versions) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.versions = v
		},
	})
	c.eventually("the entry is ready", func() bool { return e.Ready() == nil })
	return e
}

func (e *originEntry) note(key origin.Key, from origin.Origin) {
	e.mu.Lock()
	e.kept.Put(time.Now(), key, from)
	e.mu.Unlock()
	groups := origin.NewGroups()
	groups.Add(key, from)
	e.ReportStreamOrigins(groups.Message())
}

func (e *originEntry) lookUp(t *testing.T, key origin.Key) *wire.StreamOriginReply {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return e.LookUpStreamOrigin(ctx, key)
}

func (e *originEntry) knownVersions() session.Versions {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions
}

// Guards against origins of streams that are lost with the leader, or with all control instances while the entry that noted them
// lives, and against an answer for a stream that nobody has told.
func TestStreamOriginsOutliveControlInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		one, two := c.startOriginEntry("entry-1", "10.0.1.1"), c.startOriginEntry("entry-2", "10.0.1.2")
		defer one.stop()
		defer two.stop()
		v1 := origin.Origin{Pool: "m", Version: "v1"}
		one.note(1, v1)
		time.Sleep(100 * time.Millisecond)
		requireKnown := func() {
			t.Helper()
			reply := two.lookUp(t, 1)
			require.Equal(t, "v1", reply.GetVersion())
			require.Equal(t, "m", reply.GetPool())
		}
		requireKnown()
		require.Nil(t, two.lookUp(t, 2))

		leader := c.leader()
		c.stop(leader)
		requireKnown()
		c.start(leader)

		for _, n := range c.instances {
			c.stop(n)
			c.start(n)
		}
		c.eventually("the entries are linked again", func() bool { return two.lookUp(t, 1) != nil })
		requireKnown()
	})
}

// Guards against a pool of two versions that entries take for one of a single version, before and after a restart of control, and
// against contact that is believed while there is none.
func TestControlTellsWhichPoolsHaveSeveralVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		e := c.startOriginEntry("entry-1", "10.0.1.1")
		defer e.stop()
		announce := func(server, version, address string) {
			require.NoError(t, c.leader().control.Announce(t.Context(), &wire.Announcement{
				Server: server, Pool: "m", Version: version, Address: address, AvailabilityZone: "zone-1", Slots: 4, Sequence: 1,
			}))
		}
		announce("s1", "v1", "10.0.2.1:1")
		time.Sleep(2 * time.Second)
		require.True(t, e.knownVersions().Complete)
		require.Empty(t, e.knownVersions().Mixed)
		announce("s2", "v2", "10.0.2.2:1")
		time.Sleep(2 * time.Second)
		require.True(t, e.knownVersions().Mixed["m"])
		require.Less(t, time.Since(e.HeardAt()), 1500*time.Millisecond)

		for _, n := range c.instances {
			c.stop(n)
			c.start(n)
		}
		c.eventually("the entry is ready again", func() bool { return e.Ready() == nil && time.Since(e.HeardAt()) < time.Second })
		require.True(t, e.knownVersions().Mixed["m"], "from the log")

		for _, n := range c.instances {
			c.net.Cut("10.0.1.1", n.settings.Listen.Links[:len("10.0.0.1")])
		}
		time.Sleep(3 * time.Second)
		require.Greater(t, time.Since(e.HeardAt()), 2*time.Second)
	})
}

// hostOf returns the host of a control instance.
func hostOf(n *instance) string { return n.settings.Listen.Links[:len("10.0.0.1")] }

// Guards against an entry that takes a pool for one of a single version because the control instance that it hears of is itself cut
// off, or because it is cut off from some instances, in one direction or both, while a server of another version joins.
func TestConfirmationKnowsTheVersionsThatWereCommittedBefore(t *testing.T) {
	const entryIP = "10.0.1.1"
	cuts := map[string]struct {
		cut   func(c *cluster)
		known bool // a confirmation is to be had
	}{
		"none":                     {func(*cluster) {}, true},
		"from the leader":          {func(c *cluster) { c.net.Cut(entryIP, hostOf(c.leader())) }, true},
		"from a follower":          {func(c *cluster) { c.net.Cut(entryIP, hostOf(c.follower())) }, true},
		"from a follower, one way": {func(c *cluster) { c.net.CutOneWay(hostOf(c.follower()), entryIP) }, true},
		"to all, one way":          {func(c *cluster) { cutAll(c, func(n *instance) { c.net.CutOneWay(entryIP, hostOf(n)) }) }, false},
		"of all, one way":          {func(c *cluster) { cutAll(c, func(n *instance) { c.net.CutOneWay(hostOf(n), entryIP) }) }, false},
		"from all":                 {func(c *cluster) { cutAll(c, func(n *instance) { c.net.Cut(entryIP, hostOf(n)) }) }, false},
		"with a follower from the rest": {func(c *cluster) {
			alone := c.follower()
			for _, n := range c.instances {
				if n != alone {
					c.net.Cut(entryIP, hostOf(n))
					c.net.Cut(hostOf(alone), hostOf(n))
				}
			}
		}, false},
	}
	for name, k := range cuts {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				c.startAll()
				defer c.stopAll()
				e := c.startOriginEntry("entry-1", entryIP)
				defer e.stop()
				announce := func(server, version, address string) {
					require.NoError(t, c.leader().control.Announce(t.Context(), &wire.Announcement{
						Server: server, Pool: "m", Version: version, Address: address, AvailabilityZone: "zone-1", Slots: 4, Sequence: 1,
					}))
				}
				announce("s1", "v1", "10.0.2.1:1")
				time.Sleep(2 * time.Minute)
				require.True(t, e.knownVersions().Complete)
				require.Empty(t, e.knownVersions().Mixed)
				k.cut(c)
				announce("s2", "v2", "10.0.2.2:1")
				require.Equal(t, k.known, confirmNow(t, e), "confirmed")
				require.Equal(t, k.known, e.knownVersions().Mixed["m"])
				for _, a := range c.instances {
					c.net.Heal(entryIP, hostOf(a))
					for _, b := range c.instances {
						c.net.Heal(hostOf(a), hostOf(b))
					}
				}
				time.Sleep(time.Second)
				require.True(t, confirmNow(t, e), "a second after the cut")
				require.True(t, e.knownVersions().Mixed["m"])
			})
		})
	}
}

func cutAll(c *cluster, cut func(*instance)) {
	for _, n := range c.instances {
		cut(n)
	}
}

// confirmNow asks for a confirmation of now, for as long as a request waits for one.
func confirmNow(t *testing.T, e *originEntry) bool {
	ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
	defer cancel()
	return e.ConfirmSince(ctx, time.Now())
}
