package quota

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// capSlots is how many slots a window is counted in, and one more, so that what was used early in the oldest one still
	// counts: use counts a 128th of the window too long.
	capSlots = 129
	// capDoubt is the part of the tolerated overrun up to which a request gets the benefit of the doubt: what other entries
	// used lately is known late or assumed, and a refusal within the cap is the worse mistake. The rest of the overrun
	// covers what they use between two words of control.
	capDoubt = 0.25
	// capDoubtFresh is the same while all that is known of the others is new. What the others may use untold is then
	// small. Measured on calm days with one organisation at twice its cap: with 0.45 throughout 2.4% and 4.3% of all
	// requests ended refused, with this pair 0.6% and 2.8%.
	capDoubtFresh = 0.8
	// capFresh is the age up to which a word of control counts as new: a few round trips between the instances.
	capFresh = 300 * time.Millisecond
	// capWhole is the age up to which an entry's own word to control counts as new there. Entries tell each second, and at
	// once when a cap is nearly used up.
	capWhole = 1200 * time.Millisecond
	// WordWait is how long a request is held for a newer word of control before it is refused for want of one.
	WordWait = 150 * time.Millisecond
	// capFirstWait is how long after its start an entry admits nothing without a first word of control. Control answers within
	// some round trips, and a poll that is lost is repeated within 50 ms.
	capFirstWait = 300 * time.Millisecond
	// capAskGap is the least time between two questions to control for such a word.
	capAskGap = 20 * time.Millisecond
	// capRateSlots is over how many slots the rate of late is taken: a second of an eight seconds' window.
	capRateSlots = 16
	// capWordBound is the age up to which a control instance's word counts beside newer ones of others.
	capWordBound = 1500 * time.Millisecond
	// capReportPart is the part of a cap that may be used here untold while the cap is nearly used up. All entries
	// together then overrun it by their number times this part at most.
	capReportPart = 0.005
	// capTellAll is the used part of a cap from which on control is told when all of what was used here leaves the window.
	capTellAll = 0.4
	// capNear is the used part of a cap from which on it counts as nearly used up.
	capNear = 0.6
	// capReportGap is the least time between two such words to control, which bounds what they cost.
	capReportGap = 50 * time.Millisecond
	// capPart is how many equal parts of what is left of a cap an entry may use until the next word of control, since
	// callers spread unevenly.
	capPart = 1.2
)

// Tolerance is over which time caps count, and what operators tolerate beyond them.
type Tolerance struct {
	Window    time.Duration
	Overrun   float64 // share beyond a cap
	Allowance float64 // units beyond that
}

// Caps holds the caps of all organisations at an entry, also over changes of the desired state.
type Caps struct {
	Tolerance

	now func() time.Time

	entries atomic.Int64 // of the deployment, as far as known

	mu     sync.Mutex
	byName map[string]*Cap
}

// NewCaps returns the caps of an entry that knows of no organisation yet.
func NewCaps(now func() time.Time, tolerance Tolerance) *Caps {
	return &Caps{now: now, Tolerance: tolerance, byName: make(map[string]*Cap)}
}

// SetEntries says how many entries the deployment has, as far as known.
func (c *Caps) SetEntries(n int) { c.entries.Store(int64(n)) }

// Cap is one organisation's cap as this entry sees it: in any window, no more than the rate times the window plus
// the burst is used in the whole deployment. What is used here counts at once; what is used at other entries counts as
// control tells it, and is assumed to go on at the same rate until control tells again.
//
// Each entry counts for the whole deployment and has no part of the cap of its own, because callers spread unevenly:
// with parts, an organisation is refused at a busy entry while others have room. What the others used in the last
// moments can be missed, but it counts later, so that the overrun stays as small as what is used between two words of
// control. An entry that hears nothing keeps to an equal part, which control sets aside for it at the others.
type Cap struct {
	Tolerance

	now     func() time.Time
	entries *atomic.Int64

	mu     sync.Mutex
	heard  chan struct{}     // closed with the next word of control
	asked  time.Time         // when control was last asked for one
	rate   float64           // a second
	burst  float64           // in a window, beyond the rate
	slots  [capSlots]float64 // use here, by time
	turn   int64             // of the newest slot
	untold float64           // used here since control was told last
	toldAt time.Time
	spent  float64 // used here since the last word of control
	may    float64 // of it at most, by the limit that needs no new word
	mayNew float64 // of it at most while that word is new
	wordAt time.Time
	since  time.Time          // when this cap was first seen
	others map[int]othersWord // by control instance
	order  *capOrder
}

// Of returns the cap of an organisation with its rate and burst as they are now, nil if it has none.
func (c *Caps) Of(spec *wire.Member) *Cap {
	c.mu.Lock()
	defer c.mu.Unlock()
	if spec.GetRatePerS() == 0 && spec.GetBurst() == 0 {
		delete(c.byName, spec.GetName())
		return nil
	}
	u := c.byName[spec.GetName()]
	if u == nil {
		u = &Cap{
			Tolerance: c.Tolerance,
			now:       c.now,
			entries:   &c.entries,
			others:    make(map[int]othersWord),
			heard:     make(chan struct{}),
			since:     c.now(),
			order:     newCapOrder(c.Window),
		}
		c.byName[spec.GetName()] = u
	}
	u.set(float64(spec.GetRatePerS()), float64(spec.GetBurst()))
	return u
}

func (c *Caps) all() map[string]*Cap {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byName)
}

