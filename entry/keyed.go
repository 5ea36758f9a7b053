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
	inflight, acquired := e.inflight.acquire(r.ID, digestOf(r))
	if !acquired {
		defer e.releaseBody(r)
		return e.waitForInflight(c, r, inflight)
	}
	op := &operation{entry: e, inflight: inflight, request: r}
	w := newReply(c, r)
	defer w.breakOffUnlessEnded()
	out := op.open(c.Request().Context())
	if out != nil {
		op.finish()
		e.replay(w, r, out)
		return nil
	}
	return e.runKeyed(c, op, w)
}

// waitForInflight answers a call whose key another call of this entry is working on.
func (e *Entry) waitForInflight(c echo.Context, r *sched.Request, key *inflightKey) error {
	if key.digest != digestOf(r) {
		return e.refuse(c, r, result.New(result.KeyReusedWithOtherBody, ""))
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), r.Deadline)
	defer cancel()
	w := newReply(c, r)
	defer w.breakOffUnlessEnded()
	out, err := key.wait(ctx)
	switch {
	case err == nil:
		e.replay(w, r, out)
	case c.Request().Context().Err() == nil:
		e.replay(w, r, operationInProgress())
	}
	return nil
}

// operationInProgress returns the outcome for a call when the work on its key has not ended by the deadline.
func operationInProgress() *outcome {
	return &outcome{err: result.New(result.OutcomeUnknown, "an earlier call with this key is still at work").
		WithRetryAfter(controlRetryAfter)}
}

// runKeyed runs a request whose record has begun, and closes the record before it answers. If the caller disconnects,
// this continues in the background.
func (e *Entry) runKeyed(c echo.Context, op *operation, w *reply) error {
	r := op.request
	call, err := e.submit(c.Request().Context(), r, heldCallOf(c.Request().Context()), streamOrigin{})
	if err != nil {
		out := op.refuse(c.Request().Context(), err)
		op.finish()
		e.replay(w, r, out)
		return nil
	}
	collected := newCollector(r, state.DefaultLimits.AnswerBytes)
	out, followErr := e.follow(c.Request().Context(), call, w, collected)
	if followErr != nil {
		call.written = w.written
		e.callerLeft(call)
		held := e.detach(call, collected.counted)
		e.background.Go(func() {
			defer held.close()
			op.finishDetached(call, collected)
		})
		return nil
	}
	out = op.close(c.Request().Context(), out)
	op.finish()
	call.beginFinal(out)
	e.finish(w, r, out)
	return nil
}

// finishDetached follows a request whose caller has disconnected until its record is closed.
func (op *operation) finishDetached(call *call, collected *collector) {
	defer op.finish()
	out, err := op.entry.follow(op.entry.runContext, call, nil, collected)
	if err != nil {
		return
	}
	op.close(op.entry.runContext, out)
}

// replay sends an outcome of which nothing has been sent yet.
func (e *Entry) replay(w *reply, r *sched.Request, out *outcome) {
	if out.err == nil && out.bodyDropped {
		out = &outcome{err: result.New(result.AnswerTooLarge, "the operation ran; its answer was too large to be kept").
			WithRan(result.RanYes)}
	}
	if out.err != nil {
		e.meter.countRefusal(out.err.Code, r.Class.GetTier())
	}
	w.replay(out)
	e.logEnd(r, out, &w.written)
}

// commitDeadline returns the time until which an answer waits for its commit.
func commitDeadline(r *sched.Request, now time.Time) time.Time {
	if earliest := now.Add(minCommitWait); r.Deadline.Before(earliest) {
		return earliest
	}
	return r.Deadline
}
