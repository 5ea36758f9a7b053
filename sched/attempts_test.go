package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// twoServers is a world with room at s1 and s2 and one dispatched request r.
func twoServers(t *testing.T, class *wire.Class) (*world, sentTo) {
	w := newWorld(t, Options{})
	kind, target := class.GetKind(), testModel
	if kind == kindService {
		target = testService
	}
	w.serve("s1", kind, target, 4)
	w.serve("s2", kind, target, 4)
	w.arrive("r", class)
	return w, w.last("r", 1)
}

func started(d sentTo) *wire.AgentMessage {
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Started{Started: &wire.Started{Attempt: d.id, Server: d.server}}}
}

// other is the server that d isn't at.
func (d sentTo) other() string {
	if d.server == "s1" {
		return "s2"
	}
	return "s1"
}

func TestNoSecondAttemptWithoutProof(t *testing.T) {
	// Symptom: one request runs on two engines at a time.
	// Sequence: a request is dispatched; then one of the rows happens, none of which proves that the attempt is over.
	// Cause: a lost link, silence, a late message or a word that is no proof taken for an end.
	rows := []struct {
		name string
		do   func(w *world, d sentTo)
	}{
		{"link lost", func(w *world, d sentTo) { w.down(d.server) }},
		{"link lost and back", func(w *world, d sentTo) { w.down(d.server); w.up(d.server, 1) }},
		{"removed from the directory", func(w *world, _ sentTo) { w.step(Directory{}) }},
		{"unproven", func(w *world, d sentTo) { w.prove(d.server, d.id, wire.Proof_PROOF_UNPROVEN) }},
		{"unspecified", func(w *world, d sentTo) { w.prove(d.server, d.id, wire.Proof_PROOF_UNSPECIFIED) }},
		{"proof of a newer protocol", func(w *world, d sentTo) { w.prove(d.server, d.id, wire.Proof(99)) }},
		{"silence", func(w *world, _ sentTo) { w.pass(3 * time.Second) }},
		{"proof for an earlier attempt", func(w *world, d sentTo) {
			w.prove(d.server, &wire.AttemptID{Request: "r", Number: 0}, wire.Proof_PROOF_NEVER_STARTED)
		}},
		{"proof for another request", func(w *world, d sentTo) {
			w.prove(d.server, &wire.AttemptID{Request: "x", Number: 1}, wire.Proof_PROOF_NEVER_STARTED)
		}},
		{"proof of another server", func(w *world, d sentTo) { w.prove(d.other(), d.id, wire.Proof_PROOF_NEVER_STARTED) }},
		{"proof for another server of the agent", func(w *world, d sentTo) {
			w.say(d.server, &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: &wire.Over{
				Attempt: d.id, Server: "other", Proof: wire.Proof_PROOF_NEVER_STARTED,
			}}})
		}},
		{"proof of an older incarnation", func(w *world, d sentTo) {
			w.step(MessageReceived{Agent: agentOf(d.server), Incarnation: 0, Message: &wire.AgentMessage{
				Kind: &wire.AgentMessage_Over{Over: &wire.Over{Attempt: d.id, Server: d.server, Proof: wire.Proof_PROOF_CANCELLED}},
			}})
		}},
		{"older incarnation up", func(w *world, d sentTo) { w.up(d.server, 0) }},
		{"newer incarnation of another agent", func(w *world, d sentTo) { w.restart(d.other()) }},
		{"newer incarnation, no word on the server", func(w *world, d sentTo) { w.up(d.server, 2) }},
		{"lost, then newer incarnation, no word on the server", func(w *world, d sentTo) { w.down(d.server); w.up(d.server, 2) }},
		{"never started after a frame", func(w *world, d sentTo) {
			w.frame(d.server, d.id, 0, "a")
			w.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED)
		}},
		{"engine proof without a proof", func(w *world, d sentTo) {
			w.step(EngineProved{Attempt: d.id, Server: d.server, Proof: wire.Proof_PROOF_UNPROVEN})
		}},
		{"engine proof of another server", func(w *world, d sentTo) {
			w.step(EngineProved{Attempt: d.id, Server: d.other(), Proof: wire.Proof_PROOF_CANCELLED})
		}},
		{"offer of another gate", func(w *world, d sentTo) { w.offer(d.other(), d.id) }},
		{"caller left", func(w *world, _ sentTo) { w.step(CallerLeft{Request: "r"}) }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			w, d := twoServers(t, summary)
			row.do(w, d)
			w.room(d.other(), kindModel, testModel, 4)
			w.pass(time.Second)
			assert.Len(t, w.dispatches("r"), 1)
			assert.Empty(t, w.answers)
		})
	}
}