// Usage tells control what each organisation has used here.
func (c *Caps) Usage() []*wire.Usage {
	caps := c.all()
	out := make([]*wire.Usage, 0, len(caps))
	for _, name := range slices.Sorted(maps.Keys(caps)) {
		word := caps[name].tell()
		word.Organisation = name
		out = append(out, word)
	}
	return out
}

// TakeOthers takes what a control instance says of the other entries.
func (c *Caps) TakeOthers(control int, others []*wire.Usage) {
	caps := c.all()
	for _, other := range others {
		if u := caps[other.GetOrganisation()]; u != nil {
			u.takeOthers(control, other)
		}
	}
}

func (u *Cap) set(rate, burst float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rate, u.burst = rate, burst
}

// step is the time that one slot stands for. The slots reach one step further back than the window, so that what was
// used early in the oldest one still counts.
func (u *Cap) step() time.Duration { return u.Window / (capSlots - 1) }

// limit is how much may count as used in a window when a request is admitted.
func (u *Cap) limit() float64 {
	if u.isFresh() {
		return u.limitWith(capDoubtFresh)
	}
	return u.limitWith(capDoubt)
}

// limitWith is the limit with a part of the tolerated overrun.
func (u *Cap) limitWith(doubt float64) float64 {
	return (u.rate*u.Window.Seconds()+u.burst)*(1+doubt*u.Overrun) + doubt*u.Allowance
}

// slot returns the present slot, after those that the window has left behind were emptied.
func (u *Cap) slot() *float64 {
	turn := u.now().UnixNano() / int64(u.step())
	for i := max(u.turn+1, turn-capSlots+1); i <= turn; i++ {
		u.slots[i%capSlots] = 0
	}
	u.turn = max(u.turn, turn)
	return &u.slots[u.turn%capSlots]
}

// sum is what counts as used in the window that ends now, here and elsewhere.
func (u *Cap) sum() float64 { return u.own() + u.elsewhere() }

// own is what was used here in the window.
func (u *Cap) own() float64 {
	u.slot()
	total := 0.0
	for _, used := range u.slots {
		total += used
	}
	return total
}

func (u *Cap) takeOthers(control int, other *wire.Usage) {
	u.mu.Lock()
	defer u.mu.Unlock()
	defer u.allow()
	u.others[control] = othersWord{
		at:      u.now(),
		used:    float64(other.GetUsed()),
		rate:    float64(other.GetRate()),
		leaving: float64(other.GetLeaving()),
		oldest:  time.Duration(other.GetOldestMs()) * time.Millisecond,
	}
	close(u.heard)
	u.heard = make(chan struct{})
}

// Grant is what a request took from a cap.
type Grant struct {
	cap   *Cap // nil for a request that no cap binds
	units float64
	turn  int64 // of the slot that they were taken in
	class Class
}

// Ask notes that a request of a class asks for units. It comes once before Take, which may be tried several times.
func (u *Cap) Ask(units uint64, class Class) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.order.ask(u.now(), class, float64(units))
}

// limitFor is how much may count as used when a request of the class is admitted: the limit, less what is set aside for
// classes that go first.
func (u *Cap) limitFor(class Class) float64 {
	limit := u.limit()
	return limit - u.order.reserve(u.now(), class, float64(max(u.entries.Load(), 1)), limit)
}

// Take admits a request of so many units, or returns after which time it could be. One above the whole limit is admitted
// when nothing else was.
func (u *Cap) Take(units uint64, class Class) (g Grant, wait time.Duration, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	sum, limit := u.sum(), u.limitFor(class)
	if sum > 0 && sum+float64(units) > limit {
		return Grant{}, u.wait(sum + float64(units) - limit), false
	}
	if u.needsWord(units) {
		return Grant{}, capReportGap, false
	}
	*u.slot() += float64(units)
	u.order.took(class, float64(units))
	u.untold += float64(units)
	u.spent += float64(units)
	return Grant{cap: u, units: float64(units), turn: u.turn, class: class}, 0, true
}

// wait is after which time so much of what counts now will have left the window, here and elsewhere, if nothing is added.
func (u *Cap) wait(excess float64) time.Duration {
	elsewhere := u.newestWord().leaving * u.step().Seconds()
	for i := int64(1); i < capSlots; i++ {
		excess -= u.slots[(u.turn+i)%capSlots] + elsewhere
		if excess <= 0 {
			return time.Duration(i) * u.step()
		}
	}
	return u.Window
}

// GiveBack returns what a request took that has not run, to the slot that it was taken from.
//
// A request may wait for a good part of a second before it is refused. Taken from the present slot, which holds a few
// requests of this entry, what it gives back was cut off at nothing: under a burst half again as much counted as had run,
// and an organisation was refused two thirds into its cap. One would notice by a use in the refusals' lines that is more than
// the sum of the answered requests.
func (g Grant) GiveBack() {
	u := g.cap
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slot()
	if u.turn-g.turn < capSlots {
		slot := &u.slots[g.turn%capSlots]
		*slot = max(*slot-g.units, 0)
	}
	u.spent = max(u.spent-g.units, 0)
	u.order.took(g.class, -g.units)
}

// String tells what the cap goes by, for people.
func (u *Cap) String() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	age := "never"
	if !u.wordAt.IsZero() {
		age = u.now().Sub(u.wordAt).Round(time.Millisecond).String()
	}
	return fmt.Sprintf("%.0f of %.0f used in %s, %.0f of it here, age of control's last word %s",
		u.sum(), u.limit(), u.Window, u.own(), age)
}
