package entry

import (
	"context"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/state"
)

// serveKeyed serves a call with an Idempotency-Key.
func (e *Entry) serveKeyed(c echo.Context, r *sched.Request) error {
	r.ID = keyedID(r.Organisation, r.Key)
	c.Response().Header().Set(headerRequestID, r.ID)
	fl, mine := e.flights.join(r.ID, digestOf(r))
	if !mine {
		defer e.release(r)
		return e.waitForFlight(c, r, fl)
	}
	op := &operation{entry: e, flight: fl, request: r}
	w := newReply(c, r)
	out := op.open(c.Request().Context())
	if out != nil {
		op.end()
		e.replay(w, r, out)
		return nil
	}
	return e.runKeyed(c, op, w)
}

// waitForFlight answers a call whose key another call of this entry works on.
func (e *Entry) waitForFlight(c echo.Context, r *sched.Request, fl *flight) error {
	if fl.digest != digestOf(r) {
		return e.refuse(c, r, result.New(result.KeyReusedWithOtherBody, ""))
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), r.Deadline)
	defer cancel()
	out, err := fl.wait(ctx)
	switch {
	case err == nil:
		e.replay(newReply(c, r), r, out)
	case c.Request().Context().Err() == nil:
		e.replay(newReply(c, r), r, stillOpen())
	}
	return nil
}

// stillOpen is the outcome for a call whose key's work didn't end before the deadline.
func stillOpen() *outcome {
	return &outcome{err: result.New(result.OutcomeUnknown, "an earlier call with this key is still at work").
		WithRetryAfter(controlRetryAfter)}
}

// runKeyed runs a request whose record is begun, and closes the record before it answers. If the caller leaves, that
// goes on without it.
func (e *Entry) runKeyed(c echo.Context, op *operation, w *reply) error {
	r := op.request
	call, err := e.arrive(r)
	if err != nil {
		out := op.refuse(c.Request().Context(), err)
		op.end()
		e.replay(w, r, out)
		return nil
	}
	kept := newCollector(r, state.DefaultLimits.AnswerBytes)
	out, left := e.follow(c.Request().Context(), call, w, kept)
	if left != nil {
		e.callerLeft(r)
		e.background.Go(func() { op.goOn(call, kept) })
		return nil
	}
	out = op.close(c.Request().Context(), out)
	op.end()
	e.finish(w, r, out)
	return nil
}

// goOn follows a request whose caller left until its record is closed.
func (op *operation) goOn(call *call, kept *collector) {
	defer op.end()
	out, err := op.entry.follow(op.entry.base, call, nil, kept)
	if err != nil {
		return
	}
	op.close(op.entry.base, out)
}

// replay answers with an outcome of which nothing was sent yet.
func (e *Entry) replay(w *reply, r *sched.Request, out *outcome) {
	if out.err == nil && out.dropped {
		out = &outcome{err: result.New(result.AnswerTooLarge, "the operation ran; its answer was too large to be kept").
			WithRan(result.RanYes)}
	}
	if out.err != nil {
		e.meter.refused(out.err.Code, r.Class.GetTier())
	}
	w.replay(out)
	e.logEnd(r, out)
}

// closeBy is until when an answer waits for its commit.
func closeBy(r *sched.Request, now time.Time) time.Time {
	if least := now.Add(commitGrace); r.Deadline.Before(least) {
		return least
	}
	return r.Deadline
}
