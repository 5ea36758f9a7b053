package quota

import (
	"math"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// How large a share an entry holds. It is what is used, and something ahead of it, so that requests needn't wait for a
// proposal. While a cap is far from used up, that may be generous: it lets an entry serve through an election or a cut. Near
// the cap what is held ahead is missing elsewhere.
const (
	// aheadMost and aheadLeast are for how long the present demand is held ahead, at most and at least.
	aheadMost  = 2 * time.Second
	aheadLeast = 300 * time.Millisecond
	// aheadPart is the part of what is unused of a cap that all entries together hold ahead of their use, and floorPart the part
	// that they hold whether or not they use anything.
	aheadPart = 0.3
	floorPart = 0.25
	// MoveTimeout is after which the outcome of a proposal is taken for lost: some times what a sync of a slow disk takes. A
	// later proposal makes an earlier one void, so it needn't be long.
	MoveTimeout = 300 * time.Millisecond
	// MoveInterval is how often an entry looks whether its shares fit, besides when one runs short.
	MoveInterval = 250 * time.Millisecond
	// slack is how much larger than wanted a share may be before it is lowered, by what is held ahead.
	slack = 1.0
	// raiseGap is the least time between two proposals for a larger share of a cap of which nothing was left.
	raiseGap = 200 * time.Millisecond
	// yieldGap and yieldPart: while others lack some of a cap, an entry with more than an equal part of it gives up this part
	// of its share each time.
	yieldGap  = 500 * time.Millisecond
	yieldPart = 0.1
)

// fading is what is left after a time of a sum that fades over another.
func fading(gone, over time.Duration) float64 { return math.Exp(-gone.Seconds() / over.Seconds()) }

// ahead is how much is held beyond what is used, and the least share. While somebody lacks some of the cap, little is.
func (u *Cap) ahead() (reserve, floor float64) {
	demand := u.demandNow()
	least, most := demand*aheadLeast.Seconds(), demand*aheadMost.Seconds()
	if u.others.wanted > 0 || u.short > 0 {
		return least, 0
	}
	used := u.own() + u.others.used
	unused := max(u.bound-used, 0)
	part := 1 / u.parts()
	if used > 0 {
		part = u.own() / used
	}
	return min(max(unused*aheadPart*part, least), most), unused * floorPart / u.parts()
}

// move returns the share that should be held, nil if the one that is fits. A smaller one holds at once.
func (u *Cap) move() *wire.Share {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.yield()
	reserve, floor := u.ahead()
	own, blocked := u.own(), u.blocked
	u.blocked = 0 // whoever still waits says so again
	most := u.bound
	if u.others.wanted > 0 {
		most = max(u.bound/u.parts(), u.share)
	}
	want := math.Ceil(min(max(own+reserve+blocked, floor), most))
	isShort := u.share < min(max(own+blocked+reserve/2, floor/2), u.bound)
	if !isShort {
		u.short = 0
	}
	switch {
	case isShort && want > u.share && u.ceiling >= u.share && !u.now().Before(u.raiseAt):
		u.expected, u.expectedUntil = blocked, u.now().Add(MaxShareWait)
		u.askedOf = u.bound
		return &wire.Share{Units: uint64(want), Uses: uint64(u.share)}
	case u.share > want+slack*reserve+floor/2+u.expectedNow():
		return u.lower(max(want, math.Ceil(own)))
	case math.Ceil(u.ceiling) < u.share && own <= u.ceiling:
		return u.lower(math.Ceil(u.ceiling))
	}
	return nil
}

// lower has less of the cap used here from now on, and returns the share to propose.
func (u *Cap) lower(share float64) *wire.Share {
	u.share = share
	return &wire.Share{Units: uint64(share), Uses: uint64(share)}
}

// expectedNow is what requests that waited for a larger share are about to take of it. Lowered in that moment, it would be
// there for none of them.
func (u *Cap) expectedNow() float64 {
	if u.now().After(u.expectedUntil) {
		return 0
	}
	return u.expected
}

// yield lowers what may be used here while others lack some of the cap, down to an equal part of it.
//
// Shares are given to who asks first, and one who uses all of its own never needs to ask again. An entry that starts while
// an organisation asks for several times its cap would have nothing for it: its callers are refused, those of all other
// entries are served, for as long as the load lasts.
func (u *Cap) yield() {
	equal := u.bound / u.parts()
	if u.others.wanted <= 0 || u.share <= equal {
		u.ceiling = math.Inf(1)
		return
	}
	if u.now().Sub(u.yielded) < yieldGap {
		return
	}
	u.yielded = u.now()
	u.ceiling = max(u.share*(1-yieldPart), equal)
}

// moved takes what the state has for this entry after a proposal, nil if the outcome isn't known.
func (u *Cap) moved(asked uint64, held *wire.Share) {
	u.mu.Lock()
	defer u.mu.Unlock()
	defer u.notify()
	if held == nil {
		return
	}
	u.others.held = float64(held.GetOthers())
	if float64(asked) <= u.share {
		u.short = 0
		return // it was lowered, and held here from before the proposal
	}
	// Of a cap that was lowered while the proposal was on its way the share is scaled like one that was held before.
	lowered := min(u.bound/u.askedOf, 1)
	u.share = max(u.share, float64(held.GetUnits())*lowered)
	u.short = max(float64(asked)-float64(held.GetUnits()), 0)
	if u.short > 0 {
		u.raiseAt = u.now().Add(raiseGap)
	}
}

// notify lets those look again who wait for a larger share.
func (u *Cap) notify() {
	close(u.changed)
	u.changed = make(chan struct{})
}

func (u *Cap) takeState(state *wire.CapState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.others = othersUse{
		used:   float64(state.GetUsed()),
		held:   float64(state.GetHeld()),
		wanted: float64(state.GetWanted()),
	}
	if u.others.held+u.share < u.bound && u.short > 0 {
		u.raiseAt = time.Time{}
		u.wake()
	}
}
