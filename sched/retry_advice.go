package sched

import "time"

// Parameters of the retry advice.
const (
	// advisableShare is the part of its remaining time up to which a caller follows advice. Callers with longer advice come
	// back after that part.
	advisableShare = 1.0 / 3
	// adviceFreeShare is the share of the slots that higher ranks must leave for a slot to be expected. With a smaller share the
	// advice rests on the error of the rates, and half of the callers who follow it in a burst are refused again.
	adviceFreeShare = 0.2
	// returnSlot is the granularity with which advised returns are remembered.
	returnSlot = 100 * time.Millisecond
	// returnSlots is the number of slots remembered, maxRetryAfter in all.
	returnSlots = int(maxRetryAfter / returnSlot)
	// adviceSpread is the part of the advice by which it is shortened at random, so that callers who were refused together
	// don't return together.
	adviceSpread = 0.2
)

// returnPlan counts the callers of a class who were advised to return, by time.
type returnPlan struct {
	slots [returnSlots]uint16
	first int64 // number of the earliest slot that is remembered, counted from the Unix epoch
}

// advance forgets the slots that have passed.
func (p *returnPlan) advance(now time.Time) {
	first := now.UnixNano() / int64(returnSlot)
	for i := max(p.first, first-int64(returnSlots)); i < first; i++ {
		p.slots[i%int64(returnSlots)] = 0
	}
	p.first = first
}

// count returns the callers that are expected i slots from now.
func (p *returnPlan) count(i int) int {
	return int(p.slots[(p.first+int64(i))%int64(returnSlots)])
}

func (p *returnPlan) add(after time.Duration) {
	i := min(int64(after/returnSlot), int64(returnSlots)-1)
	p.slots[(p.first+i)%int64(returnSlots)]++
}

// adviseByForecast returns the advised retry delay: until a slot for the caller's rank is expected, after the queued requests
// and the callers advised before. If none is expected in the remaining time it is maxRetryAfter. ok is false if nothing can
// be forecast, and for plain services, whose calls take so little time that the queue is over before a caller returns.
func (s *Scheduler) adviseByForecast(r *request) (advice time.Duration, ok bool) {
	if !s.options.RetryAdvice || r.pool.key.kind == kindService || !s.canForecast(r.pool) {
		return 0, false
	}
	if r.expectedRun == 0 {
		s.expectRun(r)
	}
	left := s.remainingTime(r)
	wait := s.slotExpected(r, min(left-r.expectedRun, maxRetryAfter))
	if wait < 0 {
		return maxRetryAfter, true
	}
	advice = min(wait, time.Duration(advisableShare*float64(left)))
	advice -= time.Duration(adviceSpread * s.random.Float64() * float64(advice))
	r.pool.load.of(r.class).returns.add(advice)
	return max(advice, minRetryAfter), true
}

// slotExpected returns the time until a slot is expected that neither the queued requests of the caller's rank and higher nor
// the callers advised before need; negative if there is none within the limit.
func (s *Scheduler) slotExpected(r *request, limit time.Duration) time.Duration {
	p := r.pool
	returning := *r.Request
	returning.Overdue = true
	probe := *r
	probe.Request, probe.late = &returning, false
	s.queueKeys(&probe)
	slots, _ := s.slotSupply(p)
	free := slots - s.higherLoad(&probe)
	if p.withRoom == 0 && free < adviceFreeShare*slots {
		return -1
	}
	needed := s.overAllEntries(s.backlogAhead(&probe), p.load.of(r.class).usual).work
	needed += s.occupancy(p, r.class)
	offered := 0.0
	for i := 0; time.Duration(i)*returnSlot <= limit && i < returnSlots; i++ {
		needed += s.returningWork(r, i)
		if offered >= needed {
			return time.Duration(i) * returnSlot
		}
		offered += free * returnSlot.Seconds()
	}
	return -1
}

// returningWork returns the work of the callers of the request's rank and higher who were advised to return i slots from now.
func (s *Scheduler) returningWork(r *request, i int) float64 {
	work := 0.0
	for _, load := range r.pool.load.classes {
		tier := tierIndex(load.class.spec.GetTier())
		if tier > r.tier || tier == r.tier && load.class.precedence() > r.class.precedence() {
			continue
		}
		load.returns.advance(s.now)
		work += float64(load.returns.count(i)) * r.pool.load.occupancyOf(load)
	}
	return work
}
