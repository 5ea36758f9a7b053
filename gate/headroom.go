package gate

import "time"

// Learning of the headroom.
const (
	headroomInterval = time.Second
	headroomShare    = 4   // at most one slot in so many
	headroomKeep     = 0.9 // weight of the past, each interval
)

// headroom is how many slots are kept free for the first tier. A kept slot costs the tokens that lower tiers would
// have made in it; none costs the prefill that preemptions waste. The cheaper of the two is chosen each second.
type headroom struct {
	kept     int
	waste    float64 // tokens lost to preemption in this interval
	saved    float64 // tokens that kept slots spared
	rate     float64 // waste and savings, tokens a second, smoothed
	perEvent float64 // tokens of one preemption, smoothed
	adjusted time.Time
}

func (h *headroom) slots() int { return h.kept }

func (h *headroom) wasted(tokens float64) {
	h.waste += tokens
	if h.perEvent == 0 {
		h.perEvent = tokens
	}
	h.perEvent = headroomKeep*h.perEvent + (1-headroomKeep)*tokens
}

// took notes that a first-tier attempt used a slot that was kept for it.
func (h *headroom) took() { h.saved += h.perEvent }

// adjust weighs the cost of one more or one less kept slot.
func (h *headroom) adjust(g *Gate) {
	if h.adjusted.IsZero() {
		h.adjusted = g.now
	}
	passed := g.now.Sub(h.adjusted)
	if passed < headroomInterval {
		return
	}
	h.adjusted = g.now
	h.rate = headroomKeep*h.rate + (1-headroomKeep)*(h.waste+h.saved)/passed.Seconds()
	h.waste, h.saved = 0, 0
	idle := 0.0 // what one kept slot costs, tokens a second
	if g.lowestWaiting() > firstTier {
		idle = g.pace.decodeRate()
	}
	before := h.kept
	switch most := g.limit.slots() / headroomShare; {
	case h.rate > idle*float64(h.kept+1) && h.rate > 0 && h.kept < most:
		h.kept++
	case h.kept > 0 && h.rate <= idle*float64(h.kept) || h.kept > most:
		h.kept--
	}
	g.room.dirty = g.room.dirty || before != h.kept
}
