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

// newcomer is an instance at a host of its own, with an empty disk, whose settings name some of the others.
func (c *cluster) newcomer(i int, seeds ...int) *node {
	n := c.addNode(i, seeds...)
	c.start(n)
	return n
}

// addNode is newcomer without its start.
func (c *cluster) addNode(i int, seeds ...int) *node {
	n := c.newNode(i, 0)
	n.settings.Bootstrap = false
	n.settings.Voters = 3
	for _, seed := range seeds {
		named := c.nodes[seed-1].settings
		n.settings.Replicas = append(n.settings.Replicas, settings.Replica{Instance: named.Instance, Address: named.Advertise})
	}
	c.nodes = append(c.nodes, n)
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

// Symptom: control is lost for good after a few replacements. Sequence: one voter after the other goes, and an empty one
// comes at another address; each newcomer knows one living instance. In the end none of the first three is left, and the
// session of a process that knew only those must still find control. Cause: members, and the instances that a process
// keeps links to, that are fixed when it starts.
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
			old := c.nodes[i]
			c.stop(old)
			n := c.newcomer(4+i, i+2)
			c.eventually("the newcomer confirms reads", func() bool { return n.control.Ready() == nil })
			c.eventually("and votes", func() bool { return votes(c, n) == 3 })
			require.NoError(t, n.control.PutDesired(t.Context(), testDesired(uint64(i+2))))
		}
		c.eventually("the session has what the last ones hold", func() bool {
			return client.View().Desired.GetVersion() == 4 && client.Ready() == nil
		})
		desired, err := c.nodes[5].control.Desired(t.Context())
		require.NoError(t, err)
		require.EqualValues(t, 4, desired.GetVersion())
		require.Equal(t, "document", string(desired.GetDocument()))
	})
}

// votes returns how many voters the instance knows if it is one of them, else 0.
func votes(c *cluster, n *node) int {
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

// Symptom: an operator hears that a valid change was refused. Sequence: it asks an instance that doesn't lead, or during an
// election, or resends what was committed. Cause: an answer that is about the group and not about the change.
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

// Symptom: an operator's valid change is refused for good. Sequence: the desired state has grown to some thousand routes;
// their record, with the operator's own text beside it, is over a megabyte. Cause: a bound on log entries that was taken
// for records of requests.
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
		c.eventually("the session has it", func() bool { return len(client.View().Desired.GetRoutes()) == 4001 })
		c.stop(c.leader())
		desired, err := c.follower().control.Desired(t.Context())
		require.NoError(t, err)
		require.Len(t, desired.GetDocument(), 4000*350)
	})
}

// Symptom: an old desired state is shown, or one that may not be the newest. Sequence: an instance is cut off from the
// others while they take a change. Cause: a read without a quorum.
func TestReadIsRefusedWithoutAQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		follower := c.follower()
		require.NoError(t, c.leader().control.PutDesired(t.Context(), testDesired(1)))
		for _, n := range c.nodes {
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
		c.eventually("entries have it", func() bool { return client.View().Announcements["s1"] != nil })
		server.Sequence, server.Draining = 2, true
		require.NoError(t, leader.control.Announce(t.Context(), server))
		c.eventually("entries know that it drains", func() bool { return client.View().Announcements["s1"].GetDraining() })
		require.NoError(t, follower.control.EndServer(t.Context(), wire.Run{ID: "s1"}))
		c.eventually("entries have it no longer", func() bool { return client.View().Announcements["s1"] == nil })
		server.Sequence = 3
		require.NoError(t, follower.control.Announce(t.Context(), server), "late, and acknowledged")
		time.Sleep(5 * time.Second)
		require.Nil(t, client.View().Announcements["s1"])
	})
}
