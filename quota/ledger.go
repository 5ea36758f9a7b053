package quota

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// demandExpiry is the age of a report above which the demand in it is ignored. Entries report each second.
const demandExpiry = 2500 * time.Millisecond

// evictionInterval is the least time between two searches for reports to evict.
const evictionInterval = time.Second

// Incarnation is one start of an entry. Its use is counted separately from that of earlier incarnations.
type Incarnation struct {
	Instance string
	Number   uint64
}

// Ledger sums the use of organisations over the entries, and tells each entry the use and demand of the others. It
// isn't replicated: each control instance uses the reports that entries send to it with their polls. The enforcement of
// caps doesn't depend on it. It guides how much entries hold, and tells [Releaser] when the use of a dead entry has
// left the window.
type Ledger struct {
	capOf func(organisation string, window time.Duration) float64
	held  func(from Incarnation, organisation string) (others, ended uint64)

	mu      sync.Mutex
	entries map[Incarnation]*entryUsage
	// users holds the entries whose latest report names an organisation, by organisation. A sum over an organisation's
	// users costs as much as that organisation is used, however many entries there are.
	users        map[string]map[Incarnation]*entryUsage
	latest       map[string]uint64 // number of the latest incarnation with a report, by instance
	lastEviction time.Time
}

// entryUsage is the latest report of one entry.
type entryUsage struct {
	reportedAt time.Time // time of the report
	// bootedAt is when the entry's machine was booted, estimated from the report with the shortest delay.
	bootedAt  time.Time
	sinceBoot time.Duration // time since boot of the entry's machine at the report
	window    time.Duration
	usage     map[string]*wire.Usage // by organisation
}

// NewLedger returns an empty ledger. capOf returns an organisation's cap in a window according to the desired state in
// force, and held returns what all incarnations of entries except the given one hold of it, and those of them that have
// ended.
func NewLedger(capOf func(string, time.Duration) float64, held func(Incarnation, string) (others, ended uint64)) *Ledger {
	return &Ledger{
		capOf:   capOf,
		held:    held,
		entries: make(map[Incarnation]*entryUsage),
		users:   make(map[string]map[Incarnation]*entryUsage),
		latest:  make(map[string]uint64),
	}
}

// Record stores a report of an entry's use and returns the state of the others, which include its own earlier
// incarnations. It returns nil for a report without usage or older than the stored one.
func (l *Ledger) Record(from Incarnation, poll *wire.Poll, now time.Time) []*wire.CapState {
	if len(poll.GetUsage()) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.timestamp(from, time.Duration(poll.GetSinceBootMs())*time.Millisecond, now)
	if entry == nil {
		return nil
	}
	entry.window = time.Duration(poll.GetUsageWindowMs()) * time.Millisecond
	entry.usage = byOrganisation(poll.GetUsage())
	l.store(from, entry)
	l.evict(now)
	states := make([]*wire.CapState, 0, len(entry.usage))
	for _, name := range slices.Sorted(maps.Keys(entry.usage)) {
		states = append(states, l.stateFor(from, name, now))
	}
	return states
}

func byOrganisation(usage []*wire.Usage) map[string]*wire.Usage {
	out := make(map[string]*wire.Usage, len(usage))
	for _, u := range usage {
		out[u.GetOrganisation()] = u
	}
	return out
}

// store makes entry the latest report of an incarnation. The caller holds the lock.
func (l *Ledger) store(from Incarnation, entry *entryUsage) {
	l.remove(from)
	l.entries[from] = entry
	l.latest[from.Instance] = max(l.latest[from.Instance], from.Number)
	for name := range entry.usage {
		if l.users[name] == nil {
			l.users[name] = make(map[Incarnation]*entryUsage)
		}
		l.users[name][from] = entry
	}
}

