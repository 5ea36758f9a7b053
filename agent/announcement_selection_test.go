package agent

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

const followedAddress = engineHost + ":9500"

func followView(version uint64, announcements ...*wire.Announcement) *session.View {
	view := &session.View{
		ConfigVersion: version, DirectoryVersion: version, Fence: 5,
		Announcements: map[string]*wire.Announcement{},
		Desired: &wire.DesiredState{Version: 1, Pools: []*wire.Pool{
			{Name: "models", Kind: string(engine.KindModel), TokensPerEvent: 4},
			{Name: "desk", Kind: string(engine.KindService)},
		}},
	}
	for _, a := range announcements {
		view.Announcements[a.Run().String()] = a
	}
	return view
}

func newAnnouncement(server, pool, address string) *wire.Announcement {
	return &wire.Announcement{Server: server, Pool: pool, Address: address, Slots: 4, Sequence: 1}
}

func TestServersAreSelected(t *testing.T) {
	view := followView(1,
		newAnnouncement("m1", "models", followedAddress), newAnnouncement("m2", "models", "10.0.0.9:1"),
		newAnnouncement("d1", "desk", "10.0.0.8:1"), newAnnouncement("x1", "unknown", "10.0.0.7:1"))
	names := func(found []*wire.Announcement) []string {
		var list []string
		for _, a := range found {
			list = append(list, a.GetServer())
		}
		return list
	}
	require.Equal(t, []string{"m1"}, names(AtAddress(followedAddress)(view)))
	require.Equal(t, []string{"d1"}, names(OfKind(engine.KindService)(view)))
	require.Empty(t, AtAddress(followedAddress)(&session.View{}))
}

// A model server without an agent must still get requests: a deployment may have model servers on machines without an
// agent, or lose an agent for good. Otherwise requests are refused while servers are idle.
func TestServersWithoutAgentAreSelected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		selects := AnyOf(OfKind(engine.KindService), WithoutAgent(time.Second))
		view := followView(1, newAnnouncement("m1", "models", followedAddress), newAnnouncement("m2", "models", "10.0.0.9:1"),
			newAnnouncement("d1", "desk", "10.0.0.8:1"))
		view.Agents = map[string]*wire.AgentRecord{"agent-1": {Servers: []*wire.ServerRecord{{Server: newAnnouncement("m1", "", "").Run().String()}}}}
		names := func() []string {
			var list []string
			for _, a := range selects(view) {
				list = append(list, a.GetServer())
			}
			slices.Sort(list)
			return list
		}
		require.Equal(t, []string{"d1"}, names(), "its agent may still be starting")
		time.Sleep(time.Second)
		require.Equal(t, []string{"d1", "m2"}, names())
		agents := view.Agents
		view.Agents = nil
		require.Equal(t, []string{"d1", "m2"}, names(), "its agent may be restarting")
		time.Sleep(time.Second)
		require.Equal(t, []string{"d1", "m1", "m2"}, names())
		view.Agents = agents
		require.Equal(t, []string{"d1", "m2"}, names(), "an agent's listing takes effect at once")
	})
}

// startFollowingAgent starts an agent that takes its servers from control, beside a simulated engine.
func (env *testEnv) startFollowingAgent() {
	env.t.Helper()
	env.startStandin(standin.Options{Server: "m1", Kind: engine.KindModel, Models: []string{"models"}, Slots: 4, Listen: followedAddress})
	env.control.reset()
	agent, err := New(env.settings(), Options{
		Network: env.network.Host(agentHost),
		Control: env.control,

		ServerAddress: followedAddress,
	})
	require.NoError(env.t, err)
	env.run(agent)
}

// Ended servers must not count against the limit for good. Each start of a server has a new name, so an agent that
// kept them would refuse the server after its 64th start.
func TestEndedServersAreRemoved(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startFollowingAgent()
		for i := range uint64(maxServers + 6) {
			name := fmt.Sprint("start-", i)
			env.control.setView(followView(i+2, newAnnouncement(name, "models", followedAddress)))
			env.waitUntil("the server is announced", func() bool {
				s := env.agent.servers.get(name)
				return s != nil && s.view.Load().announced()
			})
			time.Sleep(endedServerRetention / 8)
		}
		env.control.setView(followView(1000))
		time.Sleep(endedServerRetention + 10*time.Second)
		require.Empty(t, env.agent.servers.all())
	})
}

