package gate

import "time"

// Learning of the headroom.
const (
	headroomInterval = time.Second
	headroomDivisor  = 4   // at most one slot in so many
	headroomDecay    = 0.9 // weight of the past, each interval
)

// headroom is how many slots are kept free for the first tier. A kept slot costs the tokens that lower tiers would
// have made in it; none costs the prefill that preemptions waste. The cheaper of the two is chosen each second.
type headroom struct {
	reserved      int
	lostTokens    float64 // tokens lost to preemption in this interval
	savedTokens   float64 // tokens that kept slots spared
	rate          float64 // waste and savings, tokens a second, smoothed
	perPreemption float64 // tokens of one preemption, smoothed
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

// recordUse notes that a first-tier attempt used a slot that was kept for it.
func (h *headroom) recordUse() { h.savedTokens += h.perPreemption }

// adjust weighs the cost of one more or one less kept slot.
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
	slotCost := 0.0 // what one kept slot costs, tokens a second
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
