package sched

import "time"

// retrySlots is the number of slots in which retries are counted. They cover one slot more than the window.
const retrySlots = 11

// usedBudgetShare is the fraction of the budget that is used. The rest covers what the previous incarnation of an
// entry used before it crashed.
const usedBudgetShare = 0.8

// retryBudget counts a pool's requests and retries at this entry.
//
// When backend servers fail, each retry adds load, and all entries together can keep a service down that would
// otherwise recover. The budget is divided using only what each entry observes itself: the ratio applies to its own
// requests, and the allowance is split evenly among the entries of the deployment. The entries therefore exchange
// nothing, and one that is partitioned still keeps to its part.
type retryBudget struct {
	newestSlot int64
	requests   [retrySlots]int
	retries    [retrySlots]int
}

// advance clears the slots that have expired and returns the index of the current one.
func (b *retryBudget) advance(now time.Time, window time.Duration) int64 {
	current := now.UnixNano() / int64(window/(retrySlots-1))
	for i := max(b.newestSlot+1, current-retrySlots+1); i <= current; i++ {
		b.requests[i%retrySlots], b.retries[i%retrySlots] = 0, 0
	}
	b.newestSlot = max(b.newestSlot, current)
	return b.newestSlot % retrySlots
}

func (b *retryBudget) totals() (requests, retries int) {
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return requests, retries
}

// countRequest counts a request for its pool's retry budget.
func (s *Scheduler) countRequest(r *request) {
	if s.options.RetryRatio > 0 {
		r.pool.retryBudget.requests[r.pool.retryBudget.advance(s.now, s.options.RetryWindow)]++
	}
}

// takeRetry takes one retry from the pool's budget, and reports whether there was one.
func (s *Scheduler) takeRetry(r *request) bool {
	if s.options.RetryRatio <= 0 {
		return true
	}
	w := &r.pool.retryBudget
	slot := w.advance(s.now, s.options.RetryWindow)
	requests, retries := w.totals()
	budget := usedBudgetShare * (s.options.RetryRatio*float64(requests) + float64(s.options.RetryAllowance)/float64(s.entryCount))
	decision := RetryDecided{
		Request: r.ID, Pool: r.pool.key.target, Reason: r.currentRecord().reason, Allowed: float64(retries+1) <= budget,
		Requests: requests, Retries: retries, Budget: budget, Entries: s.entryCount, DirectoryAge: s.now.Sub(s.entryCountAt),
	}
	s.emit(decision)
	if !decision.Allowed {
		s.emit(Count{Counter: RetriesRefused, Tier: r.Class.GetTier(), Class: r.Class.GetName(), Label: decision.Reason, Add: 1})
		return false
	}
	w.retries[slot]++
	return true
}