// An agent whose server announces itself only to control must open its session before it knows of a server. If it
// waited for an announcement first, it would wait forever, since only the session delivers one.
func TestAgentTakesServerFromControl(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startFollowingAgent()
		require.Nil(t, env.control.registered())
		env.control.setView(followView(2, newAnnouncement("m1", "models", followedAddress)))
		env.waitUntil("the server is registered", func() bool {
			records := env.control.registered()
			return len(records) == 1 && records[0].GetCondition() == wire.ServerCondition_SERVER_CONDITION_READY
		})
		record := env.control.registered()[0]
		require.Equal(t, "m1", record.GetServer())
		require.Equal(t, []string{"models"}, record.GetModels())
		require.Equal(t, settings.KindModel, record.GetKind())
		require.EqualValues(t, 4, record.GetTokensPerEvent())
		require.True(t, record.GetCapabilities().GetResume())
	})
}

// A server that control reports as draining, or no longer lists, must get no new work. An agent that only watches for
// new servers would miss both.
func TestServerEndedInDirectoryIsDrained(t *testing.T) {
	drainingAnnouncement := newAnnouncement("m1", "models", followedAddress)
	drainingAnnouncement.Draining = true
	for name, after := range map[string]*session.View{"drains": followView(3, drainingAnnouncement), "ended": followView(3)} {
		t.Run(name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.startFollowingAgent()
				env.control.setView(followView(2, newAnnouncement("m1", "models", followedAddress)))
				env.waitUntil("the server is ready", func() bool { return len(env.control.registered()) == 1 })
				env.control.setView(after)
				env.waitUntil("the server is drained", func() bool {
					records := env.control.registered()
					return len(records) == 1 && records[0].GetCondition() == wire.ServerCondition_SERVER_CONDITION_DRAINED
				})
			})
		})
	}
}

// Guards against a server that gets work while it drains: it was absent from the directory for a while, and the announcement
// that it is draining counts as its return.
func TestServerThatDrainsAfterAbsenceGetsNoWork(t *testing.T) {
	draining := newAnnouncement("m1", "models", followedAddress)
	draining.Draining = true
	for _, absence := range []time.Duration{400 * time.Millisecond, 2900 * time.Millisecond, 4 * time.Second} {
		t.Run(absence.String(), func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.startFollowingAgent()
				env.control.setView(followView(2, newAnnouncement("m1", "models", followedAddress)))
				env.waitUntil("the server is ready", func() bool { return len(env.control.registered()) == 1 })
				env.control.setView(followView(3))
				time.Sleep(absence)
				env.control.setView(followView(4, draining))
				time.Sleep(5 * time.Second)
				for _, record := range env.control.registered() {
					require.Equal(t, wire.ServerCondition_SERVER_CONDITION_DRAINED, record.GetCondition())
				}
			})
		})
	}
}

// Guards against a sound server that gets no work for good, since the directory didn't list it for a moment: a late announcement
// of its predecessor had its address, or a desired state was without its pool.
func TestServerAbsentForAMomentReturns(t *testing.T) {
	listed := newAnnouncement("m1", "models", followedAddress)
	withoutPool := func(version uint64) *session.View {
		view := followView(version, listed)
		view.Desired.Pools = view.Desired.Pools[1:]
		return view
	}
	for name, without := range map[string]*session.View{
		"other server at its address": followView(3, newAnnouncement("m0", "models", followedAddress)),
		"no server":                   followView(3),
		"pool is missing":             withoutPool(3),
	} {
		for _, moment := range []time.Duration{400 * time.Millisecond, 1500 * time.Millisecond, 2900 * time.Millisecond} {
			t.Run(name+" for "+moment.String(), func(t *testing.T) {
				withEnv(t, func(env *testEnv) {
					condition := func() wire.ServerCondition {
						for _, record := range env.control.registered() {
							if record.GetServer() == "m1" {
								return record.GetCondition()
							}
						}
						return wire.ServerCondition_SERVER_CONDITION_UNSPECIFIED
					}
					env.startFollowingAgent()
					for round := range uint64(3) {
						env.control.setView(followView(2+10*round, listed))
						env.waitUntil("the server is ready", func() bool { return condition() == wire.ServerCondition_SERVER_CONDITION_READY })
						absent := *without
						absent.ConfigVersion, absent.DirectoryVersion = 3+10*round, 3+10*round
						env.control.setView(&absent)
						time.Sleep(moment)
						env.control.setView(followView(4+10*round, listed))
						time.Sleep(5 * time.Second)
						require.Equal(t, wire.ServerCondition_SERVER_CONDITION_READY, condition())
					}
				})
			})
		}
	}
}
