package gate

import (
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/wire"
)

// predictRuntime returns the expected run time of the work here, 0 before anything is learnt.
func (g *Gate) predictRuntime(w *wire.Work) time.Duration {
	if w.GetService() {
		if s := g.pace.service(w.GetTarget()); s != nil {
			return seconds(s.baseline.value * max(g.pace.ratio, 1))
		}
		return 0
	}
	uncached := int64(w.GetPromptTokens()) - int64(w.GetCachedTokens())
	return g.pace.timeToFirstToken(uncached) + time.Duration(w.GetOutputTokens())*g.tokenTimeFor(w.GetTier())
}

// estimateCost returns the cost charged for the work at its start: uncached prompt tokens plus output tokens, or
// for a service the milliseconds of service time, at least 1.
func (g *Gate) estimateCost(w *wire.Work) int64 {
	if w.GetService() {
		return max(g.predictRuntime(w).Milliseconds(), 1)
	}
	uncached := int64(w.GetPromptTokens()) - int64(w.GetCachedTokens())
	return max(uncached, 0) + int64(w.GetOutputTokens())
}

// remainingTime returns the time until a run is expected to end.
func (g *Gate) remainingTime(a *attempt) time.Duration {
	if !a.hasStarted() {
		return g.predictRuntime(a.work)
	}
	if a.run.firstToken.IsZero() || a.work.GetService() {
		return max(g.predictRuntime(a.work)-g.now.Sub(a.run.started), 0)
	}
	return g.generationTime(a, medianRemainder)
}

// upperRemainingTime is remainingTime for the upper length of the answer, if that is known.
func (g *Gate) upperRemainingTime(a *attempt) time.Duration {
	if a.work.GetOutputTokensUpper() == 0 || a.run.firstToken.IsZero() || a.work.GetService() {
		return g.remainingTime(a)
	}
	return g.generationTime(a, upperRemainder)
}

// generationTime returns the time in which a run that generates will end with the given probability.
func (g *Gate) generationTime(a *attempt, share float64) time.Duration {
	left := remainingTokens(a.work, a.run.tokens, share)
	return time.Duration(left * float64(g.pace.tokenTime(len(g.runs), g.now)))
}

// nextFree returns the time until the first slot is expected to be free. It is not known before anything is learnt.
func (g *Gate) nextFree() (wait time.Duration, known bool) {
	for _, a := range g.held {
		if g.predictRuntime(a.work) <= 0 {
			continue
		}
		if left := g.remainingTime(a); !known || left < wait {
			wait, known = left, true
		}
	}
	return wait, known
}

// nthFree returns the time until n slots are expected to be free. It is not known before anything is learnt.
func (g *Gate) nthFree(n int) (wait time.Duration, known bool) {
	var ends []time.Duration
	for _, a := range g.held {
		if g.predictRuntime(a.work) > 0 {
			ends = append(ends, g.remainingTime(a))
		}
	}
	if n < 1 || n > len(ends) {
		return 0, false
	}
	slices.Sort(ends)
	return ends[n-1], true
}

// predictedWait returns the predicted time until a new attempt of a tier would start: after what runs, and after
// the waiting work that goes before it and will be served here, spread over the slots.
func (g *Gate) predictedWait(tier uint32) time.Duration {
	slots := time.Duration(g.limit.slots())
	ahead := time.Duration(0)
	for _, t := range g.waiting.tiers {
		if t.tier <= tier {
			ahead += g.predictQueued(t)
		}
	}
	ahead = time.Duration(float64(ahead) * g.waiting.servedShare.value())
	return max(g.waitForSlot(slots, ahead), g.throttleWait(1+g.countAhead(tier)))
}

// countAhead returns how many waiting attempts will probably be served here before a new attempt of a tier.
func (g *Gate) countAhead(tier uint32) int {
	count := 0
	for _, t := range g.waiting.tiers {
		if t.tier <= tier {
			count += t.count
		}
	}
	return int(float64(count) * g.waiting.servedShare.value())
}

// waitForSlot returns the time until a slot is free for an attempt that comes after the given amount of work.
func (g *Gate) waitForSlot(slots, ahead time.Duration) time.Duration {
	if len(g.held) < int(slots) {
		return ahead / slots
	}
	next, _ := g.nextFree()
	return next + ahead/slots
}

// predictQueued returns the predicted run time of all waiting attempts of a tier, based on the head of each queue.
func (g *Gate) predictQueued(t *tierQueues) time.Duration {
	sum := time.Duration(0)
	for _, q := range t.queues {
		if n := q.len(); n > 0 {
			sum += time.Duration(n) * g.predictRuntime(q.head().work)
		}
	}
	return sum
}

func (q *queue) head() *attempt {
	if len(q.timely) > 0 {
		return q.timely[0]
	}
	return q.late[0]
}

// settleRun records what an ended run shows about waste, pace and lateness, and returns its cost.
func (g *Gate) settleRun(a *attempt, o *eventDetails) int64 {
	completed := o.end != nil && o.end.Err == nil && o.end.Outcome.End == engine.EndCompleted
	late := !a.deadline.IsZero() && g.now.After(a.deadline)
	g.waiting.tier(a.tier()).class(a.work.GetClass()).recordLateness(late || !completed)
	if completed && a.work.GetService() {
		g.observeService(a)
	}
	if !completed {
		g.countWaste(a)
	}
	cost := g.actualCost(a, o)
	if cost > 0 {
		g.emit(Count{
			Counter: ServedTokens,
			Tier:    a.tier(),
			Label:   a.work.GetOrganisation(),
			Add:     uint64(cost),
		})
	}
	return cost
}

// actualCost returns what a run has used, in the unit of estimateCost. The organisation of a preempted run isn't
// charged for the prompt, because it has to be computed again.
func (g *Gate) actualCost(a *attempt, o *eventDetails) int64 {
	if a.work.GetService() {
		return g.now.Sub(a.run.started).Milliseconds()
	}
	tokens := int64(a.run.tokens)
	if a.cancel.preemptorTier > 0 {
		return tokens
	}
	if o.end != nil && o.end.Outcome.PromptTokens > 0 {
		return int64(o.end.Outcome.PromptTokens-o.end.Outcome.CachedPromptTokens) + tokens
	}
	return g.prefilledTokens(a) + tokens
}

// countWaste counts the prompt tokens that were computed without use.
func (g *Gate) countWaste(a *attempt) {
	wasted := g.prefilledTokens(a)
	a.run.wastedPrefill = uint32(min(wasted, lowestTier))
	if wasted > 0 {
		g.emit(Count{Counter: WastedPrefill, Tier: a.tier(), Label: a.cancel.cause, Add: uint64(wasted)})
	}
}
