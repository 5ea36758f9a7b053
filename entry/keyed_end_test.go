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

// Two engines would work on one summary if the key were released before the proof, and a caller that lost its
// connection could never use its key again if it were never released. The caller disconnects from a repeatable keyed
// request, the agent proves the cancellation, and the caller resends.
func TestRepeatableKeyIsReleasedAfterProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		agent := h.addModel(1)
		agent.ignoreMessages()
		ctx, disconnect := context.WithCancel(context.Background())
		go func() { _, _ = h.do(h.request(ctx, 1, http.MethodPost, chatPath, chatBody, keyHeader("k"))) }()
		synctest.Wait()
		disconnect()
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"begin"}, h.control.commands(), "must wait for the proof")
		again := h.callAsync(2, chatPath, chatBody, keyHeader("k"))
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, agent.dispatchCount(""))
		agent.setHandlers(nil, nil)
		agent.dispatchList()[0].sendOver(&wire.Over{Proof: wire.Proof_PROOF_CANCELLED})
		require.Equal(t, 200, (<-again).status)
		require.Equal(t, 2, agent.dispatchCount(""))
	})
}

// A pass would be issued twice, or two engines would run one summary, if the next owner of a record dispatched without
// proof after control ended the entry that had dispatched the request.
func TestNextOwnerWaitsForProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		service, model := h.addService(1), h.addModel(2)
		service.holdDispatches()
		model.holdDispatches()
		h.callAsync(1, issuePath, `{}`, passIssueHeader, keyHeader("pass"))
		h.callAsync(1, chatPath, chatBody, keyHeader("text"))
		synctest.Wait()
		require.Equal(t, 1, service.dispatchCount(""))
		require.Equal(t, 1, model.dispatchCount(""))
		h.endEntry(1)

		e := h.issuePass(2, "pass", `{}`).code(t)
		require.Equal(t, result.OutcomeUnknown, e.Code)
		require.Equal(t, result.RanUnknown, e.Ran)
		require.Equal(t, 1, service.dispatchCount(""), "must not run a second time")

		model.ignoreMessages()
		again := h.callAsync(2, chatPath, chatBody, keyHeader("text"))
		time.Sleep(3 * time.Second)
		require.Equal(t, 1, model.dispatchCount(""), "must wait for the proof")
		require.Positive(t, model.cancelCount())
		model.setHandlers(nil, nil)
		require.Equal(t, 200, (<-again).status)
		require.Equal(t, 2, model.dispatchCount(""))
		all := model.dispatchList()
		require.Equal(t, all[0].message.GetAttempt().GetRequest(), all[1].message.GetAttempt().GetRequest())
		require.Greater(t, all[1].message.GetAttempt().GetNumber(), all[0].message.GetAttempt().GetNumber())
	})
}

// endEntry cuts an entry off from all agents and makes control end it.
func (h *harness) endEntry(n int) {
	e := h.entries[n-1]
	for i := range 9 {
		h.net.Cut(entryHost(n), "10.0.1."+string(rune('0'+i)))
	}
	_, err := h.control.Propose(context.Background(), &wire.Command{Kind: &wire.Command_EndEntry{
		EndEntry: &wire.EndEntry{Entry: e.settings.Instance, Incarnation: e.incarnation},
	}})
	require.NoError(h.t, err)
}

// Non-repeatable work would run twice if, after its outcome was unknown at the deadline, the key were released or a
// resend taken for a new request. The caller resends to the same entry and to another.
func TestUnknownOutcomeIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		agent := h.addService(1)
		agent.ignoreMessages()
		for n := range 2 {
			e := h.issuePass(n+1, "k", `{}`).code(t)
			require.Equal(t, result.OutcomeUnknown, e.Code)
			require.Equal(t, result.RanUnknown, e.Ran)
		}
		agent.setHandlers(nil, nil)
		require.Equal(t, result.OutcomeUnknown, h.issuePass(1, "k", `{}`).code(t).Code)
		require.Equal(t, 1, agent.dispatchCount(""))
	})
}

func TestOversizedAnswerIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		agent := h.addService(1)
		oversized := `"` + strings.Repeat("x", 100_000) + `"`
		require.Equal(t, oversized, h.issuePass(1, "k", oversized).body)
		e := h.issuePass(2, "k", oversized).code(t)
		require.Equal(t, result.AnswerTooLarge, e.Code)
		require.Equal(t, result.RanYes, e.Ran)
		require.Equal(t, 1, agent.dispatchCount(""))
	})
}

// A keyed request would go to a server that its record doesn't name, so that the next owner never asks that server for
// proof, if a record begun without known servers (no candidates) allowed any server.
func TestNoServerReleasesKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		agent := h.addAgent(1, settings.KindService, "registry")
		h.control.publish(func(v *session.View) { delete(v.Agents, agent.name) })
		// Admission still knows the service from the previous catalogue.
		h.entries[0].catalogue.Store(&catalogue{version: 1, classes: testClasses, services: map[string]bool{"registry": true}})
		synctest.Wait()
		h.entries[0].catalogue.Store(&catalogue{version: 1, classes: testClasses, services: map[string]bool{"registry": true}})
		e := h.issuePass(1, "k", `{}`).code(t)
		require.Equal(t, result.NoServer, e.Code)
		require.Equal(t, result.RanNo, e.Ran)
		require.Equal(t, []string{"begin", "release"}, h.control.commands())
	})
}

