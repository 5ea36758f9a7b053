package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Guards against running twice a request that may not be repeated. It is dispatched, and each row proves the
// attempt over without proving that it never started.
func TestNonRepeatableRequestIsNeverRunAgain(t *testing.T) {
	rows := []struct {
		name string
		do   func(h *harness, d sentMessage)
		code result.Code
		ran  result.Ran
	}{
		{"cancelled", func(h *harness, d sentMessage) { h.prove(d.server, d.id, wire.Proof_PROOF_CANCELLED) }, result.OutcomeUnknown, result.RanUnknown},
		{"cancelled, the engine had it", func(h *harness, d sentMessage) {
			h.over(d.server, &wire.Over{Attempt: d.id, Proof: wire.Proof_PROOF_CANCELLED, Began: true})
		}, result.Cancelled, result.RanYes},
		{"cancelled after its start, the engine knows nothing of it", func(h *harness, d sentMessage) {
			h.receive(d.server, started(d))
			h.prove(d.server, d.id, wire.Proof_PROOF_CANCELLED)
		}, result.OutcomeUnknown, result.RanUnknown},
		{"failed", func(h *harness, d sentMessage) { h.prove(d.server, d.id, wire.Proof_PROOF_FAILED) }, result.EngineFailed, result.RanYes},
		{"agent restarted", func(h *harness, d sentMessage) { h.linkUp(d.server, 2) }, result.OutcomeUnknown, result.RanUnknown},
		{"engine proves it over", func(h *harness, d sentMessage) {
			h.step(EngineProved{Attempt: d.id, Server: d.server, Proof: wire.Proof_PROOF_CANCELLED})
		}, result.OutcomeUnknown, result.RanUnknown},
		{"engine says it doesn't know it", func(h *harness, d sentMessage) {
			h.step(EngineProved{Attempt: d.id, Server: d.server, Proof: wire.Proof_PROOF_NEVER_STARTED})
		}, result.OutcomeUnknown, result.RanUnknown},
		{"answer lost", func(h *harness, d sentMessage) {
			h.complete(d.server, d.id, 0, "a")
			h.advance(gapTimeout)
		}, result.AnswerIncomplete, result.RanYes},
		{"answer damaged", func(h *harness, d sentMessage) {
			h.frame(d.server, d.id, 0, "b")
			h.complete(d.server, d.id, 0, "a")
		}, result.AnswerDigestMismatch, result.RanYes},
		{"silence until the deadline", func(h *harness, d sentMessage) { h.linkDown(d.server); h.advance(5 * time.Second) }, result.OutcomeUnknown, result.RanUnknown},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			h, d := newTwoServerHarness(t, passIssue)
			row.do(h, d)
			h.reportRoom(d.other(), kindService, testService, 4)
			h.advance(MinTickInterval)
			assert.Len(t, h.dispatches("r"), 1)
			require.Contains(t, h.failures, "r")
			assert.Equal(t, row.code, h.failures["r"].Code)
			assert.Equal(t, row.ran.String(), h.failures["r"].Ran.String())
		})
	}
}

// Guards against failing a request that may not be repeated when a proof shows that it never started: it must be
// dispatched to another server.
func TestNonRepeatableRequestIsRetriedWhenNeverStarted(t *testing.T) {
	h, d := newTwoServerHarness(t, passIssue)
	h.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED)
	next := h.lastDispatch("r", 2)
	assert.Equal(t, d.other(), next.server)
}

// Guards against prompts computed for callers that have left, and against cancelling a request that may not be
// repeated, which would leave it without an outcome. The caller leaves in each state of its request.
func TestCallerLeft(t *testing.T) {
	t.Run("reserved", func(t *testing.T) {
		h := newHarness(t, Options{})
		h.addServer("s1", kindModel, testModel, 0)
		h.addServer("s2", kindModel, testModel, 0)
		h.arrive("r", summary)
		h.step(CallerLeft{Request: "r"})
		assert.Len(t, h.withdraws("r"), 2)
		require.Contains(t, h.failures, "r")
		assert.Equal(t, result.RanNo, h.failures["r"].Ran)
		h.reportRoom("s1", kindModel, testModel, 4)
		assert.Empty(t, h.dispatches("r"))
	})
	t.Run("dispatched", func(t *testing.T) {
		h, d := newTwoServerHarness(t, summary)
		h.step(CallerLeft{Request: "r"})
		require.Len(t, h.cancels("r"), 1)
		h.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED)
		require.Contains(t, h.failures, "r")
		assert.Equal(t, result.CallerLeft, h.failures["r"].Code)
		assert.Equal(t, result.RanNo, h.failures["r"].Ran)
		assert.Len(t, h.dispatches("r"), 1)
	})
	t.Run("keyed, not repeatable, dispatched", func(t *testing.T) {
		h := newHarness(t, Options{})
		h.addServer("s1", kindService, testService, 1)
		h.arriveKeyed("r", passIssue, "s1")
		h.step(CallerLeft{Request: "r"})
		assert.Empty(t, h.cancels("r"))
		d := h.lastDispatch("r", 1)
		h.frame("s1", d.id, 0, "issued")
		h.complete("s1", d.id, 0, "issued")
		assert.Contains(t, h.answers, "r")
	})
}

// Guards against running a keyed request twice after its entry crashed. If it were dispatched to a server outside
// its record, the next owner, which asks only the servers in the record, would get "never started" from all of them
// and run it again.
func TestCandidatesAreRespected(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindService, testService, 4)
	h.addServer("s2", kindService, testService, 0)
	h.arriveKeyed("r", passIssue, "s2")
	assert.Empty(t, h.dispatches("r"))
	require.Len(t, h.reserves("r"), 1)
	assert.Equal(t, "s2", h.reserves("r")[0].server)
	assert.Empty(t, h.widened, "a busy candidate is no reason to widen")
}

