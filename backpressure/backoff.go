package backpressure

import "time"

const (
	// trialTimeout is how long a trial may stay unanswered before another one is allowed.
	trialTimeout = time.Second
	// initialTrials is how many sends a new sender may make before the first response arrives: the process that ran
	// before it may have been asked to back off.
	initialTrials = 2
)

// backoff stops a sender from sending to a server that asked it to back off. After the requested time a limited number
// of trials finds out whether the server accepts work again; without that limit all queued requests would be sent at
// once and be refused again.
type backoff struct {
	until         time.Time // end of the requested time
	maxTrials     int       // limit of unanswered trials, 0 outside the trial phase
	pendingTrials int       // number of unanswered trials
	lastTrial     time.Time // time of the last trial
}

// observe applies a response and reports whether it changed the state.
func (b *backoff) observe(o Observation) bool {
	if o.Backoff > 0 {
		return b.extend(o)
	}
	endsTrials := o.Route == RouteRun && !o.Mismatched && !o.SentAt.Before(b.until)
	if b.maxTrials == 0 || !endsTrials {
		return false
	}
	b.maxTrials, b.pendingTrials = 0, 0
	return true
}

// extend starts a backoff period. A period that ends before the present one changes nothing.
func (b *backoff) extend(o Observation) bool {
	until := o.ReceivedAt.Add(o.Backoff)
	if !until.After(b.until) {
		return false
	}
	b.until, b.maxTrials, b.pendingTrials = until, 1, 0
	return true
}

// isActive reports whether the requested time is not over yet.
func (b *backoff) isActive(now time.Time) bool { return now.Before(b.until) }

// available returns how many sends are allowed at the given time.
func (b *backoff) available(now time.Time) int {
	switch {
	case b.isActive(now):
		return 0
	case b.maxTrials == 0:
		return unlimited
	case b.pendingTrials >= b.maxTrials && now.Sub(b.lastTrial) >= trialTimeout:
		return 1
	default:
		return max(b.maxTrials-b.pendingTrials, 0)
	}
}

// wait returns the time until a send is allowed.
func (b *backoff) wait(now time.Time) time.Duration {
	switch {
	case b.isActive(now):
		return b.until.Sub(now)
	case b.available(now) == 0:
		return max(b.lastTrial.Add(trialTimeout).Sub(now), 0)
	default:
		return 0
	}
}

func (b *backoff) take(now time.Time) {
	if b.maxTrials > 0 {
		b.pendingTrials = min(b.pendingTrials, b.maxTrials-1) + 1
		b.lastTrial = now
	}
}

func (b *backoff) refund() { b.pendingTrials = max(b.pendingTrials-1, 0) }
