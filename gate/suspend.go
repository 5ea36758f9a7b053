package gate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaypitch/carawaypitch/wire"
)

// A slot that long, less urgent work holds is given to a more urgent request: the server stops the run, keeps its
// memory and resumes it later. This file decides which runs are suspended and how many, resume.go when they go on.

const (
	// suspensionInterval is the least time between two decisions while no slot is free. It bounds their cost, which
	// grows with the number of waiting attempts.
	suspensionInterval = 5 * time.Millisecond
	// suspendTargetsMaxAge is how long the addresses of other servers are used after they were received.
	suspendTargetsMaxAge = 5 * time.Second
	// suspensionDelay is how long a run that is being suspended counts as a slot that will be free at once. A target
	// that can't be reached delays the answer by 300 ms, and others may be suspended meanwhile.
	suspensionDelay = 100 * time.Millisecond
	// worthwhileFactor is the least ratio of a run's remaining time to what a suspension and a resume cost.
	worthwhileFactor = 8
	// minSuspended is the least time that a run must be able to stay suspended.
	minSuspended = 100 * time.Millisecond
	// overrunDivisor sets how much longer a run that has exceeded its predicted length is expected to take: the
	// quotient of its tokens. Otherwise its slot would be expected to be free at once until it ends.
	overrunDivisor = 8
	// lastResortShare is the share of the objective below which the slack counts as used up: the number of runs to
	// suspend is then rounded up.
	lastResortShare = 8
	// minFraction is the least fraction of a run that counts: products with the served share are not exact.
	minFraction = 1e-6
	// promotedPrecedence is the precedence of requests that are served because their class is guaranteed a share.
	promotedPrecedence = 1
)

// higherRank reports whether work a goes before b by tier or by the operator's precedence.
func higherRank(a, b *wire.Work) bool {
	if a.GetTier() != b.GetTier() {
		return a.GetTier() < b.GetTier()
	}
	ordered := a.GetPrecedence() > 0 && b.GetPrecedence() > 0
	return ordered && a.GetPrecedence() < b.GetPrecedence()
}

// compareUrgency orders attempts by rank and then by their objective.
func compareUrgency(a, b *attempt) int {
	return cmp.Or(
		cmp.Compare(a.tier(), b.tier()),
		cmp.Compare(a.work.GetPrecedence(), b.work.GetPrecedence()),
		a.objective.Compare(b.objective),
		cmp.Compare(a.sequence, b.sequence),
	)
}

// objectiveSlack returns how long an attempt can wait for its start and still send its first event in time. Its prompt
// waits for those in flight.
func (g *Gate) objectiveSlack(a *attempt) time.Duration {
	first := g.pace.timeToFirstToken(a.uncachedTokens() + g.usage.prefillTokens)
	return a.objective.Sub(g.now) - first - g.offerLatency.mean
}

// keepSuspendTargets keeps the addresses that a message of an entry names.
func (g *Gate) keepSuspendTargets(w *wire.Work) {
	if targets := w.GetSuspendTargets(); len(targets) > 0 {
		g.suspension.targets, g.suspension.targetsAt = targets, g.now
	}
}

// suspends reports whether runs may be suspended at this server at this time.
func (g *Gate) suspends() bool {
	c := &g.suspension
	return g.config.Suspension.Enabled && g.server.record.GetSuspends() && g.server.state == serverReady &&
		len(c.targets) > 0 && g.now.Sub(c.targetsAt) <= suspendTargetsMaxAge && !g.now.Before(c.notBefore)
}

// suspendForPressure suspends runs for waiting attempts of a higher rank that would miss their objective for want of
// a slot.
func (g *Gate) suspendForPressure() {
	if g.blocked != blockedSlots && g.blocked != blockedHeadroom || !g.suspends() || g.now.Before(g.suspension.nextCheck) {
		return
	}
	g.suspension.nextCheck = g.now.Add(suspensionInterval)
	if !slices.ContainsFunc(g.runs, g.suspendable) {
		return
	}
	missing := g.missingObjective()
	for i := range g.suspensionCount(missing) {
		a := missing[min(int(float64(i)/g.waiting.servedShare.value()), len(missing)-1)]
		run := g.suspensionVictim(a)
		if run == nil || len(g.suspended)+g.suspensionsInProgress() >= g.limit.slots() {
			return
		}
		run.suspension.askedFor = a.id()
		g.fire(run, onSuspend, eventDetails{})
	}
}

// missingObjective returns the waiting attempts that may still be on time and would miss their objective if they
// waited for the next free slots, in the order in which they are served.
func (g *Gate) missingObjective() []*attempt {
	var waiting []*attempt
	g.waiting.eachTimely(func(a *attempt) {
		if g.mayBeOnTime(a) {
			waiting = append(waiting, a)
		}
	})
	slices.SortFunc(waiting, compareUrgency)
	slots := g.slotTimes()
	var missing []*attempt
	for i, a := range waiting {
		wait, known := slots.wait(g.expectedRank(i))
		if known && wait > g.objectiveSlack(a) {
			missing = append(missing, a)
		}
	}
	return missing
}

// mayBeOnTime reports whether an attempt meets its objective if a run is suspended for it. Memory and the prompts in
// flight are limits that a suspension doesn't change: a suspended run keeps its memory.
func (g *Gate) mayBeOnTime(a *attempt) bool {
	return !a.objective.IsZero() && !a.work.GetOverdue() && g.objectiveSlack(a) >= g.suspension.cost &&
		g.memoryBlock(a) == notBlocked && g.prefillBlock(a) == notBlocked
}

