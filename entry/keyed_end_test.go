package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Symptom: two engines work on one summary, or a caller that lost its connection can never use its key again. Sequence:
// a repeatable keyed request is running, its caller leaves, the agent proves the cancel, the caller sends again. Cause:
// the key is freed before the proof, or never.
func TestRepeatableKeyIsFreeAfterTheProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		agent := r.addModel(1)
		agent.deaf()
		ctx, leave := context.WithCancel(context.Background())
		go func() { _, _ = r.do(r.request(ctx, 1, http.MethodPost, chatPath, chatBody, key("k"))) }()
		synctest.Wait()
		leave()
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"begin"}, r.control.commands(), "no proof yet")
		again := r.goCall(2, chatPath, chatBody, key("k"))
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, agent.ran(""))
		agent.script(nil, nil)
		agent.all()[0].over(&wire.Over{Proof: wire.Proof_PROOF_CANCELLED})
		require.Equal(t, 200, (<-again).status)
		require.Equal(t, 2, agent.ran(""))
	})
}

// Symptom: a pass is issued twice, or two engines run one summary. Sequence: the entry dies with the request dispatched;
// control ends it; the caller sends again to another entry. Cause: the next owner dispatches without proof.
func TestNextOwnerNeedsProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		service, model := r.addService(1), r.addModel(2)
		service.hold()
		model.hold()
		r.goCall(1, issuePath, `{}`, passIssue, key("pass"))
		r.goCall(1, chatPath, chatBody, key("text"))
		synctest.Wait()
		require.Equal(t, 1, service.ran(""))
		require.Equal(t, 1, model.ran(""))
		r.endEntry(1)

		e := r.issue(2, "pass", `{}`).code(t)
		require.Equal(t, result.OutcomeUnknown, e.Code)
		require.Equal(t, result.RanUnknown, e.Ran)
		require.Equal(t, 1, service.ran(""), "never a second time")

		model.deaf()
		again := r.goCall(2, chatPath, chatBody, key("text"))
		time.Sleep(3 * time.Second)
		require.Equal(t, 1, model.ran(""), "no proof yet")
		require.Positive(t, model.cancelled())
		model.script(nil, nil)
		require.Equal(t, 200, (<-again).status)
		require.Equal(t, 2, model.ran(""))
		all := model.all()
		require.Equal(t, all[0].d.GetAttempt().GetRequest(), all[1].d.GetAttempt().GetRequest())
		require.Greater(t, all[1].d.GetAttempt().GetNumber(), all[0].d.GetAttempt().GetNumber())
	})
}

// endEntry cuts an entry off from all and has control end it.
func (r *rig) endEntry(n int) {
	e := r.entries[n-1]
	for i := range 9 {
		r.net.Cut(entryHost(n), "10.0.1."+string(rune('0'+i)))
	}
	_, err := r.control.Propose(context.Background(), &wire.Command{Kind: &wire.Command_EndEntry{
		EndEntry: &wire.EndEntry{Entry: e.settings.Instance, Incarnation: e.incarnation},
	}})
	require.NoError(r.t, err)
}

// Symptom: work that may not be repeated runs twice. Sequence: its outcome is unknown at the deadline; the caller sends
// again with the key, to the same entry and to another. Cause: the key is freed, or the resend is taken for a new one.
func TestUnknownStaysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		agent := r.addService(1)
		agent.deaf()
		for n := range 2 {
			e := r.issue(n+1, "k", `{}`).code(t)
			require.Equal(t, result.OutcomeUnknown, e.Code)
			require.Equal(t, result.RanUnknown, e.Ran)
		}
		agent.script(nil, nil)
		require.Equal(t, result.OutcomeUnknown, r.issue(1, "k", `{}`).code(t).Code)
		require.Equal(t, 1, agent.ran(""))
	})
}

func TestTooLargeAnswerIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		agent := r.addService(1)
		long := `"` + strings.Repeat("x", 100_000) + `"`
		require.Equal(t, long, r.issue(1, "k", long).body)
		e := r.issue(2, "k", long).code(t)
		require.Equal(t, result.AnswerTooLarge, e.Code)
		require.Equal(t, result.RanYes, e.Ran)
		require.Equal(t, 1, agent.ran(""))
	})
}

// Symptom: a keyed request goes to a server that its record doesn't name, so a next owner never asks it for proof.
// Sequence: no server is known yet when the record is begun. Cause: no candidates mean any server.
func TestNoServerFreesTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		agent := r.addAgent(1, settings.KindService, "registry")
		r.control.publish(func(v *session.View) { delete(v.Agents, agent.name) })
		// The service is still known to admission for this moment.
		r.entries[0].view.Store(&catalogue{version: 1, classes: testClasses, services: map[string]bool{"registry": true}})
		synctest.Wait()
		r.entries[0].view.Store(&catalogue{version: 1, classes: testClasses, services: map[string]bool{"registry": true}})
		e := r.issue(1, "k", `{}`).code(t)
		require.Equal(t, result.NoServer, e.Code)
		require.Equal(t, result.RanNo, e.Ran)
		require.Equal(t, []string{"begin", "release"}, r.control.commands())
	})
}

