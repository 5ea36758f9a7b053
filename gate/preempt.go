package gate

import (
	"slices"
	"time"
)

// A preemption wastes a prefill, while waiting for a slot that is about to be free costs nothing.
const (
	safeSlackFactor = 8 // least ratio of the slack to the wait

	// preemptDelayShare divides the initial slack of a first-tier reservation: the quotient is how long it waits
	// before anything is preempted for it.
	preemptDelayShare = 4
	// minDelaySlack is the least slack with which a reservation still waits, because a preemption takes time as
	// well.
	minDelaySlack = 500 * time.Millisecond
)

// hasLowerTierWork reports whether work of a lower tier than a's runs or waits here.
func (g *Gate) hasLowerTierWork(a *attempt) bool {
	if g.lowestWaiting() > a.tier() {
		return true
	}
	lower := func(other *attempt) bool { return other.tier() > a.tier() }
	return slices.ContainsFunc(g.held, lower) || slices.ContainsFunc(g.suspended, lower)
}

// protectFirstTier makes room for the first tier at the expense of lower ones. It first takes back unanswered
// offers, which costs nothing, and then preempts the run that wastes the least prefill. It reports whether a got
// room at once.
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

// slotsFreeSoon reports whether slots for all waiting first-tier attempts are predicted to be free so soon that the
// wait doesn't endanger a's deadline.
func (g *Gate) slotsFreeSoon(a *attempt) bool {
	if g.blocked != blockedSlots || a.deadline.IsZero() {
		return false
	}
	wait, known := g.nthFree(g.waiting.tier(firstTier).count)
	return known && g.slack(a) >= safeSlackFactor*max(wait, time.Millisecond)
}

// delaysPreemption reports whether a reservation waits for a while before running work is preempted for it. The
// reservation waits at several gates, and each of them would otherwise cancel a run although only one slot is
// needed: several preemptions for each first-tier request. It waits only for a part of its slack, so that a request
// that no other gate serves is still served in time.
func (g *Gate) delaysPreemption(a *attempt) bool {
	if a.state != reserved || a.deadline.IsZero() || g.pace.prefill.rate <= 0 {
		return false
	}
	initialSlack := a.deadline.Sub(a.arrived) - g.predictRuntime(a.work)
	return g.slack(a) >= minDelaySlack && g.now.Sub(a.arrived) < initialSlack/preemptDelayShare
}

// slack returns the time that an attempt with a deadline can still wait.
func (g *Gate) slack(a *attempt) time.Duration {
	return a.deadline.Sub(g.now) - g.predictRuntime(a.work)
}

// preemptConfirmTimeout is how long a cancelled run counts as a slot that will be free. An engine that doesn't
// confirm must not block the first tier while other runs can be preempted.
const preemptConfirmTimeout = time.Second

// preemptionsInProgress returns the number of runs that are being cancelled or suspended and will free their slots.
func (g *Gate) preemptionsInProgress() int {
	n := g.suspensionsInProgress()
	for _, a := range g.held {
		if a.state == cancelling && g.now.Sub(a.cancel.requestedAt) < preemptConfirmTimeout {
			n++
		}
	}
	return n
}

// victim returns the run of a lower tier whose loss wastes the least prefill; among equals the one of the lowest
// tier, then the one that started last. It returns nil if there is none. A call to a plain service is never chosen,
// because it ends sooner than it could be cancelled.
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

// wastedTokens returns the work lost if the run is cancelled at this time: computed prompt tokens plus generated
// tokens.
func (g *Gate) wastedTokens(a *attempt) int64 {
	return g.prefilledTokens(a) + int64(a.run.tokens)
}

// prefilledTokens returns an estimate of how many uncached prompt tokens the engine has computed for an attempt.
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

// resumable reports whether the engine still holds what a preempted attempt computed.
func (g *Gate) resumable(a *attempt) bool {
	capabilities := g.server.record.GetCapabilities()
	return (capabilities.GetResume() || capabilities.GetKv()) && !a.run.firstToken.IsZero()
}
