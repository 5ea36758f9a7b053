// Package audit checks the repeats that reached a service against their bound, from an exact record of what its callers sent and
// its servers got. It is the measure of simulations and of the soak; entries decide without it.
package audit

import (
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/retry"
)

// Record holds what was sent to one service, and what arrived beyond the first attempt of each request. The zero value is empty.
// Times may be added in any order.
type Record struct {
	sent    times
	repeats times
	arrived map[string]bool // requests of which an attempt has arrived
}

// Window is a window in which repeats are compared with the bound.
type Window struct {
	From     time.Time
	Requests int // that the bound refers to
	Repeats  int
	Excess   float64 // repeats beyond the bound, negative if there is room
}

// Sent records that a caller sent a request.
func (r *Record) Sent(at time.Time) { r.sent.add(at) }

// Arrived records that an attempt of a request reached a server.
func (r *Record) Arrived(at time.Time, request string) {
	if r.arrived[request] {
		r.Repeated(at)
		return
	}
	if r.arrived == nil {
		r.arrived = make(map[string]bool)
	}
	r.arrived[request] = true
}

// Repeated records that an attempt beyond the first of its request reached a server.
func (r *Record) Repeated(at time.Time) { r.repeats.add(at) }

// Requests and Repeats return how many were recorded.
func (r *Record) Requests() int { return len(r.sent) }

// Repeats returns the number of repeats.
func (r *Record) Repeats() int { return len(r.repeats) }

// Worst returns the window with the most repeats beyond the bound. found is false without a repeat. Some window that begins with
// a repeat is the worst, so all offsets are covered.
func (r *Record) Worst(limits retry.Limits) (worst Window, found bool) {
	for _, from := range r.repeats {
		if w := r.window(limits, from); !found || w.Excess > worst.Excess {
			worst, found = w, true
		}
	}
	return worst, found
}

// Bears reports whether all windows that contain now would be within the bound with one more repeat.
func (r *Record) Bears(limits retry.Limits, now time.Time) bool {
	with := Record{sent: r.sent, repeats: slices.Clone(r.repeats)}
	with.Repeated(now)
	first, _ := with.repeats.search(now.Add(-limits.Window))
	return !slices.ContainsFunc(with.repeats[first:], func(from time.Time) bool { return with.window(limits, from).Excess > 0 })
}

// window returns the window that begins at a time. The requests that the bound refers to are those of the window, of the one
// before it or of the one half a window before it, whichever has most.
func (r *Record) window(limits retry.Limits, from time.Time) Window {
	w := Window{From: from, Repeats: r.repeats.within(from, limits.Window)}
	for _, earlier := range []time.Duration{0, limits.Window / 2, limits.Window} {
		w.Requests = max(w.Requests, r.sent.within(from.Add(-earlier), limits.Window))
	}
	w.Excess = float64(w.Repeats) - limits.Ratio*float64(w.Requests) - limits.Allowance
	return w
}

// times are in order.
type times []time.Time

func (t *times) add(at time.Time) {
	i := len(*t)
	for i > 0 && (*t)[i-1].After(at) {
		i--
	}
	*t = slices.Insert(*t, i, at)
}

// search returns the number of times before at.
func (t times) search(at time.Time) (int, bool) {
	return slices.BinarySearchFunc(t, at, time.Time.Compare)
}

func (t times) within(from time.Time, length time.Duration) int {
	first, _ := t.search(from)
	last, _ := t.search(from.Add(length))
	return last - first
}
