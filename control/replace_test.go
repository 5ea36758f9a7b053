package control_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// addAndStart starts an additional instance on a host of its own, with an empty disk, whose settings name some of the
// others.
func (c *cluster) addAndStart(i int, seeds ...int) *instance {
	n := c.addInstance(i, seeds...)
	c.start(n)
	return n
}

// addInstance is addAndStart without the start.
func (c *cluster) addInstance(i int, seeds ...int) *instance {
	n := c.newInstance(i, 0)
	n.settings.Bootstrap = false
	n.settings.Voters = 3
	for _, seed := range seeds {
		named := c.instances[seed-1].settings
		n.settings.Replicas = append(n.settings.Replicas, settings.Replica{Instance: named.Instance, Address: named.Advertise})
	}
	c.instances = append(c.instances, n)
	return n
}

func testDesired(version uint64) *wire.DesiredState {
	return &wire.DesiredState{
		Version: version, Document: []byte("document"),
		Pools: []*wire.Pool{{Name: "m", Kind: settings.KindModel}},
		Routes: []*wire.Route{{
			Name: "one", Host: "a.example", Prefix: "/", Pools: []*wire.WeightedPool{{Pool: "m", Weight: 1}},
			Class: &wire.Class{Name: "one", Tier: 1, DeadlineMs: 1000, Kind: settings.KindModel, Preempt: "never"},
		}},
	}
}

// Guards against a group whose members are fixed at the start: it is lost after a few replacements. Voters are lost one
// after the other, and each replacement comes with an empty disk at a new address and knows one running instance. A
// session that knew only the first three must still find control.
func TestAllInstancesAreReplacedOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		client, stop := c.client("entry-1", "10.0.1.1", wire.Role_ROLE_ENTRY, 1)
		defer stop()
		leader := c.leader()
		require.NoError(t, leader.control.PutDesired(t.Context(), testDesired(1)))
		for i := range 3 {
			old := c.instances[i]
			c.stop(old)
			n := c.addAndStart(4+i, i+2)
			c.eventually("the replacement confirms reads", func() bool { return n.control.Ready() == nil })
			c.eventually("the replacement is one of three voters", func() bool { return votersSeenByVoter(c, n) == 3 })
			require.NoError(t, n.control.PutDesired(t.Context(), testDesired(uint64(i+2))))
		}
		c.eventually("the session has the last desired state", func() bool {
			return client.View().Desired.GetVersion() == 4 && client.Ready() == nil
		})
		desired, err := c.instances[5].control.Desired(t.Context())
		require.NoError(t, err)
		require.EqualValues(t, 4, desired.GetVersion())
		require.Equal(t, "document", string(desired.GetDocument()))
	})
}

// votersSeenByVoter returns the number of voters that an instance knows of, or 0 if it is not one of them.
func votersSeenByVoter(c *cluster, n *instance) int {
	voters, own := 0, false
	for _, m := range c.status(n).Replicas {
		if m.Voter {
			voters++
			own = own || m.Instance == n.settings.Instance
		}
	}
	if !own {
		return 0
	}
	return voters
}

// Guards against a valid change that is refused because of the state of the group: sent to a follower, during an
// election, or again after it was committed.
func TestDesiredStateIsAcceptedByAnyInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		leader, follower := c.leader(), c.follower()
		require.NoError(t, follower.control.PutDesired(t.Context(), testDesired(3)))
		require.NoError(t, leader.control.PutDesired(t.Context(), testDesired(3)))
		require.NoError(t, follower.control.PutDesired(t.Context(), testDesired(2)))
		c.stop(leader)
		require.NoError(t, follower.control.PutDesired(t.Context(), testDesired(5)), "after an election")
		invalid := testDesired(9)
		invalid.Routes[0].Pools = nil
		require.True(t, result.Is(follower.control.PutDesired(t.Context(), invalid), result.InvalidDesiredState))
		desired, err := follower.control.Desired(t.Context())
		require.NoError(t, err)
		require.EqualValues(t, 5, desired.GetVersion())
	})
}

// Guards against a bound on log entries that is meant for records of requests and refuses a desired state of some
// thousand routes, which is over a megabyte with the operator's document.
func TestDesiredStateOfThousandsOfRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		client, stop := c.client("entry-1", "10.0.1.1", wire.Role_ROLE_ENTRY, 1)
		defer stop()
		large := testDesired(2)
		for i := range 4000 {
			route := proto.CloneOf(large.Routes[0])
			route.Name = fmt.Sprintf("route-of-a-partner-%d", i)
			route.Class.Name, route.Prefix = route.Name, "/"+route.Name+"/"
			large.Routes = append(large.Routes, route)
		}
		large.Document = bytes.Repeat([]byte("x"), 4000*350)
		require.Greater(t, proto.Size(large), 3<<19)
		require.NoError(t, c.follower().control.PutDesired(t.Context(), large))
		c.eventually("the session has the desired state", func() bool { return len(client.View().Desired.GetRoutes()) == 4001 })
		c.stop(c.leader())
		desired, err := c.follower().control.Desired(t.Context())
		require.NoError(t, err)
		require.Len(t, desired.GetDocument(), 4000*350)
	})
}

// Guards against a read without a quorum, which may return an old desired state. An instance is cut off while the
// others commit a change.
func TestReadIsRefusedWithoutAQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		follower := c.follower()
		require.NoError(t, c.leader().control.PutDesired(t.Context(), testDesired(1)))
		for _, n := range c.instances {
			if n != follower {
				c.net.Cut(n.host, follower.host)
			}
		}
		time.Sleep(5 * time.Second)
		_, err := follower.control.Desired(t.Context())
		require.True(t, result.Is(err, result.ControlUnavailable))
		require.Equal(t, http.StatusServiceUnavailable, result.From(err).Status())
	})
}

// Guards against announcements that are lost at a follower, and against a late one that brings back a server that has
// ended.
func TestAnnouncementsAtAnyInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		client, stop := c.client("entry-1", "10.0.1.1", wire.Role_ROLE_ENTRY, 1)
		defer stop()
		leader, follower := c.leader(), c.follower()
		server := &wire.Announcement{Server: "s1", Pool: "m", Address: "10.0.2.1:1", Slots: 4, Sequence: 1}
		require.NoError(t, follower.control.Announce(t.Context(), server))
		c.eventually("the entry has the server", func() bool { return client.View().Announcements["s1"] != nil })
		server.Sequence, server.Draining = 2, true
		require.NoError(t, leader.control.Announce(t.Context(), server))
		c.eventually("the entry knows that the server is draining", func() bool { return client.View().Announcements["s1"].GetDraining() })
		require.NoError(t, follower.control.EndServer(t.Context(), wire.Run{ID: "s1"}))
		c.eventually("the entry has removed the server", func() bool { return client.View().Announcements["s1"] == nil })
		server.Sequence = 3
		require.NoError(t, follower.control.Announce(t.Context(), server), "an announcement after the end is acknowledged")
		time.Sleep(5 * time.Second)
		require.Nil(t, client.View().Announcements["s1"])
	})
}
