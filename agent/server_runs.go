package agent

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/origin"
	"github.com/carawaypitch/carawaypitch/poison"
)

// errDispatchInFlight is used for an engine's "no such stream" that doesn't prove the end of an attempt.
var errDispatchInFlight = errors.New("agent: the dispatch may still be in flight")

// executeRun runs an attempt at the engine and passes its end to the event loop. It runs in its own goroutine.
//
// ctx ends with the agent; callCtx ends also when the run's connection is closed. The event loop needs the end of the
// run in the second case too, so the input is pushed with ctx.
func (s *server) executeRun(ctx, callCtx context.Context, r *engineRun) {
	defer r.disconnect()
	sink := &runSink{
		run:    r,
		notify: func(r *engineRun) error { return s.push(ctx, runProgress{run: r}) },
		waits:  func(r *engineRun) error { return s.push(ctx, runWaited{run: r}) },
		held:   s.held,
	}
	outcome, err := r.call(callCtx, sink)
	_ = s.push(ctx, runEnded{run: r, outcome: outcome, err: err})
}

// runProgress is the input for events of a run that are waiting.
type runProgress struct{ run *engineRun }

func (in runProgress) apply(s *server, now time.Time) {
	s.forwardEvents(now, in.run)
}

func (s *server) forwardEvents(now time.Time, r *engineRun) {
	events, tokens, size := r.takeCounted()
	s.held.releaseEvents(r, size)
	if len(events) == 0 {
		return
	}
	s.noteStreamBegan(r)
	s.step(now, gate.EngineProgress{
		Attempt: r.dispatch.GetAttempt(),
		Events:  events,
		Tokens:  tokens,
	})
}

// noteStreamBegan notes which software version began a stream that its caller may resume, once an event of it has come.
func (s *server) noteStreamBegan(r *engineRun) {
	key := r.dispatch.GetStream()
	if key == 0 || r.originNoted || !r.hasEvent() {
		return
	}
	r.originNoted = true
	s.origins.note(origin.Key(key), origin.Origin{Pool: r.dispatch.GetWork().GetTarget(), Version: s.record.GetVersion()})
}

// hasEvent reports whether an event with an ID has been received in this call.
func (r *engineRun) hasEvent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received.firstEvent != ""
}

// runEnded is the input after the engine call of a run returned.
type runEnded struct {
	run     *engineRun
	outcome engine.Outcome
	err     error
}

func (in runEnded) apply(s *server, now time.Time) {
	r := in.run
	s.forwardEvents(now, r)
	if in.holdBack() {
		return
	}
	r.close()
	r.returnedAt = now
	if in.isSuspension() {
		s.keepSuspended(now, r, in.outcome)
	} else {
		s.logFailedResumption(r, in.err)
		s.logEnd(r, in.outcome, in.err)
	}
	s.step(now, gate.EngineEnded{
		Attempt:     r.dispatch.GetAttempt(),
		Outcome:     in.outcome,
		Err:         in.err,
		ContentType: r.contentTypeOrDefault(),
	})
	if errors.Is(in.err, engine.ErrReplaced) && (!s.leaving.requested || s.leaving.absent) {
		// The process with this name is gone, even if the directory still lists it: nothing more may be sent to its
		// address under the name.
		leaveRequested{reason: "replaced"}.apply(s, now)
	}
	// A service's call can't be cancelled, so there will be no later proof.
	if !in.isSuspension() && (provesEnd(in.err) || r.isService) {
		s.removeRun(r, endCancelled)
	}
}

func (s *server) logEnd(r *engineRun, outcome engine.Outcome, err error) {
	end := outcome.End.String()
	if errors.Is(err, engine.ErrNeverSent) {
		end = "never_sent"
	}
	s.meter.runEnded(end)
	s.meter.answered(outcome.Body)
	entry := s.log.WithField("request", r.key.request).
		WithField("attempt", r.key.number).
		WithField("end", end).
		WithField("class", r.dispatch.GetWork().GetClass()).
		WithField("fingerprint", poison.Fingerprint(r.dispatch.GetFingerprint()).String()).
		WithField("parts", partList(r.dispatch.GetParts())).
		WithField("prompt", r.dispatch.GetWork().GetPromptTokens()).
		WithField("ms", r.returnedAt.Sub(r.arrivedAt).Milliseconds()).
		WithField("beside", r.concurrentRuns).
		WithField("version", s.record.GetVersion()).
		WithField("resumes", r.dispatch.GetResumeFrom() > 0).
		WithField("status", outcome.Status).
		WithField("tokens", outcome.Tokens).
		WithFields(bodyFields(outcome.Body)).
		WithFields(r.eventFields())
	if err != nil {
		entry.WithError(err).Warn("attempt_ended")
		return
	}
	entry.Info("attempt_ended")
}

