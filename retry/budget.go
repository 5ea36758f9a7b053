package retry

import (
	"math"
	"time"
)

const (
	// slotsPerWindow is the number of time slots into which a window is divided. Requests in a window's first and last slot
	// are not credited to it, so a budget is at most 1/slotsPerWindow too small.
	slotsPerWindow = 40
	// halfWindow is half a window, in slots.
	halfWindow = slotsPerWindow / 2
	// slotCount covers a window and the half window before it.
	slotCount = slotsPerWindow + halfWindow
	// earlierWeight is the weight of the window that began half a window earlier in the requests credited to a window. The
	// rest is the weight of the window itself. The earlier one lets a burst of failures use what requests before it have
	// earned; the window itself lets a process that has just started earn at once.
	earlierWeight = 0.5
	// tolerance is added to limits, since sums of fractions are inexact.
	tolerance = 1e-9
)

// Limits bound the repeats for one service, over all entries.
type Limits struct {
	Ratio     float64 // repeats per request
	Window    time.Duration
	Allowance float64 // repeats in a window beyond Ratio
}

// Budget counts the requests for one service and their repeats at one entry process. The zero value is not valid, see [New].
type Budget struct {
	limits  Limits
	started time.Time
	slots   [slotCount]slot
	newest  int64 // number of the newest slot, 0 for the one in which the process started
	pending int   // repeats that were charged and have not arrived
}

type slot struct {
	requests, arrivals int
}

// New returns the budget of a process, which counts from the given time.
func New(limits Limits, started time.Time) *Budget {
	return &Budget{limits: limits, started: started}
}

// Decision says whether a repeat was charged, and by which window: the one that leaves the least room.
type Decision struct {
	Allowed  bool
	Since    time.Duration // age of the window's begin
	Requests float64       // credited to the window
	Arrivals int           // repeats that arrived in the window
	Pending  int           // repeats that have not arrived yet
	Part     float64       // of the allowance
	Limit    float64       // repeats that the window may have
}

// Request counts a request for the service.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.slot(b.newest).requests++
}

// Charge charges a repeat if each window that ends now has room for it, with the given part of the allowance. Arrived,
// Release or another end of the repeat must follow.
func (b *Budget) Charge(now time.Time, part Part) Decision {
	b.advance(now)
	d := b.decide(now, part)
	if d.Allowed {
		b.pending++
	}
	return d
}

// Arrived counts a charged repeat as arrived at a server. It returns the number of the slot, for TakeBack.
func (b *Budget) Arrived(now time.Time) int64 {
	b.advance(now)
	b.pending--
	b.slot(b.newest).arrivals++
	return b.newest
}

// Release takes a charged repeat back that has not arrived and never will.
func (b *Budget) Release() { b.pending-- }

// TakeBack makes a repeat that was counted as arrived pending again, since it is proved that it was not sent.
func (b *Budget) TakeBack(number int64) {
	b.pending++
	if number <= b.newest && b.newest-number < slotCount {
		b.slot(number).arrivals--
	}
}

// DropRequests removes the credit for all requests. The time in which the process was suspended isn't counted by its
// clock, so it isn't known which of them are still within a window.
func (b *Budget) DropRequests() {
	for i := range b.slots {
		b.slots[i].requests = 0
	}
}

// Idle reports whether the budget counts nothing, as of now.
func (b *Budget) Idle(now time.Time) bool {
	b.advance(now)
	return b.pending == 0 && b.slots == [slotCount]slot{}
}

// decide compares the repeats in each window that contains the present with its limit. Such a window begins in one of the
// last slotsPerWindow slots.
func (b *Budget) decide(now time.Time, part Part) Decision {
	var least Decision
	room := math.Inf(1)
	arrivals, own := 0, 0
	for age := range int64(slotsPerWindow + 1) {
		number := b.newest - age
		arrivals += b.slot(number).arrivals
		d := Decision{
			Since:    now.Sub(b.slotStart(number)),
			Requests: (1-earlierWeight)*float64(own) + earlierWeight*float64(b.earlierRequests(number)),
			Arrivals: arrivals,
			Pending:  b.pending,
		}
		if part.After.IsZero() || b.slotStart(number).After(part.After) {
			d.Part = part.Units
		}
		d.Limit = d.Part + b.limits.Ratio*d.Requests
		if left := d.Limit - float64(arrivals+b.pending); left < room {
			least, room = d, left
		}
		own += b.slot(number).requests
	}
	least.Allowed = room+tolerance >= 1
	return least
}

// earlierRequests returns the requests in the window that began half a window before one that begins in the given slot,
// wherever in the slot that is.
func (b *Budget) earlierRequests(number int64) int {
	total := 0
	for i := max(number-halfWindow+1, b.newest-slotCount+1); i <= min(number+halfWindow-1, b.newest); i++ {
		total += b.slot(i).requests
	}
	return total
}

// advance clears the slots that are older than slotCount.
func (b *Budget) advance(now time.Time) {
	current := b.slotAt(now)
	for i := max(b.newest+1, current-slotCount+1); i <= current; i++ {
		*b.slot(i) = slot{}
	}
	b.newest = max(b.newest, current)
}

func (b *Budget) slot(number int64) *slot {
	return &b.slots[(number%slotCount+slotCount)%slotCount]
}

// slotAt returns the number of the slot at a time, counted from the start of the process. Times are compared by the monotonic
// clock: with the time of day, a clock that is set forward would empty the window.
func (b *Budget) slotAt(t time.Time) int64 {
	return int64(t.Sub(b.started) / (b.limits.Window / slotsPerWindow))
}

func (b *Budget) slotStart(number int64) time.Time {
	return b.started.Add(time.Duration(number) * (b.limits.Window / slotsPerWindow))
}
