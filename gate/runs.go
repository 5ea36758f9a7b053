package gate

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Bounds of repeated cancels.
const (
	firstBackoff  = 50 * time.Millisecond
	maxBackoff    = 5 * time.Second
	answerTimeout = 10 * time.Second // an unanswered cancel is repeated after this time
)

// inFlight counts the attempts that a drain has to wait for. An attempt whose connection is lost, at a server that
// can't be queried about it, could never be proved over, and its answer can't be delivered. It is therefore not
// counted once its room is released. Suspended runs hold no slot and are counted.
func (g *Gate) inFlight() int {
	n := len(g.suspended)
	for _, a := range g.runs {
		if a.run.holdsRoom || !a.cancel.unsupported {
			n++
		}
	}
	return n
}

// find returns the attempt that an engine event refers to, or nil. The attempt may be over.
func (g *Gate) find(id *wire.AttemptID) *attempt {
	r := g.records.get(id.GetRequest())
	if r == nil {
		return nil
	}
	return r.find(id.GetNumber())
}

// startEngine starts the run of an attempt. No other function does so; resumeEngine continues one.
func (g *Gate) startEngine(a *attempt) {
	a.run.started = g.now
	a.run.callOpen = true
	g.usePermit(a)
	a.run.prefillAtStart = g.usage.prefillTokens
	a.run.concurrency = g.usedSlots()
	a.frames.begin(a.dispatch)
	g.runs = append(g.runs, a)
	if a.dispatch.GetOperation() != "" || a.dispatch.GetIdempotencyKey() != "" {
		g.history.add(a.record.request, g.now)
	}
	g.emit(StartEngine{Dispatch: a.dispatch})
	g.send(a.owner.id, &wire.AgentMessage{Kind: &wire.AgentMessage_Started{
		Started: &wire.Started{Attempt: a.id(), Server: a.server},
	}})
}

func (g *Gate) engineProgress(e EngineProgress) {
	a := g.find(e.Attempt)
	if a == nil {
		g.chartError("progress of an unknown attempt")
		return
	}
	if !a.run.callOpen {
		g.chartError("progress after the end of the run")
		return
	}
	tokens := e.tokenCount()
	if a.state != tombstoned {
		g.observeProgress(a, tokens)
	}
	if len(e.Events) > 0 {
		a.recordEvents(g.now)
	}
	g.fire(a, onProgress, eventDetails{events: e.Events, eventTokens: e.Tokens, tokens: tokens})
}

func (g *Gate) readerWaits(e ReaderWaits) {
	if a := g.find(e.Attempt); a != nil {
		a.run.readerWaited = true
	}
}

// tokenCount returns the number of tokens that arrived. An engine that doesn't report counts sends one token in
// each event. An engine that reports none has sent the opening of an answer, which precedes the computation of its
// prompt.
//
// If the opening counted as the first token, the prefill would seem finished at once: the learnt prefill rate would
// be millions of tokens a second, long prompts would pile up in the engine, and servers would look slow by that
// rate.
func (e EngineProgress) tokenCount() uint32 {
	if len(e.Tokens) == 0 {
		return uint32(len(e.Events))
	}
	var total uint32
	for _, tokens := range e.Tokens {
		total += tokens
	}
	return total
}

func (g *Gate) engineEnded(e EngineEnded) {
	a := g.find(e.Attempt)
	if a == nil {
		g.chartError("end of an unknown attempt")
		return
	}
	if !a.run.callOpen {
		g.chartError("second end of a run")
		return
	}
	a.run.callOpen = false
	a.body = e.Outcome.Body
	if g.endedBySuspension(a, e) {
		return
	}
	wasCancelled := a.cancel.cause != ""
	if !wasCancelled {
		a.cancel.cause = endCause(e)
		if e.Outcome.Body.Outcome == framing.BrokenOff {
			a.brokenOff = e.Outcome.Body.Cause
		}
	}
	if !wasCancelled && errors.Is(e.Err, engine.ErrOutcomeUnknown) {
		g.recordBroken(a)
	}
	unreachable := errors.Is(e.Err, engine.ErrUnreachable)
	if unreachable {
		g.markUnreachable()
	}
	g.fire(a, endEvent(a, e), eventDetails{end: &e, cause: a.cancel.cause, refusal: refusal{
		code:       refuseNoOffer.code,
		message:    "the call never left the agent",
		retryAfter: retrySoon,
	}, unsent: unreachable})
}