// eventFields returns the positions of a verbatim stream for a log line: the IDs of the event after which this call went on, and of
// the first and the last event that it received. They are empty where there is none.
func (r *engineRun) eventFields() log.Fields {
	r.mu.Lock()
	defer r.mu.Unlock()
	after := r.dispatch.GetLastEvent()
	if r.resumption != nil {
		after = r.resumedAfter
	}
	return log.Fields{
		"after_event": framing.EventID(after),
		"first_event": r.received.firstEvent,
		"last_event":  framing.EventID(r.received.lastEvent),
	}
}

// partList returns the IDs of parts of a prompt as in log lines.
func partList(parts []uint64) string {
	ids := make([]string, 0, len(parts))
	for _, id := range parts {
		ids = append(ids, strconv.FormatUint(id, 16))
	}
	return strings.Join(ids, ",")
}

// removeRun drops the record of a run. reason is why it is not suspended any more, if it is suspended.
func (s *server) removeRun(r *engineRun, reason string) {
	if s.runs[r.key] == r {
		delete(s.runs, r.key)
		s.credits.remove(r)
		s.held.closeRun(r)
		s.endSuspended(time.Now(), r, reason)
	}
}

// cancelStream asks the engine to end an attempt. The result of every call is passed to the gate, which repeats the
// call as needed.
func (s *server) cancelStream(now time.Time, a gate.CancelEngine) {
	answer := cancelResult{action: a, run: s.runs[keyOf(a.Attempt)], sentAt: now, err: errNotDispatched}
	if answer.run != nil {
		answer.run.liftWindowForCancel()
	}
	client := s.client
	if client == nil {
		s.enqueue(answer.event(), refusal{})
		return
	}
	s.spawn(func(ctx context.Context) {
		callCtx, stop := context.WithTimeout(ctx, engineCallTimeout)
		defer stop()
		answer.result, answer.err = client.Cancel(callCtx, a.Stream)
		_ = s.push(ctx, answer)
	})
}

// cancelResult is the input with an engine's answer to a cancel.
type cancelResult struct {
	action gate.CancelEngine
	run    *engineRun // nil if the agent runs no such attempt
	sentAt time.Time
	result engine.CancelResult
	err    error
}

func (in cancelResult) event() gate.EngineCancelled {
	return gate.EngineCancelled{
		Attempt: in.action.Attempt,
		Try:     in.action.Try,
		Result:  in.result,
		Err:     in.err,
	}
}

func (in cancelResult) apply(s *server, now time.Time) {
	r := in.run
	resumed := r != nil && s.runs[r.key] != nil && s.runs[r.key] != r
	if r != nil && in.err == nil && in.result == engine.CancelUnknownID && (resumed || !r.unknownIDProvesEnd(in.sentAt)) {
		in.result, in.err = engine.CancelNone, errDispatchInFlight
	}
	s.meter.cancelled(in.result.String())
	if r != nil && in.result == engine.CancelConfirmed {
		s.scheduleDisconnect(r)
	}
	s.step(now, in.event())
	if r != nil && in.err == nil && !r.returnedAt.IsZero() {
		s.discardCancelled(r)
		s.removeRun(r, endCancelled)
	}
}

// unknownIDProvesEnd reports whether the answer "no such stream" to a cancel sent at sentAt proves that the attempt is
// over.
//
// The run's goroutine and a cancel reach the engine over different connections. A cancel that overtakes the dispatch
// gets "no such stream", and the engine then starts the attempt nevertheless: the request would run here and, after
// the supposed proof, on a second engine. So the answer counts only if the engine call had returned, and the engine
// had read what the call left in the network, before the cancel was sent.
func (r *engineRun) unknownIDProvesEnd(sentAt time.Time) bool {
	return !r.returnedAt.IsZero() && sentAt.Sub(r.returnedAt) >= maxDispatchDelay
}

// scheduleDisconnect closes the connection of a run that the engine confirmed as cancelled, unless the engine ends the
// stream within cancelledRunGrace. Otherwise each stream that a faulty engine never ends would keep a goroutine and a
// connection.
func (s *server) scheduleDisconnect(r *engineRun) {
	if r.returnedAt.IsZero() {
		time.AfterFunc(cancelledRunGrace, r.disconnect)
	}
}

// bodyFields returns the log fields about the end of an answer's body.
func bodyFields(end framing.End) log.Fields {
	return log.Fields{
		"framing": end.Framing.String(),
		"body":    end.Outcome.String(),
		"cause":   string(end.Cause),
		"events":  end.Events,
		"bytes":   end.Bytes,
		"partial": end.Partial,
	}
}