func TestProofLetsNextAttemptGo(t *testing.T) {
	// Symptom: a request whose attempt is over waits until its deadline.
	// Sequence: each kind of proof comes while the other server has room.
	// Cause: a proof that isn't taken.
	rows := []struct {
		name string
		do   func(w *world, d sentTo)
	}{
		{"never started", func(w *world, d sentTo) { w.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED) }},
		{"cancelled", func(w *world, d sentTo) { w.prove(d.server, d.id, wire.Proof_PROOF_CANCELLED) }},
		{"failed", func(w *world, d sentTo) { w.prove(d.server, d.id, wire.Proof_PROOF_FAILED) }},
		{"newer incarnation", func(w *world, d sentTo) { w.restart(d.server) }},
		{"lost, then newer incarnation", func(w *world, d sentTo) { w.down(d.server); w.restart(d.server) }},
		{"lost, then the engine says so", func(w *world, d sentTo) {
			w.down(d.server)
			w.pass(leaseMargin * DefaultLeaseDuration)
			require.Len(w.t, w.proves, 1)
			assert.Equal(w.t, "addr-"+d.server, w.proves[0].Address)
			w.step(EngineProved{Attempt: d.id, Server: d.server, Proof: wire.Proof_PROOF_CANCELLED})
		}},
		{"unproven, then cancelled", func(w *world, d sentTo) {
			w.prove(d.server, d.id, wire.Proof_PROOF_UNPROVEN)
			require.Len(w.t, w.cancels("r"), 1)
			w.prove(d.server, d.id, wire.Proof_PROOF_CANCELLED)
		}},
		{"cancel asked, link lost and back", func(w *world, d sentTo) {
			w.prove(d.server, d.id, wire.Proof_PROOF_UNPROVEN)
			w.down(d.server)
			w.up(d.server, 1)
			require.Len(w.t, w.cancels("r"), 2)
			w.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED)
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			w, d := twoServers(t, summary)
			row.do(w, d)
			w.room(d.other(), kindModel, testModel, 4)
			next := w.last("r", 2)
			assert.Greater(t, next.id.GetNumber(), d.id.GetNumber())
			w.complete(next.server, next.id, 0)
			assert.Contains(t, w.answers, "r")
		})
	}
}

func TestEngineIsAskedOnlyAfterTheLease(t *testing.T) {
	// Symptom: one request runs on two engines at a time.
	// Sequence: the link to an agent is cut, the agent lives and holds a dispatch that it hasn't started; the engine is
	// asked, doesn't know the attempt, the request goes elsewhere; then the agent starts it.
	// Cause: the engine was asked before the agent's lease had certainly run out.
	w, d := twoServers(t, summary)
	w.down(d.server)
	w.pass(leaseMargin*DefaultLeaseDuration - MinTickInterval)
	assert.Empty(t, w.proves)
	w.pass(MinTickInterval)
	assert.Len(t, w.proves, 1)
}

func TestDispatchOfADispatchedRequestSendsNothing(t *testing.T) {
	// Symptom: one request runs on two engines at a time.
	// Sequence: whatever leads some code to dispatch a request that has an attempt.
	// Cause: a chart that allows it.
	for _, lost := range []bool{false, true} {
		w, d := twoServers(t, summary)
		if lost {
			w.down(d.server)
		}
		w.s.dispatch(w.s.requests["r"], w.s.servers[d.other()], false)
		assert.Len(t, w.s.requests["r"].attempts, 1)
		assert.Equal(t, uint64(1), w.s.table.Refused())
	}
}

