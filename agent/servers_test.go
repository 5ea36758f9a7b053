package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/wire"
)

// A new gate must learn of links that are already open. Otherwise it doesn't send its answers to those entries, which
// wait for a proof that was given long ago.
func TestNewGateLearnsOpenLinks(t *testing.T) {
	linked := gate.EntryID{Name: "entry-1", Incarnation: 1}
	left := gate.EntryID{Name: "entry-2", Incarnation: 1}
	recorder := new(gateRecorder)
	l := newServers(serverDeps{
		log:     discardLog(),
		newGate: func() serverGate { return recorder },
	}, func(*server) {}, maxServers)
	l.entryConnected(t.Context(), linked)
	l.entryConnected(t.Context(), left)
	l.entryDisconnected(t.Context(), left)
	s := l.getOrCreate("server-1")
	for s.inputs.Len() > 0 {
		s.applyBatch(<-s.inputs.C())
	}
	assert.Equal(t, []gate.Event{gate.EntryConnected{Entry: linked}}, recorder.events)
}

func TestLaterServerServesLinkedEntries(t *testing.T) {
	withModelEnv(t, func(env *testEnv, _ *standin.Server, entry *fakeEntry) {
		second := standin.ServiceDefaults()
		second.Server = "server-2"
		env.startEngine(second)
		entry.awaitRoom("server-2")
		assert.Len(t, env.control.registered(), 2)
		dispatch := serviceDispatch("r1", 1)
		dispatch.Server = "server-2"
		entry.dispatch(dispatch)
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, entry.awaitOver("r1", 1).GetProof())
	})
}

// A dispatch for a server that has not announced itself yet is refused as never started. A copy of it that arrives
// after the announcement must not run, so a gate has to hold the tombstone.
func TestDispatchBeforeServerAnnouncement(t *testing.T) {
	withModelEnv(t, func(env *testEnv, _ *standin.Server, entry *fakeEntry) {
		early := serviceDispatch("r1", 1)
		early.Server = "server-2"
		entry.dispatch(early)
		over := entry.awaitOver("r1", 1)
		assert.Equal(t, wire.Proof_PROOF_NEVER_STARTED, over.GetProof())

		second := standin.ServiceDefaults()
		second.Server = "server-2"
		service := env.startEngine(second)
		entry.awaitRoom("server-2")
		entry.dispatch(early)
		time.Sleep(5 * time.Second)
		assert.Empty(t, service.Runs())
	})
}

// Beyond the limit on servers there is no gate and no tombstone, so the refusal of a dispatch must not claim that it
// never started: a copy may still run.
func TestNoProofWithoutGate(t *testing.T) {
	withModelEnv(t, func(env *testEnv, _ *standin.Server, entry *fakeEntry) {
		for i := range maxServers {
			require.Equal(t, i < maxServers-1, env.agent.servers.getOrCreate(fmt.Sprint("s", i)) != nil)
		}
		dispatch := completionDispatch("r1", 1)
		dispatch.Server = "one-more"
		entry.dispatch(dispatch)
		env.waitUntil("the dispatch is answered", func() bool { return entry.over("r1", 1) != nil })
		assert.Equal(t, wire.Proof_PROOF_UNPROVEN, entry.over("r1", 1).GetProof())
	})
}

// A server that was drained and then stops announcing itself must leave the directory. Its gate doesn't report this
// silence.
func TestStoppedServerLeavesTheDirectory(t *testing.T) {
	withModelEnv(t, func(env *testEnv, _ *standin.Server, _ *fakeEntry) {
		env.askToLeave()
		env.waitUntil("the server is drained", func() bool { return env.agent.servers.get("server-1").view.Load().drained })
		env.network.Cut(engineHost, agentHost)
		env.waitUntil("the server has left the directory", func() bool { return len(env.control.registered()) == 0 })
		assert.Contains(t, env.leaveState(), `"drained"`)
	})
}
