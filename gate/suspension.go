package gate

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Bounds of the calls that suspend and resume a run.
const (
	// maxSuspendTries and suspendAskTime bound how often and how long the engine is asked again after lost answers.
	maxSuspendTries = 3
	suspendAskTime  = time.Second
	// suspendRetryDelay is the time until the engine is asked again, and until a resume that was not sent is
	// repeated.
	suspendRetryDelay = 50 * time.Millisecond
	// suspendAnswerTimeout is how long an answer is awaited before the run counts as not suspended.
	suspendAnswerTimeout = 2 * time.Second
	// refusedRunPause is how long a run is left alone after the engine did not suspend it.
	refusedRunPause = time.Second
	// noRoomPause is how long nothing is suspended after no target had room. That is answered after a millisecond, and
	// under load a slot at another server is free for a few milliseconds only.
	noRoomPause = 10 * time.Millisecond
	// failedPause is how long nothing is suspended after another failure. An unreachable target is answered only after
	// 300 ms.
	failedPause = time.Second
	// maxResumeTries is how often a resume that was not sent is repeated before the run counts as lost.
	maxResumeTries = 3
)

// Constants of the learnt duration of a suspension.
const (
	initialSuspensionCost = 10 * time.Millisecond
	suspensionCostGain    = 0.1
)

// Outcomes of suspensions, the labels of Suspensions.
const (
	SuspensionConfirmed = "confirmed"
	SuspensionNoRoom    = "no_room"
	SuspensionEnded     = "ended"
	SuspensionBusy      = "busy"
	SuspensionUnknown   = "unknown"
	SuspensionFailed    = "failed"
)

// Reasons of resumes and their failures, the labels of Resumes.
const (
	ResumeFreeSlot = "free_slot"
	ResumeDue      = "due"
	ResumeLeaving  = "leaving"
	ResumeUnsent   = "unsent"
	ResumeLost     = "lost"
)

// suspensionState tracks the suspensions of one attempt.
type suspensionState struct {
	count        int                // confirmed suspensions
	try          uint32             // Try of the last SuspendEngine
	closedTry    uint32             // answers up to this Try tell nothing new, unless they name another handle
	tries        int                // SuspendEngines of the present suspension
	unanswered   int                // number of SuspendEngines without an answer
	askedAt      time.Time          // first try of the present suspension
	askedFor     *wire.AttemptID    // attempt that the slot of the present suspension is for
	nextTryAt    time.Time          // when the next try is due, zero for none
	held         *engine.Suspension // memory that the engine keeps, nil for none
	resumed      *engine.Suspension // used by a resume of which no event has arrived, nil for none
	lastHandle   string             // of the last confirmed suspension
	stoppedAt    time.Time          // when the last suspension was confirmed
	resumedAt    time.Time
	resumeReason string
	resumeTries  int       // resumes of the present suspension that were not sent
	notBefore    time.Time // the run isn't suspended, or resumed again, before this time
	lastEventAt  time.Time // when the last event arrived
	paused       bool      // a pause exceeded Work.pause_ms
}

// suspensionControl holds the state of the suspension decision.
type suspensionControl struct {
	targets   []string // last reported addresses of other servers
	targetsAt time.Time
	nextCheck time.Time
	// nextResume is when it is next looked at which runs have to resume although no slot is free.
	nextResume time.Time
	notBefore  time.Time     // nothing is suspended before this time
	cost       time.Duration // time from a SuspendEngine to its confirmation, smoothed
}

func newSuspensionControl() suspensionControl { return suspensionControl{cost: initialSuspensionCost} }

func (c *suspensionControl) observeCost(took time.Duration) {
	c.cost += time.Duration(suspensionCostGain * float64(took-c.cost))
}

// askToSuspend begins a suspension.
func (g *Gate) askToSuspend(a *attempt) {
	a.suspension.tries = 0
	a.suspension.askedAt = g.now
	g.issueSuspend(a)
}

func (g *Gate) issueSuspend(a *attempt) {
	s := &a.suspension
	s.try++
	s.tries++
	s.unanswered++
	s.nextTryAt = time.Time{}
	g.emit(SuspendEngine{
		Attempt: a.id(), Stream: a.engineID(), Targets: slices.Clone(g.suspension.targets), Try: s.try,
		For: s.askedFor, Remaining: g.remainingTime(a),
	})
}

