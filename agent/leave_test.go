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

// leaveState returns the response with the state of server-1's leave.
func (env *testEnv) leaveState() string {
	env.t.Helper()
	_, body := env.call("GET", "/v1/leave/server-1", nil)
	return body
}

func (env *testEnv) askToLeave() {
	env.t.Helper()
	status, body := env.call("POST", "/v1/leave", engine.LeaveRequest{Server: "server-1"})
	assert.Equal(env.t, 200, status)
	assert.Contains(env.t, body, "draining")
}

// A server that has asked to leave must finish its streams and get no new work, although it goes on announcing itself
// while it drains.
func TestGracefulLeaveFinishesAttempts(t *testing.T) {
	withModelEnv(t, func(env *testEnv, _ *standin.Server, entry *fakeEntry) {
		entry.dispatch(withBody(completionDispatch("r1", 1), `{"model":"sample","prompt":"a","max_tokens":150}`))
		env.waitUntil("the stream runs", func() bool { return entry.eventCount("r1", 1) > 3 })
		env.askToLeave()
		entry.dispatch(completionDispatch("r2", 1))
		over := entry.awaitOver("r2", 1)
		assert.Equal(t, wire.Proof_PROOF_NEVER_STARTED, over.GetProof())
		time.Sleep(5 * time.Second)
		status, _ := env.call("GET", "/readyz", nil)
		assert.Equal(t, 503, status)
		commits := env.control.serverUpdateCount()
		env.askToLeave()
		time.Sleep(time.Second)
		assert.Equal(t, commits, env.control.serverUpdateCount(), "a repeated leave is not committed again")
		assert.Contains(t, env.leaveState(), `"draining"`)
		assert.Equal(t, wire.ServerCondition_SERVER_CONDITION_DRAINING, env.control.registered()[0].GetCondition())
		assert.Zero(t, entry.room("server-1").GetFree())

		over = entry.awaitOver("r1", 1)
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, over.GetProof())
		assert.Equal(t, uint32(150), over.GetAnswer().GetOutputTokens())
		env.waitUntil("the server is drained", func() bool { return env.agent.servers.get("server-1").view.Load().drained })
		assert.Contains(t, env.leaveState(), `"drained"`)
		assert.Zero(t, env.ledger.Starts()["r2.1"])
		assert.Equal(t, wire.ServerCondition_SERVER_CONDITION_DRAINED, env.control.registered()[0].GetCondition())
	})
}

// A drained server must stay drained while it goes on announcing itself. An announcement taken for a return would give
// new work to a server that an operator drained or that is about to stop.
func TestDrainedServerStaysDrainedWhileAnnouncing(t *testing.T) {
	withModelEnv(t, func(env *testEnv, _ *standin.Server, entry *fakeEntry) {
		env.control.orders <- &wire.Order{
			Id:        1,
			Fence:     5,
			Server:    "server-1",
			Kind:      wire.OrderKind_ORDER_KIND_DRAIN,
			Committed: true,
		}
		env.waitUntil("the server is drained", func() bool { return env.agent.servers.get("server-1").view.Load().drained })
		assert.Zero(t, env.control.orderResults()[0].GetCode())
		time.Sleep(30 * time.Second)
		assert.True(t, env.agent.servers.get("server-1").view.Load().drained)
		entry.dispatch(completionDispatch("r1", 1))
		assert.Equal(t, wire.Proof_PROOF_NEVER_STARTED, entry.awaitOver("r1", 1).GetProof())
	})
}

// directoryView returns a committed view in which server-1 of this agent has the given condition.
func (env *testEnv) directoryView(condition wire.ServerCondition) *session.View {
	return &session.View{ConfigVersion: 1, Agents: map[string]*wire.AgentRecord{"agent-1": {
		Agent:       "agent-1",
		Incarnation: env.agent.incarnation,
		Servers:     []*wire.ServerRecord{{Server: "server-1", Condition: condition}},
	}}}
}

// An operator's drain reaches the agent through the directory, without an order. An outdated directory, after a server
// has left and returned, must not drain the server again.
func TestOperatorDrainFromDirectory(t *testing.T) {
	withModelEnv(t, func(env *testEnv, _ *standin.Server, _ *fakeEntry) {
		view := func() *serverView { return env.agent.servers.get("server-1").view.Load() }
		draining := env.directoryView(wire.ServerCondition_SERVER_CONDITION_DRAINING)
		env.askToLeave()
		env.control.setView(draining)
		env.waitUntil("the server is drained", func() bool { return view().drained })
		env.leaveState()
		env.waitReady()
		env.waitUntil("the server has returned", func() bool { return !view().leaving })
		env.control.setView(draining)
		time.Sleep(time.Second)
		assert.False(t, view().leaving, "the directory reflects the server's own leave")
		earlier := env.directoryView(wire.ServerCondition_SERVER_CONDITION_READY)
		env.control.setView(earlier)
		synctest.Wait()
		earlier = env.directoryView(wire.ServerCondition_SERVER_CONDITION_DRAINING)
		earlier.Agents["agent-1"].Incarnation--
		env.control.setView(earlier)
		time.Sleep(time.Second)
		assert.False(t, view().leaving, "the record is of an earlier incarnation")

		env.control.setView(env.directoryView(wire.ServerCondition_SERVER_CONDITION_READY))
		synctest.Wait()
		env.control.setView(draining)
		env.waitUntil("the server is drained by the operator", func() bool { return view().drained })
	})
}

func TestDrainedServerReturns(t *testing.T) {
	withModelEnv(t, func(env *testEnv, _ *standin.Server, entry *fakeEntry) {
		env.askToLeave()
		env.waitUntil("the server is drained", func() bool { return env.agent.servers.get("server-1").view.Load().drained })
		assert.Contains(t, env.leaveState(), `"drained"`)
		time.Sleep(returnDelay / 2)
		assert.True(t, env.agent.servers.get("server-1").view.Load().drained, "the announcement may be the last one of a stopping server")
		env.waitReady()
		entry.awaitRoom("server-1")
		entry.dispatch(completionDispatch("r1", 1))
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, entry.awaitOver("r1", 1).GetProof())
		status, _ := env.call("GET", "/v1/leave/server-1", nil)
		assert.Equal(t, 404, status)
	})
}

// A server that stops announcing itself must leave the directory, or it would go on getting work. It is listed again
// after its return.
func TestSilentServerLeavesTheDirectory(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent()
		options := slowModel()
		options.LeaveTimeout = time.Nanosecond
		env.startEngine(options)
		env.waitReady()
		before := env.control.serverUpdateCount()
		time.Sleep(20 * time.Second)
		assert.Equal(t, before, env.control.serverUpdateCount(), "announcements without a change are not committed")

		env.network.Cut(engineHost, agentHost)
		env.waitUntil("the server is suspect", func() bool {
			return env.control.registered()[0].GetCondition() == wire.ServerCondition_SERVER_CONDITION_SUSPECT
		})
		env.waitUntil("the server is gone", func() bool { return len(env.control.registered()) == 0 })
		env.network.Heal(engineHost, agentHost)
		env.waitUntil("the server has returned", func() bool {
			servers := env.control.registered()
			return len(servers) == 1 && servers[0].GetCondition() == wire.ServerCondition_SERVER_CONDITION_READY
		})
	})
}