// expectedRank returns how many slots the first i+1 waiting attempts will probably take here, at least one. The
// others are served elsewhere, since each request waits at several gates.
func (g *Gate) expectedRank(i int) int {
	return max(int(math.Ceil(float64(i+1)*g.waiting.servedShare.value()-minFraction)), 1)
}

// suspensionCount returns how many runs to suspend for the attempts that would miss their objective: as many as will
// probably be served here.
//
// The fraction is rounded up with its own probability, drawn from the first request and this server, so that the
// gates at which a request waits suspend one run for it between them on average. Once the request has hardly any
// time left, the fraction is rounded up in any case.
func (g *Gate) suspensionCount(missing []*attempt) int {
	if len(missing) == 0 {
		return 0
	}
	count := float64(len(missing)) * g.waiting.servedShare.value()
	whole, fraction := math.Modf(count)
	if fraction > minFraction && (g.isLastResort(missing[0]) || g.draw(missing[0]) < fraction) {
		whole++
	}
	return int(whole)
}

// isLastResort reports whether most of an attempt's objective has passed.
func (g *Gate) isLastResort(a *attempt) bool {
	return g.objectiveSlack(a) <= a.objective.Sub(a.arrived)/lastResortShare
}

// draw returns a number from 0 to 1 that is fixed for the attempt's request at this server.
func (g *Gate) draw(a *attempt) float64 {
	return float64(xxhash.Sum64String(g.serverName()+"\x00"+a.record.request)>>11) / (1 << 53)
}

// suspensionVictim returns the run to suspend for an attempt, nil for none: runs that are late already first, then
// the one with the most remaining work.
func (g *Gate) suspensionVictim(a *attempt) *attempt {
	var best *attempt
	for _, run := range g.runs {
		if !higherRank(a.work, run.work) || !g.suspendable(run) {
			continue
		}
		if best == nil || g.suspendedBefore(run, best) {
			best = run
		}
	}
	return best
}

func (g *Gate) suspendedBefore(a, b *attempt) bool {
	if x, y := g.isPaused(a), g.isPaused(b); x != y {
		return x
	}
	return g.slotTime(a) > g.slotTime(b)
}

// isPaused reports whether a pause of the run, or the present one, is longer than is on time.
func (g *Gate) isPaused(a *attempt) bool {
	pause := time.Duration(a.work.GetPauseMs()) * time.Millisecond
	return a.suspension.paused || pause > 0 && g.now.Sub(a.suspension.lastEventAt) > pause
}

// suspendable reports whether a run may be suspended for work of a higher rank. A run whose outcome control is told
// isn't: if its entry ended meanwhile, the suspended run would be discarded and its outcome lost.
func (g *Gate) suspendable(a *attempt) bool {
	s := &a.suspension
	switch {
	case a.state != running, !a.run.holdsRoom, !a.run.callOpen, a.run.firstToken.IsZero(), a.frames.count == 0:
		return false
	case a.work.GetService(), a.work.GetWatched(), a.work.GetAbandonMs() == 0, a.work.GetPrecedence() == promotedPrecedence:
		return false
	case a.dispatch.GetReportToControl(), !a.owner.leaseValid():
		return false
	case s.count >= g.config.Suspension.MaxPerRun, s.unanswered > 0, s.resumed != nil, g.now.Before(s.notBefore):
		return false
	}
	worthwhile := g.remainingTime(a) >= worthwhileFactor*2*g.suspension.cost
	return worthwhile && g.resumeBy(a).Sub(g.now) >= minSuspended
}

// suspensionsInProgress returns the number of runs that are being suspended.
func (g *Gate) suspensionsInProgress() int {
	n := 0
	for _, a := range g.runs {
		if a.state == suspending {
			n++
		}
	}
	return n
}

// slotTimes holds the times until slots are expected to be free, in ascending order. Suspended runs have no slots.
type slotTimes struct {
	times []time.Duration
	known bool // false before the run times of all attempts that hold slots are learnt
}

func (g *Gate) slotTimes() slotTimes {
	t := slotTimes{known: true}
	for _, a := range g.held {
		t.times = append(t.times, g.slotTime(a))
		t.known = t.known && g.predictRuntime(a.work) > 0
	}
	slices.Sort(t.times)
	slots := g.limit.slots()
	if excess := len(t.times) - slots; excess > 0 {
		t.times = t.times[excess:]
	}
	t.times = append(make([]time.Duration, max(slots-len(t.times), 0)), t.times...)
	return t
}

// wait returns the time until n slots are free. Beyond the slots it is the time until all are.
func (t *slotTimes) wait(n int) (time.Duration, bool) {
	if len(t.times) == 0 || n <= len(t.times) && t.times[n-1] == 0 {
		return 0, true
	}
	return t.times[min(n, len(t.times))-1], t.known
}

// waitOrZero returns the time until n slots are free, 0 for none and before it is known.
func (t *slotTimes) waitOrZero(n int) time.Duration {
	if n == 0 {
		return 0
	}
	wait, _ := t.wait(n)
	return wait
}

// slotTime returns the time until the slot of an attempt is expected to be free.
func (g *Gate) slotTime(a *attempt) time.Duration {
	switch {
	case a.state == suspending && g.now.Sub(a.suspension.askedAt) < suspensionDelay:
		return g.suspension.cost
	case a.state == cancelling && g.now.Sub(a.cancel.requestedAt) < preemptConfirmTimeout:
		return 0
	}
	overrun := time.Duration(a.run.tokens/overrunDivisor) * g.pace.tokenTime(len(g.runs), g.now)
	return max(g.remainingTime(a), overrun)
}
