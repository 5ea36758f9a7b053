package gate

import (
	"time"

	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/wire"
)

// heard takes what an answer of the server said of the work that it takes.
//
// Room that was given before the word is taken back where nothing was sent: offers and bodies that came ahead would otherwise still
// go out beyond the limit, and those that are waiting here can go to other servers.
func (g *Gate) heard(o backpressure.Observation) {
	if !g.throttle.Observe(o) {
		return
	}
	g.emit(ThrottleChanged{
		Rate:        g.throttle.Rate(),
		Until:       g.throttle.BackoffUntil(),
		Expects:     g.throttle.IsActive(),
		Observation: o,
	})
	g.room.dirty = true
	if g.throttle.Available(g.now) == 0 {
		g.lapseAllOffers()
	}
}

// shareRate has the server's rate shared by so many senders.
func (g *Gate) shareRate(senders int) {
	if g.throttle.SetSenders(g.now, senders) {
		g.room.dirty = true
	}
}

// throttles are the reasons as attempts and entries are told them.
var throttles = map[backpressure.Reason]struct {
	why  why
	wire wire.Throttle
	no   refusal
}{
	backpressure.ReasonNone:      {roomEnough, wire.Throttle_THROTTLE_UNSPECIFIED, refusal{}},
	backpressure.ReasonRateLimit: {whyRate, wire.Throttle_THROTTLE_RATE_LIMIT, refuseRateLimited},
	backpressure.ReasonBackoff:   {whyBackoff, wire.Throttle_THROTTLE_BACKOFF, refuseBackoff},
	backpressure.ReasonTrial:     {whyTrial, wire.Throttle_THROTTLE_TRIAL, refuseBackoff},
}

// throttled says why the server may get nothing now, whatever room it has.
func (g *Gate) throttled() why { return throttles[g.throttle.Blocked(g.now)].why }

// noteThrottle has entries told when time alone has changed what the server may get.
func (g *Gate) noteThrottle() {
	if g.room.told != nil && g.room.told.GetThrottle() != throttles[g.throttle.Blocked(g.now)].wire {
		g.room.dirty = true
	}
}

// throttledFor is the time until the server may get n more requests.
func (g *Gate) throttledFor(n int) time.Duration { return g.throttle.Wait(g.now, n) }

// refuseThrottled refuses a dispatch that the server may not get now.
func (g *Gate) refuseThrottled(a *attempt) {
	reason, wait := g.throttle.Blocked(g.now), g.throttledFor(g.waiting.count+1)
	g.emit(Throttled{Attempt: a.id(), Class: a.work.GetClass(), Reason: reason, Wait: wait})
	no := throttles[reason].no
	no.retryAfter = clampRetry(wait)
	g.fire(a, onRefuse, occasion{refusal: no})
}

// takePermit counts an attempt that gets room against the server's rate. It holds the permit until it starts.
func (g *Gate) takePermit(a *attempt) {
	a.run.permitted = true
	a.run.permit = g.throttle.Take(g.now)
}

// usePermit notes that an attempt's request leaves now.
func (g *Gate) usePermit(a *attempt) {
	a.run.permitted = false
	g.throttle.RecordSend(g.now)
}

// returnPermit gives the permit back of an attempt that didn't start.
func (g *Gate) returnPermit(a *attempt) {
	if a.run.permitted {
		a.run.permitted = false
		g.throttle.Refund(a.run.permit)
	}
}
