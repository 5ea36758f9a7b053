package gate

import (
	"math"
	"time"
)

// offerDelayGain is the weight of one answered offer in the learnt delay.
const offerDelayGain = 0.05

// offerDelay is the learnt time from an offer to the body, smoothed.
//
// A plain service answers in a few milliseconds, about as long as an offer takes to bring the body. If each slot were
// offered only once it is free, it would stand empty for the rest of the time. One would notice by a service that is
// used to a part of its capacity while requests to it are refused for their deadline. So as many offers are made ahead
// as slots become free in that time; what has come too early waits here, not in the service, and may still be refused
// or cancelled as never started.
type offerDelay struct{ mean time.Duration }

func (d *offerDelay) note(took time.Duration) {
	d.mean += time.Duration(offerDelayGain * float64(took-d.mean))
}

// offersAhead is how many offers may be made for work like a's beyond the slots. A body that is here already needs a
// slot, and a model's run takes so long that the delay doesn't count.
func (g *Gate) offersAhead(a *attempt) int {
	if a.state != reserved || !a.work.GetService() {
		return 0
	}
	holds := g.predict(a.work)
	if holds <= 0 {
		return 0
	}
	slots := g.limit.slots()
	freed := math.Ceil(float64(slots) * g.ahead.mean.Seconds() / holds.Seconds())
	return min(int(freed), slots)
}

// mostAhead is a bound on offersAhead for any attempt.
func (g *Gate) mostAhead() int {
	if len(g.pace.services) == 0 {
		return 0
	}
	return g.limit.slots()
}

// heldBefore is how much of the room is held by what goes before an attempt: all that was started, and of the rest
// what is of no lower tier. Bodies of lower tiers that came ahead must not keep the first tier waiting.
func (g *Gate) heldBefore(a *attempt) int {
	n := 0
	for _, held := range g.held {
		if held.begun() || held.tier() <= a.tier() || held.state == offered {
			n++
		}
	}
	return n
}

// started is the number of slots in use.
func (g *Gate) started() int {
	n := 0
	for _, held := range g.held {
		if held.begun() {
			n++
		}
	}
	return n
}

func (g *Gate) slotFree() bool { return g.started() < g.limit.slots() }

// startReady starts bodies that came ahead, up to a tier, while slots are free. One that has waited too long meanwhile
// is refused: its call would go on past the deadline, and its caller could only be told that nobody knows.
func (g *Gate) startReady(most uint32) {
	for g.server.state == serverReady && g.slotFree() {
		a := g.nextReady(most)
		switch {
		case a == nil:
			return
		case a.tier() != firstTier && !a.work.GetMayBeLate() && g.misses(a, 0):
			a.wait.queue.class.noteLate(true)
			g.refuseWaiting(a, g.lateRefusal(a))
		case !g.fire(a, onStart, occasion{}):
			return
		}
	}
}

// nextReady is the body that came ahead and starts next: of the highest tier, the one that came first.
func (g *Gate) nextReady(most uint32) *attempt {
	var best *attempt
	for _, a := range g.held {
		if a.state != admitted || a.tier() > most {
			continue
		}
		if best == nil || a.tier() < best.tier() {
			best = a
		}
	}
	return best
}
