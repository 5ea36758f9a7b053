package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// capSourceBound is how long the control instance whose counts are followed may be silent until another one's are.
	capSourceBound = 1500 * time.Millisecond
	// capRateGain is the weight of the newest difference in the rate that is assumed of the other entries.
	capRateGain = 0.5
	// capReportPart is the part of a burst that may be used here untold while the cap is nearly used up. All entries
	// together then overrun the cap by their number times this part at most.
	capReportPart = 0.01
	// capNear is the part of the burst below which the cap counts as nearly used up.
	capNear = 0.5
	// capReportGap is the least time between two such words to control, which bounds what they cost.
	capReportGap = 100 * time.Millisecond
)

// usageCaps holds the caps of all organisations, also over changes of the desired state.
type usageCaps struct {
	now func() time.Time

	mu     sync.Mutex
	byName map[string]*usageCap
	source int       // control instance whose counts are followed
	heard  time.Time // from it
}

func newUsageCaps(now func() time.Time) *usageCaps {
	return &usageCaps{now: now, byName: make(map[string]*usageCap)}
}

// usageCap is one organisation's cap as this entry sees it: a token bucket for the whole deployment. What is used here
// is taken from it at once; what is used at other entries is taken as control tells it, and assumed to go on at the
// same rate until control tells again.
//
// Each entry holds the whole bucket and not a part of it, because callers spread unevenly: with parts, an organisation
// is refused at a busy entry while others have room. What the others used in the last moments can be missed, but it is
// taken later, so that the overrun stays as small as what is used between two words of control. An entry that is cut
// off goes on with the rate of the others that it knew last.
type usageCap struct {
	now func() time.Time

	mu         sync.Mutex
	rate       float64 // a second
	burst      float64
	level      float64 // left; below zero when too much was used
	filled     time.Time
	used       uint64 // here, since the start
	credit     uint64 // given back, and not yet taken off used
	told       uint64 // of used, to control
	toldAt     time.Time
	others     uint64 // used elsewhere, as told last by the source
	known      bool   // others was told
	othersAt   time.Time
	othersRate float64 // a second
	assumed    float64 // taken for others since othersAt
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
		u = &usageCap{now: c.now, level: float64(spec.GetBurst())}
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
	u.fill()
	u.rate, u.burst = rate, burst
	u.level = min(u.level, burst)
}

// fill lets time pass: the bucket fills, and the others go on as they did.
func (u *usageCap) fill() {
	now := u.now()
	if !u.filled.IsZero() && now.After(u.filled) {
		passed := now.Sub(u.filled).Seconds()
		u.level = min(u.level+(u.rate-u.othersRate)*passed, u.burst)
		u.assumed += u.othersRate * passed
	}
	u.filled = now
}

// takeOthers replaces what was assumed of the others by what they used. The first count of another source only says
// where its counting stands.
func (u *usageCap) takeOthers(used uint64, isNew bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fill()
	if u.known && !isNew && used >= u.others {
		difference := float64(used - u.others)
		u.level = min(u.level+u.assumed-difference, u.burst)
		if passed := u.filled.Sub(u.othersAt).Seconds(); passed > 0 {
			u.othersRate += capRateGain * (difference/passed - u.othersRate)
		}
	}
	u.others, u.known = used, true
	u.othersAt, u.assumed = u.filled, 0
}

// take admits a request of so many units, or returns after which time it could be. The last admitted request may take
// the bucket below empty, which later ones make good: otherwise one above the bucket's size could never be admitted.
func (u *usageCap) take(units uint64) (wait time.Duration, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fill()
	if u.level > 0 {
		u.level -= float64(units)
		spared := min(u.credit, units)
		u.credit -= spared
		u.used += units - spared
		return 0, true
	}
	fills := max(u.rate-u.othersRate, u.rate*capReportPart)
	if fills <= 0 {
		return time.Second, false
	}
	return time.Duration((1 - u.level) / fills * float64(time.Second)), false
}

// giveBack takes back what a request took that was refused after all. What control is told only rises, so it is made good
// with the next requests.
func (u *usageCap) giveBack(units uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fill()
	u.level = min(u.level+float64(units), u.burst)
	u.credit += units
}

// isUrgent tells whether control should hear of the use here before the next poll: the cap is nearly used up, and much
// of it here.
func (u *usageCap) isUrgent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	untold := float64(u.used - u.told)
	return u.level < capNear*u.burst && untold > capReportPart*u.burst && u.now().Sub(u.toldAt) >= capReportGap
}

// tell returns what was used here, and notes that control is told.
func (u *usageCap) tell() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.told, u.toldAt = u.used, u.now()
	return u.used
}