// endCause returns the cause of waste for a run that ended without a complete answer.
func endCause(e EngineEnded) string {
	if e.Err != nil || e.Outcome.End == engine.EndUnknown {
		return CauseEngineLost
	}
	if e.Outcome.End == engine.EndFailed {
		return CauseEngineFailed
	}
	return CauseCancelled
}

// endEvent determines what the end of a run proves. Only the engine's own statement, or that no byte was sent,
// proves an end: after a lost connection the engine may go on, and assuming an end would start the request on
// another server as well.
func endEvent(a *attempt, e EngineEnded) attemptEvent {
	if e.Err != nil {
		sent := a.frames.count > 0 || errors.Is(e.Err, engine.ErrOutcomeUnknown) || errors.Is(e.Err, engine.ErrDuplicate)
		if errors.Is(e.Err, engine.ErrNeverSent) && !sent {
			return onNeverSent
		}
		return onEngineGone
	}
	switch e.Outcome.End {
	case engine.EndCompleted:
		return onFinish
	case engine.EndFailed:
		return onEngineFailed
	case engine.EndCancelled:
		return onEngineCancelled
	default:
		return onEngineGone
	}
}

func (g *Gate) engineCancelled(e EngineCancelled) {
	if g.clearing.handleCancelAnswer(g, e) {
		return
	}
	a := g.find(e.Attempt)
	if a == nil {
		g.chartError("cancel answer for an unknown attempt")
		return
	}
	a.cancel.unanswered--
	if e.Try == a.cancel.try {
		a.cancel.pending = false
	}
	a.cancel.unsupported = errors.Is(e.Err, engine.ErrUnsupported)
	engineKnew := e.Err == nil && e.Result == engine.CancelConfirmed
	unknown := e.Err == nil && e.Result == engine.CancelUnknownID
	if !engineKnew && !unknown {
		g.fire(a, onNoAnswer, eventDetails{})
		return
	}
	after := a.cancel.firstTryAfterRun != 0 && e.Try >= a.cancel.firstTryAfterRun
	g.fire(a, onConfirm, eventDetails{engineKnew: engineKnew, askedAfterRun: unknown && after, cause: a.cancel.cause})
}

// beginCancel records why the cancellation is requested, and asks the engine to cancel.
func (g *Gate) beginCancel(a *attempt, o *eventDetails) {
	if a.cancel.cause == "" {
		a.cancel.cause = o.cause
	}
	if a.cancel.requestedAt.IsZero() {
		a.cancel.requestedAt = g.now
	}
	a.addInquirer(o.inquirer)
	if a.cancel.unprovenSince.IsZero() && !a.run.callOpen {
		a.cancel.unprovenSince = g.now
	}
	if a.cancel.pending && (a.run.callOpen || a.cancel.firstTryAfterRun != 0) {
		return
	}
	g.issueCancel(a)
}

// issueCancel asks the engine to end an attempt. The Try shows whether the run had ended before: only then does an
// unknown id prove that the attempt isn't running and won't start.
func (g *Gate) issueCancel(a *attempt) {
	a.cancel.try++
	a.cancel.unanswered++
	if !a.run.callOpen && a.cancel.firstTryAfterRun == 0 {
		a.cancel.firstTryAfterRun = a.cancel.try
	}
	a.cancel.pending = true
	a.cancel.issuedAt = g.now
	g.emit(CancelEngine{Attempt: a.id(), Stream: a.engineID(), Try: a.cancel.try})
}

// backOff schedules the next try.
func (g *Gate) backOff(a *attempt) {
	a.cancel.backoff = min(max(2*a.cancel.backoff, firstBackoff), maxBackoff)
	a.cancel.nextTryAt = g.now.Add(a.cancel.backoff)
}

// retryCancels repeats the cancels of all attempts whose end isn't proved.
func (g *Gate) retryCancels() {
	for _, a := range g.runs {
		if a.state != cancelling {
			continue
		}
		if g.cancelDue(a) {
			g.issueCancel(a)
		}
		if g.unprovenHoldElapsed(a) {
			g.releaseSlot(a)
		}
	}
}

func (g *Gate) cancelDue(a *attempt) bool {
	if a.cancel.pending {
		return g.now.Sub(a.cancel.issuedAt) >= answerTimeout
	}
	return !g.now.Before(a.cancel.nextTryAt)
}

func (g *Gate) unprovenHoldElapsed(a *attempt) bool {
	since := a.cancel.unprovenSince
	return a.run.holdsRoom && !since.IsZero() && g.now.Sub(since) >= g.config.UnprovenHold
}