// engineSuspended processes the answer to a SuspendEngine.
func (g *Gate) engineSuspended(e EngineSuspended) {
	a := g.find(e.Attempt)
	if a == nil || a.suspension.unanswered == 0 {
		g.chartError("answer without a suspension")
		return
	}
	s := &a.suspension
	s.unanswered--
	switch {
	case e.Err == nil && e.Suspension.Handle != s.lastHandle:
		// Possibly the call was delayed and has stopped the run after it was resumed.
		g.confirmSuspension(a, e.Suspension)
	case e.Try <= s.closedTry:
	case a.state != suspending:
		g.fire(a, onSuspensionRefused, eventDetails{})
	case errors.Is(e.Err, engine.ErrUnknownStream):
		g.unknownToEngine(a)
	case g.asksAgain(a, e.Err):
		s.nextTryAt = g.now.Add(suspendRetryDelay)
	default:
		g.refuseSuspension(a, e.Err)
	}
}

// asksAgain reports whether the answer leaves open whether the run was stopped, so that the engine is asked again.
// The engine is busy with a try whose answer was lost if it has been asked before.
func (g *Gate) asksAgain(a *attempt, err error) bool {
	s := &a.suspension
	open := errors.Is(err, engine.ErrOutcomeUnknown) || errors.Is(err, engine.ErrBusy) && s.tries > 1
	return open && s.tries < maxSuspendTries && g.now.Sub(s.askedAt) < suspendAskTime
}

// unknownToEngine handles the engine's statement that it doesn't have the run. While the call is open, its end tells
// how the run ended. If the call broke off, the statement proves that the run is over, since the engine had it.
func (g *Gate) unknownToEngine(a *attempt) {
	if a.run.callOpen {
		g.refuseSuspension(a, engine.ErrUnknownStream)
		return
	}
	g.countSuspension(a, SuspensionEnded)
	g.fire(a, onSuspensionLost, eventDetails{cause: CauseEngineLost})
}

// refuseSuspension gives up a suspension that the engine didn't confirm.
func (g *Gate) refuseSuspension(a *attempt, err error) {
	outcome := suspensionOutcome(err)
	g.countSuspension(a, outcome)
	a.suspension.notBefore = g.now.Add(refusedRunPause)
	switch outcome {
	case SuspensionNoRoom:
		g.suspension.notBefore = g.now.Add(noRoomPause)
		a.suspension.notBefore = g.suspension.notBefore
	case SuspensionFailed, SuspensionUnknown:
		g.suspension.notBefore = g.now.Add(failedPause)
	}
	a.suspension.nextTryAt = time.Time{}
	g.fire(a, onSuspensionRefused, eventDetails{cause: CauseEngineLost})
}

func suspensionOutcome(err error) string {
	switch {
	case errors.Is(err, engine.ErrNoRoom):
		return SuspensionNoRoom
	case errors.Is(err, engine.ErrUnknownStream):
		return SuspensionEnded
	case errors.Is(err, engine.ErrBusy):
		return SuspensionBusy
	case errors.Is(err, engine.ErrOutcomeUnknown):
		return SuspensionUnknown
	default:
		return SuspensionFailed
	}
}

func (g *Gate) countSuspension(a *attempt, outcome string) {
	g.emit(Count{Counter: Suspensions, Tier: a.tier(), Label: outcome, Add: 1})
}

// confirmSuspension processes the engine's statement that it has stopped a run. Both the answer to a SuspendEngine
// and the end of the call make it, in either order.
func (g *Gate) confirmSuspension(a *attempt, held engine.Suspension) {
	s := &a.suspension
	if held.Handle != s.lastHandle {
		s.lastHandle = held.Handle
		s.held = &held
		s.resumed = nil
		s.count++
		s.stoppedAt = g.now
		s.resumeTries = 0
		s.notBefore = time.Time{}
		if s.try > s.closedTry {
			g.suspension.observeCost(g.now.Sub(s.askedAt))
		}
		g.countSuspension(a, SuspensionConfirmed)
	}
	s.closedTry = s.try
	s.nextTryAt = time.Time{}
	g.fire(a, onSuspensionConfirmed, eventDetails{cause: CauseCancelled})
}

// endedBySuspension handles the end of a call that a suspension or a failed resume explains, and reports whether it
// was one.
func (g *Gate) endedBySuspension(a *attempt, e EngineEnded) bool {
	stopped := e.Err == nil && e.Outcome.End == engine.EndSuspended
	unproven := e.Err != nil || stopped || e.Outcome.End == engine.EndUnknown
	switch {
	case stopped && e.Outcome.Suspension.Handle != "":
		g.confirmSuspension(a, e.Outcome.Suspension)
	case a.suspension.resumed != nil && neverSent(e.Err):
		g.resumeFailed(a, e.Err)
	case a.state == suspending && unproven:
		if errors.Is(e.Err, engine.ErrOutcomeUnknown) {
			g.recordBroken(a)
		}
		g.fire(a, onEngineGone, eventDetails{})
	case a.state == suspended && unproven:
		g.fire(a, onEngineGone, eventDetails{})
	default:
		return false
	}
	return true
}

