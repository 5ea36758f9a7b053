package sched

import "github.com/carawaypitch/carawaypitch/result"

// shed holds the queue to its bound: while it is over, the worst ordered request of the lowest tier is refused. No
// request is shed while one of a lower tier is queued. Tier 1 is shed only with fresh evidence that no lower tier is
// served in its pool; without that the queue grows past its bound until deadlines empty it.
func (s *Scheduler) shed() {
	for s.totalQueued() > s.options.MaxQueued {
		r := s.victim()
		if r == nil || (s.options.Policy == PolicyTargets && !s.mayRefuse(r)) {
			return
		}
		code := result.QueueFull
		if s.options.Policy == PolicyTargets && s.higherQueued(r.tier) {
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

func (s *Scheduler) higherQueued(tier int) bool {
	for higher := range tier {
		if s.queued[higher] > 0 {
			return true
		}
	}
	return false
}

// victim is the worst ordered queued request of the lowest tier over all pools.
func (s *Scheduler) victim() *request {
	for tier := tierCount - 1; tier >= 0; tier-- {
		if s.queued[tier] == 0 {
			continue
		}
		return s.worstOf(tier)
	}
	return nil
}

// worstOf compares the pools' worst by deadline, then by arrival, so that the order of the map doesn't matter.
func (s *Scheduler) worstOf(tier int) *request {
	var worst *request
	for _, p := range s.pools {
		r := p.tiers[tier].worst(s.now)
		if r != nil && (worst == nil || before(worst, r)) {
			worst = r
		}
	}
	return worst
}
