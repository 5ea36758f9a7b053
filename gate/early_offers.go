package gate

import (
	"math"
	"time"
)

// offerLatencyGain is the weight of one answered offer in the learnt latency.
const offerLatencyGain = 0.05

// offerLatency is the learnt time from an offer to the arrival of the body, smoothed.
//
// A plain service answers in a few milliseconds, about as long as an offer takes to bring the body. If each slot
// were offered only once it is free, it would stay empty for that time: the service would run below its capacity
// while requests to it are refused for their deadline. Therefore as many offers are made early as slots become free
// during the latency. A body that arrives early waits in the gate, not in the service, so it can still be refused
// or cancelled as never started.
type offerLatency struct{ mean time.Duration }

func (d *offerLatency) observe(took time.Duration) {
	d.mean += time.Duration(offerLatencyGain * float64(took-d.mean))
}

// earlyOffers returns how many offers may be made for work like a's beyond the slots. A body that is already here
// needs a slot, and the run of a model takes so long that the latency doesn't matter.
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

// maxEarlyOffers returns an upper bound of earlyOffers over all attempts.
func (g *Gate) maxEarlyOffers() int {
	if len(g.pace.services) == 0 {
		return 0
	}
	return g.limit.slots()
}

// heldAheadOf returns the number of attempts that hold room and go before a: all that were started or offered, and
// those of the same or a higher tier. Bodies of lower tiers that arrived early must not delay the first tier.
func (g *Gate) heldAheadOf(a *attempt) int {
	n := 0
	for _, held := range g.held {
		if held.hasStarted() || held.tier() <= a.tier() || held.state == offered {
			n++
		}
	}
	return n
}

// usedSlots returns the number of held attempts that were started.
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

// startAdmitted starts bodies that arrived early, up to a tier, while slots are free. One that can't meet its
// deadline any more is refused: its call would go on past the deadline, and the caller could only be told that the
// outcome is unknown.
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

// nextAdmitted returns the early body that starts next: of the highest tier, the one that arrived first.
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
