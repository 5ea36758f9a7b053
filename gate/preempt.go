package gate

import "time"

// Waiting for a slot that is about to be free costs nothing, while a preemption wastes a prefill.
const (
	slackSafe = 8 // slack has to be so many times the wait

	// patienceShare is the part of its slack that a first-tier reservation waits before anything is preempted for it.
	patienceShare = 4
	// patienceLeast is the slack, at least, that it must have left to be patient: a preemption takes time as well.
	patienceLeast = 500 * time.Millisecond
)

// lowerWork tells whether work of a lower tier than a's runs or waits here.
func (g *Gate) lowerWork(a *attempt) bool {
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
	for g.blocked != roomEnough && g.lapseLower(a) {
		g.blocked = g.noRoom(a)
	}
	if g.blocked == roomEnough {
		return g.give(a)
	}
	if g.soonFree(a) || g.patient(a) {
		return false
	}
	for missing := g.waiting.tier(firstTier).count - g.preempting(); missing > 0; missing-- {
		victim := g.victim(a)
		if victim == nil {
			return false
		}
		g.preempt(victim, a.tier())
	}
	return false
}

// lapseLower takes back an offer to a lower tier.
func (g *Gate) lapseLower(a *attempt) bool {
	for _, held := range g.held {
		if held.state == offered && held.tier() > a.tier() {
			return g.fire(held, onLapse, occasion{})
		}
	}
	return false
}

// soonFree tells whether slots for all of the first tier that waits are predicted to be free so soon that a's deadline
// doesn't feel it.
func (g *Gate) soonFree(a *attempt) bool {
	if g.blocked != whySlots || a.deadline.IsZero() {
		return false
	}
	wait, known := g.nthFree(g.waiting.tier(firstTier).count)
	return known && g.slack(a) >= slackSafe*max(wait, time.Millisecond)
}

// patient tells whether a reservation leaves running work alone for now. It waits at several gates, each of which
// would otherwise cancel a run for it although it can use only one slot. One would notice by several preemptions for
// each first-tier request. It is patient for a part of its slack only, so that a request that is served nowhere else
// still gets its preemption in time.
func (g *Gate) patient(a *attempt) bool {
	if a.state != reserved || a.deadline.IsZero() || g.pace.prefill.rate <= 0 {
		return false
	}
	whole := a.deadline.Sub(a.arrived) - g.predict(a.work)
	return g.slack(a) >= patienceLeast && g.now.Sub(a.arrived) < whole/patienceShare
}

// slack is the time that an attempt with a deadline may still wait.
func (g *Gate) slack(a *attempt) time.Duration {
	return a.deadline.Sub(g.now) - g.predict(a.work)
}

// preemptPatience is how long a cancelled run counts as a slot that will be free. An engine that doesn't confirm
// must not keep the first tier waiting while there are other runs to preempt.
const preemptPatience = time.Second

// preempting is how many runs are being cancelled and will give their slots back.
func (g *Gate) preempting() int {
	n := 0
	for _, a := range g.held {
		if a.state == cancelling && g.now.Sub(a.cancel.since) < preemptPatience {
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
		if !preemptible(run) || run.tier() <= a.tier() || g.blocked == whyPrefill && run.run.prefill == 0 {
			continue
		}
		waste := g.wasteOf(run)
		if best == nil || waste < least || waste == least && run.tier() >= best.tier() {
			best, least = run, waste
		}
	}
	return best
}

func preemptible(a *attempt) bool {
	return a.state == running && a.run.holds && a.work.GetPreemptible() && a.work.GetRepeatable() &&
		!a.work.GetService()
}

// wasteOf is the work lost if the run is cancelled now, in tokens: prompt tokens computed, and tokens produced.
func (g *Gate) wasteOf(a *attempt) int64 {
	return g.prefilled(a) + int64(a.run.tokens)
}

// prefilled is how many uncached prompt tokens the engine has computed for an attempt, as far as can be told.
func (g *Gate) prefilled(a *attempt) int64 {
	if !a.begun() || a.work.GetService() {
		return 0
	}
	if !a.run.firstToken.IsZero() {
		return a.uncached()
	}
	since := g.now.Sub(a.run.started)
	queued := g.pace.prefillTime(a.run.prefillAhead - a.uncached())
	done := int64(max(since-queued, 0).Seconds() * g.pace.prefillRateOrGuess())
	return min(done, a.uncached())
}

func (g *Gate) preempt(a *attempt, tier uint32) {
	a.cancel.tier = tier
	g.headroom.wasted(float64(g.wasteOf(a)))
	g.emit(Count{Counter: Preemptions, Tier: a.tier(), Add: 1})
	g.fire(a, onPreempt, occasion{cause: CausePreempted})
}

// resumable tells whether the engine still holds what a preempted attempt computed.
func (g *Gate) resumable(a *attempt) bool {
	capabilities := g.server.record.GetCapabilities()
	return (capabilities.GetResume() || capabilities.GetKv()) && !a.run.firstToken.IsZero()
}
