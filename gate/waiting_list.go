package gate

import (
	"slices"
	"time"
)

// collect returns the waiting attempts that match, in order of arrival.
func (w *waitingList) collect(match func(*attempt) bool) []*attempt {
	var out []*attempt
	w.each(func(a *attempt) {
		if match(a) {
			out = append(out, a)
		}
	})
	slices.SortFunc(out, func(a, b *attempt) int {
		if a.sequence < b.sequence {
			return -1
		}
		return 1
	})
	return out
}

func (w *waitingList) contains(match func(*attempt) bool) bool {
	found := false
	w.each(func(a *attempt) { found = found || match(a) })
	return found
}

func (w *waitingList) each(visit func(*attempt)) {
	for _, t := range w.tiers {
		for _, q := range t.queues {
			for _, a := range q.timely {
				visit(a)
			}
			for _, a := range q.late {
				visit(a)
			}
		}
	}
}

// eachTimely visits the waiting attempts that can still meet their deadline.
func (w *waitingList) eachTimely(visit func(*attempt)) {
	for _, t := range w.tiers {
		for _, q := range t.queues {
			for _, a := range q.timely {
				visit(a)
			}
		}
	}
}

// refuseWaiting refuses an attempt that has not started.
func (g *Gate) refuseWaiting(a *attempt, reason refusal) {
	g.fire(a, onRefuse, eventDetails{refusal: reason})
}

// refuseAllWaiting refuses all attempts that wait or hold room without having started.
func (g *Gate) refuseAllWaiting(reason refusal) {
	all := g.waiting.collect(func(*attempt) bool { return true })
	for _, a := range slices.Clone(g.held) {
		if !a.hasStarted() && a.wait.heap == nil {
			all = append(all, a)
		}
	}
	for _, a := range all {
		g.refuseWaiting(a, reason)
	}
}

// sweepWaiting refuses attempts whose deadline has passed while they wait behind a head whose deadline has not.
// Attempts that may be late stay.
func (g *Gate) sweepWaiting() {
	passed := g.waiting.collect(func(a *attempt) bool { return g.deadlinePassed(a) && !a.work.GetMayBeLate() })
	for _, a := range passed {
		a.wait.queue.class.recordLateness(true)
		g.refuseWaiting(a, refuseDeadline)
	}
}

// ensureCapacity makes room in the waiting list for an attempt by refusing the one that is last in order, which may
// be the attempt itself. It reports whether the attempt can be added.
func (g *Gate) ensureCapacity(a *attempt) bool {
	if g.waiting.count < g.config.MaxWaiting {
		return true
	}
	last := g.lastWaiting()
	if a.tier() == firstTier && last.tier() == firstTier && g.hasLowerTierWork(a) {
		return true // while lower tiers have work, neither of the two is refused for want of room
	}
	if g.orderedAfter(last, a) {
		g.refuseWaiting(last, refuseShed(g.backlog()))
		return true
	}
	g.fire(a, onRefuse, eventDetails{refusal: refuseFull(g.backlog())})
	return false
}

// lastWaiting returns the attempt that would be served last: of the lowest tier, late before timely, of the
// organisation that was served most, with the latest deadline.
func (g *Gate) lastWaiting() *attempt {
	for _, t := range slices.Backward(g.waiting.tiers) {
		if t.count == 0 {
			continue
		}
		var last *attempt
		for _, q := range t.queues {
			if a := q.last(); a != nil && (last == nil || g.orderedAfter(a, last)) {
				last = a
			}
		}
		return last
	}
	return nil
}

// last returns the last attempt of a queue. The last leaf of a heap is not its greatest element, so all are
// compared.
func (q *queue) last() *attempt {
	attempts := q.late
	if len(attempts) == 0 {
		attempts = q.timely
	}
	var last *attempt
	for _, a := range attempts {
		if last == nil || earlier(last, a) {
			last = a
		}
	}
	return last
}

// orderedAfter reports whether a goes after b. b needs not be waiting yet.
func (g *Gate) orderedAfter(a, b *attempt) bool {
	if a.tier() != b.tier() {
		return a.tier() > b.tier()
	}
	if a.wait.late != b.wait.late {
		return a.wait.late
	}
	clock := g.waiting.tier(a.tier()).clock
	x, y := clock.Tag(a.work.GetOrganisation()), clock.Tag(b.work.GetOrganisation())
	if x != y {
		return x > y
	}
	return earlier(b, a)
}

// deadlineRefusal reports whether an arrival is predicted to miss its deadline, and the refusal for it. Refusing it
// at arrival wastes no prefill. The first tier waits instead, since it is never refused for want of room.
func (g *Gate) deadlineRefusal(a *attempt) (refusal, bool) {
	if a.work.GetMayBeLate() || a.tier() == firstTier {
		return refusal{}, false
	}
	if g.deadlinePassed(a) {
		return refuseDeadline, true
	}
	wait := g.predictedWait(a.tier())
	if g.missesDeadline(a, wait) {
		g.waiting.tier(a.tier()).class(a.work.GetClass()).recordLateness(true)
		return refuseTooLate(wait), true
	}
	return refusal{}, false
}

// backlog returns the predicted time until a new attempt of the lowest tier would start.
func (g *Gate) backlog() time.Duration { return g.predictedWait(lowestTier) }