func TestOlderIncarnationChangesNothing(t *testing.T) {
	// Symptom: answers are dropped although their agent is linked.
	// Sequence: word of an older incarnation's link comes after that of the present one.
	// Cause: the last word taken for the newest.
	w, d := twoServers(t, summary)
	w.up(d.server, 0)
	w.step(AgentDown{Agent: agentOf(d.server), Incarnation: 0})
	w.step(MessageReceived{Agent: agentOf(d.server), Incarnation: 1, Message: &wire.AgentMessage{Kind: &wire.AgentMessage_Over{
		Over: &wire.Over{Attempt: d.id, Server: d.server, Proof: wire.Proof_PROOF_COMPLETED, Answer: endOf(0)},
	}}})
	assert.Contains(t, w.answers, "r")
}

func TestContradictingProofIsNone(t *testing.T) {
	// Symptom: an engine works on for nobody, and nobody tells it to stop.
	// Sequence: frames of an attempt arrive, then its agent says that it never started.
	// Cause: the contradiction believed.
	w, d := twoServers(t, summary)
	w.frame(d.server, d.id, 0, "a")
	w.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED)
	w.down(d.server)
	w.pass(15 * time.Second)
	require.Contains(t, w.failures, "r")
	assert.Equal(t, result.RanYes, w.failures["r"].Ran)
	assert.Equal(t, 1, w.s.Status().Lingering)
}

func TestDispatchCarriesTheIncarnation(t *testing.T) {
	// Symptom: one request runs on two engines at a time.
	// Sequence: an agent restarts; the entry's daemon links the new incarnation while a dispatch meant for the old one is
	// still in its ring, and sends it; the scheduler takes the new incarnation as proof and dispatches again.
	// Cause: the daemon can't tell for which incarnation a message is meant.
	w, d := twoServers(t, summary)
	for _, s := range w.sent {
		assert.Equal(t, uint64(1), s.Incarnation)
	}
	w.sent = nil
	w.up(d.server, 2)
	w.room(d.server, kindModel, testModel, 4)
	for _, s := range w.sent {
		if s.Agent == agentOf(d.server) {
			assert.Equal(t, uint64(2), s.Incarnation)
		}
	}
}

func TestLostDispatchIsAskedAfter(t *testing.T) {
	// Symptom: a request waits until its deadline although servers are idle.
	// Sequence: the dispatch meets a full ring and is dropped; the agent never hears of it and says nothing.
	// Cause: nobody asks what became of an attempt that shows no sign of life.
	w, d := twoServers(t, summary)
	w.pass(quietBound)
	require.Len(t, w.cancels("r"), 1)
	w.arrive("short", urgentModel)
	w.pass(time.Duration(urgentModel.DeadlineMs) * time.Millisecond / quietShare)
	require.Len(t, w.cancels("short"), 1)
	w.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED)
	w.room(d.other(), kindModel, testModel, 4)
	w.last("r", 2)
}

func TestCancelIsRepeated(t *testing.T) {
	// Symptom: a request waits until its deadline for a proof that nobody was asked for.
	// Sequence: the Cancel meets a full ring and is dropped.
	// Cause: it is sent once only.
	w, d := twoServers(t, appeal)
	w.prove(d.server, d.id, wire.Proof_PROOF_UNPROVEN)
	w.pass(3 * cancelRepeat)
	assert.Len(t, w.cancels("r"), 4)
	// An agent that can't prove the end answers each Cancel at once; that mustn't become a storm.
	for range 100 {
		w.prove(d.server, d.id, wire.Proof_PROOF_UNPROVEN)
	}
	assert.Len(t, w.cancels("r"), 4)
}

