package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// newTwoServerHarness returns a harness with room at s1 and s2 and one dispatched request r.
func newTwoServerHarness(t *testing.T, class *wire.Class) (*harness, sentMessage) {
	h := newHarness(t, Options{})
	kind, target := class.GetKind(), testModel
	if kind == kindService {
		target = testService
	}
	h.addServer("s1", kind, target, 4)
	h.addServer("s2", kind, target, 4)
	h.arrive("r", class)
	return h, h.lastDispatch("r", 1)
}

func started(d sentMessage) *wire.AgentMessage {
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Started{Started: &wire.Started{Attempt: d.id, Server: d.server}}}
}

// other returns the server that the message wasn't sent to.
func (d sentMessage) other() string {
	if d.server == "s1" {
		return "s2"
	}
	return "s1"
}

// Guards against running one request on two engines at a time. A request is dispatched; then one of the rows
// happens, none of which proves the attempt over. It fails if a lost link, silence, a late message or a message
// without proof is taken for the end.
func TestNoSecondAttemptWithoutProof(t *testing.T) {
	rows := []struct {
		name string
		do   func(h *harness, d sentMessage)
	}{
		{"link lost", func(h *harness, d sentMessage) { h.linkDown(d.server) }},
		{"link lost and back", func(h *harness, d sentMessage) { h.linkDown(d.server); h.linkUp(d.server, 1) }},
		{"removed from the directory", func(h *harness, _ sentMessage) { h.step(Directory{}) }},
		{"unproven", func(h *harness, d sentMessage) { h.prove(d.server, d.id, wire.Proof_PROOF_UNPROVEN) }},
		{"unspecified", func(h *harness, d sentMessage) { h.prove(d.server, d.id, wire.Proof_PROOF_UNSPECIFIED) }},
		{"proof of a newer protocol", func(h *harness, d sentMessage) { h.prove(d.server, d.id, wire.Proof(99)) }},
		{"silence", func(h *harness, _ sentMessage) { h.advance(3 * time.Second) }},
		{"proof for an earlier attempt", func(h *harness, d sentMessage) {
			h.prove(d.server, &wire.AttemptID{Request: "r", Number: 0}, wire.Proof_PROOF_NEVER_STARTED)
		}},
		{"proof for another request", func(h *harness, d sentMessage) {
			h.prove(d.server, &wire.AttemptID{Request: "x", Number: 1}, wire.Proof_PROOF_NEVER_STARTED)
		}},
		{"proof of another server", func(h *harness, d sentMessage) { h.prove(d.other(), d.id, wire.Proof_PROOF_NEVER_STARTED) }},
		{"proof for another server of the agent", func(h *harness, d sentMessage) {
			h.receive(d.server, &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: &wire.Over{
				Attempt: d.id, Server: "other", Proof: wire.Proof_PROOF_NEVER_STARTED,
			}}})
		}},
		{"proof of an older incarnation", func(h *harness, d sentMessage) {
			h.step(MessageReceived{Agent: agentOf(d.server), Incarnation: 0, Message: &wire.AgentMessage{
				Kind: &wire.AgentMessage_Over{Over: &wire.Over{Attempt: d.id, Server: d.server, Proof: wire.Proof_PROOF_CANCELLED}},
			}})
		}},
		{"older incarnation up", func(h *harness, d sentMessage) { h.linkUp(d.server, 0) }},
		{"newer incarnation of another agent", func(h *harness, d sentMessage) { h.restart(d.other()) }},
		{"newer incarnation, no word on the server", func(h *harness, d sentMessage) { h.linkUp(d.server, 2) }},
		{"lost, then newer incarnation, no word on the server", func(h *harness, d sentMessage) { h.linkDown(d.server); h.linkUp(d.server, 2) }},
		{"never started after a frame", func(h *harness, d sentMessage) {
			h.frame(d.server, d.id, 0, "a")
			h.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED)
		}},
		{"engine proof without a proof", func(h *harness, d sentMessage) {
			h.step(EngineProved{Attempt: d.id, Server: d.server, Proof: wire.Proof_PROOF_UNPROVEN})
		}},
		{"engine proof of another server", func(h *harness, d sentMessage) {
			h.step(EngineProved{Attempt: d.id, Server: d.other(), Proof: wire.Proof_PROOF_CANCELLED})
		}},
		{"offer of another gate", func(h *harness, d sentMessage) { h.offer(d.other(), d.id) }},
		{"caller left", func(h *harness, _ sentMessage) { h.step(CallerLeft{Request: "r"}) }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			h, d := newTwoServerHarness(t, summary)
			row.do(h, d)
			h.reportRoom(d.other(), kindModel, testModel, 4)
			h.advance(time.Second)
			assert.Len(t, h.dispatches("r"), 1)
			assert.Empty(t, h.answers)
		})
	}
}

