package backpressure

import (
	"math"
	"time"
)

const (
	// usedShare is the part of a rate that senders plan for. The rest covers sends that leave a little early or late.
	usedShare = 0.97
	// catchUp is for how long sends that were due and could not be made may be made up for, in one go.
	catchUp = 100 * time.Millisecond
	// leastRate is the rate, a second, that a lower one counts as: a server whose rate is zero is tried now and then, since only its
	// answers can say that it takes more.
	leastRate = 0.1
	// leastInterval is the time between two sends below which a rate is no limit.
	leastInterval = time.Microsecond
	// unlimited is how many sends may be made where nothing limits them.
	unlimited = math.MaxInt32
)

// Limiter decides when one sender may send to one run of a server. It isn't safe for concurrent use. Its times are those of
// one monotonic clock. The zero value limits nothing.
//
// Within a time that the server asked to keep away for it allows nothing, and after it one send until one is answered. In any
// window of length T it allows at most 1 + usedShare*rate*(T+catchUp) sends, of its share of the rate, and as many more as were
// allowed before the window and left in it.
type Limiter struct {
	backoff backoff

	rate  Rate
	heard time.Time // when the answer came that named the rate last
	// byReport: a load report named a rate as well, so that one without it tells that there is none.
	byReport bool
	senders  int       // that the rate is shared by, itself included; 0 is 1
	next     time.Time // when the next send is due
	schedule uint64    // number of the present schedule, which each change of the interval replaces
}

// Permit is a send that was counted. The zero value is none.
type Permit struct{ schedule uint64 }

// Rate is the limit that the server named last.
func (l *Limiter) Rate() Rate { return l.rate }

// NewLimiter returns the limiter of a sender that doesn't know what its predecessor was asked: until the first answer it makes some
// trials only.
func NewLimiter() Limiter { return Limiter{backoff: backoff{most: firstTrials}} }

// BackoffUntil is the end of the time that the server asked to keep away for last.
func (l *Limiter) BackoffUntil() time.Time { return l.backoff.until }

// IsActive tells whether answers that say nothing matter.
func (l *Limiter) IsActive() bool { return l.rate.Limited || l.backoff.most > 0 }

// Reason is what keeps a sender from a server.
type Reason string

// The reasons.
const (
	ReasonNone      Reason = ""
	ReasonRateLimit Reason = "rate_limit"
	ReasonBackoff   Reason = "backoff" // the time that the server asked for isn't over
	ReasonTrial     Reason = "trial"   // a trial isn't answered
)

// Blocked says why nothing may be sent now.
func (l *Limiter) Blocked(now time.Time) Reason {
	switch {
	case l.backoff.isAway(now):
		return ReasonBackoff
	case l.backoff.ready(now) == 0:
		return ReasonTrial
	case l.rateReady(now) == 0:
		return ReasonRateLimit
	default:
		return ReasonNone
	}
}

// Observe takes what an answer said, and tells whether that changed anything.
func (l *Limiter) Observe(o Observation) bool {
	isBackoff, isRate := l.backoff.hear(o), l.hearRate(o)
	return isBackoff || isRate
}

// hearRate takes what an answer said of the server's rate.
func (l *Limiter) hearRate(o Observation) bool {
	if o.Rate.Limited {
		return l.name(o)
	}
	if !l.ends(o) {
		return false
	}
	l.rate, l.byReport = Rate{}, false
	l.schedule++
	return true
}

// name takes a rate that an answer names.
func (l *Limiter) name(o Observation) bool {
	known := l.rate
	if known.Limited && o.ReceivedAt.Before(l.heard) {
		return false
	}
	l.byReport = l.byReport || o.Route == RouteReport
	l.heard = o.ReceivedAt
	if o.Rate == known {
		return false
	}
	before := l.interval()
	l.rate = o.Rate
	l.reschedule(o.ReceivedAt, before)
	return true
}

// ends tells whether an answer that names no rate shows that there is none any more. An answer to a call that was sent before
// the rate was named, or one that the server refused without running it, doesn't.
func (l *Limiter) ends(o Observation) bool {
	if !l.rate.Limited || o.Refused || o.Mismatched || len(o.Malformed) > 0 || o.SentAt.Before(l.heard) {
		return false
	}
	return o.Route == RouteRun || o.Route == RouteReport && l.byReport
}

// SetSenders has the rate shared by so many senders, and tells whether that is a change.
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

// reschedule plans the next send anew after the interval has changed: the part of the wait that is left stays the same part.
func (l *Limiter) reschedule(now time.Time, before time.Duration) {
	l.schedule++
	interval := l.interval()
	wait := interval
	if before > 0 {
		wait = time.Duration(float64(l.next.Sub(now)) / float64(before) * float64(interval))
	}
	l.next = now.Add(min(wait, interval))
}

// interval is the time between two sends of this sender, 0 if there is no limit.
func (l *Limiter) interval() time.Duration {
	if !l.rate.Limited {
		return 0
	}
	perSecond := usedShare * max(l.rate.PerSecond, leastRate) / float64(max(l.senders, 1))
	interval := time.Duration(float64(time.Second) / perSecond)
	if interval < leastInterval {
		return 0
	}
	return interval
}

// Available is how many sends may be made now.
func (l *Limiter) Available(now time.Time) int { return min(l.backoff.ready(now), l.rateReady(now)) }

// rateReady is how many sends the rate allows now.
func (l *Limiter) rateReady(now time.Time) int {
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

// due is when the next send is due, with what can't be made up for left out.
func (l *Limiter) due(now time.Time) time.Time {
	if oldest := now.Add(-catchUp); l.next.Before(oldest) {
		return oldest
	}
	return l.next
}

// Wait is how long it takes until n sends could be made, 0 if they could now.
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
	l.next = l.due(now).Add(interval)
	return Permit{l.schedule}
}

// Refund returns a send that was counted and isn't made. One of an earlier schedule isn't in the present one.
func (l *Limiter) Refund(p Permit) {
	l.backoff.giveBack()
	if p == (Permit{l.schedule}) {
		l.next = l.next.Add(-l.interval())
	}
}

// RecordSend notes that a send that was counted before has left now: the one after it may follow it as soon as if it had left when it
// was due, but not sooner.
func (l *Limiter) RecordSend(now time.Time) {
	interval := l.interval()
	if interval == 0 {
		return
	}
	if earliest := now.Add(interval - catchUp); l.next.Before(earliest) {
		l.next = earliest
	}
}
