package gate

import (
	"time"

	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/wire"
)

// handleObservation takes what an answer of the server said of the work that it takes.
//
// Room that was given before the word is taken back where nothing was sent: offers and bodies that came ahead would otherwise still
// go out beyond the limit, and those that are waiting here can go to other servers.
func (g *Gate) handleObservation(o backpressure.Observation) {
	if !g.throttle.Hear(o) {
		return
	}
	g.emit(ThrottleChanged{
		Rate:        g.throttle.Rate(),
		Until:       g.throttle.Until(),
		Expects:     g.throttle.Expects(),
		Observation: o,
	})
	g.room.dirty = true
	if g.throttle.Ready(g.now) == 0 {
		g.lapseAllOffers()
	}
}

// setSenders has the server's rate shared by so many senders.
func (g *Gate) setSenders(senders int) {
	if g.throttle.Share(g.now, senders) {
		g.room.dirty = true
	}
}

// throttleReasons are the reasons as attempts and entries are told them.
var throttleReasons = map[backpressure.Reason]struct {
	reason  blockReason
	wire    wire.Throttle
	refusal refusal
}{
	backpressure.ReasonNone:      {notBlocked, wire.Throttle_THROTTLE_UNSPECIFIED, refusal{}},
	backpressure.ReasonRateLimit: {blockedRate, wire.Throttle_THROTTLE_RATE_LIMIT, refuseRateLimited},
	backpressure.ReasonBackoff:   {blockedBackoff, wire.Throttle_THROTTLE_BACKOFF, refuseBackoff},
	backpressure.ReasonTrial:     {blockedTrial, wire.Throttle_THROTTLE_TRIAL, refuseBackoff},
}

// throttleBlock says why the server may get nothing now, whatever room it has.
func (g *Gate) throttleBlock() blockReason { return throttleReasons[g.throttle.Blocked(g.now)].reason }

// checkThrottleChange has entries told when time alone has changed what the server may get.
func (g *Gate) checkThrottleChange() {
	if g.room.lastSent != nil && g.room.lastSent.GetThrottle() != throttleReasons[g.throttle.Blocked(g.now)].wire {
		g.room.dirty = true
	}
}

// throttleWait is the time until the server may get n more requests.
func (g *Gate) throttleWait(n int) time.Duration { return g.throttle.Wait(g.now, n) }

// refuseThrottled refuses a dispatch that the server may not get now.
func (g *Gate) refuseThrottled(a *attempt) {
	reason, wait := g.throttle.Blocked(g.now), g.throttleWait(g.waiting.count+1)
	g.emit(Throttled{Attempt: a.id(), Class: a.work.GetClass(), Reason: reason, Wait: wait})
	refused := throttleReasons[reason].refusal
	refused.retryAfter = clampRetry(wait)
	g.fire(a, onRefuse, eventDetails{refusal: refused})
}

// takePermit counts an attempt that gets room against the server's rate. It holds the permit until it starts.
func (g *Gate) takePermit(a *attempt) {
	a.run.holdsPermit = true
	a.run.permit = g.throttle.Take(g.now)
}

// usePermit notes that an attempt's request leaves now.
func (g *Gate) usePermit(a *attempt) {
	a.run.holdsPermit = false
	g.throttle.Sent(g.now)
}

// returnPermit gives the permit back of an attempt that didn't start.
func (g *Gate) returnPermit(a *attempt) {
	if a.run.holdsPermit {
		a.run.holdsPermit = false
		g.throttle.GiveBack(a.run.permit)
	}
}
