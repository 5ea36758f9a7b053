package quota

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// capSlots is how many slots a window is counted in, and one more, so that what was used early in the oldest one still
	// counts: use counts a 128th of the window too long.
	capSlots = 129
	// MaxShareWait is how long a request is held for a larger share before it is refused for want of one: some times what a
	// proposal takes, with a sync of the disk.
	MaxShareWait = 150 * time.Millisecond
	// ShareLease is how long an entry uses its shares without an answer of control that a quorum confirmed. It is longer than
	// the cuts that entries are to serve through. Shares of an entry that control has ended as silent stay held for as long.
	ShareLease = 20 * time.Second
	// demandTime is over which time the rate of what is asked for is taken.
	demandTime = time.Second
)

// Cap is one organisation's cap at an entry: what has been used here in the window, and the share that may be.
type Cap struct {
	Tolerance

	now       func() time.Time
	sinceBoot func() time.Duration
	entries   *atomic.Int64 // of the deployment, as far as known
	valid     func() bool   // whether the lease on shares holds
	wake      func()        // has the entry look at its shares at once

	mu      sync.Mutex
	changed chan struct{} // closed when the share changes
	member  *wire.Member
	bound   float64 // of what all entries together may use in a window

	slots [capSlots]float64 // use here, by time
	turn  int64             // of the newest slot
	used  float64           // sum of slots

	share   float64 // that is held here
	ceiling float64 // what may be used of it, while others want some of it
	others  othersUse

	demand  float64 // asked for of late, fading over demandTime
	asked   time.Time
	blocked float64 // units of requests that wait for a larger share
	short   float64 // units that a larger share was refused

	expected      float64 // units of requests that a larger share was asked for, and that are about to take them
	expectedUntil time.Time
	askedOf       float64 // bound at the last proposal for a larger share
	raiseAt       time.Time
	yielded       time.Time

	order *capOrder
}

// othersUse is what is known of the other entries.
type othersUse struct {
	used, held, wanted float64
}

// set takes the cap as it is now. Where it was lowered, the share shrinks with it at once: the state lets no share be raised
// beyond the new cap, and if each holder scales its own, all together are within it too.
func (u *Cap) set(member *wire.Member) {
	u.mu.Lock()
	defer u.mu.Unlock()
	bound := float64(u.Tolerance.message().Bound(member))
	if bound < u.bound {
		u.share = math.Floor(u.share * bound / u.bound)
		u.ceiling = min(u.ceiling, u.share)
	}
	u.member, u.bound = member, bound
}

// step is the time that one slot stands for. The slots reach one step further back than the window, so that what was
// used early in the oldest one still counts.
func (u *Cap) step() time.Duration { return u.Window / (capSlots - 1) }

// slot returns the present slot, after those that the window has left behind were emptied. It goes by the time since boot: by
// the time of day, use would leave the window early when a clock is set forward.
func (u *Cap) slot() *float64 {
	turn := int64(u.sinceBoot() / u.step())
	for i := max(u.turn+1, turn-capSlots+1); i <= turn; i++ {
		u.used -= u.slots[i%capSlots]
		u.slots[i%capSlots] = 0
	}
	u.turn = max(u.turn, turn)
	return &u.slots[u.turn%capSlots]
}

// own is what was used here in the window.
func (u *Cap) own() float64 {
	u.slot()
	return max(u.used, 0)
}

// allowed is how much may be used here in a window.
func (u *Cap) allowed() float64 {
	if !u.valid() {
		return 0
	}
	return min(u.share, u.ceiling)
}

// Grant is what a request took from a cap.
type Grant struct {
	cap   *Cap // nil for a request that no cap binds
	units float64
	turn  int64 // of the slot that they were taken in
	class Class
}

// RecordDemand notes that a request of a class asks for units. It comes once before Take, which may be tried several times.
func (u *Cap) RecordDemand(units uint64, class Class) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fadeDemand()
	u.demand += float64(units)
	u.order.ask(u.now(), class, float64(units))
}

// Take admits a request of so many units, or returns after which time it could be. One above the whole cap never is.
func (u *Cap) Take(units uint64, class Class) (g Grant, wait time.Duration, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	own, size := u.own(), float64(units)
	if excess := own + size - u.allowed(); excess > 0 {
		return Grant{}, u.wait(excess), false
	}
	if excess := u.overOrder(size, class); excess > 0 {
		return Grant{}, u.wait(excess), false
	}
	*u.slot() += size
	u.used += size
	u.order.took(class, size)
	return Grant{cap: u, units: size, turn: u.turn, class: class}, 0, true
}

