package gate

import (
	"slices"
	"time"
)

// Constants of when a suspended run resumes.
const (
	// minRunAfterResume is how long a resumed run keeps its slot, so that two runs do not alternate.
	minRunAfterResume = 250 * time.Millisecond
	// abandonMarginDivisor and minResumeMargin set the margin before the caller leaves and before the memory of the
	// run expires. The engine admits a resumed run first, but it may have to wait there until a slot is free, and the
	// caller's silence ends only with the next event.
	abandonMarginDivisor = 4
	minResumeMargin      = 200 * time.Millisecond
	// lastMarginShare is the part of the margin that is left when a run resumes although another one exceeds the slots
	// already.
	lastMarginShare = 2
	// defaultSuspendedValidity is how long a server is assumed to keep a stopped run if its record doesn't say.
	defaultSuspendedValidity = time.Second
	// deadlineMargin is what a resume and the messages of the answer take, with the interval of the decisions.
	deadlineMargin = 50 * time.Millisecond
	// resumeSlackFactor is how many times its predicted wait an attempt of a higher rank must have left, so that a
	// run resumes before it. A run is suspended at a factor of one: the difference keeps runs from being suspended
	// for an attempt that they were resumed before.
	resumeSlackFactor = 2
)

// resumeRuns resumes the suspended runs that may, or have to, go on.
func (g *Gate) resumeRuns() {
	if len(g.suspended) == 0 {
		return
	}
	full := g.server.state == serverReady && len(g.held) >= g.limit.slots()
	if full && g.now.Before(g.suspension.nextResume) {
		return
	}
	g.suspension.nextResume = g.now.Add(suspensionInterval)
	runs := slices.Clone(g.suspended)
	slices.SortStableFunc(runs, g.compareResume)
	for _, a := range runs {
		g.resumeIfDue(a)
	}
}

// compareResume orders suspended runs: by rank, then by the latest time of their resume.
func (g *Gate) compareResume(a, b *attempt) int {
	switch {
	case higherRank(a.work, b.work):
		return -1
	case higherRank(b.work, a.work):
		return 1
	default:
		return g.resumeBy(a).Compare(g.resumeBy(b))
	}
}

func (g *Gate) resumeIfDue(a *attempt) {
	switch {
	case !a.owner.leaseValid():
		// The lease ran out while the suspension was in progress.
		g.fire(a, onExpire, eventDetails{cause: CauseLeaseExpired})
		return
	case g.server.state == serverGone, a.suspension.resumeTries >= maxResumeTries:
		g.countResume(a, ResumeLost)
		g.fire(a, onSuspensionLost, eventDetails{cause: CauseEngineLost})
		return
	case a.run.callOpen, g.now.Before(a.suspension.notBefore):
		return
	}
	reason := g.resumeReason(a)
	if reason == "" {
		return
	}
	a.suspension.resumeReason = reason
	g.countResume(a, reason)
	g.fire(a, onResume, eventDetails{})
}

// resumeReason returns why a suspended run resumes now, empty if it doesn't.
func (g *Gate) resumeReason(a *attempt) string {
	if g.server.state != serverReady {
		return ResumeLeaving
	}
	if g.mustResume(a) {
		return ResumeDue
	}
	slots := g.limit.slots()
	if a.tier() > firstTier {
		slots -= g.headroom.slots()
	}
	if len(g.held) < slots && g.throttleBlock() == notBlocked && !g.exclusiveRunHeld() && !g.yieldsSlot(a) {
		return ResumeFreeSlot
	}
	return ""
}

// mustResume reports whether the run's time has come. Resumed runs exceed the slots by one: the server admits it before
// all others once a slot is free, and the next one follows then. A run begins earlier by the time that those before it
// take. Only a run that would be lost otherwise exceeds the slots further.
func (g *Gate) mustResume(a *attempt) bool {
	if !g.now.Before(g.resumeLimit(a, lastMarginShare)) {
		return true
	}
	if len(g.held) > g.limit.slots() {
		return false
	}
	by := g.resumeBy(a)
	earlier := 0
	for _, other := range g.suspended {
		if other != a && g.resumeBy(other).Before(by) {
			earlier++
		}
	}
	slots := g.slotTimes()
	return !g.now.Add(slots.waitOrZero(earlier)).Before(by)
}

// resumeBy returns the latest time at which a run, suspended or not, has to go on: before its caller leaves, before
// the engine drops its memory, and early enough to end before its deadline. It is the zero time for a run that no
// event was sent of.
func (g *Gate) resumeBy(a *attempt) time.Time { return g.resumeLimit(a, 1) }

// resumeLimit returns the time of resumeBy with a part of its margin.
func (g *Gate) resumeLimit(a *attempt, marginShare time.Duration) time.Time {
	s := &a.suspension
	if s.lastEventAt.IsZero() {
		return time.Time{}
	}
	abandon := time.Duration(a.work.GetAbandonMs()) * time.Millisecond
	by := s.lastEventAt.Add(abandon - resumeMargin(abandon)/marginShare)
	stopped := g.now
	if s.held != nil {
		stopped = s.stoppedAt
	}
	validity := g.suspendedValidity()
	if expires := stopped.Add(validity - resumeMargin(validity)/marginShare); expires.Before(by) {
		by = expires
	}
	if a.deadline.IsZero() {
		return by
	}
	if start := a.deadline.Add(-g.upperRemainingTime(a) - deadlineMargin); start.Before(by) {
		by = start
	}
	return by
}

// resumeMargin returns the margin before a limit.
func resumeMargin(limit time.Duration) time.Duration {
	return max(limit/abandonMarginDivisor, minResumeMargin)
}

// suspendedValidity returns how long the server keeps a stopped run.
func (g *Gate) suspendedValidity() time.Duration {
	if ms := g.server.record.GetSuspendedMs(); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultSuspendedValidity
}

// yieldsSlot reports whether an attempt of a higher rank that may still be on time would miss its objective if the
// run took the next free slot.
func (g *Gate) yieldsSlot(run *attempt) bool {
	ahead := g.waitingAbove(run)
	if len(ahead) == 0 {
		return false
	}
	slots := g.slotTimes()
	for i, a := range ahead {
		wait, known := slots.wait(1 + g.expectedRank(i))
		if !known || resumeSlackFactor*wait > g.slackToStart(a) {
			return true
		}
	}
	return false
}

// waitingAbove returns the waiting attempts of a higher rank than the run's that may still be on time, in the order
// in which they are served.
func (g *Gate) waitingAbove(run *attempt) []*attempt {
	var ahead []*attempt
	g.waiting.eachTimely(func(a *attempt) {
		if higherRank(a.work, run.work) && !a.work.GetOverdue() && g.slackToStart(a) > 0 {
			ahead = append(ahead, a)
		}
	})
	slices.SortFunc(ahead, compareUrgency)
	return ahead
}

// slackToStart returns how long an attempt can wait for its start and still meet its objective or, without one, its
// deadline. Without either it is not positive.
func (g *Gate) slackToStart(a *attempt) time.Duration {
	switch {
	case !a.objective.IsZero():
		return g.objectiveSlack(a)
	case !a.deadline.IsZero():
		return g.slack(a)
	default:
		return 0
	}
}
