package sched

import (
	"slices"
	"time"
)

// Service guaranteed to classes that others go before.
const (
	// guaranteedShare is the fraction of its share of a pool's requests that a class gets of the pool's dispatches,
	// whatever goes before it. Under a lasting overload the class with the lowest precedence is then served about a
	// third as often as all requests on average.
	guaranteedShare = 0.35
	// maxCredit bounds a class's credit and debt, in dispatches: a class that had no requests for a while, or was
	// served in full, takes no slots from others later.
	maxCredit = 4
)

// promotedPrecedence is the precedence of promoted requests. Those that operators set are shifted by one to come
// after it.
const promotedPrecedence = 1

// precedence returns the class's position within its tier: a lower number goes first, 0 means that the class is
// ordered by its targets.
func (c *class) precedence() uint32 {
	configured := c.spec.GetPrecedence()
	if configured == 0 {
		return 0
	}
	return promotedPrecedence + configured
}

// precedence returns that of the request's class, or promotedPrecedence if the request was promoted.
func (r *request) precedence() uint32 {
	if r.promoted {
		return promotedPrecedence
	}
	return r.class.precedence()
}

// gatePrecedence returns the precedence that gates receive: late requests go after all others of the tier, and after these
// excess ones.
func (r *request) gatePrecedence() uint32 {
	if r.excess {
		return excessPrecedence + r.class.precedence()
	}
	if r.late {
		return latePrecedence + r.class.precedence()
	}
	return r.precedence()
}

// priority returns the position of the class among those of its tier, given its next request: higher goes first.
// Classes ordered by their targets rank by urgency, before all classes with a precedence.
func (c *class) priority(now, due time.Time, next *request) int {
	switch p := next.precedence(); {
	case p == 0:
		return urgencyBand(c.urgency(now, due))
	case c.hasCredit():
		return -promotedPrecedence
	default:
		return -int(p)
	}
}

// A class with a precedence earns credit with each dispatch of its pool, and pays with its own dispatches.
//
// Without this credit a lasting overload would serve none of the class with the lowest precedence, however small
// its demand: its callers would see an outage where others see some refusals. The credit is spent one request at a
// time. If instead all requests of the class went first until it had its share, then in a burst, when all of its
// callers are refused, they would take the slots of classes that operators put first: long answers of the lowest
// class would begin at once while the first class waits and is refused.

// hasCredit reports whether a request of the class may be promoted.
func (c *class) hasCredit() bool { return c.credit >= 1 }

// promote gives a request precedence over the other classes of its tier if its class has credit for that.
func (r *request) promote() {
	if r.promoted || r.class.precedence() == 0 || !r.class.hasCredit() || r.excess {
		return
	}
	r.promoted = true
	r.class.credit--
}

// returnCredit returns the credit of a promoted request that was never sent.
func (r *request) returnCredit() {
	if r.promoted && len(r.attempts) == 0 {
		r.class.credit = min(r.class.credit+1, maxCredit)
	}
}

// settleCredits adds the credit that the classes of the pool earn from a dispatch, and charges the dispatched
// request's class.
func (s *Scheduler) settleCredits(r *request) {
	for _, c := range r.pool.classes {
		paid := 0.0
		if c == r.class && !r.promoted {
			paid = 1
		}
		c.credit = max(min(c.credit+s.earnedPerDispatch(c, r.pool), maxCredit)-paid, -s.maxDebt(c, r.pool))
	}
}

// countArrival counts a request for the class shares. An overdue request was counted when it first arrived.
func (s *Scheduler) countArrival(r *request) {
	p := r.pool
	if !slices.Contains(p.classes, r.class) {
		removed := func(c *class) bool { return s.classes[c.name] != c }
		p.classes = append(slices.DeleteFunc(p.classes, removed), r.class)
		p.load.forget(removed)
	}
	if r.Overdue {
		return
	}
	r.class.arrivalRate.add(s.now)
	p.arrivalRate.add(s.now)
}
