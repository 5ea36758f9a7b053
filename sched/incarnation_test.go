package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// shareAgent lists s1 and s2 as servers of one agent, and dispatches a request to each.
func shareAgent(t *testing.T) (*world, map[string]sentTo) {
	t.Helper()
	w := newWorld(t, Options{})
	agent := &wire.AgentRecord{Agent: agentOf("s1"), Incarnation: 1}
	for _, name := range []string{"s1", "s2"} {
		agent.Servers = append(agent.Servers, &wire.ServerRecord{
			Server: name, Kind: kindModel, Address: "addr-" + name, Models: []string{testModel},
			Condition: wire.ServerCondition_SERVER_CONDITION_READY,
		})
	}
	w.records = append(w.records, agent)
	w.step(Directory{Agents: w.records})
	w.up("s1", 1)
	w.roomOfShared("s1", 1)
	w.roomOfShared("s2", 1)
	w.arrive("a", appeal)
	w.arrive("b", appeal)
	at := make(map[string]sentTo)
	for _, request := range []string{"a", "b"} {
		d := w.last(request, 1)
		at[d.server] = d
	}
	require.Len(t, at, 2)
	w.serve("s3", kindModel, testModel, 4)
	return w, at
}

// roomOfShared is the room of a server whose agent is that of s1.
func (w *world) roomOfShared(server string, free uint32) {
	w.t.Helper()
	w.say("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: readyRoom(server, kindModel, testModel, free)}})
}

// Symptom: a request runs on two engines.
// Sequence: the agent of two servers dies; its next incarnation waits for the servers that announce themselves, and
// says hello; the other server's engine, which announces itself late, still runs what the dead one gave it.
// Cause: the hello of the newer incarnation was taken for the proof for all of the agent's servers.
func TestNewerIncarnationProvesOnlyServersItSpeaksOf(t *testing.T) {
	w, at := shareAgent(t)
	w.down("s1")
	w.up("s1", 2)
	w.roomOfShared("s1", 0)
	assert.Len(t, w.dispatches(requestOf(at["s1"])), 2, "s1 is proved free")
	w.pass(time.Second)
	assert.Len(t, w.dispatches(requestOf(at["s2"])), 1, "s2 may be at it")
	w.roomOfShared("s2", 0)
	assert.Len(t, w.dispatches(requestOf(at["s2"])), 2, "now s2 is proved free, too")
}

// Symptom: a request waits until its deadline for a server that is gone for good.
// Sequence: as above, but the late server never announces itself again.
// Cause: with the agent's link open nobody asks the engine itself.
func TestEngineIsAskedWhereANewerIncarnationIsSilent(t *testing.T) {
	w, at := shareAgent(t)
	w.down("s1")
	w.up("s1", 2)
	w.roomOfShared("s1", 0)
	w.pass(leaseMargin * DefaultLeaseDuration)
	require.NotEmpty(t, w.proves)
	for _, p := range w.proves {
		assert.Equal(t, "addr-s2", p.Address)
	}
	assert.Empty(t, w.cancels(requestOf(at["s2"])), "the new incarnation knows nothing of it")
	w.step(EngineProved{Attempt: at["s2"].id, Server: "s2", Proof: wire.Proof_PROOF_CANCELLED})
	assert.Len(t, w.dispatches(requestOf(at["s2"])), 2)
}

// Symptom: requests are cut, or run twice, when the link of an agent of several servers is lost for a moment.
// Sequence: the link is lost and comes back, of the same incarnation; one server's attempt ends meanwhile.
// Cause: what is heard of one server, or of the link, taken for word of the other.
func TestLostLinkOfAnAgentOfTwoServers(t *testing.T) {
	w, at := shareAgent(t)
	w.down("s1")
	w.pass(time.Second)
	w.up("s1", 1)
	w.roomOfShared("s1", 1)
	w.roomOfShared("s2", 0)
	a, b := at["s1"], at["s2"]
	w.say("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: &wire.Over{
		Attempt: b.id, Server: "s1", Proof: wire.Proof_PROOF_NEVER_STARTED,
	}}})
	w.say("s1", started(b))
	w.over("s1", &wire.Over{Attempt: a.id, Proof: wire.Proof_PROOF_NEVER_STARTED})
	assert.Len(t, w.dispatches(requestOf(a)), 2, "proved at s1")
	assert.Len(t, w.dispatches(requestOf(b)), 1, "nothing is proved at s2")
	w.frame("s1", b.id, 0, "x")
	w.say("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: &wire.Over{
		Attempt: b.id, Server: "s2", Proof: wire.Proof_PROOF_COMPLETED, Answer: endOf(0, "x"),
	}}})
	assert.Contains(t, w.answers, requestOf(b))
}

func requestOf(d sentTo) string { return d.id.GetRequest() }
