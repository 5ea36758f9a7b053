package sched

import "time"

const (
	// deadlineMargin is the multiple of its estimated run time that must be left until the deadline. Callers'
	// expectations of length are right at the median and often wrong: with a log-normal error of sigma one half,
	// one answer in twelve is more than twice as long.
	deadlineMargin = 2
	// maxSlowdown is the most by which an answer may take longer than at the best server, if it fits at no server.
	maxSlowdown = 1.5
)

// fitsDeadline reports whether an answer will probably end before its deadline at the server, or at least not much
// later than at the best server.
//
// With engines that differ threefold in speed the longest answers at slow ones would reach their deadlines: all of
// their output is lost, and each has held a slot for the whole time.
func (s *Scheduler) fitsDeadline(r *request, v *server) bool {
	if r.pool.key.kind != kindModel || r.mayBeLate {
		return true
	}
	if s.placesByLength(r) {
		return s.fitsByLength(r, v)
	}
	run := s.estimateRunTime(r, v)
	if time.Duration(deadlineMargin*float64(run)) <= s.remainingTime(r) {
		return true
	}
	return float64(run) <= maxSlowdown*float64(s.shortestRunTime(r))
}

// shortestRunTime estimates the run time at the ready server of the pool that is fastest for the request.
func (s *Scheduler) shortestRunTime(r *request) time.Duration {
	shortest := time.Duration(-1)
	for _, v := range r.pool.servers {
		if !v.ready {
			continue
		}
		if run := s.estimateRunTime(r, v); shortest < 0 || run < shortest {
			shortest = run
		}
	}
	return max(shortest, 0)
}
