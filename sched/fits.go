package sched

import "time"

const (
	// fitMargin is how many times its predicted time an answer must have left at a server. Callers' expectations of
	// lengths are right at the median and often off: of answers with a log-normal error of half, one in twelve is more
	// than twice as long.
	fitMargin = 2
	// fitBest is how many times longer than at the best server an answer may take where it fits nowhere.
	fitBest = 1.5
)

// fits tells whether an answer will probably end before its deadline at the server, or at least not much later than at
// the best one.
//
// Of engines that differ threefold in speed the slow ones would run the longest answers into their deadlines: all that
// they have produced by then is lost, and each has held a place for the whole time.
func (s *Scheduler) fits(r *request, v *server) bool {
	if r.pool.key.kind != kindModel || r.mayBeLate {
		return true
	}
	run := s.estimateRun(r, v)
	if time.Duration(fitMargin*float64(run)) <= s.remaining(r) {
		return true
	}
	return float64(run) <= fitBest*float64(s.shortestRun(r))
}

// shortestRun is how long the answer takes at the ready server of its pool that is best for it.
func (s *Scheduler) shortestRun(r *request) time.Duration {
	shortest := time.Duration(-1)
	for _, v := range r.pool.servers {
		if !v.ready {
			continue
		}
		if run := s.estimateRun(r, v); shortest < 0 || run < shortest {
			shortest = run
		}
	}
	return max(shortest, 0)
}
