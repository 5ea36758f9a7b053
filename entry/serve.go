package entry

import (
	"context"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
)

// errCallerLeft reports that the caller has disconnected.
var errCallerLeft = errors.New("entry: caller disconnected")

// serve handles a call from its arrival to its answer. fill sets the fields specific to the kind of call.
func (e *Entry) serve(c echo.Context, kind string, fill func(*sched.Request) *result.Error) error {
	e.active.Add(1)
	defer e.active.Add(-1)
	organisation, err := e.authenticate(c)
	if err != nil {
		return e.refuse(c, nil, err)
	}
	heldCallOf(c.Request().Context()).assign(requestID(c), organisation)
	if err := e.memory.admitsNew(organisation); err != nil {
		return e.refuse(c, nil, refusalWithoutRecord(c, err))
	}
	r, err := e.admit(c, organisation, kind)
	if err != nil {
		return e.refuse(c, nil, refusalWithoutRecord(c, err))
	}
	if err := fill(r); err != nil {
		e.releaseBody(r)
		return e.refuse(c, r, refusalWithoutRecord(c, err))
	}
	if r.Key != "" {
		return e.serveKeyed(c, r)
	}
	defer e.releaseBody(r)
	return e.serveOnce(c, r)
}

// serveOnce serves a call without a key.
func (e *Entry) serveOnce(c echo.Context, r *sched.Request) error {
	call, err := e.submit(c.Request().Context(), r, heldCallOf(c.Request().Context()), streamOrigin{})
	if err != nil {
		return e.refuse(c, r, err)
	}
	w := newReply(c, r)
	defer w.breakOffUnlessEnded()
	out, followErr := e.follow(c.Request().Context(), call, w, nil)
	if followErr != nil {
		call.written = w.written
		e.callerLeft(call)
		return nil
	}
	call.beginFinal(out)
	e.finish(w, r, out)
	return nil
}

// refuse replies with a refusal by the entry itself, before the scheduler received the request. r is nil if the request
// is not known yet.
func (e *Entry) refuse(c echo.Context, r *sched.Request, err *result.Error) error {
	var tier uint32
	if r != nil {
		tier = r.Class.GetTier()
	}
	e.meter.countRefusal(err.Code, tier)
	e.log.WithField("request", requestID(c)).
		WithField("code", uint16(err.Code)).
		WithField("ran", err.Ran.String()).
		WithError(err).
		Info("request_refused")
	e.replyError(c, err)
	return nil
}

// finish replies with the outcome and logs it.
func (e *Entry) finish(w *reply, r *sched.Request, out *outcome) {
	w.finish(out)
	e.logEnd(r, out, &w.written)
}

// logEnd logs how a request ended, and what its caller was sent.
func (e *Entry) logEnd(r *sched.Request, out *outcome, sent *written) {
	fields := e.log.WithField("request", r.ID).
		WithField("organisation", r.Organisation).
		WithField("class", r.Class.GetName()).
		WithField("prompt", r.PromptTokens).
		WithField("most_output", r.MaxTokens).
		WithField("ms", e.now().Sub(r.Arrived).Milliseconds()).
		WithField("body_ms", r.Read.Sub(r.Arrived).Milliseconds())
	e.meter.observeBody(r)
	fields = withTrace(fields, out.trace, e.settings.Admission.FleetDemand).
		WithFields(sent.fields()).
		WithFields(runFields(out.trace))
	if out.err != nil {
		fields.WithField("code", uint16(out.err.Code)).
			WithField("ran", out.err.Ran.String()).
			WithField("retry_after_ms", out.err.RetryAfter.Milliseconds()).
			WithField("bytes", out.size).
			WithError(out.err).
			Info("request_failed")
		return
	}
	e.meter.observeAnswer(out.trace, e.now().Sub(r.Arrived))
	fields.WithField("bytes", out.size).Info("request_answered")
	e.reached(phaseAnswered)
}

// callerLeft tells the scheduler that the caller has disconnected, so that no more work is spent on the request.
func (e *Entry) callerLeft(c *call) {
	e.log.WithField("request", c.request.ID).WithFields(c.written.fields()).Info("caller_left")
	_ = e.postEvent(e.runContext, sched.CallerLeft{Request: c.request.ID})
}

// follow receives what the scheduler delivers until the request ends, and writes the events of a stream to w. It
// returns errCallerLeft if ctx ends or w fails; the request then continues. If w is nil, the events are only collected;
// if collected is nil, a stream is not stored.
func (e *Entry) follow(ctx context.Context, call *call, w *reply, collected *collector) (*outcome, error) {
	if collected == nil {
		collected = newCollector(call.request, 0)
	}
	for {
		d, err := call.next(ctx)
		if err != nil {
			return nil, errCallerLeft
		}
		collected.add(d.events)
		if w != nil && call.request.Stream && w.writeEvents(d.events) != nil {
			return nil, errCallerLeft
		}
		e.consumed(call, d.events, collected)
		if !d.ended {
			continue
		}
		if d.err != nil {
			if call.cutError() != nil && call.request.Key != "" {
				return nil, errCallerLeft
			}
			if call.endedHere() {
				_ = e.postEvent(e.runContext, sched.CallerLeft{Request: call.request.ID})
			}
			return &outcome{err: d.err, attempts: d.attempts, trace: d.trace, size: collected.size}, nil
		}
		return e.assembled(call, collected.outcome(d.end), collected), nil
	}
}

// withTrace adds the trace of a request to the log line about its end, with excess if the entry has the fleet-wide view of demand.
func withTrace(fields *log.Entry, t sched.Trace, fleetDemand bool) *log.Entry {
	if t.UpperTokens > 0 {
		fields = fields.WithFields(log.Fields{
			"placement":    t.Placement,
			"expected":     t.ExpectedTokens,
			"upper":        t.UpperTokens,
			"run_ms":       t.ExpectedRunTime.Milliseconds(),
			"run_slack_ms": t.DeadlineSlack.Milliseconds(),
		})
	}
	fields = fields.WithFields(log.Fields{
		"tier":        t.Tier,
		"fingerprint": t.Fingerprint.String(),
		"server":      t.Server,
		"version":     t.Version,
		"attempts":    t.Attempts,
		"refusals":    t.Refusals,
		"broken_off":  t.BrokenOff,
		"sent_ms":     t.SentAfter.Milliseconds(),
		"first_ms":    t.FirstEventAfter.Milliseconds(),
		"pause_ms":    t.LongestPause.Milliseconds(),
		"due_ms":      t.DueAfter.Milliseconds(),
		"overdue":     t.Overdue,
		"ahead":       t.Ahead,
		"ready":       t.ReadyServers,
		"roomy":       t.ServersWithRoom,
		"room_age_ms": t.RoomAge.Milliseconds(),
		"pool_pace":   int(t.PoolDispatchRate),
		"forecast_ms": t.ForecastWait.Milliseconds(),
		"rank":        t.Rank,
		"held_ms":     t.HeldFor.Milliseconds(),
	})
	if fleetDemand {
		fields = fields.WithField("excess", t.Excess)
	}
	if t.ForecastView == "" {
		return fields
	}
	return fields.WithFields(log.Fields{
		"forecast_view":    t.ForecastView,
		"forecast_view_ms": t.ForecastViewAge.Milliseconds(),
	})
}
