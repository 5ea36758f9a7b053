package gate

import (
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/wire"
)

// predict is the time that the work is expected to take here once it has a slot; 0 before anything is learnt.
func (g *Gate) predict(w *wire.Work) time.Duration {
	if w.GetService() {
		if s := g.pace.service(w.GetTarget()); s != nil {
			return seconds(s.past.value * max(g.pace.ratio, 1))
		}
		return 0
	}
	uncached := int64(w.GetPromptTokens()) - int64(w.GetCachedTokens())
	return g.pace.startTime(uncached) + time.Duration(w.GetOutputTokens())*g.tokenTimeFor(w.GetTier())
}

// estimate is the cost that the work is charged with at its start: prompt tokens not cached and output tokens; for
// a service milliseconds of service time, one at least.
func (g *Gate) estimate(w *wire.Work) int64 {
	if w.GetService() {
		return max(g.predict(w).Milliseconds(), 1)
	}
	uncached := int64(w.GetPromptTokens()) - int64(w.GetCachedTokens())
	return max(uncached, 0) + int64(w.GetOutputTokens())
}

// remaining is the time until a run is expected to end.
func (g *Gate) remaining(a *attempt) time.Duration {
	if !a.begun() {
		return g.predict(a.work)
	}
	if a.run.firstToken.IsZero() || a.work.GetService() {
		return max(g.predict(a.work)-g.now.Sub(a.run.started), 0)
	}
	left := max(int64(a.work.GetOutputTokens())-int64(a.run.tokens), 0)
	return time.Duration(left) * g.pace.tokenTime(len(g.runs), g.now)
}

// nextFree is the time until the first slot is expected to be free. It is not known before anything is learnt.
func (g *Gate) nextFree() (wait time.Duration, known bool) {
	for _, a := range g.held {
		if g.predict(a.work) <= 0 {
			continue
		}
		if left := g.remaining(a); !known || left < wait {
			wait, known = left, true
		}
	}
	return wait, known
}

// nthFree is the time until n slots are expected to be free. It is not known before anything is learnt.
func (g *Gate) nthFree(n int) (wait time.Duration, known bool) {
	var ends []time.Duration
	for _, a := range g.held {
		if g.predict(a.work) > 0 {
			ends = append(ends, g.remaining(a))
		}
	}
	if n < 1 || n > len(ends) {
		return 0, false
	}
	slices.Sort(ends)
	return ends[n-1], true
}

// waitOf is the predicted time until a new attempt of a tier would start: what waits before it and will be served
// here, spread over the slots, after what runs.
func (g *Gate) waitOf(tier uint32) time.Duration {
	slots := time.Duration(g.limit.slots())
	ahead := time.Duration(0)
	for _, t := range g.waiting.tiers {
		if t.tier <= tier {
			ahead += g.predictAll(t)
		}
	}
	ahead = time.Duration(float64(ahead) * g.waiting.taken.value())
	return max(g.slotsFreeIn(slots, ahead), g.throttledFor(1+g.goesBefore(tier)))
}

// goesBefore is how many of those that wait will probably be served here before a new attempt of a tier.
func (g *Gate) goesBefore(tier uint32) int {
	count := 0
	for _, t := range g.waiting.tiers {
		if t.tier <= tier {
			count += t.count
		}
	}
	return int(float64(count) * g.waiting.taken.value())
}

// slotsFreeIn is the time until a slot is free for an attempt that comes after so much work.
func (g *Gate) slotsFreeIn(slots, ahead time.Duration) time.Duration {
	if len(g.held) < int(slots) {
		return ahead / slots
	}
	next, _ := g.nextFree()
	return next + ahead/slots
}

// predictAll is the predicted time of all that wait in a tier, by the head of each queue.
func (g *Gate) predictAll(t *tierQueues) time.Duration {
	sum := time.Duration(0)
	for _, q := range t.queues {
		if n := q.len(); n > 0 {
			sum += time.Duration(n) * g.predict(q.head().work)
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

// settle takes what an ended run tells: its cost, which it returns, waste, pace, and whether it was late.
func (g *Gate) settle(a *attempt, o *occasion) int64 {
	whole := o.end != nil && o.end.Err == nil && o.end.Outcome.End == engine.EndCompleted
	late := !a.deadline.IsZero() && g.now.After(a.deadline)
	g.waiting.tier(a.tier()).class(a.work.GetClass()).noteLate(late || !whole)
	if whole && a.work.GetService() {
		g.noteService(a)
	}
	if !whole {
		g.countWaste(a)
	}
	cost := g.costOf(a, o)
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

// costOf is what a run has used, in the unit of estimate. A preempted organisation isn't charged for the prompt: it
// has to be computed again.
func (g *Gate) costOf(a *attempt, o *occasion) int64 {
	if a.work.GetService() {
		return g.now.Sub(a.run.started).Milliseconds()
	}
	tokens := int64(a.run.tokens)
	if a.cancel.tier > 0 {
		return tokens
	}
	if o.end != nil && o.end.Outcome.PromptTokens > 0 {
		return int64(o.end.Outcome.PromptTokens-o.end.Outcome.CachedPromptTokens) + tokens
	}
	return g.prefilled(a) + tokens
}

// countWaste counts the prompt tokens computed for nothing.
func (g *Gate) countWaste(a *attempt) {
	wasted := g.prefilled(a)
	a.run.wasted = uint32(min(wasted, lowestTier))
	if wasted > 0 {
		g.emit(Count{Counter: WastedPrefill, Tier: a.tier(), Label: a.cancel.cause, Add: uint64(wasted)})
	}
}
