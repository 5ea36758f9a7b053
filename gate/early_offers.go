package gate

import (
	"math"
	"time"
)

// offerLatencyGain is the weight of one answered offer in the learnt delay.
const offerLatencyGain = 0.05

// offerLatency is the learnt time from an offer to the body, smoothed.
//
// A plain service answers in a few milliseconds, about as long as an offer takes to bring the body. If each slot were
// offered only once it is free, it would stand empty for the rest of the time. One would notice by a service that is
// used to a part of its capacity while requests to it are refused for their deadline. So as many offers are made ahead
// as slots become free in that time; what has come too early waits here, not in the service, and may still be refused
// or cancelled as never started.
type offerLatency struct{ mean time.Duration }

func (d *offerLatency) observe(took time.Duration) {
	d.mean += time.Duration(offerLatencyGain * float64(took-d.mean))
}

// earlyOffers is how many offers may be made for work like a's beyond the slots. A body that is here already needs a
// slot, and a model's run takes so long that the delay doesn't count.
func (g *Gate) earlyOffers(a *attempt) int {
	if a.state != reserved || !a.work.GetService() {
		return 0
	}
	runtime := g.predictRuntime(a.work)
	if runtime <= 0 {
		return 0
	}
	slots := g.limit.slots()
	freed := math.Ceil(float64(slots) * g.offerLatency.mean.Seconds() / runtime.Seconds())
	return min(int(freed), slots)
}

// maxEarlyOffers is a bound on offersAhead for any attempt.
func (g *Gate) maxEarlyOffers() int {
	if len(g.pace.services) == 0 {
		return 0
	}
	return g.limit.slots()
}

// heldAheadOf is how much of the room is held by what goes before an attempt: all that was started, and of the rest
// what is of no lower tier. Bodies of lower tiers that came ahead must not keep the first tier waiting.
func (g *Gate) heldAheadOf(a *attempt) int {
	n := 0
	for _, held := range g.held {
		if held.hasStarted() || held.tier() <= a.tier() || held.state == offered {
			n++
		}
	}
	return n
}

// usedSlots is the number of slots in use.
func (g *Gate) usedSlots() int {
	n := 0
	for _, held := range g.held {
		if held.hasStarted() {
			n++
		}
	}
	return n
}

func (g *Gate) hasFreeSlot() bool { return g.usedSlots() < g.limit.slots() }

// startAdmitted starts bodies that came ahead, up to a tier, while slots are free. One that has waited too long meanwhile
// is refused: its call would go on past the deadline, and its caller could only be told that nobody knows.
func (g *Gate) startAdmitted(maxTier uint32) {
	for g.server.state == serverReady && g.hasFreeSlot() {
		a := g.nextAdmitted(maxTier)
		switch {
		case a == nil:
			return
		case a.tier() != firstTier && !a.work.GetMayBeLate() && g.missesDeadline(a, 0):
			a.wait.queue.class.recordLateness(true)
			g.refuseWaiting(a, g.lateRefusal(a))
		case !g.fire(a, onStart, eventDetails{}):
			return
		}
	}
}

// nextAdmitted is the body that came ahead and starts next: of the highest tier, the one that came first.
func (g *Gate) nextAdmitted(maxTier uint32) *attempt {
	var best *attempt
	for _, a := range g.held {
		if a.state != admitted || a.tier() > maxTier {
			continue
		}
		if best == nil || a.tier() < best.tier() {
			best = a
		}
	}
	return best
}
