package quota

import (
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// releaseStep is the part of a share, one in so many, by which it shrinks at least with each release: a command for each
// would be more than what it frees.
const releaseStep = 32

// Releaser frees the shares of entries that have ended as their use leaves the window. It belongs to the leader.
//
// A dead entry's share can't be freed at once: what it has used is in the window, and callers of the others would use it
// again. Freed only after a whole window, the others would have nothing of it for that long, though use leaves the window
// all the time: after a loss of all processes an organisation near its cap would be refused for eight seconds.
//
// What has left the window follows from the entry's last report. What it used after that isn't known, and counts as used in
// the last moment before its death at the latest: all of its share that the report doesn't cover. So a share shrinks by what
// has left the window of the last report since the death, and is gone a window after it.
type Releaser struct {
	ledger *Ledger
	seen   map[Incarnation]*endedEntry
}

// endedEntry is a holder of shares that has ended.
type endedEntry struct {
	dead  time.Time         // by then it used nothing any more
	units map[string]uint64 // that it held when it was first seen here
}

// NewReleaser returns the releases of a leader that begins.
func NewReleaser(ledger *Ledger) *Releaser {
	return &Releaser{ledger: ledger, seen: make(map[Incarnation]*endedEntry)}
}

// Due returns the commands that free what may be freed by now, of the given holders that have ended.
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
	for from := range r.seen {
		if !present[from] {
			delete(r.seen, from)
		}
	}
	return due
}

func (r *Releaser) release(now time.Time, from Incarnation, holder *wire.HeldShares) *wire.ReleaseShares {
	entry := r.note(now, from, holder)
	window := time.Duration(holder.GetWindowMs()) * time.Millisecond
	command := &wire.ReleaseShares{Entry: from.Instance, Incarnation: from.Number}
	for _, share := range holder.GetShares() {
		keep := r.keep(now, from, entry, share.GetOrganisation(), window)
		if keep == 0 || keep+share.GetUnits()/releaseStep < share.GetUnits() {
			command.Shares = append(command.Shares, &wire.Share{Organisation: share.GetOrganisation(), Units: keep})
		}
	}
	if len(command.Shares) == 0 {
		return nil
	}
	return command
}

// note remembers when a holder was first seen ended. One that a later start has replaced is dead by then; another may be cut
// off and go on until its lease is over.
func (r *Releaser) note(now time.Time, from Incarnation, holder *wire.HeldShares) *endedEntry {
	dead := now
	if !holder.GetReplaced() {
		dead = now.Add(ShareLease)
	}
	entry := r.seen[from]
	if entry == nil {
		entry = &endedEntry{dead: dead, units: make(map[string]uint64, len(holder.GetShares()))}
		for _, share := range holder.GetShares() {
			entry.units[share.GetOrganisation()] = share.GetUnits()
		}
		r.seen[from] = entry
	}
	if dead.Before(entry.dead) {
		entry.dead = dead
	}
	return entry
}

// keep is how much of an organisation's cap a holder may have used in the window that ends now.
func (r *Releaser) keep(now time.Time, from Incarnation, entry *endedEntry, organisation string, window time.Duration) uint64 {
	units := entry.units[organisation]
	switch {
	case !now.Before(entry.dead.Add(window)):
		return 0
	case !now.After(entry.dead):
		return units
	}
	return units - min(units, r.ledger.gone(from, organisation, entry.dead, now))
}
