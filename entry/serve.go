package entry

import (
	"context"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
)

// errCallerLeft says that nobody reads the answer any more.
var errCallerLeft = errors.New("entry: the caller left")

// serve takes a call from its arrival to its answer. Fill adds what the kind of call has of its own.
func (e *Entry) serve(c echo.Context, kind string, fill func(*sched.Request) *result.Error) error {
	e.active.Add(1)
	defer e.active.Add(-1)
	organisation, err := e.authenticate(c)
	if err != nil {
		return e.refuse(c, nil, err)
	}
	r, err := e.admit(c, organisation, kind)
	if err != nil {
		return e.refuse(c, nil, beforeRecord(c, err))
	}
	if err := fill(r); err != nil {
		e.release(r)
		return e.refuse(c, r, beforeRecord(c, err))
	}
	if r.Key != "" {
		return e.serveKeyed(c, r)
	}
	defer e.release(r)
	return e.serveOnce(c, r)
}

// serveOnce serves a call without a key.
func (e *Entry) serveOnce(c echo.Context, r *sched.Request) error {
	call, err := e.arrive(r)
	if err != nil {
		return e.refuse(c, r, err)
	}
	w := newReply(c, r)
	out, left := e.follow(c.Request().Context(), call, w, nil)
	if left != nil {
		e.callerLeft(r)
		return nil
	}
	e.finish(w, r, out)
	return nil
}

// refuse replies with a refusal of the entry itself, before the scheduler heard of the request.
func (e *Entry) refuse(c echo.Context, r *sched.Request, err *result.Error) error {
	var tier uint32
	if r != nil {
		tier = r.Class.GetTier()
	}
	e.meter.refused(err.Code, tier)
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
	e.logEnd(r, out)
}

func (e *Entry) logEnd(r *sched.Request, out *outcome) {
	fields := e.log.WithField("request", r.ID).
		WithField("organisation", r.Organisation).
		WithField("class", r.Class.GetName()).
		WithField("prompt", r.PromptTokens).
		WithField("most_output", r.MaxTokens).
		WithField("ms", e.now().Sub(r.Arrived).Milliseconds())
	fields = withTrace(fields, out.trace)
	if out.err != nil {
		fields.WithField("code", uint16(out.err.Code)).
			WithField("ran", out.err.Ran.String()).
			WithField("retry_after_ms", out.err.RetryAfter.Milliseconds()).
			WithError(out.err).
			Info("request_failed")
		return
	}
	e.meter.ended(out.trace, e.now().Sub(r.Arrived))
	fields.WithField("bytes", out.size).Info("request_answered")
}

// callerLeft tells the scheduler, so that no more is spent on the request.
func (e *Entry) callerLeft(r *sched.Request) {
	e.log.WithField("request", r.ID).Info("caller_left")
	_ = e.tell(e.base, sched.CallerLeft{Request: r.ID})
}

// follow takes what the scheduler delivers until the request ends, and passes the events of a stream to w. The error is
// errCallerLeft when ctx ends or w fails; the request goes on then. A nil w only collects.
func (e *Entry) follow(ctx context.Context, call *call, w *reply, kept *collector) (*outcome, error) {
	if kept == nil {
		kept = newCollector(call.request, 0)
	}
	for {
		d, err := call.next(ctx)
		if err != nil {
			return nil, errCallerLeft
		}
		kept.add(d.events)
		if w != nil && call.request.Stream && w.events(d.events) != nil {
			return nil, errCallerLeft
		}
		if !d.ended {
			continue
		}
		if d.err != nil {
			if call.overflowed() {
				_ = e.tell(e.base, sched.CallerLeft{Request: call.request.ID})
			}
			return &outcome{err: d.err, fate: d.fate, trace: d.trace}, nil
		}
		return kept.outcome(d.end), nil
	}
}

// withTrace adds what a request went through to the line about its end.
func withTrace(fields *log.Entry, t sched.Trace) *log.Entry {
	return fields.WithFields(log.Fields{
		"tier":        t.Tier,
		"fingerprint": t.Fingerprint.String(),
		"server":      t.Server,
		"attempts":    t.Attempts,
		"refusals":    t.Refusals,
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
	})
}
