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

// Symptom: requests for models are refused with idle servers there. Sequence: a deployment has model servers on machines
// where no agent runs, or an agent is gone for good. Cause: only an agent beside it took a model server.
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
		require.Equal(t, []string{"d1"}, names(), "its agent may be starting")
		time.Sleep(time.Second)
		require.Equal(t, []string{"d1", "m2"}, names())
		agents := view.Agents
		view.Agents = nil
		require.Equal(t, []string{"d1", "m2"}, names(), "its agent may be restarting")
		time.Sleep(time.Second)
		require.Equal(t, []string{"d1", "m1", "m2"}, names())
		view.Agents = agents
		require.Equal(t, []string{"d1", "m2"}, names(), "it is the agent's at once")
	})
}

// startFollowingAgent starts an agent that takes its servers from control, beside a stand-in engine.
func (w *testEnv) startFollowingAgent() {
	w.t.Helper()
	w.startStandin(standin.Options{Server: "m1", Kind: engine.KindModel, Models: []string{"models"}, Slots: 4, Listen: followedAddress})
	w.control.reset()
	agent, err := New(w.settings(), Options{
		Network: w.network.Host(agentHost),
		Control: w.control,

		ServerAddress: followedAddress,
	})
	require.NoError(w.t, err)
	w.run(agent)
}

// Symptom: a model server gets no work any more after its 64th start. Sequence: each start has a new name; the agent keeps
// what it knows of the earlier ones. Cause: servers that are gone counted against the bound for ever.
func TestEndedServersAreRemoved(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.startFollowingAgent()
		for i := range uint64(maxServers + 6) {
			name := fmt.Sprint("start-", i)
			w.control.setView(followView(i+2, newAnnouncement(name, "models", followedAddress)))
			w.waitUntil("it is known", func() bool {
				s := w.agent.servers.get(name)
				return s != nil && s.view.Load().announced()
			})
			time.Sleep(endedServerRetention / 8)
		}
		w.control.setView(followView(1000))
		time.Sleep(endedServerRetention + 10*time.Second)
		require.Empty(t, w.agent.servers.all())
	})
}

// Symptom: an agent never shows itself. Sequence: its server announces itself to control and not to the agent; the agent
// waits for an announcement before it opens its session, over which alone it could hear of one. Cause: the two wait for
// each other.
func TestAgentTakesServerFromControl(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.startFollowingAgent()
		require.Nil(t, w.control.registered())
		w.control.setView(followView(2, newAnnouncement("m1", "models", followedAddress)))
		w.waitUntil("the server is registered", func() bool {
			records := w.control.registered()
			return len(records) == 1 && records[0].GetCondition() == wire.ServerCondition_SERVER_CONDITION_READY
		})
		record := w.control.registered()[0]
		require.Equal(t, "m1", record.GetServer())
		require.Equal(t, []string{"models"}, record.GetModels())
		require.Equal(t, settings.KindModel, record.GetKind())
		require.EqualValues(t, 4, record.GetTokensPerEvent())
		require.True(t, record.GetCapabilities().GetResume())
	})
}

// Symptom: a server that leaves gets new work. Sequence: control says that it drains, or has it no longer. Cause: an
// agent that only listens for new servers.
func TestServerEndedInDirectoryIsDrained(t *testing.T) {
	drains := newAnnouncement("m1", "models", followedAddress)
	drains.Draining = true
	for name, after := range map[string]*session.View{"drains": followView(3, drains), "ended": followView(3)} {
		t.Run(name, func(t *testing.T) {
			withEnv(t, func(w *testEnv) {
				w.startFollowingAgent()
				w.control.setView(followView(2, newAnnouncement("m1", "models", followedAddress)))
				w.waitUntil("ready", func() bool { return len(w.control.registered()) == 1 })
				w.control.setView(after)
				w.waitUntil("drained", func() bool {
					records := w.control.registered()
					return len(records) == 1 && records[0].GetCondition() == wire.ServerCondition_SERVER_CONDITION_DRAINED
				})
			})
		})
	}
}
