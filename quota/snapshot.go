package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// SaveInterval is how often use is saved while any cap is close to its limit. An older report only delays the
	// release of a dead entry's share.
	SaveInterval = time.Second
	// saveThreshold is the used fraction of a cap above which use is saved. Below it the rest of the cap is more than
	// an organisation requests in a window.
	saveThreshold = 0.2
)

// Snapshot returns the latest reports of the entries, nil while no cap is close to its limit.
func (l *Ledger) Snapshot(now time.Time) *wire.UsageRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.anyNearLimit(now) {
		return nil
	}
	record := new(wire.UsageRecord)
	for from, entry := range l.entries {
		record.Entries = append(record.Entries, &wire.EntryUsage{
			Entry:       from.Instance,
			Incarnation: from.Number,
			UnixMs:      uint64(entry.reportedAt.UnixMilli()),
			WindowMs:    uint32(entry.window.Milliseconds()),
			Usage:       slices.Collect(maps.Values(entry.usage)),
		})
	}
	return record
}

// anyNearLimit reports whether the use of any cap exceeds saveThreshold. The caller holds the lock.
func (l *Ledger) anyNearLimit(now time.Time) bool {
	for name, users := range l.users {
		var window time.Duration
		for _, entry := range users {
			window = max(window, entry.window)
		}
		sum := l.others(Incarnation{}, name, now)
		if float64(sum.GetUsed()) > saveThreshold*l.capOf(name, window) {
			return true
		}
	}
	return false
}

// Restore stores a saved record as the latest reports of its entries. A running entry replaces its report with the next
// one.
func (l *Ledger) Restore(record *wire.UsageRecord, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, saved := range record.GetEntries() {
		window := time.Duration(saved.GetWindowMs()) * time.Millisecond
		age := now.Sub(time.UnixMilli(int64(saved.GetUnixMs())))
		if age < 0 || age >= window {
			continue
		}
		entry := &entryUsage{reportedAt: now.Add(-age), window: window, usage: byOrganisation(saved.GetUsage())}
		l.store(Incarnation{saved.GetEntry(), saved.GetIncarnation()}, entry)
	}
}