// Symptom: a request runs twice. Sequence: an attempt is proved never started, its record is released, the same key
// begins a new record whose attempts have the same numbers; a late repetition of the old proof arrives. Cause: it is taken
// for one about the new attempt.
func TestLateProofOfAFreedRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		agent := r.addService(1)
		agent.script(func(d *dispatched) { d.over(&wire.Over{Proof: wire.Proof_PROOF_NEVER_STARTED}) }, nil)
		require.Equal(t, result.RanNo, r.issue(1, "k", `{}`).code(t).Ran)
		old := agent.all()
		agent.hold()
		again := r.goCall(1, issuePath, `{}`, passIssue, key("k"))
		synctest.Wait()
		require.Len(t, agent.all(), len(old)+1, "the freed key is served at once")
		for _, d := range old {
			d.over(&wire.Over{Proof: wire.Proof_PROOF_NEVER_STARTED})
		}
		synctest.Wait()
		all := agent.all()
		require.Len(t, all, len(old)+1, "dispatched again while it runs")
		all[len(old)].echo()
		require.Equal(t, 200, (<-again).status)
	})
}

// Symptom: two engines work on one summary. Sequence: a repeatable keyed request fails at its deadline without a proof
// that its attempt is over; the caller sends again. Cause: the key is freed because the work may be repeated.
func TestRepeatableKeyIsSpentWithoutProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		agent := r.addModel(1)
		agent.deaf()
		first := r.call(1, http.MethodPost, chatPath, chatBody, key("k")).code(t)
		require.Equal(t, result.RanUnknown, first.Ran)
		require.Equal(t, []string{"begin", "complete"}, r.control.commands())
		agent.script(nil, nil)
		again := r.call(2, http.MethodPost, chatPath, chatBody, key("k")).code(t)
		require.Equal(t, first.Code, again.Code)
		require.Equal(t, result.RanUnknown, again.Ran)
		require.Equal(t, 1, agent.ran(""))
	})
}

// Symptom: a pass is issued twice. Sequence: the service fails on the first run, which has begun; the caller sends again.
// Cause: the key is freed because the attempt is over.
func TestFailedRunOfUnrepeatableWorkStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		agent := r.addService(1)
		agent.script(func(d *dispatched) { d.over(failedProof()) }, nil)
		first := r.issue(1, "k", `{}`).code(t)
		require.Equal(t, result.EngineFailed, first.Code)
		require.Equal(t, result.RanYes, first.Ran)
		agent.script(nil, nil)
		again := r.issue(2, "k", `{}`).code(t)
		require.Equal(t, result.EngineFailed, again.Code)
		require.Equal(t, result.RanYes, again.Ran)
		require.Equal(t, 1, agent.ran(""))
	})
}

// Symptom: a caller hears "not run" of a summary that an earlier owner ran, or the next owner loses the list of servers to
// ask. Sequence: a record is taken over, and the request can't go to the scheduler. Cause: the refusal, and the record's
// release, look at the new epoch only.
func TestRefusalAfterTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		agent := r.addModel(1)
		agent.hold()
		r.goCall(1, chatPath, chatBody, key("k"))
		synctest.Wait()
		r.endEntry(1)
		e := r.entries[1]
		known := e.view.Load()
		r.control.publish(func(v *session.View) { delete(v.Agents, agent.name) })
		synctest.Wait()
		e.view.Store(known)
		refusal := r.call(2, http.MethodPost, chatPath, chatBody, key("k")).code(t)
		require.Equal(t, result.RanUnknown, refusal.Ran)
		require.Equal(t, []string{"begin", "begin", "release"}, r.control.commands())
		record := r.control.state.Operation("compost", "k")
		require.Equal(t, []string{agent.server}, record.GetEarlier())
		require.Empty(t, record.GetOwner(), "the next owner needn't wait for this one")
	})
}

// Symptom: a caller hears one answer, and another one when it sends again. Sequence: the entry counts as gone, and the
// agent commits the outcome; the entry, alive, has an answer too and commits it later. Cause: the entry gives its own.
func TestCommittedAnswerWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		agent := r.addService(1)
		agent.hold()
		done := r.goCall(1, issuePath, `{}`, passIssue, key("k"))
		synctest.Wait()
		d := agent.all()[0]
		_, err := r.control.Propose(context.Background(), &wire.Command{Kind: &wire.Command_CompleteOperation{
			CompleteOperation: &wire.CompleteOperation{
				Organisation: "compost", Key: "k", Request: d.d.GetAttempt().GetRequest(),
				Epoch:  d.d.GetAttempt().GetNumber() >> sched.EpochShift,
				Answer: &wire.Answer{Status: 201, ContentType: "text/plain", Body: []byte("from the agent")},
			},
		}})
		require.NoError(t, err)
		d.echo()
		a := <-done
		require.Equal(t, 201, a.status)
		require.Equal(t, "from the agent", a.body)
	})
}
