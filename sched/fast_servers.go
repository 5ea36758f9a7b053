package sched

import "time"

// rankServer returns the value by which servers are compared for a request, the lowest first: the estimated finish, and what
// the use of the server costs others.
func (s *Scheduler) rankServer(r *request, v *server) time.Duration {
	finish := s.estimateFinish(r, v)
	return finish + s.costToOthers(r, v, finish)
}

// costToOthers returns what the use of a server costs the requests that wait for a fast one, as an addition to the time that
// it is used. A request that needs a fast server itself, or wouldn't be in time at this one anyway, pays nothing.
//
// The price is 0 as long as the fast servers' share of the pool's speed exceeds the share of the waiting requests that need
// them. Slow servers alone can't carry all other requests, so a price that always moves them there would have many of the
// last class refused.
func (s *Scheduler) costToOthers(r *request, v *server, use time.Duration) time.Duration {
	p := r.pool
	if p.needFast == 0 || !s.placesByLength(r) || s.needsFastServer(r) || !s.isFast(p, v) || !s.inTimeAt(r, v) {
		return 0
	}
	share := s.pacesOf(p).fastShare
	scarcity := float64(p.needFast)/float64(max(p.queuedCount(), p.needFast)) - share
	if scarcity <= 0 {
		return 0
	}
	return time.Duration(float64(use) * scarcity / (1 - share))
}

// inTimeAt reports whether a request that starts at the server now will be in time there.
func (s *Scheduler) inTimeAt(r *request, v *server) bool {
	p := s.loadedPaceOf(r.pool, v)
	first := p.firstToken(float64(r.PromptTokens) - float64(s.cachedTokens(r, v)))
	if !r.Objective.IsZero() && s.now.Add(first).After(r.Objective) {
		return false
	}
	return s.suitsServer(r, v)
}

// isFast reports whether a server is clearly faster than the pool's slow ones.
func (s *Scheduler) isFast(p *pool, v *server) bool {
	return s.loadedPaceOf(p, v).decode > paceTolerance*s.pacesOf(p).slow.decode
}

// queuedCount returns the number of queued requests of the pool.
func (p *pool) queuedCount() int {
	n := 0
	for tier := range p.tiers {
		n += p.tiers[tier].count
	}
	return n
}

// countNeedFast counts a request that is added to its pool's queue, if it needs a fast server.
func (s *Scheduler) countNeedFast(r *request) {
	if r.needsFast = s.needsFastServer(r); r.needsFast {
		r.pool.needFast++
	}
}

// uncountNeedFast undoes countNeedFast.
func (r *request) uncountNeedFast() {
	if r.needsFast {
		r.pool.needFast--
		r.needsFast = false
	}
}