// Guards against a request that waits until its deadline although its attempt is over. Each kind of proof arrives
// while the other server has room; it fails if a proof is ignored.
func TestProofAllowsNextAttempt(t *testing.T) {
	rows := []struct {
		name string
		do   func(h *harness, d sentMessage)
	}{
		{"never started", func(h *harness, d sentMessage) { h.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED) }},
		{"cancelled", func(h *harness, d sentMessage) { h.prove(d.server, d.id, wire.Proof_PROOF_CANCELLED) }},
		{"failed", func(h *harness, d sentMessage) { h.prove(d.server, d.id, wire.Proof_PROOF_FAILED) }},
		{"newer incarnation", func(h *harness, d sentMessage) { h.restart(d.server) }},
		{"lost, then newer incarnation", func(h *harness, d sentMessage) { h.linkDown(d.server); h.restart(d.server) }},
		{"lost, then the engine says so", func(h *harness, d sentMessage) {
			h.linkDown(d.server)
			h.advance(leaseMargin * DefaultLeaseDuration)
			require.Len(h.t, h.engineProofs, 1)
			assert.Equal(h.t, "addr-"+d.server, h.engineProofs[0].Address)
			h.step(EngineProved{Attempt: d.id, Server: d.server, Proof: wire.Proof_PROOF_CANCELLED})
		}},
		{"unproven, then cancelled", func(h *harness, d sentMessage) {
			h.prove(d.server, d.id, wire.Proof_PROOF_UNPROVEN)
			require.Len(h.t, h.cancels("r"), 1)
			h.prove(d.server, d.id, wire.Proof_PROOF_CANCELLED)
		}},
		{"cancel asked, link lost and back", func(h *harness, d sentMessage) {
			h.prove(d.server, d.id, wire.Proof_PROOF_UNPROVEN)
			h.linkDown(d.server)
			h.linkUp(d.server, 1)
			require.Len(h.t, h.cancels("r"), 2)
			h.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED)
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			h, d := newTwoServerHarness(t, summary)
			row.do(h, d)
			h.reportRoom(d.other(), kindModel, testModel, 4)
			next := h.lastDispatch("r", 2)
			assert.Greater(t, next.id.GetNumber(), d.id.GetNumber())
			h.complete(next.server, next.id, 0)
			assert.Contains(t, h.answers, "r")
		})
	}
}

// Guards against running one request on two engines at a time: the link to an agent is cut while the agent still
// holds a dispatch that it hasn't started. If the engine were asked before the agent's lease has certainly expired,
// it would not know the attempt, the request would go elsewhere, and then the agent would start it.
func TestEngineProofIsRequestedOnlyAfterTheLease(t *testing.T) {
	h, d := newTwoServerHarness(t, summary)
	h.linkDown(d.server)
	h.advance(leaseMargin*DefaultLeaseDuration - MinTickInterval)
	assert.Empty(t, h.engineProofs)
	h.advance(MinTickInterval)
	assert.Len(t, h.engineProofs, 1)
}