// Guards against a keyed request that waits for servers that have left, and against dispatching outside its record:
// nothing may be sent until control has committed the wider record, and a transient failure of control is retried.
func TestWidenWhenNoCandidateIsAvailable(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindService, testService, 4)
	h.addServer("s2", kindService, testService, 4)
	h.reportRoom("s2", kindService, testService, 0)
	h.arriveKeyed("r", passIssue, "s2")
	h.linkDown("s2")
	require.Len(t, h.widened, 1)
	assert.Equal(t, []string{"s2", "s1"}, h.widened[0].Candidates)
	assert.Empty(t, h.dispatches("r"), "nothing is sent before the record is committed")
	h.step(CandidatesWidened{Request: "r", Code: result.ControlUnavailable})
	h.advance(2 * widenRetryDelay)
	require.Len(t, h.widened, 2)
	h.step(CandidatesWidened{Request: "r", Candidates: []string{"s2", "s1"}})
	assert.Equal(t, "s1", h.lastDispatch("r", 1).server)
}

// Guards against dispatching under a record that belongs to another owner: if control refuses to widen the record,
// the request must fail with that code.
func TestWidenRefused(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindService, testService, 4)
	h.arriveKeyed("r", passIssue, "gone")
	require.Len(t, h.widened, 1)
	h.step(CandidatesWidened{Request: "r", Code: result.AttemptSuperseded})
	require.Contains(t, h.failures, "r")
	assert.Equal(t, result.AttemptSuperseded, h.failures["r"].Code)
	assert.Empty(t, h.dispatches("r"))
}

// newTakeoverHarness returns a harness in which r was taken over from an owner that may have dispatched to s1 and
// s2.
func newTakeoverHarness(t *testing.T, class *wire.Class) *harness {
	h := newHarness(t, Options{})
	for _, name := range []string{"s1", "s2", "s3"} {
		h.addServer(name, class.GetKind(), testService, 4)
	}
	r := h.request("r", class)
	r.Key, r.Epoch, r.EarlierServers = "key", 2, []string{"s1", "s2"}
	h.step(Arrive{Request: r})
	return h
}

// Guards against running a keyed request on two engines, or twice if it may not be repeated. The owner of a key
// crashes after a dispatch, and this entry takes the request over and gets the proofs of the rows. It must not run
// while a proof is missing or leaves open whether it ran.
func TestTakeoverWaitsForAllProofs(t *testing.T) {
	never, cancelled, done := wire.Proof_PROOF_NEVER_STARTED, wire.Proof_PROOF_CANCELLED, wire.Proof_PROOF_COMPLETED
	rows := []struct {
		name   string
		class  *wire.Class
		s1, s2 wire.Proof
		runs   bool
		fails  bool
	}{
		{"both never started", passIssue, never, never, true, false},
		{"one cancelled", passIssue, never, cancelled, false, true},
		{"one completed", passIssue, done, never, false, true},
		{"one unproven", passIssue, never, wire.Proof_PROOF_UNPROVEN, false, false},
		{"one missing", passIssue, never, wire.Proof_PROOF_UNSPECIFIED, false, false},
		{"repeatable, cancelled", gateCheck, cancelled, cancelled, true, false},
		{"repeatable, completed", gateCheck, done, never, true, false},
		{"repeatable, one unproven", gateCheck, never, wire.Proof_PROOF_UNPROVEN, false, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			h := newTakeoverHarness(t, row.class)
			asked := h.cancels("r")
			require.Len(t, asked, 2)
			assert.Equal(t, uint64(2<<EpochShift-1), asked[0].id.GetNumber())
			h.prove("s1", asked[0].id, row.s1)
			assert.Empty(t, h.dispatches("r"))
			h.prove("s2", asked[1].id, row.s2)
			if row.runs {
				assert.Equal(t, uint64(2<<EpochShift+1), h.lastDispatch("r", 1).id.GetNumber())
			} else {
				assert.Empty(t, h.dispatches("r"))
			}
			assert.Equal(t, row.fails, h.failures["r"] != nil)
			if row.fails {
				assert.Equal(t, result.OutcomeUnknown, h.failures["r"].Code)
			}
		})
	}
}

// Guards against running a request that was taken over without all proofs, or reporting it as not run: one of two
// proofs is missing until the deadline, although its agent reconnects and is asked again.
func TestTakeoverWithoutProofIsUnknownAtTheDeadline(t *testing.T) {
	h := newTakeoverHarness(t, passIssue)
	h.prove("s1", h.cancels("r")[0].id, wire.Proof_PROOF_NEVER_STARTED)
	h.linkDown("s2")
	h.linkUp("s2", 2)
	assert.Len(t, h.cancels("r"), 3, "asked again when the agent reconnects")
	h.advance(5 * time.Second)
	require.Contains(t, h.failures, "r")
	assert.Equal(t, result.RanUnknown, h.failures["r"].Ran)
	assert.Empty(t, h.dispatches("r"))
	e, _ := h.s.Explain("r")
	assert.Equal(t, []string{"s2"}, e.EarlierUnproved)
}

// Guards against operation records with more servers than allowed, or without the servers that can take the request
// now.
func TestCandidatesReadyFirstAndBounded(t *testing.T) {
	h := newHarness(t, Options{CandidateCount: 3})
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		h.listServer(name, kindService, testService)
	}
	h.linkUp("d", 1)
	h.reportRoom("d", kindService, testService, 1)
	got := h.s.Candidates(h.request("r", passIssue))
	require.Len(t, got, 3)
	assert.Equal(t, "d", got[0])
}
