package agent

import (
	"cmp"
	"context"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Outcomes of a suspension in logs and metrics.
const (
	suspendDone        = "suspended"
	suspendEnded       = "run_ended"
	suspendBusy        = "busy"
	suspendNoRoom      = "no_room"
	suspendUnsupported = "unsupported"
	suspendNotSent     = "never_sent"
	suspendUnknown     = "unknown"
	// resumeLost means that the engine didn't hold the memory any more, resumeNotSent that it could not be reached, and
	// discardFailed that it may still hold the memory.
	resumeLost    = "handle_lost"
	resumeNotSent = "resumption_never_sent"
	discardFailed = "discard_failed"
)

// Reasons for which a run is not suspended any more, in logs and metrics.
const (
	endResumed   = "resumed"
	endDiscarded = "discarded"
	endCancelled = "cancelled"
	endExpired   = "expired"
	endRemoved   = "server_removed"
)

// suspendedRun is the state of a run whose engine has stopped it. It is used by the event loop only.
type suspendedRun struct {
	since      time.Time
	suspension engine.Suspension
}

// suspensionOf tracks the suspensions of one run. It is used by the event loop only.
type suspensionOf struct {
	count     int // how often the run has been suspended
	asked     bool
	action    gate.SuspendEngine // the last one
	discarded bool               // DiscardSuspended came before the end of the stopped call
	end       *runEnded          // end of the stopped call, held back until the engine's answer is there
	suspended *suspendedRun      // nil while the run is not suspended
}

// position is what has been received of a run. A resumed run continues after it. engineRun.mu guards it.
type position struct {
	head       bool   // the head of a verbatim answer
	firstEvent string // ID of the first event of this call
	lastEvent  []byte
	sequence   framing.Sequence // of the whole answer, as far as it is known here
	tokens     int              // position after the last token
}

// receive records a payload that was accepted. The first one of a verbatim answer is its head and no event.
func (p *position) receive(verbatim bool, event []byte, tokens int) {
	if verbatim && !p.head {
		p.head = true
		return
	}
	if verbatim {
		p.sequence.Add(event)
	}
	if id := framing.EventID(event); verbatim && id != "" {
		p.firstEvent = cmp.Or(p.firstEvent, id)
		p.lastEvent = event
	}
	p.tokens = tokens
}

// suspendRun asks the engine to suspend a run. Exactly one EngineSuspended follows.
func (s *server) suspendRun(now time.Time, a gate.SuspendEngine) {
	answer := suspendResult{action: a, run: s.runs[keyOf(a.Attempt)], sentAt: now}
	r := answer.run
	if r != nil && r.suspension.suspended != nil {
		answer.suspension = r.suspension.suspended.suspension
		s.enqueue(answer.event(), refusal{})
		return
	}
	if r == nil || !r.returnedAt.IsZero() {
		s.refuseSuspension(now, answer, engine.ErrUnknownStream)
		return
	}
	client, ok := r.client.(engine.Suspender)
	if !ok {
		s.refuseSuspension(now, answer, engine.ErrUnsupported)
		return
	}
	if r.suspension.asked {
		s.refuseSuspension(now, answer, engine.ErrBusy)
		return
	}
	r.suspension.asked = true
	r.suspension.action = a
	r.liftWindow()
	s.spawn(func(ctx context.Context) {
		callCtx, stop := context.WithTimeout(ctx, engineCallTimeout)
		defer stop()
		answer.suspension, answer.err = client.Suspend(callCtx, a.Stream, a.Targets)
		_ = s.push(ctx, answer)
	})
}

// refuseSuspension answers a suspension that is not passed to the engine.
func (s *server) refuseSuspension(now time.Time, answer suspendResult, class error) {
	answer.err = &engine.CallError{Call: "suspend", ID: answer.action.Stream, Class: class}
	s.logSuspendResult(now, answer)
	s.enqueue(answer.event(), refusal{})
}

// suspendResult is the input with an engine's answer to a suspension.
type suspendResult struct {
	action     gate.SuspendEngine
	run        *engineRun // nil if the agent runs no such attempt
	sentAt     time.Time
	suspension engine.Suspension
	err        error
}

func (in suspendResult) event() gate.EngineSuspended {
	return gate.EngineSuspended{
		Attempt:    in.action.Attempt,
		Try:        in.action.Try,
		Suspension: in.suspension,
		Err:        in.err,
	}
}

func (in suspendResult) apply(s *server, now time.Time) {
	state := &in.run.suspension
	state.asked = false
	end := state.end
	state.end = nil
	if end != nil && in.err != nil {
		// The answer was lost, but the run's own stream has shown that it was stopped.
		in.suspension, in.err = end.outcome.Suspension, nil
	}
	if in.err != nil {
		in.run.restoreWindow()
	}
	s.logSuspendResult(now, in)
	s.step(now, in.event())
	if end != nil {
		end.apply(s, now)
	}
}

// isSuspension reports whether the run was stopped and can be resumed.
func (in runEnded) isSuspension() bool {
	return in.err == nil && in.outcome.End == engine.EndSuspended
}

// holdBack keeps the end of a stopped call until the engine's answer to the suspension is there, and reports whether it
// does. The gate thus learns of the suspension first, in whichever order the two arrive.
func (in runEnded) holdBack() bool {
	if !in.isSuspension() || !in.run.suspension.asked {
		return false
	}
	in.run.suspension.end = &in
	return true
}

// keepSuspended keeps the record of a run that was stopped, for its resumption.
func (s *server) keepSuspended(now time.Time, r *engineRun, outcome engine.Outcome) {
	r.suspension.count++
	r.suspension.suspended = &suspendedRun{since: now, suspension: outcome.Suspension}
	s.suspendedRuns++
	s.meter.suspendedRuns(1)
	s.runLog(r).
		WithField("events", outcome.Suspension.Events).
		WithField("tokens", outcome.Tokens).
		WithField("suspensions", r.suspension.count).
		WithField("remaining_ms", r.remaining().Milliseconds()).
		WithField("expected_ms", r.suspension.action.Remaining.Milliseconds()).
		WithField("for", r.suspension.action.For.GetRequest()).
		WithFields(r.eventFields()).
		Info("run_suspended")
	if r.suspension.discarded {
		s.removeRun(r, endDiscarded)
	}
}

// endSuspended records that a run is not suspended any more, and returns how long it was.
func (s *server) endSuspended(now time.Time, r *engineRun, reason string) time.Duration {
	suspended := r.suspension.suspended
	if suspended == nil {
		return 0
	}
	r.suspension.suspended = nil
	s.suspendedRuns--
	took := now.Sub(suspended.since)
	s.meter.suspendedRuns(-1)
	s.meter.suspensionEnded(reason, took)
	if reason != endResumed {
		s.runLog(r).WithField("reason", reason).WithField("suspended_ms", took.Milliseconds()).Info("suspension_ended")
	}
	return took
}

// resumeRun continues a suspended run. A resumption is not new work, so an agent that stops or is cut off from control
// carries it out as well.
func (s *server) resumeRun(now time.Time, a gate.StartEngine) {
	key := keyOf(a.Dispatch.GetAttempt())
	old := s.runs[key]
	if old == nil || old.suspension.suspended == nil {
		s.enqueue(gate.EngineEnded{Attempt: a.Dispatch.GetAttempt(), Err: &engine.CallError{
			Call:  "run",
			ID:    engineID(a.Dispatch.GetAttempt()),
			Class: engine.ErrNeverSent,
			Err:   errors.Wrap(engine.ErrUnknownStream, "agent: no such suspended run"),
		}}, refusal{})
		return
	}
	took := s.endSuspended(now, old, endResumed)
	r := old.resumed(*a.Resume)
	r.concurrentRuns = len(s.runs) - 1 - s.suspendedRuns
	s.runLog(r).WithField("suspended_ms", took.Milliseconds()).
		WithField("suspensions", r.suspension.count).
		WithField("remaining_ms", r.remaining().Milliseconds()).
		WithField("reason", a.Reason).
		Info("run_resumed")
	s.executeInBackground(r)
}

// resumed returns the run that continues a suspended one. It keeps the time of the dispatch, from which the time that
// remains until the deadline is counted.
func (r *engineRun) resumed(suspension engine.Suspension) *engineRun {
	next := newRun(r.dispatch, r.client, nil)
	next.arrivedAt = r.arrivedAt
	next.canResume = r.canResume
	next.canTransferKV = r.canTransferKV
	next.suspension.count = r.suspension.count
	next.resumption = &suspension
	next.repeated = 0 // a run that continues sends nothing again
	r.mu.Lock()
	defer r.mu.Unlock()
	next.received = r.received
	next.resumedAfter = r.received.lastEvent
	next.received.firstEvent = ""
	next.contentType = r.contentType
	next.account = r.account
	next.window = r.window
	next.window.lifted, next.window.keepLift = false, false
	return next
}

// continueAfter sets the fields of a request that resumes a run after what has been received of it.
func (r *engineRun) continueAfter(request engine.Request) engine.Request {
	if r.resumption == nil {
		return request
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	request.Resume = r.resumption
	request.ResumeTokens = r.received.tokens
	if request.Verbatim != nil {
		request.Verbatim.LastEvent = r.received.lastEvent
		request.Verbatim.SkipHead = r.received.head
		request.Verbatim.Consecutive = r.received.sequence.Consecutive()
	}
	return request
}

// remaining returns how much longer the answer is useful to its caller.
func (r *engineRun) remaining() time.Duration {
	return time.Duration(r.dispatch.GetWork().GetRemainingMs())*time.Millisecond - time.Since(r.arrivedAt)
}

// discardSuspended has the engine free the memory of a suspended run and drops the run's record. Without an answer the
// call is repeated a few times; the engine frees the memory by itself when the handle expires.
func (s *server) discardSuspended(a gate.DiscardSuspended) {
	client := s.client
	if r := s.runs[keyOf(a.Attempt)]; r != nil {
		client = r.client
		r.suspension.discarded = true
		if r.suspension.suspended != nil {
			s.removeRun(r, endDiscarded)
		}
	}
	suspender, ok := client.(engine.Suspender)
	if !ok {
		return
	}
	s.spawn(func(ctx context.Context) {
		if err := discard(ctx, suspender, a.Suspension); err != nil {
			s.logSuspensionFailed(a.Attempt, discardFailed, err)
		}
	})
}

// discardCancelled frees the memory of a suspended run that was cancelled, unless the gate had it freed. An engine that
// knows no cancel of suspended runs would keep it until the handle expires.
func (s *server) discardCancelled(r *engineRun) {
	if suspended := r.suspension.suspended; suspended != nil {
		s.discardSuspended(gate.DiscardSuspended{Attempt: r.dispatch.GetAttempt(), Suspension: suspended.suspension})
	}
}

// discard calls Discard until it succeeds or the memory is known to be gone, at most discardTries times.
func discard(ctx context.Context, client engine.Suspender, suspension engine.Suspension) error {
	var err error
	for range discardTries {
		callCtx, stop := context.WithTimeout(ctx, engineCallTimeout)
		err = client.Discard(callCtx, suspension)
		stop()
		if err == nil || errors.Is(err, engine.ErrUnknownStream) {
			return nil
		}
		if !pause.For(ctx, discardInterval) {
			break
		}
	}
	return err
}

// dropExpired drops the records of suspended runs whose handles have expired. The gate ends such attempts without an
// action, and so it does when the server is gone.
func (s *server) dropExpired(now time.Time) {
	if s.suspendedRuns == 0 {
		return
	}
	lifetime := time.Duration(s.record.GetSuspendedMs()) * time.Millisecond
	if lifetime == 0 {
		lifetime = defaultSuspendedTime
	}
	for _, r := range s.runs {
		suspended := r.suspension.suspended
		if suspended != nil && now.Sub(suspended.since) >= lifetime+expiryGrace {
			s.removeRun(r, endExpired)
		}
	}
}

// dropAllSuspended drops the records of all suspended runs when the event loop ends.
func (s *server) dropAllSuspended() {
	for _, r := range s.runs {
		if r.suspension.suspended != nil {
			s.removeRun(r, endRemoved)
		}
	}
}

// suspendOutcome returns the name of an engine's answer to a suspension.
func suspendOutcome(err error) string {
	switch {
	case err == nil:
		return suspendDone
	case errors.Is(err, engine.ErrUnknownStream):
		return suspendEnded
	case errors.Is(err, engine.ErrBusy):
		return suspendBusy
	case errors.Is(err, engine.ErrNoRoom):
		return suspendNoRoom
	case errors.Is(err, engine.ErrUnsupported):
		return suspendUnsupported
	case errors.Is(err, engine.ErrNeverSent):
		return suspendNotSent
	default:
		return suspendUnknown
	}
}

// logSuspendResult counts the answer to a suspension, and logs it if the run was not suspended.
func (s *server) logSuspendResult(now time.Time, in suspendResult) {
	outcome := suspendOutcome(in.err)
	s.meter.suspensionAnswered(outcome)
	if in.err == nil {
		return
	}
	entry := s.log.WithField("request", in.action.Attempt.GetRequest()).WithField("attempt", in.action.Attempt.GetNumber())
	if in.run != nil {
		entry = s.runLog(in.run)
	}
	entry.WithField("outcome", outcome).
		WithField("try", in.action.Try).
		WithField("targets", len(in.action.Targets)).
		WithField("ms", now.Sub(in.sentAt).Milliseconds()).
		WithError(in.err).
		Warn("suspension_failed")
}

// logFailedResumption counts and logs a resumption that the engine did not carry out.
func (s *server) logFailedResumption(r *engineRun, err error) {
	switch {
	case r.resumption == nil:
	case errors.Is(err, engine.ErrUnknownStream):
		s.logSuspensionFailed(r.dispatch.GetAttempt(), resumeLost, err)
	case errors.Is(err, engine.ErrNeverSent):
		s.logSuspensionFailed(r.dispatch.GetAttempt(), resumeNotSent, err)
	}
}

func (s *server) logSuspensionFailed(id *wire.AttemptID, outcome string, err error) {
	s.meter.suspensionAnswered(outcome)
	s.log.WithField("request", id.GetRequest()).
		WithField("attempt", id.GetNumber()).
		WithField("outcome", outcome).
		WithError(err).
		Warn("suspension_failed")
}

// runLog returns a log entry with the fields of a run.
func (s *server) runLog(r *engineRun) *log.Entry {
	work := r.dispatch.GetWork()
	return s.log.WithField("request", r.key.request).
		WithField("attempt", r.key.number).
		WithField("class", work.GetClass()).
		WithField("tier", work.GetTier()).
		WithField("precedence", work.GetPrecedence())
}
