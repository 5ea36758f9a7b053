package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// SaveInterval is how often use is saved while any cap is near. What is used in between is assumed at the last rate, as
	// for an entry that tells nothing.
	SaveInterval = time.Second
	// saveNear is the used part of a cap from which on use is saved. Below it a whole window more can hardly reach the cap.
	saveNear = 0.5
)

// Snapshot is what the entries have told, nil while no cap is near.
func (u *Ledger) Snapshot(now time.Time) *wire.UsageRecord {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.anyNear(now) {
		return nil
	}
	record := new(wire.UsageRecord)
	for from, entry := range u.entries {
		record.Entries = append(record.Entries, &wire.EntryUsage{
			Entry:       from.Instance,
			Incarnation: from.Number,
			UnixMs:      uint64(entry.at.UnixMilli()),
			WindowMs:    uint32(entry.window.Milliseconds()),
			Usage:       slices.Collect(maps.Values(entry.told)),
		})
	}
	return record
}

// anyNear tells whether a good part of any cap is used. It is called with the lock held.
func (u *Ledger) anyNear(now time.Time) bool {
	seen := make(map[string]bool) // organisations: each is added up once over all entries
	for _, entry := range u.entries {
		for name := range entry.told {
			if seen[name] {
				continue
			}
			seen[name] = true
			sum := u.others(Incarnation{}, name, now)
			if float64(sum.GetUsed()) > saveNear*u.capOf(name, entry.window) {
				return true
			}
		}
	}
	return false
}

// Restore counts a record as the words of the entries that there were, each of which went on for up to an interval after it.
// An entry that lives on says its own again, in place of the one here; that of one that died counts until it has left the
// window.
func (u *Ledger) Restore(record *wire.UsageRecord, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, one := range record.GetEntries() {
		window := time.Duration(one.GetWindowMs()) * time.Millisecond
		age := now.Sub(time.UnixMilli(int64(one.GetUnixMs())))
		if age < 0 || age >= window {
			continue
		}
		entry := &entryUsage{at: now.Add(-age), window: window, told: make(map[string]*wire.Usage), restored: true}
		for _, word := range one.GetUsage() {
			word.Used += uint64(float64(word.GetRate()) * min(age, SaveInterval).Seconds())
			word.Rate = 0
			entry.told[word.GetOrganisation()] = word
		}
		u.entries[Incarnation{one.GetEntry(), one.GetIncarnation()}] = entry
	}
}
