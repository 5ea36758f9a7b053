package backpressure

import (
	"math"
	"time"
)

const (
	// targetUtilization is the fraction of a rate that senders use. The rest absorbs sends that leave slightly early or
	// late.
	targetUtilization = 0.97
	// maxCatchUp bounds how far back missed sends may be made up for in one burst.
	maxCatchUp = 100 * time.Millisecond
	// minRate is the lowest rate that is applied, in requests per second. Lower rates are raised to it: a server with a
	// rate of zero has to be probed occasionally, since only its responses can announce a higher rate.
	minRate = 0.1
	// minInterval is the interval between two sends below which a rate is not limited.
	minInterval = time.Microsecond
	// unlimited is the number of sends returned if no limit applies.
	unlimited = math.MaxInt32
)

// Limiter decides when one sender may send to one incarnation of a server. It isn't safe for concurrent use. All times
// passed to it must come from one monotonic clock. The zero value limits nothing.
//
// During a requested backoff it allows no sends, and after that one at a time until one is answered. In any window of
// length T it allows at most 1 + targetUtilization*rate*(T+maxCatchUp) sends, where rate is this sender's share of the
// server's rate, plus the sends that were taken before the window and left during it.
type Limiter struct {
	backoff backoff

	rate           Rate
	rateReceivedAt time.Time // when the latest response that named a rate arrived
	// rateInReports is set if a response to a load report has named a rate too, so that one without a rate ends the limit.
	rateInReports bool
	senders       int       // number of senders that share the rate, including this one; 0 counts as 1
	nextSend      time.Time // time at which the next send is allowed
	schedule      uint64    // incremented with each change of the interval
}

// Permit identifies a send counted by [Limiter.Take]. The zero value identifies none.
type Permit struct{ schedule uint64 }

// Rate returns the limit that the server named last.
func (l *Limiter) Rate() Rate { return l.rate }

// NewLimiter returns the limiter of a sender that doesn't know whether the process before it was asked to back off:
// until the first response it allows only a few trials.
func NewLimiter() Limiter { return Limiter{backoff: backoff{maxTrials: initialTrials}} }

// BackoffUntil returns the end of the latest requested backoff.
func (l *Limiter) BackoffUntil() time.Time { return l.backoff.until }

// IsActive reports whether a rate limit or a trial phase is in force. Only then can a response without advice change
// the state.
func (l *Limiter) IsActive() bool { return l.rate.Limited || l.backoff.maxTrials > 0 }

// Reason is why a send is not allowed.
type Reason string

// The reasons.
const (
	ReasonNone      Reason = ""
	ReasonRateLimit Reason = "rate_limit"
	ReasonBackoff   Reason = "backoff" // the requested backoff isn't over
	ReasonTrial     Reason = "trial"   // the limit of unanswered trials is reached
)

// Blocked returns why no send is allowed at the given time, or ReasonNone if one is.
func (l *Limiter) Blocked(now time.Time) Reason {
	switch {
	case l.backoff.isActive(now):
		return ReasonBackoff
	case l.backoff.available(now) == 0:
		return ReasonTrial
	case l.rateAvailable(now) == 0:
		return ReasonRateLimit
	default:
		return ReasonNone
	}
}

// Observe applies a response and reports whether it changed the state.
func (l *Limiter) Observe(o Observation) bool {
	backoffChanged, rateChanged := l.backoff.observe(o), l.observeRate(o)
	return backoffChanged || rateChanged
}

// observeRate applies what a response says about the server's rate.
func (l *Limiter) observeRate(o Observation) bool {
	if o.Rate.Limited {
		return l.setRate(o)
	}
	if !l.endsRate(o) {
		return false
	}
	l.rate, l.rateInReports = Rate{}, false
	l.schedule++
	return true
}

// setRate applies a rate named in a response.
func (l *Limiter) setRate(o Observation) bool {
	current := l.rate
	if current.Limited && o.ReceivedAt.Before(l.rateReceivedAt) {
		return false
	}
	l.rateInReports = l.rateInReports || o.Route == RouteReport
	l.rateReceivedAt = o.ReceivedAt
	if o.Rate == current {
		return false
	}
	before := l.interval()
	l.rate = o.Rate
	l.reschedule(o.ReceivedAt, before)
	return true
}

