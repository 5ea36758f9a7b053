package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

func TestNotRepeatableIsNeverRunAgain(t *testing.T) {
	// Symptom: a pass is issued twice.
	// Sequence: it is dispatched, and each row proves the attempt over without proving that it never started.
	// Cause: such a proof taken as leave to try again.
	rows := []struct {
		name string
		do   func(w *world, d sentTo)
		code result.Code
		ran  result.Ran
	}{
		{"cancelled", func(w *world, d sentTo) { w.prove(d.server, d.id, wire.Proof_PROOF_CANCELLED) }, result.OutcomeUnknown, result.RanUnknown},
		{"cancelled, the engine had it", func(w *world, d sentTo) {
			w.over(d.server, &wire.Over{Attempt: d.id, Proof: wire.Proof_PROOF_CANCELLED, Began: true})
		}, result.Cancelled, result.RanYes},
		{"cancelled after its start, the engine knows nothing of it", func(w *world, d sentTo) {
			w.say(d.server, started(d))
			w.prove(d.server, d.id, wire.Proof_PROOF_CANCELLED)
		}, result.OutcomeUnknown, result.RanUnknown},
		{"failed", func(w *world, d sentTo) { w.prove(d.server, d.id, wire.Proof_PROOF_FAILED) }, result.EngineFailed, result.RanYes},
		{"agent restarted", func(w *world, d sentTo) { w.up(d.server, 2) }, result.OutcomeUnknown, result.RanUnknown},
		{"engine proves it over", func(w *world, d sentTo) {
			w.step(EngineProved{Attempt: d.id, Server: d.server, Proof: wire.Proof_PROOF_CANCELLED})
		}, result.OutcomeUnknown, result.RanUnknown},
		{"engine says it doesn't know it", func(w *world, d sentTo) {
			w.step(EngineProved{Attempt: d.id, Server: d.server, Proof: wire.Proof_PROOF_NEVER_STARTED})
		}, result.OutcomeUnknown, result.RanUnknown},
		{"answer lost", func(w *world, d sentTo) {
			w.complete(d.server, d.id, 0, "a")
			w.pass(gapBound)
		}, result.AnswerIncomplete, result.RanYes},
		{"answer damaged", func(w *world, d sentTo) {
			w.frame(d.server, d.id, 0, "b")
			w.complete(d.server, d.id, 0, "a")
		}, result.AnswerDigestMismatch, result.RanYes},
		{"silence until the deadline", func(w *world, d sentTo) { w.down(d.server); w.pass(5 * time.Second) }, result.OutcomeUnknown, result.RanUnknown},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			w, d := twoServers(t, passIssue)
			row.do(w, d)
			w.room(d.other(), kindService, testService, 4)
			w.pass(MinTickInterval)
			assert.Len(t, w.dispatches("r"), 1)
			require.Contains(t, w.failures, "r")
			assert.Equal(t, row.code, w.failures["r"].Code)
			assert.Equal(t, row.ran.String(), w.failures["r"].Ran.String())
		})
	}
}

func TestNotRepeatableGoesElsewhereWhenNeverStarted(t *testing.T) {
	w, d := twoServers(t, passIssue)
	w.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED)
	next := w.last("r", 2)
	assert.Equal(t, d.other(), next.server)
}

func TestCallerLeft(t *testing.T) {
	// Symptom: engines compute prompts that nobody waits for, or a pass whose caller hung up has no outcome.
	// Sequence: the caller leaves in each of the places a request may be in.
	// Cause: a reservation or attempt left behind, or a cancel of work that may not be repeated.
	t.Run("reserved", func(t *testing.T) {
		w := newWorld(t, Options{})
		w.serve("s1", kindModel, testModel, 0)
		w.serve("s2", kindModel, testModel, 0)
		w.arrive("r", summary)
		w.step(CallerLeft{Request: "r"})
		assert.Len(t, w.withdraws("r"), 2)
		require.Contains(t, w.failures, "r")
		assert.Equal(t, result.RanNo, w.failures["r"].Ran)
		w.room("s1", kindModel, testModel, 4)
		assert.Empty(t, w.dispatches("r"))
	})
	t.Run("dispatched", func(t *testing.T) {
		w, d := twoServers(t, summary)
		w.step(CallerLeft{Request: "r"})
		require.Len(t, w.cancels("r"), 1)
		w.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED)
		require.Contains(t, w.failures, "r")
		assert.Equal(t, result.CallerLeft, w.failures["r"].Code)
		assert.Equal(t, result.RanNo, w.failures["r"].Ran)
		assert.Len(t, w.dispatches("r"), 1)
	})
	t.Run("keyed, not repeatable, dispatched", func(t *testing.T) {
		w := newWorld(t, Options{})
		w.serve("s1", kindService, testService, 1)
		w.arriveKeyed("r", passIssue, "s1")
		w.step(CallerLeft{Request: "r"})
		assert.Empty(t, w.cancels("r"))
		d := w.last("r", 1)
		w.frame("s1", d.id, 0, "issued")
		w.complete("s1", d.id, 0, "issued")
		assert.Contains(t, w.answers, "r")
	})
}