func TestOnlyOneDispatchForManyOffers(t *testing.T) {
	// Symptom: one request runs on two engines at a time.
	// Sequence: three gates offer their slots before the entry's withdrawals reach them.
	// Cause: a late offer taken as well.
	w := newWorld(t, Options{})
	for _, name := range []string{"s1", "s2", "s3"} {
		w.serve(name, kindModel, testModel, 0)
	}
	w.arrive("r", summary)
	all := w.reserves("r")
	require.Len(t, all, 3)
	for _, res := range all {
		w.offer(res.server, res.id)
		w.offer(res.server, res.id)
	}
	assert.Len(t, w.dispatches("r"), 1)
	assert.Len(t, w.withdraws("r"), 2)
	assert.Len(t, w.declines("r"), 5)
}

func TestRanSaysOnlyWhatIsProved(t *testing.T) {
	// Symptom: a caller is told that his request didn't run, and it did.
	// Sequence: the rows, then the deadline.
	// Cause: "no" said without a proof for every dispatch, or "unknown" said where more is proved.
	never, cancelled, failed := wire.Proof_PROOF_NEVER_STARTED, wire.Proof_PROOF_CANCELLED, wire.Proof_PROOF_FAILED
	rows := []struct {
		name string
		do   func(w *world, d sentTo)
		ran  result.Ran
		code result.Code
	}{
		{"no proof", func(*world, sentTo) {}, result.RanUnknown, result.UnprovenAttemptAtDeadline},
		{"link lost", func(w *world, d sentTo) { w.down(d.server) }, result.RanUnknown, result.UnprovenAttemptAtDeadline},
		{"never started", func(w *world, d sentTo) { w.prove(d.server, d.id, never) }, result.RanNo, result.DeadlinePassedInQueue},
		{"cancelled, nobody knows whether it began", func(w *world, d sentTo) { w.prove(d.server, d.id, cancelled) }, result.RanUnknown, result.Cancelled},
		{"cancelled, the engine had it", func(w *world, d sentTo) {
			w.over(d.server, &wire.Over{Attempt: d.id, Proof: cancelled, Began: true})
		}, result.RanYes, result.Cancelled},
		// The connection broke before the engine read the call, or the engine forgot it.
		{"cancelled after its start, the engine knows nothing of it", func(w *world, d sentTo) {
			w.say(d.server, started(d))
			w.prove(d.server, d.id, cancelled)
		}, result.RanUnknown, result.Cancelled},
		{"failed", func(w *world, d sentTo) { w.prove(d.server, d.id, failed) }, result.RanYes, result.EngineFailed},
		{"agent restarted", func(w *world, d sentTo) { w.restart(d.server) }, result.RanUnknown, result.EngineLost},
		{"complete but never delivered", func(w *world, d sentTo) {
			w.complete(d.server, d.id, 0, "a", "b")
		}, result.RanYes, result.AnswerIncomplete},
		{"frames, then silence", func(w *world, d sentTo) { w.frame(d.server, d.id, 0, "a") }, result.RanYes, result.Cancelled},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			w, d := twoServers(t, summary)
			w.step(Directory{}) // no second attempt anywhere
			row.do(w, d)
			w.pass(16 * time.Second)
			require.Contains(t, w.failures, "r")
			assert.Equal(t, row.ran.String(), w.failures["r"].Ran.String())
			assert.Equal(t, row.code, w.failures["r"].Code)
		})
	}
}

func TestNoProofByTheDeadlineIsSaidAtOnce(t *testing.T) {
	// Symptom: a caller waits long past his deadline for an answer that can't come.
	// Sequence: the agent is lost; no proof comes.
	// Cause: the final answer held back in the hope of a proof.
	w, d := twoServers(t, summary)
	w.down(d.server)
	w.pass(time.Duration(summary.DeadlineMs)*time.Millisecond - MinTickInterval)
	assert.Empty(t, w.failures)
	w.pass(MinTickInterval)
	require.Contains(t, w.failures, "r")
	// The late proof is only cleaned up after: the agent is told to cancel when it is back.
	w.up(d.server, 1)
	assert.NotEmpty(t, w.cancels("r"))
	w.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED)
	assert.Zero(t, w.s.Status().Lingering)
	assert.Len(t, w.dispatches("r"), 1)
}