func neverSent(err error) bool {
	return errors.Is(err, engine.ErrNeverSent) && !errors.Is(err, engine.ErrOutcomeUnknown) && !errors.Is(err, engine.ErrDuplicate)
}

// resumeFailed handles a resume that the engine did not begin. An engine that doesn't hold the run any more has
// ended it. Otherwise the engine still holds it, and the resume is repeated.
func (g *Gate) resumeFailed(a *attempt, err error) {
	s := &a.suspension
	if errors.Is(err, engine.ErrUnknownStream) {
		s.resumed = nil
		g.countResume(a, ResumeLost)
		g.fire(a, onSuspensionLost, eventDetails{cause: CauseEngineLost})
		return
	}
	if errors.Is(err, engine.ErrUnreachable) {
		g.markUnreachable()
	}
	s.held, s.resumed = s.resumed, nil
	s.resumeTries++
	s.notBefore = g.now.Add(suspendRetryDelay)
	g.countResume(a, ResumeUnsent)
	g.fire(a, onResumeUnsent, eventDetails{cause: CauseEngineLost})
}

func (g *Gate) countResume(a *attempt, label string) {
	g.emit(Count{Counter: Resumes, Tier: a.tier(), Label: label, Add: 1})
}

// releaseSuspended takes a stopped run from its slot. Its memory and the charge of its organisation stay.
func (g *Gate) releaseSuspended(a *attempt) {
	isA := func(other *attempt) bool { return other == a }
	g.runs = slices.DeleteFunc(g.runs, isA)
	g.held = slices.DeleteFunc(g.held, isA)
	a.run.holdsRoom = false
	g.endPrefill(a)
	g.suspended = append(g.suspended, a)
	g.room.dirty = true
}

// resumeEngine continues a suspended run in a slot.
func (g *Gate) resumeEngine(a *attempt) {
	s := &a.suspension
	g.removeSuspended(a)
	a.run.holdsRoom = true
	a.run.callOpen = true
	g.held = append(g.held, a)
	g.runs = append(g.runs, a)
	g.takePermit(a)
	g.usePermit(a)
	s.resumed, s.held = s.held, nil
	s.resumedAt = g.now
	s.notBefore = g.now.Add(minRunAfterResume)
	g.room.dirty = true
	resume := *s.resumed
	g.emit(StartEngine{Dispatch: a.dispatch, Resume: &resume, Reason: s.resumeReason, Suspended: g.now.Sub(s.stoppedAt)})
}

// removeSuspended removes an attempt from the suspended ones and reports whether it was one.
func (g *Gate) removeSuspended(a *attempt) bool {
	at := slices.Index(g.suspended, a)
	if at < 0 {
		return false
	}
	g.suspended = slices.Delete(g.suspended, at, at+1)
	return true
}

// discardSuspended frees the memory of a run that won't be resumed.
func (g *Gate) discardSuspended(a *attempt, o *eventDetails) {
	if a.cancel.cause == "" {
		a.cancel.cause = o.cause
	}
	if a.suspension.held == nil {
		return
	}
	g.emit(DiscardSuspended{Attempt: a.id(), Suspension: *a.suspension.held})
	a.suspension.held = nil
}

// retrySuspensions asks again where an answer was lost, and gives up suspensions that nobody answers.
func (g *Gate) retrySuspensions() {
	for _, a := range slices.Clone(g.runs) {
		s := &a.suspension
		switch {
		case a.state != suspending:
		case !s.nextTryAt.IsZero() && !g.now.Before(s.nextTryAt):
			g.issueSuspend(a)
		case g.now.Sub(s.askedAt) >= suspendAnswerTimeout:
			g.refuseSuspension(a, engine.ErrOutcomeUnknown)
		}
	}
}

// recordEvents records that events of a run arrived. It is called after the pace was observed, which skips the first
// events after a resume.
func (a *attempt) recordEvents(now time.Time) {
	s := &a.suspension
	pause := time.Duration(a.work.GetPauseMs()) * time.Millisecond
	if pause > 0 && !s.lastEventAt.IsZero() && now.Sub(s.lastEventAt) > pause {
		s.paused = true
	}
	s.lastEventAt = now
	s.resumed = nil
}
