package entry

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// capSlots is how many slots a window is counted in. One more or less of them is a thirtieth of the cap.
	capSlots = 33
	// capDoubt is the part of the tolerated overrun up to which a request gets the benefit of the doubt: what other entries
	// used lately is known late or assumed, and a refusal within the cap is the worse mistake. The rest of the overrun
	// covers what they use between two words of control.
	capDoubt = 0.6
	// capSourceBound is how long the control instance whose counts are followed may be silent until another one's are.
	capSourceBound = 1500 * time.Millisecond
	// capRateGain is the weight of the newest difference in the rate that is assumed of the other entries.
	capRateGain = 0.5
	// capReportPart is the part of a cap that may be used here untold while the cap is nearly used up. All entries
	// together then overrun it by their number times this part at most.
	capReportPart = 0.005
	// capNear is the used part of a cap from which on it counts as nearly used up.
	capNear = 0.6
	// capReportGap is the least time between two such words to control, which bounds what they cost.
	capReportGap = 100 * time.Millisecond
)

// usageCaps holds the caps of all organisations, also over changes of the desired state.
type usageCaps struct {
	now       func() time.Time
	window    time.Duration
	overrun   float64 // tolerated share beyond a cap
	allowance float64 // tolerated units beyond that

	mu     sync.Mutex
	byName map[string]*usageCap
	source int       // control instance whose counts are followed
	heard  time.Time // from it
}

func newUsageCaps(now func() time.Time, s settings.Entry) *usageCaps {
	return &usageCaps{
		now:       now,
		window:    s.Timing.UsageWindow,
		overrun:   capDoubt * s.Limits.UsageOverrun,
		allowance: capDoubt * float64(s.Limits.UsageAllowance),
		byName:    make(map[string]*usageCap),
	}
}

// usageCap is one organisation's cap as this entry sees it: in any window, no more than the rate times the window plus
// the burst is used in the whole deployment. What is used here counts at once; what is used at other entries counts as
// control tells it, and is assumed to go on at the same rate until control tells again.
//
// Each entry counts for the whole deployment and has no part of the cap of its own, because callers spread unevenly:
// with parts, an organisation is refused at a busy entry while others have room. What the others used in the last
// moments can be missed, but it counts later, so that the overrun stays as small as what is used between two words of
// control. An entry that is cut off goes on with the rate of the others that it knew last.
type usageCap struct {
	now                func() time.Time
	window             time.Duration
	overrun, allowance float64

	mu         sync.Mutex
	rate       float64           // a second
	burst      float64           // in a window, beyond the rate
	slots      [capSlots]float64 // use by time, here and as told of others
	turn       int64             // of the newest slot
	used       uint64            // here, since the start
	credit     uint64            // given back, and not yet taken off used
	told       uint64            // of used, to control
	toldAt     time.Time
	others     uint64 // used elsewhere, as told last by the source
	known      bool   // others was told
	othersAt   time.Time
	othersRate float64 // a second
}

// of returns the cap of an organisation with its rate and burst as they are now, nil if it has none.
func (c *usageCaps) of(spec *wire.Member) *usageCap {
	c.mu.Lock()
	defer c.mu.Unlock()
	if spec.GetRatePerS() == 0 && spec.GetBurst() == 0 {
		delete(c.byName, spec.GetName())
		return nil
	}
	u := c.byName[spec.GetName()]
	if u == nil {
		u = &usageCap{now: c.now, window: c.window, overrun: c.overrun, allowance: c.allowance}
		c.byName[spec.GetName()] = u
	}
	u.set(float64(spec.GetRatePerS()), float64(spec.GetBurst()))
	return u
}

func (c *usageCaps) all() map[string]*usageCap {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byName)
}

// usage tells control what each organisation has used here.
func (c *usageCaps) usage() []*wire.Usage {
	caps := c.all()
	out := make([]*wire.Usage, 0, len(caps))
	for _, name := range slices.Sorted(maps.Keys(caps)) {
		out = append(out, &wire.Usage{Organisation: name, Used: caps[name].tell()})
	}
	return out
}

