package session

import (
	"slices"
	"time"
)

// Freshness decides whether a process may be cut off from control. It does no I/O, and callers pass in the times.
//
// The process polls every control instance. An instance is Answering if it answered a poll, Refusing if the connection
// was refused (then no process listens there, so it accepts no change), and Silent if neither happened within the
// silence bound. A change needs a majority of the instances. If a majority is silent, it may have accepted a change that
// this process does not receive. So the process is cut off when a majority is silent and no poll sent within the bound
// was confirmed by a quorum. In all other cases it is not: when control as a whole is down,
// nothing can change, and work continues.
//
// Once cut off, a process recovers only through a confirmed poll. If answers or refusals from the instances were enough,
// it would take work with the configuration from before the partition.
type Freshness struct {
	silenceBound time.Duration
	lastSeen     []observation
	confirmed    time.Time // when the last confirmed poll was sent
	isConfirmed  bool      // whether any poll was ever confirmed
	cutOff       bool
}

// Reachability is how a control instance responds to polls.
type Reachability uint8

// Values of Reachability.
const (
	Silent Reachability = iota
	Answering
	Refusing
)

// String returns the name used in reports and logs.
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

type observation struct {
	at   time.Time
	kind Reachability
}

// NewFreshness returns the state of a process that starts now, with the given number of control instances. Each of them
// counts as heard from at the start.
func NewFreshness(instances int, bound time.Duration, now time.Time) *Freshness {
	f := &Freshness{silenceBound: bound, lastSeen: make([]observation, instances)}
	for i := range f.lastSeen {
		f.lastSeen[i].at = now
	}
	return f
}

// Add adds a control instance, which counts as heard from at now. Its index follows those of the existing instances.
func (f *Freshness) Add(now time.Time) {
	f.updateCutOff(now)
	f.lastSeen = append(f.lastSeen, observation{at: now})
}

// RecordAnswer records that an instance answered a poll that was sent at sent. The time of sending counts, since the
// answer says nothing about changes between the sending and its arrival.
func (f *Freshness) RecordAnswer(instance int, sent, now time.Time) {
	f.updateCutOff(now)
	f.record(instance, observation{sent, Answering})
}

// RecordRefusal records that an instance refused the connection.
func (f *Freshness) RecordRefusal(instance int, now time.Time) {
	f.updateCutOff(now)
	f.record(instance, observation{now, Refusing})
}

func (f *Freshness) record(instance int, c observation) {
	if !c.at.Before(f.lastSeen[instance].at) {
		f.lastSeen[instance] = c
	}
}

// RecordConfirmation records that the state a quorum confirmed for a poll sent at sent is in force here.
func (f *Freshness) RecordConfirmation(sent, now time.Time) {
	f.updateCutOff(now)
	if sent.After(f.confirmed) {
		f.confirmed = sent
	}
	f.isConfirmed = true
	if now.Sub(f.confirmed) <= f.silenceBound {
		f.cutOff = false
	}
}

// IsConfirmed reports whether a quorum has ever confirmed the state.
func (f *Freshness) IsConfirmed() bool {
	return f.isConfirmed
}

// LastConfirmed returns when the last confirmed poll was sent, or the zero time if there was none.
func (f *Freshness) LastConfirmed() time.Time {
	return f.confirmed
}

// HeardAt returns when the last confirmed poll was sent, or the time since which a majority of the instances have answered or
// refused, whichever is later. It is the zero time before either.
func (f *Freshness) HeardAt() time.Time {
	var heard []time.Time
	for _, c := range f.lastSeen {
		if c.kind != Silent {
			heard = append(heard, c.at)
		}
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	if majority := len(f.lastSeen)/2 + 1; len(heard) >= majority && heard[majority-1].After(f.confirmed) {
		return heard[majority-1]
	}
	return f.confirmed
}

// CutOff reports whether the process may be cut off from control.
func (f *Freshness) CutOff(now time.Time) bool {
	f.updateCutOff(now)
	return f.cutOff
}

// Reachability returns how an instance responds at now.
func (f *Freshness) Reachability(instance int, now time.Time) Reachability {
	c := f.lastSeen[instance]
	if now.Sub(c.at) > f.silenceBound {
		return Silent
	}
	return c.kind
}

// SilentInstances returns the number of instances that are silent at now.
func (f *Freshness) SilentInstances(now time.Time) int {
	silent := 0
	for i := range f.lastSeen {
		if now.Sub(f.lastSeen[i].at) > f.silenceBound {
			silent++
		}
	}
	return silent
}

// updateCutOff records a cut-off before an event changes the state it is judged by. Without it, a cut-off during which
// CutOff is not called would be lost with the first answer after it.
func (f *Freshness) updateCutOff(now time.Time) {
	majority := len(f.lastSeen)/2 + 1
	if f.SilentInstances(now) >= majority && now.Sub(f.confirmed) > f.silenceBound {
		f.cutOff = true
	}
}