// overOrder is by how much so many units more of a class would use what is set aside for classes that go first. Of the others
// what they have used counts, as told, and not what they hold: shares are held ahead of use. With shares counted as used, the
// least urgent were refused on calm days while half of the cap was free.
func (u *Cap) overOrder(units float64, class Class) float64 {
	used := u.others.used + u.own()
	reserve := u.order.reserve(u.now(), class, u.parts(), used, u.bound)
	if reserve == 0 {
		return 0
	}
	return used + units - (u.bound - reserve)
}

// parts is the number of entries.
func (u *Cap) parts() float64 { return float64(max(u.entries.Load(), 1)) }

// wait is after which time so much of what counts now will have left the window, here and, evenly, elsewhere.
func (u *Cap) wait(excess float64) time.Duration {
	elsewhere := u.others.used / capSlots
	for i := int64(1); i < capSlots; i++ {
		excess -= u.slots[(u.turn+i)%capSlots] + elsewhere
		if excess <= 0 {
			return time.Duration(i) * u.step()
		}
	}
	return u.Window
}

// AwaitShare tells whether a larger share could let in so many units that Take refused. If so it has one asked for, and the
// channel is closed when the share changes.
func (u *Cap) AwaitShare(units uint64) (changed <-chan struct{}, helps bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	own := u.own()
	isShort := own+float64(units) > u.allowed() && own+float64(units) <= u.bound
	if !isShort || u.now().Before(u.raiseAt) || u.ceiling < u.share {
		return nil, false
	}
	u.blocked += float64(units)
	u.wake()
	return u.changed, true
}

// Refund returns what a request took that has not run, to the slot that it was taken from.
//
// A request may wait for a good part of a second before it is refused. Taken from the present slot, which holds a few
// requests of this entry, what it gives back was cut off at nothing: under a burst half again as much counted as had run,
// and an organisation was refused two thirds into its cap. One would notice by a use in the refusals' lines that is more than
// the sum of the answered requests.
func (g Grant) Refund() {
	u := g.cap
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slot()
	if u.turn-g.turn < capSlots {
		slot := &u.slots[g.turn%capSlots]
		back := min(g.units, *slot)
		*slot -= back
		u.used -= back
	}
	u.order.took(g.class, -g.units)
}

func (u *Cap) fadeDemand() { u.demand, u.asked = u.demandNow(), u.now() }

// demandNow is what was asked for of late, which is also the rate a second: it fades over one.
func (u *Cap) demandNow() float64 {
	gone := u.now().Sub(u.asked)
	return u.demand * fading(gone, demandTime)
}

// report is what control hears of the use here.
func (u *Cap) report() *wire.Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	report := &wire.Usage{Used: uint64(u.own()), Wanted: uint64(u.short)}
	if u.own()+u.others.used > reportTimes*u.bound {
		for at := int64(1); at < capSlots; at += slotsInStep {
			report.Leaving = append(report.Leaving, uint64(u.leaving(at)))
		}
	}
	return report
}

const (
	// reportTimes is the used part of a cap from which on a report says when the use here leaves the window. Below it more
	// of the cap is free than an organisation asks for in a window, so that nobody waits for what a dead entry held.
	reportTimes = 0.3
	// slotsInStep is how many slots a step of a report stands for.
	slotsInStep = (capSlots - 1) / wire.LeavingSteps
)

// leaving is what leaves the window in a step that begins so many slots from now. The oldest slot is one that the window has
// left already, so nothing leaves earlier than it is reported.
func (u *Cap) leaving(at int64) float64 {
	total := 0.0
	for i := at; i < min(at+slotsInStep, capSlots); i++ {
		total += u.slots[(u.turn+i)%capSlots]
	}
	return total
}

// String tells what the cap goes by, for people.
func (u *Cap) String() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("%.0f used in %s of a share of %.0f, of which %.0f may be used now; of %.0f that may be held in all, "+
		"others hold %.0f and have used %.0f; %.0f more was asked for and refused",
		u.own(), u.Window, u.share, u.allowed(), u.bound, u.others.held, u.others.used, u.short)
}
