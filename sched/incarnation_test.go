package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// newSharedAgentHarness lists s1 and s2 as servers of one agent, dispatches a request to each, and adds s3.
func newSharedAgentHarness(t *testing.T) (*harness, map[string]sentMessage) {
	t.Helper()
	h := newHarness(t, Options{})
	agent := &wire.AgentRecord{Agent: agentOf("s1"), Incarnation: 1}
	for _, name := range []string{"s1", "s2"} {
		agent.Servers = append(agent.Servers, &wire.ServerRecord{
			Server: name, Kind: kindModel, Address: "addr-" + name, Models: []string{testModel},
			Condition: wire.ServerCondition_SERVER_CONDITION_READY,
		})
	}
	h.records = append(h.records, agent)
	h.step(Directory{Agents: h.records})
	h.linkUp("s1", 1)
	h.reportSharedAgentRoom("s1", 1)
	h.reportSharedAgentRoom("s2", 1)
	h.arrive("a", appeal)
	h.arrive("b", appeal)
	at := make(map[string]sentMessage)
	for _, request := range []string{"a", "b"} {
		d := h.lastDispatch(request, 1)
		at[d.server] = d
	}
	require.Len(t, at, 2)
	h.addServer("s3", kindModel, testModel, 4)
	return h, at
}

// reportSharedAgentRoom delivers a Room report of a server that shares the agent of s1.
func (h *harness) reportSharedAgentRoom(server string, free uint32) {
	h.t.Helper()
	h.receive("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: readyRoom(server, kindModel, testModel, free)}})
}

// Guards against running a request on two engines. The agent of two servers crashes; its next incarnation connects
// after one server has announced itself, while the other server's engine still runs its attempt. The hello of the
// new incarnation must not count as proof for both servers.
func TestNewerIncarnationProvesOnlyServersItReports(t *testing.T) {
	h, at := newSharedAgentHarness(t)
	h.linkDown("s1")
	h.linkUp("s1", 2)
	h.reportSharedAgentRoom("s1", 0)
	assert.Len(t, h.dispatches(requestOf(at["s1"])), 2, "s1 is proved free")
	h.advance(time.Second)
	assert.Len(t, h.dispatches(requestOf(at["s2"])), 1, "s2 may still run it")
	h.reportSharedAgentRoom("s2", 0)
	assert.Len(t, h.dispatches(requestOf(at["s2"])), 2, "s2 is proved free as well")
}

// Guards against a request that waits until its deadline for a server that never announces itself again, while the
// link to the new incarnation of its agent is open. The engine itself must be asked.
func TestEngineProofIsRequestedForUnreportedServer(t *testing.T) {
	h, at := newSharedAgentHarness(t)
	h.linkDown("s1")
	h.linkUp("s1", 2)
	h.reportSharedAgentRoom("s1", 0)
	h.advance(leaseMargin * DefaultLeaseDuration)
	require.NotEmpty(t, h.engineProofs)
	for _, p := range h.engineProofs {
		assert.Equal(t, "addr-s2", p.Address)
	}
	assert.Empty(t, h.cancels(requestOf(at["s2"])), "the new incarnation doesn't have the attempt")
	h.step(EngineProved{Attempt: at["s2"].id, Server: "s2", Proof: wire.Proof_PROOF_CANCELLED})
	assert.Len(t, h.dispatches(requestOf(at["s2"])), 2)
}

// Guards against requests that are cut or run twice after a brief loss of the link to an agent of two servers. The
// link returns with the same incarnation, and one server's attempt ends meanwhile; reports about one server must
// not affect the other's attempt.
func TestLinkLossOfAgentWithTwoServers(t *testing.T) {
	h, at := newSharedAgentHarness(t)
	h.linkDown("s1")
	h.advance(time.Second)
	h.linkUp("s1", 1)
	h.reportSharedAgentRoom("s1", 1)
	h.reportSharedAgentRoom("s2", 0)
	a, b := at["s1"], at["s2"]
	h.receive("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: &wire.Over{
		Attempt: b.id, Server: "s1", Proof: wire.Proof_PROOF_NEVER_STARTED,
	}}})
	h.receive("s1", started(b))
	h.over("s1", &wire.Over{Attempt: a.id, Proof: wire.Proof_PROOF_NEVER_STARTED})
	assert.Len(t, h.dispatches(requestOf(a)), 2, "proved at s1")
	assert.Len(t, h.dispatches(requestOf(b)), 1, "nothing is proved at s2")
	h.frame("s1", b.id, 0, "x")
	h.receive("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: &wire.Over{
		Attempt: b.id, Server: "s2", Proof: wire.Proof_PROOF_COMPLETED, Answer: answerEndOf(0, "x"),
	}}})
	assert.Contains(t, h.answers, requestOf(b))
}

func requestOf(d sentMessage) string { return d.id.GetRequest() }
