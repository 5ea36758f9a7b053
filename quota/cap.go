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
	// capSlots is the number of slots that count the use in a window. It is one more than the window is divided into,
	// so that use early in the oldest slot still counts: use counts for up to 1/128 of the window too long.
	capSlots = 129
	// MaxShareWait is how long a request is held for a larger share before it is refused for lack of one. It is several
	// times as long as a proposal with a disk sync takes.
	MaxShareWait = 150 * time.Millisecond
	// ShareLease is how long an entry may use its shares after the last response of control that a quorum confirmed. It
	// is longer than the network partitions during which entries have to keep serving. The shares of an entry that
	// control has ended because it was silent stay reserved for the same time.
	ShareLease = 20 * time.Second
	// demandTimeConstant is the time constant of the exponential decay of the demand.
	demandTimeConstant = time.Second
)

// Cap is one organisation's cap at an entry: the use here in the window, and the share that limits it.
type Cap struct {
	Tolerance

	now        func() time.Time
	sinceBoot  func() time.Duration
	entries    *atomic.Int64 // number of entries in the deployment, as far as known
	requests   *requestSizes // of all organisations at this entry
	leaseValid func() bool   // whether the lease on shares is valid
	wake       func()        // triggers an immediate check of the shares

	mu           sync.Mutex
	shareChanged chan struct{} // closed and replaced when the share changes
	member       *wire.Member
	limit        float64 // units that all entries together may use in a window

	slots      [capSlots]float64 // use at this entry, by time slot
	newestSlot int64             // number of the newest slot
	used       float64           // sum of slots

	share   float64 // units held by this entry
	ceiling float64 // part of share that may be used while other entries need more
	others  otherEntries

	demand        float64 // requested units, decaying over demandTimeConstant
	demandUpdated time.Time
	recent        float64 // number of requests, decaying over the window, as of demandUpdated
	waiting       float64 // units of requests waiting for a larger share
	ungranted     float64 // units of the last raise of the share that were not granted

	expectedUnits float64 // units of the waiting requests that the last proposal for a larger share includes
	expectedUntil time.Time
	proposedLimit float64 // limit at the last proposal for a larger share
	nextRaise     time.Time
	lastYield     time.Time

	order *classOrder
}

// otherEntries is what is known about the other entries.
type otherEntries struct {
	used, held, wanted float64
}

// configure applies the present definition of the cap. If the cap was lowered, the share is scaled down at once: the
// replicated state allows no share to be raised beyond the new cap, and with every holder scaling its own share, their
// sum is within it too.
func (u *Cap) configure(member *wire.Member) {
	u.mu.Lock()
	defer u.mu.Unlock()
	limit := float64(u.Tolerance.message().Bound(member))
	if limit < u.limit {
		u.share = math.Floor(u.share * limit / u.limit)
		u.ceiling = min(u.ceiling, u.share)
	}
	u.member, u.limit = member, limit
}

// slotDuration returns the time that one slot covers. The slots reach one slot further back than the window, so that
// use early in the oldest one still counts.
func (u *Cap) slotDuration() time.Duration { return u.Window / (capSlots - 1) }

// currentSlot returns the present slot after clearing those that the window has passed. It uses the time since boot:
// with the time of day, use would leave the window early whenever a clock is set forward.
func (u *Cap) currentSlot() *float64 {
	current := int64(u.sinceBoot() / u.slotDuration())
	for i := max(u.newestSlot+1, current-capSlots+1); i <= current; i++ {
		u.used -= u.slots[i%capSlots]
		u.slots[i%capSlots] = 0
	}
	u.newestSlot = max(u.newestSlot, current)
	return &u.slots[u.newestSlot%capSlots]
}

// localUse returns the use at this entry in the window.
func (u *Cap) localUse() float64 {
	u.currentSlot()
	return max(u.used, 0)
}

// allowed returns how much may be used at this entry in a window.
func (u *Cap) allowed() float64 {
	if !u.leaseValid() {
		return 0
	}
	return min(u.share, u.ceiling)
}

// Grant is the units that a request took from a cap.
type Grant struct {
	cap   *Cap // nil for a request without a cap
	units float64
	slot  int64 // number of the slot that counts the units
	class Class
}

// RecordDemand records that a request of a class needs units. It is called once per request, before Take, which may be
// tried several times.
func (u *Cap) RecordDemand(units uint64, class Class) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests.record(float64(units))
	u.decayDemand()
	u.demand += float64(units)
	u.recent++
	u.order.recordDemand(u.now(), class, float64(units))
}

// Take admits a request of the given units, or returns the time after which it could be admitted. A request above the
// whole cap is never admitted.
func (u *Cap) Take(units uint64, class Class) (g Grant, wait time.Duration, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	own, size := u.localUse(), float64(units)
	if excess := own + size - u.allowed(); excess > 0 {
		return Grant{}, u.waitFor(excess), false
	}
	if excess := u.reserveExcess(size, class); excess > 0 {
		return Grant{}, u.waitFor(excess), false
	}
	*u.currentSlot() += size
	u.used += size
	u.order.recordTaken(class, size)
	return Grant{cap: u, units: size, slot: u.newestSlot, class: class}, 0, true
}