// endsRate reports whether a response without a rate shows that the limit has ended. A response to a call sent before
// the rate was named doesn't, nor does one to a call that the server refused without running it.
func (l *Limiter) endsRate(o Observation) bool {
	if !l.rate.Limited || o.Refused || o.Mismatched || len(o.Malformed) > 0 || o.SentAt.Before(l.rateReceivedAt) {
		return false
	}
	return o.Route == RouteRun || o.Route == RouteReport && l.rateInReports
}

// SetSenders sets the number of senders that share the rate, and reports whether it changed.
func (l *Limiter) SetSenders(now time.Time, senders int) bool {
	senders = max(senders, 1)
	if senders == max(l.senders, 1) {
		return false
	}
	before := l.interval()
	l.senders = senders
	l.reschedule(now, before)
	return true
}

// reschedule recomputes when the next send is allowed after the interval has changed: the remaining wait keeps its
// ratio to the interval.
func (l *Limiter) reschedule(now time.Time, previous time.Duration) {
	l.schedule++
	interval := l.interval()
	wait := interval
	if previous > 0 {
		wait = time.Duration(float64(l.nextSend.Sub(now)) / float64(previous) * float64(interval))
	}
	l.nextSend = now.Add(min(wait, interval))
}

// interval returns the time between two sends of this sender, or 0 without a limit.
func (l *Limiter) interval() time.Duration {
	if !l.rate.Limited {
		return 0
	}
	perSecond := targetUtilization * max(l.rate.PerSecond, minRate) / float64(max(l.senders, 1))
	interval := time.Duration(float64(time.Second) / perSecond)
	if interval < minInterval {
		return 0
	}
	return interval
}

// Available returns how many sends are allowed at the given time.
func (l *Limiter) Available(now time.Time) int {
	return min(l.backoff.available(now), l.rateAvailable(now))
}

// rateAvailable returns how many sends the rate allows at the given time.
func (l *Limiter) rateAvailable(now time.Time) int {
	interval := l.interval()
	if interval == 0 {
		return unlimited
	}
	due := l.due(now)
	if now.Before(due) {
		return 0
	}
	return 1 + int(now.Sub(due)/interval)
}

// due returns when the next send is allowed, at most maxCatchUp in the past.
func (l *Limiter) due(now time.Time) time.Time {
	if oldest := now.Add(-maxCatchUp); l.nextSend.Before(oldest) {
		return oldest
	}
	return l.nextSend
}

// Wait returns the time until n sends are allowed, 0 if they already are.
func (l *Limiter) Wait(now time.Time, n int) time.Duration {
	return max(l.backoff.wait(now), l.rateWait(now, n))
}

func (l *Limiter) rateWait(now time.Time, n int) time.Duration {
	interval := l.interval()
	if interval == 0 || n <= 0 {
		return 0
	}
	return max(l.due(now).Add(time.Duration(n-1)*interval).Sub(now), 0)
}

// Take counts a send that is about to be made.
func (l *Limiter) Take(now time.Time) Permit {
	l.backoff.take(now)
	interval := l.interval()
	if interval == 0 {
		return Permit{}
	}
	l.nextSend = l.due(now).Add(interval)
	return Permit{l.schedule}
}

// Refund returns a send that was counted but not made. The rate is credited only if the permit belongs to the present
// schedule.
func (l *Limiter) Refund(p Permit) {
	l.backoff.refund()
	if p == (Permit{l.schedule}) {
		l.nextSend = l.nextSend.Add(-l.interval())
	}
}

// RecordSend records that a counted send has left at the given time. The send after it may follow as early as if this
// one had left when it was due, but not earlier.
func (l *Limiter) RecordSend(now time.Time) {
	interval := l.interval()
	if interval == 0 {
		return
	}
	if earliest := now.Add(interval - maxCatchUp); l.nextSend.Before(earliest) {
		l.nextSend = earliest
	}
}
