package gate

import "time"

// Constants of the learnt headroom.
const (
	headroomInterval = time.Second
	headroomDivisor  = 4   // at most one slot in this many is reserved
	headroomDecay    = 0.9 // weight of the past in each interval
)

// headroom is the number of slots reserved for the first tier. A reserved slot costs the tokens that lower tiers
// could generate in it; without one, preemptions waste prefill. The cheaper option is chosen once a second.
type headroom struct {
	reserved      int
	lostTokens    float64 // tokens lost to preemption in this interval
	savedTokens   float64 // tokens that reserved slots saved
	rate          float64 // lost and saved tokens a second, smoothed
	perPreemption float64 // tokens lost in one preemption, smoothed
	adjusted      time.Time
}

func (h *headroom) slots() int { return h.reserved }

func (h *headroom) recordWaste(tokens float64) {
	h.lostTokens += tokens
	if h.perPreemption == 0 {
		h.perPreemption = tokens
	}
	h.perPreemption = headroomDecay*h.perPreemption + (1-headroomDecay)*tokens
}

// recordUse records that a first-tier attempt used a slot that was reserved for it.
func (h *headroom) recordUse() { h.savedTokens += h.perPreemption }

// adjust reserves one slot more or less if that is cheaper.
func (h *headroom) adjust(g *Gate) {
	if h.adjusted.IsZero() {
		h.adjusted = g.now
	}
	elapsed := g.now.Sub(h.adjusted)
	if elapsed < headroomInterval {
		return
	}
	h.adjusted = g.now
	h.rate = headroomDecay*h.rate + (1-headroomDecay)*(h.lostTokens+h.savedTokens)/elapsed.Seconds()
	h.lostTokens, h.savedTokens = 0, 0
	slotCost := 0.0 // cost of one reserved slot, tokens a second
	if g.lowestWaiting() > firstTier {
		slotCost = g.pace.decodeRate()
	}
	before := h.reserved
	switch maxReserved := g.limit.slots() / headroomDivisor; {
	case h.rate > slotCost*float64(h.reserved+1) && h.rate > 0 && h.reserved < maxReserved:
		h.reserved++
	case h.reserved > 0 && h.rate <= slotCost*float64(h.reserved) || h.reserved > maxReserved:
		h.reserved--
	}
	g.room.dirty = g.room.dirty || before != h.reserved
}