// takeOthers takes what a control instance says of the other entries. The counts of two instances begin at different
// moments, so one instance is followed as long as it answers.
func (c *usageCaps) takeOthers(control int, others []*wire.OtherUsage) {
	c.mu.Lock()
	now := c.now()
	isNew := control != c.source || c.heard.IsZero()
	if isNew && !c.heard.IsZero() && now.Sub(c.heard) < capSourceBound {
		c.mu.Unlock()
		return
	}
	c.source, c.heard = control, now
	c.mu.Unlock()
	caps := c.all()
	for _, other := range others {
		if u := caps[other.GetOrganisation()]; u != nil {
			u.takeOthers(other.GetUsed(), isNew)
		}
	}
}

func (u *usageCap) set(rate, burst float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rate, u.burst = rate, burst
}

// step is the time that one slot stands for. The slots reach one step further back than the window, so that what was
// used early in the oldest one still counts.
func (u *usageCap) step() time.Duration { return u.window / (capSlots - 1) }

// limit is how much may count as used in a window when a request is admitted.
func (u *usageCap) limit() float64 {
	return (u.rate*u.window.Seconds()+u.burst)*(1+u.overrun) + u.allowance
}

// slot returns the present slot, after those that the window has left behind were emptied.
func (u *usageCap) slot() *float64 {
	turn := u.now().UnixNano() / int64(u.step())
	for i := max(u.turn+1, turn-capSlots+1); i <= turn; i++ {
		u.slots[i%capSlots] = 0
	}
	u.turn = max(u.turn, turn)
	return &u.slots[u.turn%capSlots]
}

// sum is what counts as used in the window that ends now.
func (u *usageCap) sum() float64 {
	u.slot()
	total := u.assumed()
	for _, used := range u.slots {
		total += used
	}
	return total
}

// assumed is what the others have probably used since control told last.
func (u *usageCap) assumed() float64 {
	if !u.known {
		return 0
	}
	return u.othersRate * min(u.now().Sub(u.othersAt), u.window).Seconds()
}

// takeOthers replaces what was assumed of the others by what they used. The first count of another source only says
// where its counting stands.
func (u *usageCap) takeOthers(used uint64, isNew bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	if u.known && !isNew && used >= u.others {
		difference := float64(used - u.others)
		*u.slot() += difference
		if passed := now.Sub(u.othersAt).Seconds(); passed > 0 {
			u.othersRate += capRateGain * (difference/passed - u.othersRate)
		}
	}
	u.others, u.known, u.othersAt = used, true, now
}

// take admits a request of so many units, or returns after which time it could be. One above the whole limit is admitted
// when nothing else was.
func (u *usageCap) take(units uint64) (wait time.Duration, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	sum := u.sum()
	if sum > 0 && sum+float64(units) > u.limit() {
		return u.wait(sum + float64(units) - u.limit()), false
	}
	*u.slot() += float64(units)
	spared := min(u.credit, units)
	u.credit -= spared
	u.used += units - spared
	return 0, true
}

// wait is after which time so much of what counts now will have left the window, if nothing is added.
func (u *usageCap) wait(excess float64) time.Duration {
	for i := int64(1); i < capSlots; i++ {
		excess -= u.slots[(u.turn+i)%capSlots]
		if excess <= 0 {
			return time.Duration(i) * u.step()
		}
	}
	return u.window
}

// giveBack takes back what a request took that was refused after all. What control is told only rises, so it is made good
// with the next requests.
func (u *usageCap) giveBack(units uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	slot := u.slot()
	*slot = max(*slot-float64(units), 0)
	u.credit += units
}

// String tells what the cap goes by, for people.
func (u *usageCap) String() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("%.0f of %.0f used in %s; others use %.0f a second, told %s ago",
		u.sum(), u.limit(), u.window, u.othersRate, u.now().Sub(u.othersAt).Round(time.Millisecond))
}

// isUrgent tells whether control should hear of the use here before the next poll: the cap is nearly used up, and much
// of it here.
func (u *usageCap) isUrgent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	untold := float64(u.used - u.told)
	if untold <= capReportPart*u.limit() || u.now().Sub(u.toldAt) < capReportGap {
		return false
	}
	return u.sum() > capNear*u.limit()
}

// tell returns what was used here, and notes that control is told.
func (u *usageCap) tell() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.told, u.toldAt = u.used, u.now()
	return u.used
}
