package sched

import (
	"time"

	"github.com/carawaypitch/carawaypitch/retry"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// retryDelayShare is the share of the window for which a charged retry may wait for a server before it is charged again.
	retryDelayShare = 0.25
	// stallThreshold is the time between two steps from which on the process counts as stalled. An idle one gets ticks.
	stallThreshold = MaxTickInterval + 300*time.Millisecond
	// maxBacklogTime is how long a process that was stalled takes at most to read the requests sent to it meanwhile.
	maxBacklogTime = time.Second
)

// retryBudgets holds the retry budgets of this entry, by model or service. They outlive the pools, which are
// removed as soon as they have neither servers nor requests.
type retryBudgets struct {
	byTarget  map[string]*retry.Budget
	members   *retry.Members
	started   time.Time // of the first step
	steppedAt time.Time // of the last step
	// noCreditUntil is until when requests earn no retries, because they were sent earlier.
	noCreditUntil time.Time
}

func (b *retryBudgets) begin(now time.Time, window time.Duration) {
	b.byTarget, b.members, b.started = map[string]*retry.Budget{}, retry.NewMembers(window, now), now
}

// step notes the time of a step. The requests that a stalled process reads at once were sent in earlier windows than that in
// which they would be counted, so they earn nothing.
func (b *retryBudgets) step(now time.Time) {
	if stalled := now.Sub(b.steppedAt); stalled > stallThreshold && !b.steppedAt.IsZero() {
		b.noCreditUntil = now.Add(min(stalled, maxBacklogTime))
	}
	b.steppedAt = now
}

func (b *retryBudgets) listed(now time.Time, directory Directory) {
	b.members.Listed(now, directory.Entries)
	if directory.First {
		b.members.First()
	}
}

// retryState is what a request has charged to its retry budget.
type retryState struct {
	pending   bool // the next attempt, or the current one, is charged and isn't known to have reached a server
	chargedAt time.Time
}

func (o *Options) retryLimits() retry.Limits {
	return retry.Limits{Ratio: o.RetryRatio, Window: o.RetryWindow, Allowance: float64(o.RetryAllowance)}
}

// retryBudget returns the budget for a model or service. There must be a bound of retries.
func (s *Scheduler) retryBudget(target string) *retry.Budget {
	b := s.retries.byTarget[target]
	if b == nil {
		s.removeIdleBudgets()
		b = retry.New(s.options.retryLimits(), s.retries.started)
		s.retries.byTarget[target] = b
	}
	return b
}

// removeIdleBudgets removes the budgets that count nothing, of models and services that are gone.
func (s *Scheduler) removeIdleBudgets() {
	for target, b := range s.retries.byTarget {
		if b.Idle(s.now) {
			delete(s.retries.byTarget, target)
		}
	}
}

// countRequest counts a request for its retry budget. One that no server can take has no budget: callers invent names of models.
func (s *Scheduler) countRequest(r *request) {
	if s.options.RetryRatio > 0 && len(r.pool.servers) > 0 && !s.now.Before(s.retries.noCreditUntil) {
		s.retryBudget(r.Target).Request(s.now)
	}
}

// chargeRetry charges the next attempt of a request to its retry budget, if it is a retry that isn't charged yet, and reports
// whether there was room for it. A retry that no server has got stays charged.
func (s *Scheduler) chargeRetry(r *request) bool {
	if s.options.RetryRatio <= 0 || r.reached == 0 || r.retry.pending {
		return true
	}
	decision := s.retryBudget(r.Target).Charge(s.now, s.retries.members.Part(s.now, s.options.retryLimits().Allowance))
	contactAge, inContact := s.retries.members.ContactAge(s.now)
	s.emit(RetryDecided{
		Request: r.ID, Pool: r.pool.key.target, Reason: r.currentRecord().reason, Decision: decision,
		Entries: s.retries.members.Entries(s.now), InContact: inContact, ContactAge: contactAge,
	})
	if !decision.Allowed {
		s.emit(Count{
			Counter: RetriesRefused, Tier: r.Class.GetTier(), Class: r.Class.GetName(), Label: r.currentRecord().reason, Add: 1,
		})
		return false
	}
	r.retry = retryState{pending: true, chargedAt: s.now}
	return true
}

// renewRetry charges a retry again that has waited for a server for long: it arrives in other windows than those in which it
// was decided. It reports whether the request may be sent.
func (s *Scheduler) renewRetry(r *request) bool {
	bound := time.Duration(retryDelayShare * float64(s.options.RetryWindow))
	if !r.retry.pending || s.now.Sub(r.retry.chargedAt) <= bound {
		return true
	}
	s.releaseRetry(r)
	return s.chargeRetry(r)
}

// noteReached records that the current attempt has reached, or may have reached, a server.
func (s *Scheduler) noteReached(r *request) {
	a := r.attempt
	if a.reached {
		return
	}
	a.reached = true
	r.reached++
	if r.retry.pending {
		r.retry.pending = false
		a.isRetry, a.retrySlot = true, s.retryBudget(r.Target).Arrived(s.now)
	}
}

// noteUnsent takes back that the current attempt may have reached a server: nothing was sent. An agent reports an attempt as
// started before it calls the server, and the attempts at a crashed server would otherwise use up the budget.
func (s *Scheduler) noteUnsent(r *request) {
	a := r.attempt
	if !a.reached {
		return
	}
	a.reached = false
	r.reached--
	if a.isRetry {
		a.isRetry = false
		r.retry.pending = true
		s.retryBudget(r.Target).TakeBack(a.retrySlot)
	}
}

// noteNeverStarted records whether an attempt that is proved never to have started reached a server. Servers reject requests that
// they have read, and the Started that tells of that is lost with the link.
func (s *Scheduler) noteNeverStarted(r *request, unsent bool) {
	switch {
	case unsent:
		s.noteUnsent(r)
	case r.attempt.linkLost:
		s.noteReached(r)
	}
}

// releaseRetry gives back a charge whose attempt will not be sent.
func (s *Scheduler) releaseRetry(r *request) {
	if r.retry.pending {
		r.retry.pending = false
		s.retryBudget(r.Target).Release()
	}
}

// settleRetry ends the charge of a request that ends. Its attempt, if it has one, may have reached a server unless it is proved
// that it never started.
func (s *Scheduler) settleRetry(r *request) {
	if r.attempt != nil && r.currentRecord().proof != wire.Proof_PROOF_NEVER_STARTED {
		s.noteReached(r)
	}
	s.releaseRetry(r)
}

// retryContact tells the retry budgets of contact with control. A contact before the last known one means that the machine
// was suspended.
func (s *Scheduler) retryContact(at, last time.Time) {
	s.retries.members.Confirmed(at)
	if at.Before(last) {
		for _, b := range s.retries.byTarget {
			b.DropRequests()
		}
	}
}
