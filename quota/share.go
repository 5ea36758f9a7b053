package quota

import (
	"math"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// The size of an entry's share is its use plus headroom, so that requests needn't wait for a proposal. While a cap is
// far from its limit the headroom is generous, which lets an entry keep serving during an election or a network
// partition. Close to the limit, headroom held by one entry is missing at the others.
const (
	// maxHeadroom and minHeadroom bound the headroom, as the time for which it covers the present demand.
	maxHeadroom = 2 * time.Second
	minHeadroom = 300 * time.Millisecond
	// minRecentRequests is the number of requests in a window, decaying, from which headroom is held. A single request says
	// nothing of the next one: with many entries and organisations, an entry sees one request of an organisation in
	// minutes, and headroom would be raised and lowered again for each.
	minRecentRequests = 1.5
	// headroomFraction is the fraction of the unused part of a cap that all entries together hold as headroom, and
	// floorFraction the fraction that they hold even without any use, if an entry's part of it admits a request.
	headroomFraction = 0.3
	floorFraction    = 0.25
	// MoveTimeout is after which time the outcome of a proposal counts as unknown. It is several times as long as a
	// disk sync takes on a slow disk. It can be short because a later proposal invalidates an earlier one.
	MoveTimeout = 300 * time.Millisecond
	// MoveInterval is how often an entry checks the size of its shares, in addition to when one runs short.
	MoveInterval = 250 * time.Millisecond
	// lowerMargin is the excess of a share, as a multiple of its headroom, above which the share is lowered.
	lowerMargin = 1.0
	// lowerInterval is the least time between two proposals that only lower shares. Lower shares that no other entry
	// waits for go with the next proposal for a larger one.
	lowerInterval = time.Second
	// minRaiseInterval is the least time between two proposals for a larger share after one that was not granted in
	// full.
	minRaiseInterval = 200 * time.Millisecond
	// yieldInterval and yieldFraction: while other entries need more of the cap, an entry that holds more than an equal
	// share gives up this fraction of its share each interval.
	yieldInterval = 500 * time.Millisecond
	yieldFraction = 0.1
)

// decay returns the factor by which an exponentially decaying sum shrinks in a time.
func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}

// headroom returns how much is held beyond the use, and the smallest share. While any entry lacks units of the cap,
// both are minimal.
func (u *Cap) headroom() (reserve, floor float64) {
	demand := u.currentDemand()
	if u.ungranted == 0 && u.recentRequests() < minRecentRequests {
		demand = 0
	}
	least, most := demand*minHeadroom.Seconds(), demand*maxHeadroom.Seconds()
	if u.others.wanted > 0 || u.ungranted > 0 {
		return least, 0
	}
	used := u.localUse() + u.others.used
	unused := max(u.limit-used, 0)
	fraction := 1 / u.entryCount()
	if used > 0 {
		fraction = u.localUse() / used
	}
	return min(max(unused*headroomFraction*fraction, least), most), u.floor(unused)
}

// floor returns the share that is held without any use, of a cap with the given unused units. A floor that admits no
// request of the usual size is not held: it would cost a proposal and a record for each entry and organisation, and
// each request would still wait for a larger share.
func (u *Cap) floor(unused float64) float64 {
	floor := unused * floorFraction / u.entryCount()
	usual := u.requests.mean()
	if u.share > 0 {
		usual /= 2 // a floor that varies around the usual size is kept
	}
	if usual == 0 || floor < usual {
		return 0
	}
	return floor
}

// sizing is how large a share should be.
type sizing struct {
	own     float64 // use in the window
	reserve float64
	floor   float64
	want    float64 // the share that should be held, in whole units
}

// size returns how large the share should be. The caller holds the lock.
func (u *Cap) size() sizing {
	s := sizing{own: u.localUse()}
	s.reserve, s.floor = u.headroom()
	maxShare := u.limit
	if u.others.wanted > 0 {
		maxShare = max(u.limit/u.entryCount(), u.share)
	}
	s.want = math.Ceil(min(max(s.own+s.reserve+u.waiting, s.floor), maxShare))
	return s
}

