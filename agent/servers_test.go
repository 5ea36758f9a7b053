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

// Symptom: an entry waits for a proof that its server's gate gave long ago.
// Sequence: an entry is linked and asks after an attempt at a server that announces itself later; the gate answers once
// the engine is proved free, but only entries that it knows to be linked.
// Cause: a gate heard of links that came after it, and not of those that were open already.
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
	withModelEnv(t, func(w *testEnv, _ *standin.Server, entry *fakeEntry) {
		second := standin.ServiceDefaults()
		second.Server = "server-2"
		w.startEngine(second)
		entry.awaitRoom("server-2")
		assert.Len(t, w.control.registered(), 2)
		dispatch := serviceDispatch("r1", 1)
		dispatch.Server = "server-2"
		entry.dispatch(dispatch)
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, entry.awaitOver("r1", 1).GetProof())
	})
}

// Symptom: an attempt that was refused as never started runs.
// Sequence: an entry dispatches for a server that has not announced itself to this incarnation yet; the refused
// dispatch comes a second time after the announcement.
// Cause: there was no gate to remember the refusal.
func TestDispatchBeforeServerAnnouncement(t *testing.T) {
	withModelEnv(t, func(w *testEnv, _ *standin.Server, entry *fakeEntry) {
		early := serviceDispatch("r1", 1)
		early.Server = "server-2"
		entry.dispatch(early)
		over := entry.awaitOver("r1", 1)
		assert.Equal(t, wire.Proof_PROOF_NEVER_STARTED, over.GetProof())

		second := standin.ServiceDefaults()
		second.Server = "server-2"
		service := w.startEngine(second)
		entry.awaitRoom("server-2")
		entry.dispatch(early)
		time.Sleep(5 * time.Second)
		assert.Empty(t, service.Runs())
	})
}

// Symptom: "never started" is said of an attempt that may run.
// Sequence: entries name more servers than an agent takes.
// Cause: a refusal without a place for its tombstone was given as a proof.
func TestNoProofWithoutGate(t *testing.T) {
	withModelEnv(t, func(w *testEnv, _ *standin.Server, entry *fakeEntry) {
		for i := range maxServers {
			require.Equal(t, i < maxServers-1, w.agent.servers.getOrCreate(fmt.Sprint("s", i)) != nil)
		}
		dispatch := completionDispatch("r1", 1)
		dispatch.Server = "one-more"
		entry.dispatch(dispatch)
		w.waitUntil("an answer", func() bool { return entry.over("r1", 1) != nil })
		assert.Equal(t, wire.Proof_PROOF_UNPROVEN, entry.over("r1", 1).GetProof())
	})
}

// Symptom: a server that was drained and stopped stays in the directory for ever.
// Sequence: a server is drained, then stops announcing itself.
// Cause: nothing looked for the silence of a drained server.
func TestStoppedServerLeavesTheDirectory(t *testing.T) {
	withModelEnv(t, func(w *testEnv, _ *standin.Server, _ *fakeEntry) {
		w.askToLeave()
		w.waitUntil("drained", func() bool { return w.agent.servers.get("server-1").view.Load().drained })
		w.network.Cut(engineHost, agentHost)
		w.waitUntil("it left the directory", func() bool { return len(w.control.registered()) == 0 })
		assert.Contains(t, w.leaveState(), `"drained"`)
	})
}
