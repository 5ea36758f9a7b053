package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// leaveState asks where the leave of server-1 stands.
func (w *testEnv) leaveState() string {
	w.t.Helper()
	_, body := w.call("GET", "/v1/leave/server-1", nil)
	return body
}

func (w *testEnv) askToLeave() {
	w.t.Helper()
	status, body := w.call("POST", "/v1/leave", engine.Leave{Server: "server-1"})
	assert.Equal(w.t, 200, status)
	assert.Contains(w.t, body, "draining")
}

// Symptom: a stream is cut when its server leaves, or the server gets new work after it asked to leave.
// Sequence: a server with a long stream asks to leave, and goes on announcing itself; another request comes.
// Cause: the leave ended what was in flight, or an announcement ended the leave.
func TestGracefulLeaveFinishesAttempts(t *testing.T) {
	withModelEnv(t, func(w *testEnv, _ *standin.Server, entry *fakeEntry) {
		entry.dispatch(withBody(completionDispatch("r1", 1), `{"model":"sample","prompt":"a","max_tokens":150}`))
		w.waitUntil("the stream runs", func() bool { return entry.eventCount("r1", 1) > 3 })
		w.askToLeave()
		entry.dispatch(completionDispatch("r2", 1))
		over := entry.awaitOver("r2", 1)
		assert.Equal(t, wire.Proof_PROOF_NEVER_STARTED, over.GetProof())
		time.Sleep(5 * time.Second)
		status, _ := w.call("GET", "/readyz", nil)
		assert.Equal(t, 503, status)
		commits := w.control.serverUpdateCount()
		w.askToLeave()
		time.Sleep(time.Second)
		assert.Equal(t, commits, w.control.serverUpdateCount(), "a repeated leave is not committed again")
		assert.Contains(t, w.leaveState(), `"draining"`)
		assert.Equal(t, wire.ServerCondition_SERVER_CONDITION_DRAINING, w.control.registered()[0].GetCondition())
		assert.Zero(t, entry.room("server-1").GetFree())

		over = entry.awaitOver("r1", 1)
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, over.GetProof())
		assert.Equal(t, uint32(150), over.GetAnswer().GetOutputTokens())
		w.waitUntil("drained", func() bool { return w.agent.servers.get("server-1").view.Load().drained })
		assert.Contains(t, w.leaveState(), `"drained"`)
		assert.Zero(t, w.ledger.Starts()["r2.1"])
		assert.Equal(t, wire.ServerCondition_SERVER_CONDITION_DRAINED, w.control.registered()[0].GetCondition())
	})
}

// Symptom: a server that an operator drained, or one that is about to stop, gets new work.
// Sequence: it goes on announcing itself after it is drained.
// Cause: an announcement was taken for a return.
func TestDrainedServerStaysDrainedWhileAnnouncing(t *testing.T) {
	withModelEnv(t, func(w *testEnv, _ *standin.Server, entry *fakeEntry) {
		w.control.orders <- &wire.Order{
			Id:        1,
			Fence:     5,
			Server:    "server-1",
			Kind:      wire.OrderKind_ORDER_KIND_DRAIN,
			Committed: true,
		}
		w.waitUntil("drained", func() bool { return w.agent.servers.get("server-1").view.Load().drained })
		assert.Zero(t, w.control.orderResults()[0].GetCode())
		time.Sleep(30 * time.Second)
		assert.True(t, w.agent.servers.get("server-1").view.Load().drained)
		entry.dispatch(completionDispatch("r1", 1))
		assert.Equal(t, wire.Proof_PROOF_NEVER_STARTED, entry.awaitOver("r1", 1).GetProof())
	})
}

// directoryView is a committed directory that has server-1 of this agent in a condition.
func (w *testEnv) directoryView(condition wire.ServerCondition) *session.View {
	return &session.View{ConfigVersion: 1, Agents: map[string]*wire.AgentRecord{"agent-1": {
		Agent:       "agent-1",
		Incarnation: w.agent.incarnation,
		Servers:     []*wire.ServerRecord{{Server: "server-1", Condition: condition}},
	}}}
}

