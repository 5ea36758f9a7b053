package sched

import (
	"time"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Intervals and time-outs of requests for proof.
const (
	// cancelInterval is how often a Cancel is repeated. A message to a link whose ring is full is dropped silently.
	cancelInterval = time.Second
	// silenceTimeout is how long a dispatch may stay without any reply of its agent on an open link. After that the
	// dispatch or the reply counts as lost, and a Cancel is sent to learn what became of it.
	//
	// For a short deadline the time-out is the deadline over silenceDivisor, at least minSilence, since a gate may
	// keep a dispatch of tier 1 waiting for a slot while another server has one. A Cancel of an attempt that hasn't
	// started loses nothing.
	silenceTimeout = 2 * time.Second
	silenceDivisor = 4
	minSilence     = 100 * time.Millisecond
	// engineProofInterval is how often the engine itself is asked again.
	engineProofInterval = 2 * time.Second
)

// attemptOver handles an agent's report that an attempt is over. Only one for the current attempt counts: a late
// one for an earlier attempt says nothing about the current one.
func (s *Scheduler) attemptOver(a *agent, m *wire.Over) {
	id := m.GetAttempt()
	if isProof(m.GetProof()) {
		s.orphans.removeReported(a, id)
	}
	r := s.requests[id.GetRequest()]
	if r == nil {
		return
	}
	if r.state == awaitingEarlier {
		s.earlierAttemptsOver(r, m)
		return
	}
	if r.attempt == nil {
		s.reservationRefused(r, m)
		return
	}
	if !r.isCurrent(a, id) || m.GetServer() != r.attempt.server.name {
		s.countDropped(droppedAttempt)
		return
	}
	s.acknowledge(r)
	if m.GetCrash() != nil {
		s.noteCrash(r, m.GetCrash())
	}
	if provesBegun(r, m) {
		r.currentRecord().began = true
	}
	s.currentAttemptOver(r, m)
	s.setTimer(r)
}

// isProof reports whether p proves an attempt over. PROOF_UNPROVEN and unknown values of a newer protocol don't.
func isProof(p wire.Proof) bool {
	switch p {
	case wire.Proof_PROOF_NEVER_STARTED, wire.Proof_PROOF_CANCELLED, wire.Proof_PROOF_COMPLETED, wire.Proof_PROOF_FAILED:
		return true
	default:
		return false
	}
}

func (s *Scheduler) currentAttemptOver(r *request, m *wire.Over) {
	s.countReportedWaste(r, m)
	s.noteBrokenOff(r, m)
	r.noteRunEnd(m)
	switch m.GetProof() {
	case wire.Proof_PROOF_NEVER_STARTED:
		s.neverStarted(r, m)
	case wire.Proof_PROOF_CANCELLED:
		s.attemptCancelled(r, m)
	case wire.Proof_PROOF_COMPLETED:
		s.engineCompleted(r, m)
	case wire.Proof_PROOF_FAILED:
		s.noteFailed(r, m)
		r.setResume(m)
		s.attemptEnded(r, evAttemptFailed, m.GetProof(), retryEngineFailed, s.proofError(m, result.EngineFailed))
	default:
		if m.GetUnprovable() {
			s.outcomeLost(r)
			return
		}
		s.requestCancel(r, wire.CancelCause_CANCEL_CAUSE_RETRY)
	}
}

// outcomeLost ends a request about whose attempt nothing more can be learnt. Waiting until the deadline would give
// its caller no more information, so the deadline event is raised now.
func (s *Scheduler) outcomeLost(r *request) {
	r.err = result.New(result.OutcomeUnknown, "the backend server's answer was lost")
	_ = s.fire(r, evDeadline)
}

// neverStarted handles the proof that the attempt never began and never will. After a frame of the same attempt the
// proof contradicts the frame and is dropped.
func (s *Scheduler) neverStarted(r *request, m *wire.Over) {
	if r.attempt.framesSeen {
		s.countDropped(droppedProof)
		return
	}
	r.refusals++
	s.noteNeverStarted(r, m.GetUnsent())
	r.avoidServer(r.attempt.server.name)
	r.attempt.server.attemptRefused()
	s.attemptEnded(r, evNeverStarted, m.GetProof(), retryNeverStarted, s.proofError(m, result.RefusedNeverStarted))
}

func (s *Scheduler) attemptCancelled(r *request, m *wire.Over) {
	reason := retryCancelled
	switch {
	case m.GetPreemptedByTier() > 0:
		reason = retryPreempted
	case r.attempt.brokenOff != "":
		reason = retryBrokenOff
	}
	r.setResume(m)
	s.attemptEnded(r, evCancelConfirmed, m.GetProof(), reason, s.proofError(m, result.Cancelled))
}

// proofError returns the error of a proof: with the agent's code if it gives one, else with def.
func (s *Scheduler) proofError(m *wire.Over, def result.Code) *result.Error {
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

// attemptEnded ends the current attempt by a proof and raises the matching event. The request is then queued again
// or has its final answer.
func (s *Scheduler) attemptEnded(r *request, e event, proof wire.Proof, reason string, err *result.Error) {
	if r.attempt.brokenErr != nil {
		err, reason = r.attempt.brokenErr, retryIncomplete
	}
	rec := r.currentRecord()
	rec.over, rec.proof, rec.provedOver, rec.reason = s.now, proof, true, reason
	if proof != wire.Proof_PROOF_NEVER_STARTED {
		s.noteReached(r) // its Started may be lost
		if reason != retryPreempted {
			r.begun++
		}
	}
	r.lastErr = err
	if !r.abandoned() {
		r.err = finalError(r, err)
	}
	s.reconcileCharge(r, proof)
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

// provesBegun reports whether the message proves that an engine began the current attempt. CANCELLED alone doesn't,
// nor does Started, which is sent before the call: an agent also reports CANCELLED for an attempt that a previous
// incarnation may have run, for one that the engine reports as not begun, and for one unknown to the engine.
//
// Otherwise, if the connection broke before the engine read the call and the engine then reports no such attempt,
// the caller would be told that its request ran.
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

// finalError returns the error for the caller if the request isn't retried.
func finalError(r *request, err *result.Error) *result.Error {
	if r.ran() == result.RanUnknown && !r.Class.GetRepeatable() {
		return result.New(result.OutcomeUnknown, "")
	}
	return err
}

// mayRetry reports whether the request may have another attempt after one that may have begun. A request that may
// not be repeated never may: it runs again only after a proof that nothing began, which doesn't call mayRetry.
func (s *Scheduler) mayRetry(r *request) bool {
	if !r.wanted() || !s.now.Before(r.expiresAt()) || r.begun >= r.begunLimit() {
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

// begunLimit returns the bound of attempts that may have begun.
func (r *request) begunLimit() int {
	if r.MaxAttempts > 0 {
		return r.MaxAttempts
	}
	return maxBegunAttempts
}

// requeue returns a request whose attempt is proved over to the queue.
func (s *Scheduler) requeue(r *request) {
	if r.state != queued {
		return
	}
	if err := s.refuseRetry(r); err != nil {
		s.refuse(r, err)
		return
	}
	s.prepareRetry(r)
	s.backOffIfRefused(r)
	s.enqueue(r)
}

// provedOver ends the current attempt by a proof that doesn't tell whether it began.
func (s *Scheduler) provedOver(r *request, reason string) {
	s.countEstimatedWaste(r, reason)
	s.attemptEnded(r, evProvedOver, wire.Proof_PROOF_UNSPECIFIED, reason, result.New(result.EngineLost, ""))
	s.setTimer(r)
}

// engineProved handles the backend server's own reply about an attempt whose agent is unreachable. An engine that
// doesn't know the attempt proves that it is over, not that it never ran: engines drop their records of attempts.
func (s *Scheduler) engineProved(e EngineProved) {
	if !isProof(e.Proof) {
		return
	}
	s.orphans.removeProved(e.Attempt)
	r := s.requests[e.Attempt.GetRequest()]
	if r == nil || r.attempt == nil || r.attempt.id.GetNumber() != e.Attempt.GetNumber() || r.attempt.server.name != e.Server {
		return
	}
	if e.Proof == wire.Proof_PROOF_COMPLETED || e.Proof == wire.Proof_PROOF_FAILED {
		r.currentRecord().began = true
	}
	s.provedOver(r, retryEngineProved)
}

// requestCancel asks for the end of the current attempt. Repeats are left to the timer: an agent that can't prove
// the end replies to each Cancel at once, so a repeat per reply would be an endless exchange.
func (s *Scheduler) requestCancel(r *request, cause wire.CancelCause) {
	if r.attempt.cancelAsked {
		return
	}
	r.attempt.cancelCause = cause
	_ = s.fire(r, evCancelAsked)
	s.setTimer(r)
}

// sendCancel sends the Cancel of the current attempt. With the link down it is sent when the link reopens.
func (s *Scheduler) sendCancel(r *request) {
	a := r.attempt
	if a == nil {
		return
	}
	a.cancelAsked = true
	if a.cancelCause == wire.CancelCause_CANCEL_CAUSE_UNSPECIFIED {
		a.cancelCause = r.cancelCause()
	}
	a.cancelSentAt = s.now
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