// remove removes the report of an incarnation, if there is one. The caller holds the lock.
func (l *Ledger) remove(from Incarnation) {
	entry := l.entries[from]
	if entry == nil {
		return
	}
	for name := range entry.usage {
		delete(l.users[name], from)
		if len(l.users[name]) == 0 {
			delete(l.users, name)
		}
	}
	delete(l.entries, from)
	if l.latest[from.Instance] == from.Number {
		delete(l.latest, from.Instance)
	}
}

// timestamp returns an otherwise empty report with the time at which it was made, nil if a later one is known.
//
// Reports may be delayed for seconds. If the age of a report counted from its arrival, use that has already left the
// window would seem to be still in it, and a dead entry's share would be released for use that the entry had already
// repeated. The delay of a report is estimated relative to the fastest one: the clocks of two machines differ, but run
// at the same rate.
func (l *Ledger) timestamp(from Incarnation, sinceBoot time.Duration, now time.Time) *entryUsage {
	entry := &entryUsage{reportedAt: now, bootedAt: now.Add(-sinceBoot), sinceBoot: sinceBoot}
	if before := l.entries[from]; before != nil && !before.bootedAt.IsZero() {
		if sinceBoot < before.sinceBoot {
			return nil
		}
		if before.bootedAt.Before(entry.bootedAt) {
			entry.bootedAt = before.bootedAt
		}
	}
	entry.reportedAt = entry.bootedAt.Add(sinceBoot)
	return entry
}

// stateFor returns what an entry is told of the others. What ended entries hold counts as used, since it is released only as
// their use leaves the window. The caller holds the lock.
//
// If only the reported use of ended entries counted, each generation of entries would hold headroom beside what the
// generations before hold, and after a few losses of all entries within a window nothing would be left to those that serve.
func (l *Ledger) stateFor(from Incarnation, organisation string, now time.Time) *wire.CapState {
	state := l.others(from, organisation, now)
	held, ended := l.held(from, organisation)
	state.Held = held
	if unreported := ended - min(l.usedByReplaced(organisation, now), ended); unreported > 0 {
		state.Used += unreported
	}
	return state
}

// usedByReplaced sums the use of incarnations of which a later one has reported. The caller holds the lock.
func (l *Ledger) usedByReplaced(organisation string, now time.Time) (used uint64) {
	for from, entry := range l.users[organisation] {
		if from.Number < l.latest[from.Instance] {
			used += entry.usage[organisation].LeftAtMost(now.Sub(entry.reportedAt), entry.window)
		}
	}
	return used
}

// others sums what all incarnations except one have used of an organisation's cap, as far as it is still in the window,
// and their demand. The caller holds the lock.
func (l *Ledger) others(except Incarnation, organisation string, now time.Time) *wire.CapState {
	sum := &wire.CapState{Organisation: organisation}
	for from, entry := range l.users[organisation] {
		if from == except {
			continue
		}
		usage := entry.usage[organisation]
		age := now.Sub(entry.reportedAt)
		sum.Used += usage.LeftAtMost(age, entry.window)
		if age < demandExpiry {
			sum.Wanted += usage.GetWanted()
		}
	}
	return sum
}

// evict removes entries one window after their use has left the window: until then the share of an entry that died just
// after its latest report is released according to that report. It looks at all entries, so it does so at most once in
// evictionInterval.
func (l *Ledger) evict(now time.Time) {
	if now.Sub(l.lastEviction) < evictionInterval {
		return
	}
	l.lastEviction = now
	for from, entry := range l.entries {
		if now.Sub(entry.reportedAt) >= 2*entry.window {
			l.remove(from)
		}
	}
}

// Len returns the number of incarnations in the ledger.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// leftWindow returns how much of the latest reported use of an incarnation has certainly left the window between two
// times.
func (l *Ledger) leftWindow(from Incarnation, organisation string, begin, end time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entries[from]
	if entry == nil {
		return 0
	}
	usage := entry.usage[organisation]
	before := usage.LeftAtLeast(begin.Sub(entry.reportedAt), entry.window)
	after := usage.LeftAtMost(end.Sub(entry.reportedAt), entry.window)
	return before - min(before, after)
}
