package sched

import "time"

// retrySlots is how many slots a window of retries is counted in. The slots reach one further back than the window.
const retrySlots = 11

// retryShare is the part of the budget that is used. The rest covers what the last incarnation of an entry used before
// it died.
const retryShare = 0.8

// retryWindow counts a pool's requests and retries at this entry.
//
// When backend servers fail, each request that is tried again adds load, and all entries together can keep a service
// down that would come back by itself. The budget is shared by what each entry sees itself: the ratio counts against
// its own requests, and the allowance is split evenly among the entries that there are. So nothing has to be told
// between entries, and one that is cut off keeps to its part.
type retryWindow struct {
	turn     int64
	requests [retrySlots]int
	retries  [retrySlots]int
}

// at brings the window up to a time and returns the slot to count in.
func (w *retryWindow) at(now time.Time, window time.Duration) int64 {
	turn := now.UnixNano() / int64(window/(retrySlots-1))
	for i := max(w.turn+1, turn-retrySlots+1); i <= turn; i++ {
		w.requests[i%retrySlots], w.retries[i%retrySlots] = 0, 0
	}
	w.turn = max(w.turn, turn)
	return w.turn % retrySlots
}

func (w *retryWindow) sums() (requests, retries int) {
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return requests, retries
}

// noteRequest counts a request for its pool's budget of retries.
func (s *Scheduler) noteRequest(r *request) {
	if s.options.RetryRatio > 0 {
		r.pool.retries.requests[r.pool.retries.at(s.now, s.options.RetryWindow)]++
	}
}

// takeRetry takes one retry from the pool's budget, and tells whether there was one.
func (s *Scheduler) takeRetry(r *request) bool {
	if s.options.RetryRatio <= 0 {
		return true
	}
	w := &r.pool.retries
	slot := w.at(s.now, s.options.RetryWindow)
	requests, retries := w.sums()
	budget := s.options.RetryRatio*float64(requests) + float64(s.options.RetryAllowance)/float64(s.entries)
	if float64(retries+1) > retryShare*budget {
		return false
	}
	w.retries[slot]++
	return true
}
