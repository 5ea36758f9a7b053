package quota

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// reportStale is the age from which on what an entry wanted counts no more. Entries report each second.
const reportStale = 2500 * time.Millisecond

// Incarnation is one start of an entry. What it has used counts apart from what its predecessors have.
type Incarnation struct {
	Instance string
	Number   uint64
}

// Ledger adds up what organisations use at the entries, and tells each entry how the others stand. It isn't replicated: each
// control instance goes by what entries tell it with their polls. No cap rests on it. It tells entries how much to hold, and
// [Releaser] when the use of a dead entry has left the window.
type Ledger struct {
	capOf func(organisation string, window time.Duration) float64
	held  func(from Incarnation, organisation string) uint64

	mu      sync.Mutex
	entries map[Incarnation]*entryUsage
}

// entryUsage is the last report of one entry.
type entryUsage struct {
	at time.Time // when it was made
	// boot is when the entry's machine was booted, by the report that was the least time on its way.
	boot      time.Time
	sinceBoot time.Duration // of the entry's machine, when it was made
	window    time.Duration
	usage     map[string]*wire.Usage // by organisation
}

// NewLedger returns an empty ledger. capOf is an organisation's cap in a window by the desired state in force, and held what
// all but one start of an entry hold of it.
func NewLedger(capOf func(string, time.Duration) float64, held func(Incarnation, string) uint64) *Ledger {
	return &Ledger{capOf: capOf, held: held, entries: make(map[Incarnation]*entryUsage)}
}

// Record notes what an entry has used and returns how the others stand, its own earlier incarnations among them.
func (l *Ledger) Record(from Incarnation, poll *wire.Poll, now time.Time) []*wire.CapState {
	if len(poll.GetUsage()) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.timed(from, time.Duration(poll.GetSinceBootMs())*time.Millisecond, now)
	if entry == nil {
		return nil
	}
	*entry = entryUsage{
		at: entry.at, boot: entry.boot, sinceBoot: entry.sinceBoot,
		window: time.Duration(poll.GetUsageWindowMs()) * time.Millisecond,
		usage:  make(map[string]*wire.Usage, len(poll.GetUsage())),
	}
	for _, one := range poll.GetUsage() {
		entry.usage[one.GetOrganisation()] = one
	}
	l.entries[from] = entry
	l.forget(now)
	states := make([]*wire.CapState, 0, len(entry.usage))
	for _, name := range slices.Sorted(maps.Keys(entry.usage)) {
		state := l.others(from, name, now)
		state.Held = l.held(from, name)
		states = append(states, state)
	}
	return states
}

// timed returns a report with the time at which it was made, nil if a later one is known.
//
// Reports may be delayed for seconds. One that counts from its arrival says of use which has left the window, and may have been
// made anew, that it is still to leave: a dead entry's share would be freed by use that its holder had already got back. How
// long a report was on its way follows from the fastest one; clocks of two machines differ, but go alike.
func (l *Ledger) timed(from Incarnation, sinceBoot time.Duration, now time.Time) *entryUsage {
	entry := &entryUsage{at: now, boot: now.Add(-sinceBoot), sinceBoot: sinceBoot}
	if before := l.entries[from]; before != nil && !before.boot.IsZero() {
		if sinceBoot < before.sinceBoot {
			return nil
		}
		if before.boot.Before(entry.boot) {
			entry.boot = before.boot
		}
	}
	entry.at = entry.boot.Add(sinceBoot)
	return entry
}

// others adds up what all but one incarnation have used of an organisation's cap, as far as it is in the window still, and
// what they want. It is called with the lock held.
func (l *Ledger) others(but Incarnation, organisation string, now time.Time) *wire.CapState {
	sum := &wire.CapState{Organisation: organisation}
	for from, entry := range l.entries {
		one := entry.usage[organisation]
		if from == but || one == nil {
			continue
		}
		age := now.Sub(entry.at)
		sum.Used += one.LeftAtMost(age, entry.window)
		if age < reportStale {
			sum.Wanted += one.GetWanted()
		}
	}
	return sum
}

// forget drops entries whose use has left the window, a window later: the share of one that died just after its last report is
// freed by that report until then.
func (l *Ledger) forget(now time.Time) {
	for from, entry := range l.entries {
		if now.Sub(entry.at) >= 2*entry.window {
			delete(l.entries, from)
		}
	}
}

// Len is how many incarnations the ledger goes by.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// gone is how much of what an incarnation told last has surely left the window between two times.
func (l *Ledger) gone(from Incarnation, organisation string, begin, end time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entries[from]
	if entry == nil {
		return 0
	}
	one := entry.usage[organisation]
	before := one.LeftAtLeast(begin.Sub(entry.at), entry.window)
	after := one.LeftAtMost(end.Sub(entry.at), entry.window)
	return before - min(before, after)
}
