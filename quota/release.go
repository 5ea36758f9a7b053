package quota

import (
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// releaseDivisor sets the smallest release: a share shrinks by more than 1/releaseDivisor of its size each time, or to
// nothing. A command for each smaller change would cost more than the units it frees.
const releaseDivisor = 32

// Releaser tells which shares of ended entries may be released, as their use leaves the window. Each control instance has one.
//
// A dead entry's share can't be released at once: its use is still in the window, and the other entries would add
// theirs to it. Releasing all of it only after a whole window would withhold units whose use leaves the window earlier:
// after a loss of all processes, an organisation close to its cap would be refused for eight seconds.
//
// What has left the window follows from the entry's latest report. Use after that report isn't known: the part of the
// share that the report doesn't cover counts as used at the latest possible moment before the entry's death. So a share
// shrinks by the reported use that has left the window since the death, and is fully released one window after the
// death.
type Releaser struct {
	ledger  *Ledger
	holders map[Incarnation]*endedEntry
}

// endedEntry is a holder of shares that has ended.
type endedEntry struct {
	deadBy time.Time         // latest time at which it may have used units
	units  map[string]uint64 // units held when it was first seen as ended, by organisation
}

// NewReleaser returns the releaser of an instance that starts.
func NewReleaser(ledger *Ledger) *Releaser {
	return &Releaser{ledger: ledger, holders: make(map[Incarnation]*endedEntry)}
}

// Due returns the commands that release what may be released at the given time, of the given holders that have ended.
func (r *Releaser) Due(now time.Time, ended []*wire.HeldShares) []*wire.ReleaseShares {
	var due []*wire.ReleaseShares
	present := make(map[Incarnation]bool, len(ended))
	for _, holder := range ended {
		from := Incarnation{holder.GetEntry(), holder.GetIncarnation()}
		present[from] = true
		if command := r.release(now, from, holder); command != nil {
			due = append(due, command)
		}
	}
	for from := range r.holders {
		if !present[from] {
			delete(r.holders, from)
		}
	}
	return due
}

func (r *Releaser) release(now time.Time, from Incarnation, holder *wire.HeldShares) *wire.ReleaseShares {
	entry := r.track(now, from, holder)
	window := time.Duration(holder.GetWindowMs()) * time.Millisecond
	command := &wire.ReleaseShares{Entry: from.Instance, Incarnation: from.Number}
	for _, share := range holder.GetShares() {
		units := r.remaining(now, from, entry, share.GetOrganisation(), window)
		if units == 0 || units+share.GetUnits()/releaseDivisor < share.GetUnits() {
			command.Shares = append(command.Shares, &wire.Share{Organisation: share.GetOrganisation(), Units: units})
		}
	}
	if len(command.Shares) == 0 {
		return nil
	}
	return command
}

// track records when a holder was first seen as ended. A holder replaced by a later incarnation is dead by then; any
// other may be disconnected and keep using its share until its lease expires.
func (r *Releaser) track(now time.Time, from Incarnation, holder *wire.HeldShares) *endedEntry {
	deadBy := now
	if !holder.GetReplaced() {
		deadBy = now.Add(ShareLease)
	}
	entry := r.holders[from]
	if entry == nil {
		entry = &endedEntry{deadBy: deadBy, units: make(map[string]uint64, len(holder.GetShares()))}
		for _, share := range holder.GetShares() {
			entry.units[share.GetOrganisation()] = share.GetUnits()
		}
		r.holders[from] = entry
	}
	if deadBy.Before(entry.deadBy) {
		entry.deadBy = deadBy
	}
	return entry
}

// remaining returns how much of an organisation's cap a holder may have used in the window that ends now.
func (r *Releaser) remaining(now time.Time, from Incarnation, entry *endedEntry, organisation string, window time.Duration) uint64 {
	units := entry.units[organisation]
	switch {
	case !now.Before(entry.deadBy.Add(window)):
		return 0
	case !now.After(entry.deadBy):
		return units
	}
	return units - min(units, r.ledger.leftWindow(from, organisation, entry.deadBy, now))
}