// Symptom: a server that an operator drained keeps its streams' slots and is never reported as drained; or one that
// came back is drained again.
// Sequence: control marks the server as draining in the directory and gives no order; or a server left and came back,
// and the directory that says so is late.
// Cause: the agent didn't look at its own record in the directory, or took an old one for the operator's wish.
func TestOperatorDrainFromDirectory(t *testing.T) {
	withModelEnv(t, func(w *testEnv, _ *standin.Server, _ *fakeEntry) {
		view := func() *serverView { return w.agent.servers.get("server-1").view.Load() }
		draining := w.directoryView(wire.ServerCondition_SERVER_CONDITION_DRAINING)
		w.askToLeave()
		w.control.setView(draining)
		w.waitUntil("drained", func() bool { return view().drained })
		w.leaveState()
		w.waitReady()
		w.waitUntil("back", func() bool { return !view().leaving })
		w.control.setView(draining)
		time.Sleep(time.Second)
		assert.False(t, view().leaving, "that was the server's own leave")
		earlier := w.directoryView(wire.ServerCondition_SERVER_CONDITION_READY)
		w.control.setView(earlier)
		synctest.Wait()
		earlier = w.directoryView(wire.ServerCondition_SERVER_CONDITION_DRAINING)
		earlier.Agents["agent-1"].Incarnation--
		w.control.setView(earlier)
		time.Sleep(time.Second)
		assert.False(t, view().leaving, "that is what an earlier incarnation registered")

		w.control.setView(w.directoryView(wire.ServerCondition_SERVER_CONDITION_READY))
		synctest.Wait()
		w.control.setView(draining)
		w.waitUntil("drained by the operator", func() bool { return view().drained })
	})
}

func TestDrainedServerReturns(t *testing.T) {
	withModelEnv(t, func(w *testEnv, _ *standin.Server, entry *fakeEntry) {
		w.askToLeave()
		w.waitUntil("drained", func() bool { return w.agent.servers.get("server-1").view.Load().drained })
		assert.Contains(t, w.leaveState(), `"drained"`)
		time.Sleep(returnDelay / 2)
		assert.True(t, w.agent.servers.get("server-1").view.Load().drained, "the last announcement of a stopping server")
		w.waitReady()
		entry.awaitRoom("server-1")
		entry.dispatch(completionDispatch("r1", 1))
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, entry.awaitOver("r1", 1).GetProof())
		status, _ := w.call("GET", "/v1/leave/server-1", nil)
		assert.Equal(t, 404, status)
	})
}

// Symptom: a dead server stays in the directory and gets work.
// Sequence: a server stops announcing itself without a word; later it is back.
// Cause: nobody noticed the silence, or only a part of the directory heard of it.
func TestSilentServerLeavesTheDirectory(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.startAgent()
		options := slowModel()
		options.LeaveTimeout = time.Nanosecond
		w.startEngine(options)
		w.waitReady()
		before := w.control.serverUpdateCount()
		time.Sleep(20 * time.Second)
		assert.Equal(t, before, w.control.serverUpdateCount(), "announcements that say nothing new are not committed")

		w.network.Cut(engineHost, agentHost)
		w.waitUntil("suspect", func() bool {
			return w.control.registered()[0].GetCondition() == wire.ServerCondition_SERVER_CONDITION_SUSPECT
		})
		w.waitUntil("gone", func() bool { return len(w.control.registered()) == 0 })
		w.network.Heal(engineHost, agentHost)
		w.waitUntil("back", func() bool {
			servers := w.control.registered()
			return len(servers) == 1 && servers[0].GetCondition() == wire.ServerCondition_SERVER_CONDITION_READY
		})
	})
}
