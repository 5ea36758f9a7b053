package sched

import (
	"time"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Times of asking for proof.
const (
	// cancelRepeat is how often a Cancel is repeated. A message that met a full ring is lost without a sign.
	cancelRepeat = time.Second
	// quietBound is how long a dispatch may stay without any answer of its agent on an open link. Then the dispatch,
	// or the answer, was lost, and a Cancel asks what became of it.
	// For a short deadline it is a share of that, since a gate may also keep a dispatch of tier 1 waiting for a slot
	// while another server has one. Nothing is lost by a Cancel of an attempt that hasn't started.
	quietBound = 2 * time.Second
	quietShare = 4
	quietLeast = 100 * time.Millisecond
	// proveRepeat is how often the engine itself is asked again.
	proveRepeat = 2 * time.Second
)

// over takes an agent's proof. Only one for the present attempt counts: a late one for an earlier attempt says
// nothing of the attempt that runs now.
func (s *Scheduler) over(a *agent, m *wire.Over) {
	id := m.GetAttempt()
	if isProof(m.GetProof()) {
		s.lingers.over(a, id)
	}
	r := s.requests[id.GetRequest()]
	if r == nil {
		return
	}
	if r.state == awaitingEarlier {
		s.earlierOver(r, m)
		return
	}
	if r.attempt == nil {
		s.reservationRefused(r, m)
		return
	}
	if !r.present(a, id) || m.GetServer() != r.attempt.server.name {
		s.countStray(strayAttempt)
		return
	}
	s.acknowledge(r)
	if m.GetCrash() != nil {
		s.noteCrash(r, m.GetCrash())
	}
	if provesBegun(r, m) {
		r.record().began = true
	}
	s.overPresent(r, m)
	s.setWake(r)
}

// isProof tells whether an attempt with this word is over. PROOF_UNPROVEN, and a word of a newer protocol, isn't one.
func isProof(p wire.Proof) bool {
	switch p {
	case wire.Proof_PROOF_NEVER_STARTED, wire.Proof_PROOF_CANCELLED, wire.Proof_PROOF_COMPLETED, wire.Proof_PROOF_FAILED:
		return true
	default:
		return false
	}
}

func (s *Scheduler) overPresent(r *request, m *wire.Over) {
	s.countWasted(r, m)
	switch m.GetProof() {
	case wire.Proof_PROOF_NEVER_STARTED:
		s.neverStarted(r, m)
	case wire.Proof_PROOF_CANCELLED:
		s.cancelled(r, m)
	case wire.Proof_PROOF_COMPLETED:
		s.completed(r, m)
	case wire.Proof_PROOF_FAILED:
		r.setResume(m)
		s.ended(r, evAttemptFailed, m.GetProof(), retryFailed, s.overError(m, result.EngineFailed))
	default:
		if m.GetUnprovable() {
			s.outcomeLost(r)
			return
		}
		s.askCancel(r, wire.CancelCause_CANCEL_CAUSE_RETRY)
	}
}

// outcomeLost answers a request of whose attempt nothing more can be learnt. Waiting longer would tell its caller
// nothing else, so it takes the way of the deadline now.
func (s *Scheduler) outcomeLost(r *request) {
	r.err = result.New(result.OutcomeUnknown, "the backend server's answer was lost")
	_ = s.fire(r, evDeadline)
}

// neverStarted takes the promise that the attempt never began and never will. After a frame of the same attempt it
// is a contradiction, and isn't believed.
func (s *Scheduler) neverStarted(r *request, m *wire.Over) {
	if r.attempt.framesSeen {
		s.countStray(strayProof)
		return
	}
	r.refusals++
	if m.GetUnsent() && r.attempt.started {
		// The agent says that an attempt starts before it calls. Nothing arrived, so a next attempt is no retry: counted as
		// one, those of a crashed server used up the budget of the whole pool.
		r.arrivals--
	}
	r.avoidServer(r.attempt.server.name)
	r.attempt.server.refused()
	s.ended(r, evNeverStarted, m.GetProof(), retryNeverStarted, s.overError(m, result.RefusedNeverStarted))
}

func (s *Scheduler) cancelled(r *request, m *wire.Over) {
	reason := retryCancelled
	if m.GetPreemptedByTier() > 0 {
		reason = retryPreempted
	}
	r.setResume(m)
	s.ended(r, evCancelConfirmed, m.GetProof(), reason, s.overError(m, result.Cancelled))
}

// overError makes the error of a proof: the agent's own code if it says one.
func (s *Scheduler) overError(m *wire.Over, def result.Code) *result.Error {
	code := def
	if m.GetCode() != 0 {
		code = result.Code(m.GetCode())
	}
	err := result.New(code, "")
	if m.GetMessage() != "" {
		err = result.New(code, "%s", m.GetMessage())
	}
	return err.WithRetryAfter(time.Duration(m.GetRetryAfterMs()) * time.Millisecond)
}

// ended closes the present attempt by a proof and raises the event that says which. The request then waits in the
// queue again or has its final answer.
func (s *Scheduler) ended(r *request, e event, proof wire.Proof, reason string, err *result.Error) {
	if r.attempt.brokenErr != nil {
		err, reason = r.attempt.brokenErr, retryIncomplete
	}
	rec := r.record()
	rec.over, rec.proof, rec.proved, rec.reason = s.now, proof, true, reason
	if proof != wire.Proof_PROOF_NEVER_STARTED && reason != retryPreempted {
		r.starts++
	}
	r.lastErr = err
	if !r.abandoned() {
		r.err = endError(r, err)
	}
	s.trueUp(r, proof)
	if s.fire(r, e) != nil {
		return
	}
	if s.table.Final(r.state) {
		return
	}
	s.release(r)
	s.countRetry(r, reason)
	s.requeue(r)
}

// provesBegun tells whether the word says that an engine began the present attempt. CANCELLED alone doesn't, nor does
// Started, which is sent before the call: an agent also says CANCELLED of an attempt that an incarnation before it may
// have run, of one that the engine says it didn't begin, and of one that the engine doesn't know.
//
// Otherwise: the connection breaks before the engine reads the call, the engine says that it knows no such attempt, and
// the caller hears that its request ran.
func provesBegun(r *request, m *wire.Over) bool {
	switch m.GetProof() {
	case wire.Proof_PROOF_COMPLETED, wire.Proof_PROOF_FAILED:
		return true
	case wire.Proof_PROOF_CANCELLED:
		return m.GetBegan()
	default:
		return false
	}
}

// endError is what the caller hears if the request isn't tried again.
func endError(r *request, err *result.Error) *result.Error {
	if r.ran() == result.RanUnknown && !r.Class.GetRepeatable() {
		return result.New(result.OutcomeUnknown, "")
	}
	return err
}

// mayRetry tells whether the request may have another attempt after one that may have begun. Work that may not be
// repeated never has: only a proof that nothing began lets it run, and that doesn't ask here.
func (s *Scheduler) mayRetry(r *request) bool {
	if !r.wanted() || !s.now.Before(r.limit()) || r.starts >= r.mostStarts() {
		return false
	}
	if r.ran() != result.RanNo && !r.Class.GetRepeatable() {
		return false
	}
	if r.lastErr != nil && r.lastErr.Code == result.AnswerTooLarge {
		return false
	}
	return s.canResume(r)
}

// mostStarts bounds the attempts that may have begun.
func (r *request) mostStarts() int {
	if r.MaxAttempts > 0 {
		return r.MaxAttempts
	}
	return maxStarts
}

// requeue puts a request whose attempt is proved over back into the queue.
func (s *Scheduler) requeue(r *request) {
	if r.state != queued {
		return
	}
	if err := s.refuseRetry(r); err != nil {
		s.refuse(r, err)
		return
	}
	s.prepareRetry(r)
	s.backOff(r)
	s.enqueue(r)
}

// provedOver closes the present attempt by a proof that doesn't say whether it began.
func (s *Scheduler) provedOver(r *request, reason string) {
	s.countLostPrefill(r, reason)
	s.ended(r, evProvedOver, wire.Proof_PROOF_UNSPECIFIED, reason, result.New(result.EngineLost, ""))
	s.setWake(r)
}

// engineProved takes what the backend server itself said of an attempt whose agent is gone. That it doesn't know the
// attempt proves that it is over, not that it never ran: engines forget.
func (s *Scheduler) engineProved(e EngineProved) {
	if !isProof(e.Proof) {
		return
	}
	s.lingers.proved(e.Attempt)
	r := s.requests[e.Attempt.GetRequest()]
	if r == nil || r.attempt == nil || r.attempt.id.GetNumber() != e.Attempt.GetNumber() || r.attempt.server.name != e.Server {
		return
	}
	if e.Proof == wire.Proof_PROOF_COMPLETED || e.Proof == wire.Proof_PROOF_FAILED {
		r.record().began = true
	}
	s.provedOver(r, retryProved)
}

// askCancel wants the present attempt to be over. Repeating it is left to wake: an agent that can't prove the end
// answers each Cancel at once, and the two would send each other messages without pause.
func (s *Scheduler) askCancel(r *request, cause wire.CancelCause) {
	if r.attempt.cancelAsked {
		return
	}
	r.attempt.cancelCause = cause
	_ = s.fire(r, evCancelAsked)
	s.setWake(r)
}

// sendCancel sends the Cancel of the present attempt, or leaves it to be sent when the link is open again.
func (s *Scheduler) sendCancel(r *request) {
	a := r.attempt
	if a == nil {
		return
	}
	a.cancelAsked = true
	if a.cancelCause == wire.CancelCause_CANCEL_CAUSE_UNSPECIFIED {
		a.cancelCause = r.cancelCause()
	}
	a.cancelledAt = s.now
	s.send(a.agent, cancelMessage(a.id, a.server.name, a.cancelCause))
}

func (r *request) cancelCause() wire.CancelCause {
	if r.callerGone {
		return wire.CancelCause_CANCEL_CAUSE_CALLER_LEFT
	}
	return wire.CancelCause_CANCEL_CAUSE_DEADLINE
}

func cancelMessage(id *wire.AttemptID, server string, cause wire.CancelCause) *wire.EntryMessage {
	return &wire.EntryMessage{Kind: &wire.EntryMessage_Cancel{
		Cancel: &wire.Cancel{Attempt: id, Server: server, Cause: cause},
	}}
}
