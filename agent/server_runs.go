package agent

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/poison"
)

// errMayArrive turns an engine's "no such stream" into no proof.
var errMayArrive = errors.New("agent: the dispatch may still be on its way")

// execute runs an attempt in a goroutine of its own and tells the gate duty how it ended.
//
// ctx ends with the agent, callCtx already when the run's connection is dropped. The duty must hear of the end also
// in the second case.
func (s *server) execute(ctx, callCtx context.Context, r *engineRun) {
	defer r.stop()
	sink := &runSink{
		run:  r,
		tell: func(r *engineRun) error { return s.push(ctx, runProgress{run: r}) },
	}
	outcome, err := r.call(callCtx, sink)
	_ = s.push(ctx, runEnded{run: r, outcome: outcome, err: err})
}

// runProgress says that events of a run are waiting.
type runProgress struct{ run *engineRun }

func (in runProgress) apply(s *server, now time.Time) {
	s.passEvents(now, in.run)
}

func (s *server) passEvents(now time.Time, r *engineRun) {
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
	s.passEvents(now, r)
	r.close()
	r.returned = now
	s.logEnd(r, in.outcome, in.err)
	s.step(now, gate.EngineEnded{
		Attempt:     r.dispatch.GetAttempt(),
		Outcome:     in.outcome,
		Err:         in.err,
		ContentType: r.answerType(),
	})
	if errors.Is(in.err, engine.ErrReplaced) && !s.leaving.asked {
		// The server is gone, whatever the directory still says: nothing more may go to its address in its name.
		leaveAsked{reason: "replaced"}.apply(s, now)
	}
	// A service's call can't be cancelled, so no later proof is to be had.
	if proven(in.err) || r.service {
		s.forget(r)
	}
}

func (s *server) logEnd(r *engineRun, outcome engine.Outcome, err error) {
	end := outcome.End.String()
	if errors.Is(err, engine.ErrNeverSent) {
		end = "never_sent"
	}
	s.meter.ended(end)
	entry := s.log.WithField("request", r.key.request).
		WithField("attempt", r.key.number).
		WithField("end", end).
		WithField("class", r.dispatch.GetWork().GetClass()).
		WithField("fingerprint", poison.Fingerprint(r.dispatch.GetFingerprint()).String()).
		WithField("prompt", r.dispatch.GetWork().GetPromptTokens()).
		WithField("ms", r.returned.Sub(r.arrived).Milliseconds()).
		WithField("beside", r.beside).
		WithField("status", outcome.Status).
		WithField("tokens", outcome.Tokens)
	if err != nil {
		entry.WithError(err).Warn("attempt_ended")
		return
	}
	entry.Info("attempt_ended")
}

func (s *server) forget(r *engineRun) {
	if s.runs[r.key] == r {
		delete(s.runs, r.key)
	}
}

// cancel asks the engine to end an attempt. Every call is answered to the gate, which repeats it as needed.
func (s *server) cancel(now time.Time, a gate.CancelEngine) {
	answer := cancelAnswered{action: a, run: s.runs[keyOf(a.Attempt)], asked: now, err: errNotDispatched}
	client := s.client
	if client == nil {
		s.then(answer.event(), refusal{})
		return
	}
	s.spawn(func(ctx context.Context) {
		callCtx, stop := context.WithTimeout(ctx, engineCallTimeout)
		defer stop()
		answer.result, answer.err = client.Cancel(callCtx, a.Stream)
		_ = s.push(ctx, answer)
	})
}

// cancelAnswered carries an engine's answer to a cancel.
type cancelAnswered struct {
	action gate.CancelEngine
	run    *engineRun // nil if the agent runs no such attempt
	asked  time.Time
	result engine.CancelResult
	err    error
}

func (in cancelAnswered) event() gate.EngineCancelled {
	return gate.EngineCancelled{
		Attempt: in.action.Attempt,
		Try:     in.action.Try,
		Result:  in.result,
		Err:     in.err,
	}
}

func (in cancelAnswered) apply(s *server, now time.Time) {
	r := in.run
	if r != nil && in.err == nil && in.result == engine.CancelUnknownID && !r.settled(in.asked) {
		in.result, in.err = engine.CancelNone, errMayArrive
	}
	s.meter.cancelled(in.result.String())
	if r != nil && in.result == engine.CancelConfirmed {
		s.dropLater(r)
	}
	s.step(now, in.event())
	if r != nil && in.err == nil && !r.returned.IsZero() {
		s.forget(r)
	}
}

// settled says whether "no such stream", asked for at that time, proves that the attempt is over.
//
// The run's goroutine and a cancel reach the engine over different connections. A cancel that overtakes the dispatch
// hears "no such stream", and the engine then starts the attempt all the same: the request would run here and, after
// the supposed proof, at a second engine. One would notice it as two engines with streams of one request. So it
// counts only if the engine call had returned, and what it left in the network was read, before the cancel was sent.
func (r *engineRun) settled(asked time.Time) bool {
	return !r.returned.IsZero() && asked.Sub(r.returned) >= settleTime
}

// dropLater ends the connection of a run that the engine confirmed as cancelled, if the engine doesn't end the stream
// itself. A goroutine and a connection would otherwise stay for each stream that a faulty engine never ends.
func (s *server) dropLater(r *engineRun) {
	if r.returned.IsZero() {
		time.AfterFunc(cancelledRunGrace, r.stop)
	}
}