// Guards against running one request on two engines at a time: the state chart must refuse a dispatch of a request
// that has an attempt, whichever code asks for it.
func TestDispatchOfADispatchedRequestSendsNothing(t *testing.T) {
	for _, lost := range []bool{false, true} {
		h, d := newTwoServerHarness(t, summary)
		if lost {
			h.linkDown(d.server)
		}
		h.s.dispatch(h.s.requests["r"], h.s.servers[d.other()], false)
		assert.Len(t, h.s.requests["r"].attempts, 1)
		assert.Equal(t, uint64(1), h.s.table.Refused())
	}
}

// Guards against dropping answers of a connected agent: events of an older incarnation's link arrive after those of
// the current one, and must not replace it.
func TestOlderIncarnationIsIgnored(t *testing.T) {
	h, d := newTwoServerHarness(t, summary)
	h.linkUp(d.server, 0)
	h.step(AgentDown{Agent: agentOf(d.server), Incarnation: 0})
	h.step(MessageReceived{Agent: agentOf(d.server), Incarnation: 1, Message: &wire.AgentMessage{Kind: &wire.AgentMessage_Over{
		Over: &wire.Over{Attempt: d.id, Server: d.server, Proof: wire.Proof_PROOF_COMPLETED, Answer: answerEndOf(0)},
	}}})
	assert.Contains(t, h.answers, "r")
}

// Guards against an engine that keeps running an attempt that nobody cancels: frames of an attempt arrive, then its
// agent reports that it never started. The contradicting proof must not be accepted.
func TestContradictingProofIsIgnored(t *testing.T) {
	h, d := newTwoServerHarness(t, summary)
	h.frame(d.server, d.id, 0, "a")
	h.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED)
	h.linkDown(d.server)
	h.advance(15 * time.Second)
	require.Contains(t, h.failures, "r")
	assert.Equal(t, result.RanYes, h.failures["r"].Ran)
	assert.Equal(t, 1, h.s.Status().Lingering)
}

// Guards against running one request on two engines at a time: an agent restarts while a dispatch for its old
// incarnation is queued on the link. Without the incarnation in Send the entry would send it to the new one, whose
// reports the scheduler takes as proof that the old attempt is over.
func TestDispatchCarriesTheIncarnation(t *testing.T) {
	h, d := newTwoServerHarness(t, summary)
	for _, s := range h.sent {
		assert.Equal(t, uint64(1), s.Incarnation)
	}
	h.sent = nil
	h.linkUp(d.server, 2)
	h.reportRoom(d.server, kindModel, testModel, 4)
	for _, s := range h.sent {
		if s.Agent == agentOf(d.server) {
			assert.Equal(t, uint64(2), s.Incarnation)
		}
	}
}

// Guards against a request that waits until its deadline although servers are idle: the dispatch is dropped because
// a ring is full, so the agent never replies. After silenceTimeout a Cancel must ask what became of it.
func TestLostDispatchIsCancelledAfterSilence(t *testing.T) {
	h, d := newTwoServerHarness(t, summary)
	h.advance(silenceTimeout)
	require.Len(t, h.cancels("r"), 1)
	h.arrive("short", urgentModel)
	h.advance(time.Duration(urgentModel.DeadlineMs) * time.Millisecond / silenceDivisor)
	require.Len(t, h.cancels("short"), 1)
	h.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED)
	h.reportRoom(d.other(), kindModel, testModel, 4)
	h.lastDispatch("r", 2)
}

// Guards against a request that waits until its deadline for a proof that was never requested: the Cancel is
// dropped because a ring is full. It must be repeated.
func TestCancelIsRepeated(t *testing.T) {
	h, d := newTwoServerHarness(t, appeal)
	h.prove(d.server, d.id, wire.Proof_PROOF_UNPROVEN)
	h.advance(3 * cancelInterval)
	assert.Len(t, h.cancels("r"), 4)
	// An agent that can't prove the end replies to each Cancel at once; this must not lead to an endless exchange.
	for range 100 {
		h.prove(d.server, d.id, wire.Proof_PROOF_UNPROVEN)
	}
	assert.Len(t, h.cancels("r"), 4)
}

