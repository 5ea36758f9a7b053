package agent

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/poison"
)

// errDispatchInFlight turns an engine's "no such stream" into no proof.
var errDispatchInFlight = errors.New("agent: the dispatch may still be on its way")

// executeRun runs an attempt in a goroutine of its own and tells the gate duty how it ended.
//
// ctx ends with the agent, callCtx already when the run's connection is dropped. The duty must hear of the end also
// in the second case.
func (s *server) executeRun(ctx, callCtx context.Context, r *engineRun) {
	defer r.disconnect()
	sink := &runSink{
		run:    r,
		notify: func(r *engineRun) error { return s.push(ctx, runProgress{run: r}) },
	}
	outcome, err := r.call(callCtx, sink)
	_ = s.push(ctx, runEnded{run: r, outcome: outcome, err: err})
}

// runProgress says that events of a run are waiting.
type runProgress struct{ run *engineRun }

func (in runProgress) apply(s *server, now time.Time) {
	s.forwardEvents(now, in.run)
}

func (s *server) forwardEvents(now time.Time, r *engineRun) {
	events, tokens := r.take()
	if len(events) == 0 {
		return
	}
	s.step(now, gate.EngineProgress{
		Attempt: r.dispatch.GetAttempt(),
		Events:  events,
		Tokens:  tokens,
	})
}

// runEnded says that the engine call of a run returned.
type runEnded struct {
	run     *engineRun
	outcome engine.Outcome
	err     error
}

func (in runEnded) apply(s *server, now time.Time) {
	r := in.run
	s.forwardEvents(now, r)
	r.close()
	r.returnedAt = now
	s.logEnd(r, in.outcome, in.err)
	s.step(now, gate.EngineEnded{
		Attempt:     r.dispatch.GetAttempt(),
		Outcome:     in.outcome,
		Err:         in.err,
		ContentType: r.contentTypeOrDefault(),
	})
	if errors.Is(in.err, engine.ErrReplaced) && !s.leaving.requested {
		// The server is gone, whatever the directory still says: nothing more may go to its address in its name.
		leaveRequested{reason: "replaced"}.apply(s, now)
	}
	// A service's call can't be cancelled, so no later proof is to be had.
	if provesEnd(in.err) || r.isService {
		s.removeRun(r)
	}
}

func (s *server) logEnd(r *engineRun, outcome engine.Outcome, err error) {
	end := outcome.End.String()
	if errors.Is(err, engine.ErrNeverSent) {
		end = "never_sent"
	}
	s.meter.runEnded(end)
	entry := s.log.WithField("request", r.key.request).
		WithField("attempt", r.key.number).
		WithField("end", end).
		WithField("class", r.dispatch.GetWork().GetClass()).
		WithField("fingerprint", poison.Fingerprint(r.dispatch.GetFingerprint()).String()).
		WithField("prompt", r.dispatch.GetWork().GetPromptTokens()).
		WithField("ms", r.returnedAt.Sub(r.arrivedAt).Milliseconds()).
		WithField("beside", r.concurrentRuns).
		WithField("status", outcome.Status).
		WithField("tokens", outcome.Tokens)
	if err != nil {
		entry.WithError(err).Warn("attempt_ended")
		return
	}
	entry.Info("attempt_ended")
}

func (s *server) removeRun(r *engineRun) {
	if s.runs[r.key] == r {
		delete(s.runs, r.key)
	}
}

// cancelStream asks the engine to end an attempt. Every call is answered to the gate, which repeats it as needed.
func (s *server) cancelStream(now time.Time, a gate.CancelEngine) {
	answer := cancelResult{action: a, run: s.runs[keyOf(a.Attempt)], sentAt: now, err: errNotDispatched}
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

// cancelResult carries an engine's answer to a cancel.
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
	if r != nil && in.err == nil && in.result == engine.CancelUnknownID && !r.unknownIDProvesEnd(in.sentAt) {
		in.result, in.err = engine.CancelNone, errDispatchInFlight
	}
	s.meter.cancelled(in.result.String())
	if r != nil && in.result == engine.CancelConfirmed {
		s.scheduleDisconnect(r)
	}
	s.step(now, in.event())
	if r != nil && in.err == nil && !r.returnedAt.IsZero() {
		s.removeRun(r)
	}
}

// unknownIDProvesEnd says whether "no such stream", asked for at that time, proves that the attempt is over.
//
// The run's goroutine and a cancel reach the engine over different connections. A cancel that overtakes the dispatch
// hears "no such stream", and the engine then starts the attempt all the same: the request would run here and, after
// the supposed proof, at a second engine. One would notice it as two engines with streams of one request. So it
// counts only if the engine call had returned, and what it left in the network was read, before the cancel was sent.
func (r *engineRun) unknownIDProvesEnd(sentAt time.Time) bool {
	return !r.returnedAt.IsZero() && sentAt.Sub(r.returnedAt) >= maxDispatchDelay
}

// scheduleDisconnect ends the connection of a run that the engine confirmed as cancelled, if the engine doesn't end the stream
// itself. A goroutine and a connection would otherwise stay for each stream that a faulty engine never ends.
func (s *server) scheduleDisconnect(r *engineRun) {
	if r.returnedAt.IsZero() {
		time.AfterFunc(cancelledRunGrace, r.disconnect)
	}
}
