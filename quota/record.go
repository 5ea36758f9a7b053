package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// SaveInterval is how often use is saved while any cap is near. An older report frees a dead entry's share later, and nothing
	// else.
	SaveInterval = time.Second
	// saveNear is the used part of a cap from which on use is saved. Below it what is left of the cap is more than an
	// organisation asks for in a window.
	saveNear = 0.2
)

// Snapshot is what the entries have told, nil while no cap is near.
func (l *Ledger) Snapshot(now time.Time) *wire.UsageRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.anyNear(now) {
		return nil
	}
	record := new(wire.UsageRecord)
	for from, entry := range l.entries {
		record.Entries = append(record.Entries, &wire.EntryUsage{
			Entry:       from.Instance,
			Incarnation: from.Number,
			UnixMs:      uint64(entry.at.UnixMilli()),
			WindowMs:    uint32(entry.window.Milliseconds()),
			Usage:       slices.Collect(maps.Values(entry.usage)),
		})
	}
	return record
}

// anyNear tells whether a good part of any cap is used. It is called with the lock held.
func (l *Ledger) anyNear(now time.Time) bool {
	seen := make(map[string]bool) // organisations: each is added up once over all entries
	for _, entry := range l.entries {
		for name := range entry.usage {
			if seen[name] {
				continue
			}
			seen[name] = true
			sum := l.others(Incarnation{}, name, now)
			if float64(sum.GetUsed()) > saveNear*l.capOf(name, entry.window) {
				return true
			}
		}
	}
	return false
}

// Restore counts a record as the last reports of the entries that there were. An entry that lives on says its own again, in place of
// the one here.
func (l *Ledger) Restore(record *wire.UsageRecord, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, one := range record.GetEntries() {
		window := time.Duration(one.GetWindowMs()) * time.Millisecond
		age := now.Sub(time.UnixMilli(int64(one.GetUnixMs())))
		if age < 0 || age >= window {
			continue
		}
		entry := &entryUsage{at: now.Add(-age), window: window, usage: make(map[string]*wire.Usage)}
		for _, usage := range one.GetUsage() {
			entry.usage[usage.GetOrganisation()] = usage
		}
		l.entries[Incarnation{one.GetEntry(), one.GetIncarnation()}] = entry
	}
}