// proposeRaise returns the larger share that should be held, or nil if the present one suffices.
func (u *Cap) proposeRaise() *wire.Share {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.yield()
	s := u.size()
	isShort := u.share < min(max(s.own+u.waiting+s.reserve/2, s.floor/2), u.limit)
	if !isShort {
		u.ungranted = 0
	}
	if !isShort || s.want <= u.share || u.ceiling < u.share || u.now().Before(u.nextRaise) {
		return nil
	}
	u.expectedUnits, u.expectedUntil = u.waiting, u.now().Add(MaxShareWait)
	u.waiting = 0 // requests that still wait add their units again
	u.proposedLimit = u.limit
	return &wire.Share{Units: uint64(s.want), Uses: uint64(u.share)}
}

// proposeLower returns the smaller share that should be held, or nil if the present one is suitable. A smaller share
// takes effect at once. If isDue is false, a share is lowered only for other entries that need more of the cap. It is called
// after a proposeRaise that returned nil.
func (u *Cap) proposeLower(isDue bool) *wire.Share {
	u.mu.Lock()
	defer u.mu.Unlock()
	defer func() { u.waiting = 0 }() // requests that still wait add their units again
	if !isDue && u.others.wanted <= 0 {
		return nil
	}
	s := u.size()
	switch {
	case u.share > s.want+lowerMargin*s.reserve+s.floor/2+u.expectedUnitsNow():
		return u.lower(max(s.want, math.Ceil(s.own)))
	case math.Ceil(u.ceiling) < u.share && s.own <= u.ceiling:
		return u.lower(math.Ceil(u.ceiling))
	}
	return nil
}

// lower reduces the share at once, and returns the share to propose.
func (u *Cap) lower(share float64) *wire.Share {
	u.share = share
	return &wire.Share{Units: uint64(share), Uses: uint64(share)}
}

// expectedUnitsNow returns the units that requests waiting for a larger share are about to take from it. Lowering the
// share in that moment would refuse them.
func (u *Cap) expectedUnitsNow() float64 {
	if u.now().After(u.expectedUntil) {
		return 0
	}
	return u.expectedUnits
}

// yield lowers the usable part of the share while other entries need more of the cap, down to an equal share.
//
// Shares are granted in the order of the proposals, and an entry that uses all of its share never needs to propose
// again. Without yielding, an entry that starts while an organisation requests several times its cap would get nothing
// for as long as the overload lasts: its callers would be refused while those of all other entries are served.
func (u *Cap) yield() {
	equal := u.limit / u.entryCount()
	if u.others.wanted <= 0 || u.share <= equal {
		u.ceiling = math.Inf(1)
		return
	}
	if u.now().Sub(u.lastYield) < yieldInterval {
		return
	}
	u.lastYield = u.now()
	u.ceiling = max(u.share*(1-yieldFraction), equal)
}

// applyOutcome applies what the replicated state holds for this entry after a proposal, nil if the outcome isn't known.
func (u *Cap) applyOutcome(proposed uint64, held *wire.Share) {
	u.mu.Lock()
	defer u.mu.Unlock()
	defer u.notify()
	if held == nil {
		return
	}
	u.others.held = float64(held.GetOthers())
	if float64(proposed) <= u.share {
		u.ungranted = 0
		return // a lowered share took effect before the proposal
	}
	// If the cap was lowered while the proposal was in flight, the granted share is scaled like one that was held
	// before.
	scale := min(u.limit/u.proposedLimit, 1)
	u.share = max(u.share, float64(held.GetUnits())*scale)
	u.ungranted = max(float64(proposed)-float64(held.GetUnits()), 0)
	if u.ungranted > 0 {
		u.nextRaise = u.now().Add(minRaiseInterval)
	}
}

// notify wakes the requests that wait for a larger share.
func (u *Cap) notify() {
	close(u.shareChanged)
	u.shareChanged = make(chan struct{})
}

func (u *Cap) applyState(state *wire.CapState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.others = otherEntries{
		used:   float64(state.GetUsed()),
		held:   float64(state.GetHeld()),
		wanted: float64(state.GetWanted()),
	}
	if u.others.held+u.share < u.limit && u.ungranted > 0 {
		u.nextRaise = time.Time{}
		u.wake()
	}
}
