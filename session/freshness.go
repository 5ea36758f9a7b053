package session

import "time"

// Freshness decides whether a process may be cut off from control. It is pure: the times are the caller's.
//
// The process polls every control instance. An instance is Answering if it answered a poll, Refusing if the connection
// was refused (then no process listens there, so it accepts no change), and Silent if neither happened within the
// bound. A change needs a majority. If a majority is silent, it may have accepted one that this process never hears
// of. So the process is cut off when a majority is silent and no poll was confirmed by a quorum within the bound. Any
// other set of answers is none: when control as a whole is down, nothing can change, and work goes on.
//
// Having been cut off, a process needs a confirmed poll to come back. Were it enough that the instances answer or
// refuse again, it would take work with the configuration from before the cut.
type Freshness struct {
	bound       time.Duration
	heard       []contact
	confirmed   time.Time // when the last confirmed poll was sent
	isConfirmed bool      // ever
	cutOff      bool
}

// Reachability is how a control instance is reached.
type Reachability uint8

// The values of Contact.
const (
	Silent Reachability = iota
	Answering
	Refusing
)

// String returns the name of the contact.
func (c Reachability) String() string {
	switch c {
	case Answering:
		return "answering"
	case Refusing:
		return "refusing"
	default:
		return "silent"
	}
}

type contact struct {
	at   time.Time
	kind Reachability
}

// NewFreshness returns the state of a process that starts now, with so many control instances. Each of them counts
// as heard at the start.
func NewFreshness(instances int, bound time.Duration, now time.Time) *Freshness {
	f := &Freshness{bound: bound, heard: make([]contact, instances)}
	for i := range f.heard {
		f.heard[i].at = now
	}
	return f
}

// Add takes one more control instance up, which counts as heard now. Its number follows on those before it.
func (f *Freshness) Add(now time.Time) {
	f.update(now)
	f.heard = append(f.heard, contact{at: now})
}

// RecordAnswer notes that an instance answered a poll, which was sent at sent. Times count from the sending: how long the
// answer took to come back says nothing of what happened meanwhile.
func (f *Freshness) RecordAnswer(instance int, sent, now time.Time) {
	f.update(now)
	f.note(instance, contact{sent, Answering})
}

// RecordRefusal notes that an instance refused the connection.
func (f *Freshness) RecordRefusal(instance int, now time.Time) {
	f.update(now)
	f.note(instance, contact{now, Refusing})
}

func (f *Freshness) note(instance int, c contact) {
	if !c.at.Before(f.heard[instance].at) {
		f.heard[instance] = c
	}
}

// RecordConfirmation notes that what a quorum confirmed for a poll sent at sent is in force here.
func (f *Freshness) RecordConfirmation(sent, now time.Time) {
	f.update(now)
	if sent.After(f.confirmed) {
		f.confirmed = sent
	}
	f.isConfirmed = true
	if now.Sub(f.confirmed) <= f.bound {
		f.cutOff = false
	}
}

// IsConfirmed tells whether the state was ever confirmed.
func (f *Freshness) IsConfirmed() bool {
	return f.isConfirmed
}

// LastConfirmed returns when the last confirmed poll was sent.
func (f *Freshness) LastConfirmed() time.Time {
	return f.confirmed
}

// CutOff tells whether the process may be cut off from control.
func (f *Freshness) CutOff(now time.Time) bool {
	f.update(now)
	return f.cutOff
}

// Reachability returns how an instance is reached.
func (f *Freshness) Reachability(instance int, now time.Time) Reachability {
	c := f.heard[instance]
	if now.Sub(c.at) > f.bound {
		return Silent
	}
	return c.kind
}

// SilentInstances returns how many instances are silent.
func (f *Freshness) SilentInstances(now time.Time) int {
	silent := 0
	for i := range f.heard {
		if now.Sub(f.heard[i].at) > f.bound {
			silent++
		}
	}
	return silent
}

// update notes a cut-off before an event changes what it is judged by. Without it, one that nobody asked about while
// it lasted would be forgotten with the first answer after it.
func (f *Freshness) update(now time.Time) {
	majority := len(f.heard)/2 + 1
	if f.SilentInstances(now) >= majority && now.Sub(f.confirmed) > f.bound {
		f.cutOff = true
	}
}