// Guards against running one request on two engines at a time: three gates offer a slot before the withdrawals
// reach them, and only the first offer may be accepted.
func TestOnlyOneDispatchForManyOffers(t *testing.T) {
	h := newHarness(t, Options{})
	for _, name := range []string{"s1", "s2", "s3"} {
		h.addServer(name, kindModel, testModel, 0)
	}
	h.arrive("r", summary)
	all := h.reserves("r")
	require.Len(t, all, 3)
	for _, res := range all {
		h.offer(res.server, res.id)
		h.offer(res.server, res.id)
	}
	assert.Len(t, h.dispatches("r"), 1)
	assert.Len(t, h.withdraws("r"), 2)
	assert.Len(t, h.declines("r"), 5)
}

// Guards against telling a caller that a request didn't run when it did, or that its outcome is unknown when more
// is proved. Each row happens, then the deadline passes.
func TestRanReportsOnlyWhatIsProved(t *testing.T) {
	never, cancelled, failed := wire.Proof_PROOF_NEVER_STARTED, wire.Proof_PROOF_CANCELLED, wire.Proof_PROOF_FAILED
	rows := []struct {
		name string
		do   func(h *harness, d sentMessage)
		ran  result.Ran
		code result.Code
	}{
		{"no proof", func(*harness, sentMessage) {}, result.RanUnknown, result.UnprovenAttemptAtDeadline},
		{"link lost", func(h *harness, d sentMessage) { h.linkDown(d.server) }, result.RanUnknown, result.UnprovenAttemptAtDeadline},
		{"never started", func(h *harness, d sentMessage) { h.prove(d.server, d.id, never) }, result.RanNo, result.DeadlinePassedInQueue},
		{"cancelled, nobody knows whether it began", func(h *harness, d sentMessage) { h.prove(d.server, d.id, cancelled) }, result.RanUnknown, result.Cancelled},
		{"cancelled, the engine had it", func(h *harness, d sentMessage) {
			h.over(d.server, &wire.Over{Attempt: d.id, Proof: cancelled, Began: true})
		}, result.RanYes, result.Cancelled},
		// The connection broke before the engine read the call, or the engine forgot the attempt.
		{"cancelled after its start, the engine knows nothing of it", func(h *harness, d sentMessage) {
			h.receive(d.server, started(d))
			h.prove(d.server, d.id, cancelled)
		}, result.RanUnknown, result.Cancelled},
		{"failed", func(h *harness, d sentMessage) { h.prove(d.server, d.id, failed) }, result.RanYes, result.EngineFailed},
		{"agent restarted", func(h *harness, d sentMessage) { h.restart(d.server) }, result.RanUnknown, result.EngineLost},
		{"complete but never delivered", func(h *harness, d sentMessage) {
			h.complete(d.server, d.id, 0, "a", "b")
		}, result.RanYes, result.AnswerIncomplete},
		{"frames, then silence", func(h *harness, d sentMessage) { h.frame(d.server, d.id, 0, "a") }, result.RanYes, result.Cancelled},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			h, d := newTwoServerHarness(t, summary)
			h.step(Directory{}) // no second attempt anywhere
			row.do(h, d)
			h.advance(16 * time.Second)
			require.Contains(t, h.failures, "r")
			assert.Equal(t, row.ran.String(), h.failures["r"].Ran.String())
			assert.Equal(t, row.code, h.failures["r"].Code)
		})
	}
}

// Guards against a caller that waits past its deadline for an answer that can't arrive: the agent is lost, no proof
// arrives, and the final answer must not be held back for one.
func TestMissingProofFailsRequestAtDeadline(t *testing.T) {
	h, d := newTwoServerHarness(t, summary)
	h.linkDown(d.server)
	h.advance(time.Duration(summary.DeadlineMs)*time.Millisecond - MinTickInterval)
	assert.Empty(t, h.failures)
	h.advance(MinTickInterval)
	require.Contains(t, h.failures, "r")
	// The late proof only serves to clean up: the agent is told to cancel when it reconnects.
	h.linkUp(d.server, 1)
	assert.NotEmpty(t, h.cancels("r"))
	h.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED)
	assert.Zero(t, h.s.Status().Lingering)
	assert.Len(t, h.dispatches("r"), 1)
}