func TestCandidatesAreRespected(t *testing.T) {
	// Symptom: a pass is issued twice after its entry died.
	// Sequence: a keyed request is dispatched to a server outside its record; the next owner asks the servers in the
	// record only, all say "never started", and it runs again.
	// Cause: a server outside the record chosen.
	w := newWorld(t, Options{})
	w.serve("s1", kindService, testService, 4)
	w.serve("s2", kindService, testService, 0)
	w.arriveKeyed("r", passIssue, "s2")
	assert.Empty(t, w.dispatches("r"))
	require.Len(t, w.reserves("r"), 1)
	assert.Equal(t, "s2", w.reserves("r")[0].server)
	assert.Empty(t, w.widens, "a busy candidate is no reason to widen")
}

func TestWidenWhenAllCandidatesAreGone(t *testing.T) {
	w := newWorld(t, Options{})
	w.serve("s1", kindService, testService, 4)
	w.serve("s2", kindService, testService, 4)
	w.room("s2", kindService, testService, 0)
	w.arriveKeyed("r", passIssue, "s2")
	w.down("s2")
	require.Len(t, w.widens, 1)
	assert.Equal(t, []string{"s2", "s1"}, w.widens[0].Candidates)
	assert.Empty(t, w.dispatches("r"), "nothing is sent before the record is committed")
	w.step(CandidatesWidened{Request: "r", Code: result.ControlUnavailable})
	w.pass(2 * widenRetry)
	require.Len(t, w.widens, 2)
	w.step(CandidatesWidened{Request: "r", Candidates: []string{"s2", "s1"}})
	assert.Equal(t, "s1", w.last("r", 1).server)
}

func TestWidenRefused(t *testing.T) {
	w := newWorld(t, Options{})
	w.serve("s1", kindService, testService, 4)
	w.arriveKeyed("r", passIssue, "gone")
	require.Len(t, w.widens, 1)
	w.step(CandidatesWidened{Request: "r", Code: result.AttemptSuperseded})
	require.Contains(t, w.failures, "r")
	assert.Equal(t, result.AttemptSuperseded, w.failures["r"].Code)
	assert.Empty(t, w.dispatches("r"))
}

// takeOver is a world in which r was taken over from an owner that may have dispatched to s1 and s2.
func takeOver(t *testing.T, class *wire.Class) *world {
	w := newWorld(t, Options{})
	for _, name := range []string{"s1", "s2", "s3"} {
		w.serve(name, class.GetKind(), testService, 4)
	}
	r := w.request("r", class)
	r.Key, r.Epoch, r.EarlierServers = "key", 2, []string{"s1", "s2"}
	w.step(Arrive{Request: r})
	return w
}

func TestTakeoverWaitsForAllProofs(t *testing.T) {
	// Symptom: one keyed request runs on two engines, or a pass is issued twice.
	// Sequence: the owner of a key dies after a dispatch; the caller comes back through this entry, which gets the proofs
	// of the rows.
	// Cause: a proof missing, or one that leaves open whether it ran, taken as leave to run.
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
			w := takeOver(t, row.class)
			asked := w.cancels("r")
			require.Len(t, asked, 2)
			assert.Equal(t, uint64(2<<EpochShift-1), asked[0].id.GetNumber())
			w.prove("s1", asked[0].id, row.s1)
			assert.Empty(t, w.dispatches("r"))
			w.prove("s2", asked[1].id, row.s2)
			if row.runs {
				assert.Equal(t, uint64(2<<EpochShift+1), w.last("r", 1).id.GetNumber())
			} else {
				assert.Empty(t, w.dispatches("r"))
			}
			assert.Equal(t, row.fails, w.failures["r"] != nil)
			if row.fails {
				assert.Equal(t, result.OutcomeUnknown, w.failures["r"].Code)
			}
		})
	}
}

func TestTakeoverWithoutProofIsUnknownAtTheDeadline(t *testing.T) {
	w := takeOver(t, passIssue)
	w.prove("s1", w.cancels("r")[0].id, wire.Proof_PROOF_NEVER_STARTED)
	w.down("s2")
	w.up("s2", 2)
	assert.Len(t, w.cancels("r"), 3, "asked again when the agent is back")
	w.pass(5 * time.Second)
	require.Contains(t, w.failures, "r")
	assert.Equal(t, result.RanUnknown, w.failures["r"].Ran)
	assert.Empty(t, w.dispatches("r"))
	e, _ := w.s.Explain("r")
	assert.Equal(t, []string{"s2"}, e.EarlierUnproved)
}

func TestCandidatesReadyFirstAndBounded(t *testing.T) {
	w := newWorld(t, Options{CandidateCount: 3})
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		w.list(name, kindService, testService)
	}
	w.up("d", 1)
	w.room("d", kindService, testService, 1)
	got := w.s.Candidates(w.request("r", passIssue))
	require.Len(t, got, 3)
	assert.Equal(t, "d", got[0])
}
