package sched

import "github.com/carawaypitch/carawaypitch/result"

// shed keeps the queue within its bound: while it is exceeded, the last request in order of the lowest tier is
// refused. No request is shed while one of a lower tier is queued. Tier 1 is shed only with current reports that no
// lower tier is served in its pool; without them the queue exceeds its bound until deadlines empty it.
func (s *Scheduler) shed() {
	for s.totalQueued() > s.options.MaxQueued {
		r := s.victim()
		if r == nil || (s.options.Policy == PolicyTargets && !s.mayRefuse(r)) {
			return
		}
		code := result.QueueFull
		if s.options.Policy == PolicyTargets && s.higherTierQueued(r.tier) {
			code = result.ShedForHigherTier
		}
		s.refuse(r, result.New(code, ""))
	}
}

func (s *Scheduler) totalQueued() int {
	n := 0
	for _, count := range s.queued {
		n += count
	}
	return n
}

func (s *Scheduler) higherTierQueued(tier int) bool {
	for higher := range tier {
		if s.queued[higher] > 0 {
			return true
		}
	}
	return false
}

// victim returns the queued request of the lowest tier that is last in order over all pools, or nil.
func (s *Scheduler) victim() *request {
	for tier := tierCount - 1; tier >= 0; tier-- {
		if s.queued[tier] == 0 {
			continue
		}
		return s.worstQueued(tier)
	}
	return nil
}

// worstQueued compares the last requests of the pools by rank, then by arrival, so that the result doesn't depend
// on map order.
func (s *Scheduler) worstQueued(tier int) *request {
	var worst *request
	for _, p := range s.pools {
		r := p.tiers[tier].worst(s.now)
		if r != nil && (worst == nil || before(worst, r)) {
			worst = r
		}
	}
	return worst
}