// reserveExcess returns by how much a request of a class would use units that are reserved for classes of higher
// precedence. Of the other entries it counts the reported use, not the held shares, because shares are held ahead of
// use: counting held shares refuses the least urgent requests while half of the cap is free.
func (u *Cap) reserveExcess(units float64, class Class) float64 {
	used := u.others.used + u.localUse()
	reserve := u.order.reserve(u.now(), class, u.entryCount(), used, u.limit)
	if reserve == 0 {
		return 0
	}
	return used + units - (u.limit - reserve)
}

// entryCount returns the number of entries, at least 1.
func (u *Cap) entryCount() float64 { return float64(max(u.entries.Load(), 1)) }

// waitFor returns the time until the given units have left the window, at this entry and, assumed evenly, at the
// others.
func (u *Cap) waitFor(excess float64) time.Duration {
	elsewhere := u.others.used / capSlots
	for i := int64(1); i < capSlots; i++ {
		excess -= u.slots[(u.newestSlot+i)%capSlots] + elsewhere
		if excess <= 0 {
			return time.Duration(i) * u.slotDuration()
		}
	}
	return u.Window
}

// AwaitShare reports whether a larger share could admit a request that Take refused. If so, it triggers a proposal for
// one and returns a channel that is closed when the share changes.
func (u *Cap) AwaitShare(units uint64) (changed <-chan struct{}, helps bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	own := u.localUse()
	isShort := own+float64(units) > u.allowed() && own+float64(units) <= u.limit
	if !isShort || u.now().Before(u.nextRaise) || u.ceiling < u.share {
		return nil, false
	}
	u.waiting += float64(units)
	u.wake()
	return u.shareChanged, true
}

// Refund returns the units of a request that did not run to the slot that they were taken from.
//
// A request may wait for most of a second before it is refused. The present slot holds only a few requests of this
// entry by then, so that refunding to it would be truncated at zero: under a burst half as much again would count as
// has run, and an organisation would be refused at two thirds of its cap. That fault shows as a use in the log lines of
// refusals that exceeds the sum of the answered requests.
func (g Grant) Refund() {
	u := g.cap
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.currentSlot()
	if u.newestSlot-g.slot < capSlots {
		slot := &u.slots[g.slot%capSlots]
		refunded := min(g.units, *slot)
		*slot -= refunded
		u.used -= refunded
	}
	u.order.recordTaken(g.class, -g.units)
}

func (u *Cap) decayDemand() {
	u.demand, u.recent, u.demandUpdated = u.currentDemand(), u.recentRequests(), u.now()
}

// recentRequests returns the number of requests in about a window.
func (u *Cap) recentRequests() float64 {
	return u.recent * decay(u.now().Sub(u.demandUpdated), u.Window)
}

// currentDemand returns the decayed demand. With a time constant of one second it is also the demand per second.
func (u *Cap) currentDemand() float64 {
	elapsed := u.now().Sub(u.demandUpdated)
	return u.demand * decay(elapsed, demandTimeConstant)
}

// report returns the use at this entry as reported to control, or nil if the entry neither uses nor holds nor lacks any
// of the cap. Control then returns no state of the other entries either, so what is known of them is discarded.
//
// If idle caps were reported too, control would receive the product of entries and organisations with each poll.
func (u *Cap) report() *wire.Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.share == 0 && u.ungranted == 0 && u.localUse() == 0 {
		u.others = otherEntries{}
		return nil
	}
	report := &wire.Usage{Used: uint64(u.localUse()), Wanted: uint64(u.ungranted)}
	if u.localUse()+u.others.used > detailThreshold*u.limit {
		for at := int64(1); at < capSlots; at += slotsPerStep {
			report.Leaving = append(report.Leaving, uint64(u.leavingUnits(at)))
		}
	}
	return report
}

const (
	// detailThreshold is the used fraction of a cap above which a report states when the use at this entry leaves the
	// window. Below it more of the cap is free than an organisation requests in a window, so that no request depends on
	// the shares of a dead entry.
	detailThreshold = 0.3
	// slotsPerStep is the number of slots in one step of a report.
	slotsPerStep = (capSlots - 1) / wire.LeavingSteps
)

// leavingUnits returns the use that leaves the window in the step that begins the given number of slots from now. The
// oldest slot is past the window already, so no use leaves earlier than reported.
func (u *Cap) leavingUnits(at int64) float64 {
	total := 0.0
	for i := at; i < min(at+slotsPerStep, capSlots); i++ {
		total += u.slots[(u.newestSlot+i)%capSlots]
	}
	return total
}

// String returns the state of the cap for logs.
func (u *Cap) String() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("%.0f used in %s of a share of %.0f, of which %.0f may be used now; of %.0f that may be held in all, "+
		"others hold %.0f and have used %.0f; %.0f more was asked for and refused",
		u.localUse(), u.Window, u.share, u.allowed(), u.limit, u.others.held, u.others.used, u.ungranted)
}
