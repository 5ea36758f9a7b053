package control_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Guards against a process that keeps sending requests to a server that is leaving, because the one control instance
// that sends it directory updates is cut off, behind or down. The other instances' answers name a newer version. The
// process must turn to one of them within two seconds, the time in which users expect such a notice to be followed.
func TestDirectoryUpdatesSurviveFailureOfFollowedInstance(t *testing.T) {
	const within = 2 * time.Second
	faults := map[string]func(*cluster, *instance){
		"cut off from the client": func(c *cluster, n *instance) { c.net.Cut(n.host, "10.0.1.1") },
		"cut off from the other instances": func(c *cluster, n *instance) {
			for _, other := range c.instances {
				if other != n {
					c.net.Cut(n.host, other.host)
				}
			}
		},
		"receives late from the other instances": func(c *cluster, n *instance) {
			for _, other := range c.instances {
				if other != n {
					c.net.Delay(other.host, n.host, 5*time.Second)
				}
			}
		},
		"stopped": func(c *cluster, n *instance) { c.stop(n) },
	}
	for name, inject := range faults {
		for _, role := range []wire.Role{wire.Role_ROLE_ENTRY, wire.Role_ROLE_AGENT} {
			t.Run(fmt.Sprint(name, "/", role), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t, 3)
					c.startAll()
					defer c.stopAll()
					followed := c.follower() // the only one in its zone
					s, stop := c.run(session.Config{
						Instance: "me", Role: role, Incarnation: 1, Zone: followed.settings.AvailabilityZone,
						LinkAddress: "10.0.1.1:7100", ServerAddress: "10.0.3.1:8000",
						Controls: c.links(), Network: c.net.Host("10.0.1.1"), SilenceBound: time.Hour,
					})
					defer stop()
					c.eventually("the client is ready", func() bool { return s.Ready() == nil })
					time.Sleep(5 * time.Second)
					leader := c.leader()
					server := &wire.Announcement{Server: "s", Pool: "m", Address: "10.0.3.1:8000", Slots: 5, Sequence: 1}
					require.NoError(t, leader.control.Announce(t.Context(), server))
					c.eventually("the client knows the server", func() bool { return s.View().Announcements["s"] != nil })

					inject(c, followed)
					leaving := &wire.Announcement{Server: "s", Pool: "m", Address: "10.0.3.1:8000", Slots: 5, Sequence: 2, Draining: true}
					require.NoError(t, leader.control.Announce(t.Context(), leaving))
					began := time.Now()
					c.eventually("the client knows that the server is draining", func() bool { return s.View().Announcements["s"].GetDraining() })
					require.LessOrEqual(t, time.Since(began), within, "simulated time")
				})
			})
		}
	}
}

// Guards against an agent that keeps a run of its server that ended while the agent had no link. The server restarts
// meanwhile; the instance that the agent follows next does not know which runs the agent still has.
func TestServerEndedDuringPartitionIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		s, stop := c.run(session.Config{
			Instance: "me", Role: wire.Role_ROLE_AGENT, Incarnation: 1, Zone: "zone-1",
			LinkAddress: "10.0.1.1:7100", ServerAddress: "10.0.3.1:8000",
			Controls: c.links(), Network: c.net.Host("10.0.1.1"), SilenceBound: time.Hour,
		})
		defer stop()
		c.eventually("the client is ready", func() bool { return s.Ready() == nil })
		leader := c.leader()
		announce := func(server string, sequence uint64) {
			require.NoError(t, leader.control.Announce(t.Context(), &wire.Announcement{
				Server: server, Pool: "m", Address: "10.0.3.1:8000", Slots: 5, Sequence: sequence,
			}))
		}
		announce("first", 1)
		c.eventually("the client knows the server", func() bool { return s.View().Announcements["first"] != nil })
		for _, n := range c.instances {
			c.net.Cut(n.host, "10.0.1.1")
		}
		time.Sleep(10 * time.Second)
		announce("second", 1)
		for _, n := range c.instances[1:] {
			c.net.Heal(n.host, "10.0.1.1")
		}
		c.eventually("the client knows the second run", func() bool { return s.View().Announcements["second"] != nil })
		require.NotContains(t, s.View().Announcements, "first")
	})
}
