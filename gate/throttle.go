package gate

import (
	"time"

	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/wire"
)

// handleObservation processes what a response of the server said about the load that it accepts.
//
// Room that is granted but not yet used is taken back: offers and bodies that arrived early would otherwise exceed
// the limit, and the attempts that wait here can be sent to other servers.
func (g *Gate) handleObservation(o backpressure.Observation) {
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

// setSenders divides the server's rate among that many senders.
func (g *Gate) setSenders(senders int) {
	if g.throttle.SetSenders(g.now, senders) {
		g.room.dirty = true
	}
}

// throttleReasons maps each reason to its form for attempts, entries and refusals.
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

// throttleBlock returns why the server accepts nothing at this time, whatever room it has.
func (g *Gate) throttleBlock() blockReason { return throttleReasons[g.throttle.Blocked(g.now)].reason }

// checkThrottleChange schedules a room update when the throttle changes by the passage of time alone.
func (g *Gate) checkThrottleChange() {
	if g.room.lastSent != nil && g.room.lastSent.GetThrottle() != throttleReasons[g.throttle.Blocked(g.now)].wire {
		g.room.dirty = true
	}
}

// throttleWait returns the time until the server accepts n more requests.
func (g *Gate) throttleWait(n int) time.Duration { return g.throttle.Wait(g.now, n) }

// refuseThrottled refuses a dispatch that the server doesn't accept at this time.
func (g *Gate) refuseThrottled(a *attempt) {
	reason, wait := g.throttle.Blocked(g.now), g.throttleWait(g.waiting.count+1)
	g.emit(Throttled{Attempt: a.id(), Class: a.work.GetClass(), Reason: reason, Wait: wait})
	refused := throttleReasons[reason].refusal
	refused.retryAfter = clampRetry(wait)
	g.fire(a, onRefuse, eventDetails{refusal: refused})
}

// takePermit counts an attempt that gets room against the server's rate. The attempt holds the permit until it
// starts.
func (g *Gate) takePermit(a *attempt) {
	a.run.holdsPermit = true
	a.run.permit = g.throttle.Take(g.now)
}

// usePermit records that the request of an attempt is sent.
func (g *Gate) usePermit(a *attempt) {
	a.run.holdsPermit = false
	g.throttle.RecordSend(g.now)
}

// returnPermit returns the permit of an attempt that didn't start.
func (g *Gate) returnPermit(a *attempt) {
	if a.run.holdsPermit {
		a.run.holdsPermit = false
		g.throttle.Refund(a.run.permit)
	}
}