// A request would run twice if a repeated proof for an attempt of a released record were taken for a new attempt. The
// new record of the same key has attempts with the same numbers.
func TestStaleProofOfReleasedRecordIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		agent := h.addService(1)
		agent.setHandlers(func(d *receivedDispatch) { d.sendOver(&wire.Over{Proof: wire.Proof_PROOF_NEVER_STARTED}) }, nil)
		require.Equal(t, result.RanNo, h.issuePass(1, "k", `{}`).code(t).Ran)
		old := agent.dispatchList()
		agent.holdDispatches()
		again := h.callAsync(1, issuePath, `{}`, passIssueHeader, keyHeader("k"))
		synctest.Wait()
		require.Len(t, agent.dispatchList(), len(old)+1, "the released key is served at once")
		for _, d := range old {
			d.sendOver(&wire.Over{Proof: wire.Proof_PROOF_NEVER_STARTED})
		}
		synctest.Wait()
		all := agent.dispatchList()
		require.Len(t, all, len(old)+1, "must not be dispatched again while it runs")
		all[len(old)].sendDefaultAnswer()
		require.Equal(t, 200, (<-again).status)
	})
}

// Two engines would work on one summary if the key of repeatable work were released at the deadline without proof that
// the attempt ended.
func TestRepeatableKeyIsNotReleasedWithoutProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		agent := h.addModel(1)
		agent.ignoreMessages()
		first := h.call(1, http.MethodPost, chatPath, chatBody, keyHeader("k")).code(t)
		require.Equal(t, result.RanUnknown, first.Ran)
		require.Equal(t, []string{"begin", "complete"}, h.control.commands())
		agent.setHandlers(nil, nil)
		again := h.call(2, http.MethodPost, chatPath, chatBody, keyHeader("k")).code(t)
		require.Equal(t, first.Code, again.Code)
		require.Equal(t, result.RanUnknown, again.Ran)
		require.Equal(t, 1, agent.dispatchCount(""))
	})
}

// A pass would be issued twice if the key were released because the attempt ended, although the service failed after it
// began to run.
func TestFailureOfNonRepeatableWorkIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		agent := h.addService(1)
		agent.setHandlers(func(d *receivedDispatch) { d.sendOver(failedProof()) }, nil)
		first := h.issuePass(1, "k", `{}`).code(t)
		require.Equal(t, result.EngineFailed, first.Code)
		require.Equal(t, result.RanYes, first.Ran)
		agent.setHandlers(nil, nil)
		again := h.issuePass(2, "k", `{}`).code(t)
		require.Equal(t, result.EngineFailed, again.Code)
		require.Equal(t, result.RanYes, again.Ran)
		require.Equal(t, 1, agent.dispatchCount(""))
	})
}

// A caller would be told "not run" of a summary that an earlier owner ran, or the next owner would lose the list of
// servers to ask, if a refusal after a takeover, or the release of the record, considered the new epoch only.
func TestRefusalAfterTakeoverReportsRanUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		agent := h.addModel(1)
		agent.holdDispatches()
		h.callAsync(1, chatPath, chatBody, keyHeader("k"))
		synctest.Wait()
		h.endEntry(1)
		e := h.entries[1]
		known := e.catalogue.Load()
		h.control.publish(func(v *session.View) { delete(v.Agents, agent.name) })
		synctest.Wait()
		e.catalogue.Store(known)
		refusal := h.call(2, http.MethodPost, chatPath, chatBody, keyHeader("k")).code(t)
		require.Equal(t, result.RanUnknown, refusal.Ran)
		require.Equal(t, []string{"begin", "begin", "release"}, h.control.commands())
		record := h.control.state.Operation("compost", "k")
		require.Equal(t, []string{agent.server}, record.GetEarlier())
		require.Empty(t, record.GetOwner(), "the next owner must not wait for this one")
	})
}

// A caller would get one answer and, on a resend, another if an entry sent its own answer although an agent had
// committed the outcome while the entry was considered gone.
func TestCommittedAnswerTakesPrecedence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		agent := h.addService(1)
		agent.holdDispatches()
		done := h.callAsync(1, issuePath, `{}`, passIssueHeader, keyHeader("k"))
		synctest.Wait()
		d := agent.dispatchList()[0]
		_, err := h.control.Propose(context.Background(), &wire.Command{Kind: &wire.Command_CompleteOperation{
			CompleteOperation: &wire.CompleteOperation{
				Organisation: "compost", Key: "k", Request: d.message.GetAttempt().GetRequest(),
				Epoch:  d.message.GetAttempt().GetNumber() >> sched.EpochShift,
				Answer: &wire.Answer{Status: 201, ContentType: "text/plain", Body: []byte("from the agent")},
			},
		}})
		require.NoError(t, err)
		d.sendDefaultAnswer()
		a := <-done
		require.Equal(t, 201, a.status)
		require.Equal(t, "from the agent", a.body)
	})
}
