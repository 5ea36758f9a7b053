package gate

import "time"

// Waiting for a slot that is about to be free costs nothing, while a preemption wastes a prefill.
const (
	safeSlackFactor = 8 // slack has to be so many times the wait

	// preemptDelayShare is the part of its slack that a first-tier reservation waits before anything is preempted for it.
	preemptDelayShare = 4
	// minDelaySlack is the slack, at least, that it must have left to be patient: a preemption takes time as well.
	minDelaySlack = 500 * time.Millisecond
)

// hasLowerTierWork tells whether work of a lower tier than a's runs or waits here.
func (g *Gate) hasLowerTierWork(a *attempt) bool {
	if g.lowestWaiting() > a.tier() {
		return true
	}
	for _, held := range g.held {
		if held.tier() > a.tier() {
			return true
		}
	}
	return false
}

// protectFirstTier makes room for the first tier at the cost of lower ones: an offer that is not answered yet costs
// nothing, so it goes first; then the run that wastes the least prefill. It reports whether a got room at once.
func (g *Gate) protectFirstTier(a *attempt) bool {
	if a.tier() != firstTier || g.server.state != serverReady {
		return false
	}
	for g.blocked != notBlocked && g.lapseLowerOffer(a) {
		g.blocked = g.blockReasonOf(a)
	}
	if g.blocked == notBlocked {
		return g.grantRoom(a)
	}
	if g.slotsFreeSoon(a) || g.delaysPreemption(a) {
		return false
	}
	for missing := g.waiting.tier(firstTier).count - g.preemptionsInProgress(); missing > 0; missing-- {
		victim := g.victim(a)
		if victim == nil {
			return false
		}
		g.preempt(victim, a.tier())
	}
	return false
}

// lapseLowerOffer takes back an offer to a lower tier.
func (g *Gate) lapseLowerOffer(a *attempt) bool {
	for _, held := range g.held {
		if held.state == offered && held.tier() > a.tier() {
			return g.fire(held, onLapse, eventDetails{})
		}
	}
	return false
}

// slotsFreeSoon tells whether slots for all of the first tier that waits are predicted to be free so soon that a's deadline
// doesn't feel it.
func (g *Gate) slotsFreeSoon(a *attempt) bool {
	if g.blocked != blockedSlots || a.deadline.IsZero() {
		return false
	}
	wait, known := g.nthFree(g.waiting.tier(firstTier).count)
	return known && g.slack(a) >= safeSlackFactor*max(wait, time.Millisecond)
}

// delaysPreemption tells whether a reservation leaves running work alone for now. It waits at several gates, each of which
// would otherwise cancel a run for it although it can use only one slot. One would notice by several preemptions for
// each first-tier request. It is delaysPreemption for a part of its slack only, so that a request that is served nowhere else
// still gets its preemption in time.
func (g *Gate) delaysPreemption(a *attempt) bool {
	if a.state != reserved || a.deadline.IsZero() || g.pace.prefill.rate <= 0 {
		return false
	}
	initialSlack := a.deadline.Sub(a.arrived) - g.predictRuntime(a.work)
	return g.slack(a) >= minDelaySlack && g.now.Sub(a.arrived) < initialSlack/preemptDelayShare
}

// slack is the time that an attempt with a deadline may still wait.
func (g *Gate) slack(a *attempt) time.Duration {
	return a.deadline.Sub(g.now) - g.predictRuntime(a.work)
}

// preemptConfirmTimeout is how long a cancelled run counts as a slot that will be free. An engine that doesn't confirm
// must not keep the first tier waiting while there are other runs to preempt.
const preemptConfirmTimeout = time.Second

// preemptionsInProgress is how many runs are being cancelled and will give their slots back.
func (g *Gate) preemptionsInProgress() int {
	n := 0
	for _, a := range g.held {
		if a.state == cancelling && g.now.Sub(a.cancel.requestedAt) < preemptConfirmTimeout {
			n++
		}
	}
	return n
}

// victim is the run of a lower tier whose loss wastes the least prefill; among equals the lowest tier, then the
// one that started last. A call to a plain service is none: it ends by itself sooner than it could be cancelled.
func (g *Gate) victim(a *attempt) *attempt {
	var best *attempt
	var least int64
	for _, run := range g.runs {
		if !preemptible(run) || run.tier() <= a.tier() || g.blocked == blockedPrefill && run.run.pendingPrefill == 0 {
			continue
		}
		waste := g.wastedTokens(run)
		if best == nil || waste < least || waste == least && run.tier() >= best.tier() {
			best, least = run, waste
		}
	}
	return best
}

func preemptible(a *attempt) bool {
	return a.state == running && a.run.holdsRoom && a.work.GetPreemptible() && a.work.GetRepeatable() &&
		!a.work.GetService()
}

// wastedTokens is the work lost if the run is cancelled now, in tokens: prompt tokens computed, and tokens produced.
func (g *Gate) wastedTokens(a *attempt) int64 {
	return g.prefilledTokens(a) + int64(a.run.tokens)
}

// prefilledTokens is how many uncached prompt tokens the engine has computed for an attempt, as far as can be told.
func (g *Gate) prefilledTokens(a *attempt) int64 {
	if !a.hasStarted() || a.work.GetService() {
		return 0
	}
	if !a.run.firstToken.IsZero() {
		return a.uncachedTokens()
	}
	since := g.now.Sub(a.run.started)
	queued := g.pace.prefillTime(a.run.prefillAtStart - a.uncachedTokens())
	done := int64(max(since-queued, 0).Seconds() * g.pace.prefillRateOrDefault())
	return min(done, a.uncachedTokens())
}

func (g *Gate) preempt(a *attempt, tier uint32) {
	a.cancel.preemptorTier = tier
	g.headroom.recordWaste(float64(g.wastedTokens(a)))
	g.emit(Count{Counter: Preemptions, Tier: a.tier(), Add: 1})
	g.fire(a, onPreempt, eventDetails{cause: CausePreempted})
}

// resumable tells whether the engine still holds what a preempted attempt computed.
func (g *Gate) resumable(a *attempt) bool {
	capabilities := g.server.record.GetCapabilities()
	return (capabilities.GetResume() || capabilities.GetKv()) && !a.run.firstToken.IsZero()
}
