package journal

import (
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
)

// replay rebuilds the state by applying the records in the order in which they
// were written.
type replay struct {
	state State
}

// apply applies one record to the state.
func (r *replay) apply(record *quorumpb.Record) error {
	if record.GetHardState() != nil {
		r.state.HardState = record.GetHardState()
	}
	if record.GetReplacedBy() != nil {
		r.state.Entries = nil
	}
	if len(record.GetEntries()) > 0 {
		return r.replaceTail(record.GetEntries())
	}
	return nil
}

// replaceTail replaces the end of the log, from the index of the first of
// entries on, with entries. It fails if the indexes leave a gap.
func (r *replay) replaceTail(entries []*quorumpb.Entry) error {
	for i, e := range entries {
		if e.GetIndex() != entries[0].GetIndex()+uint64(i) {
			return damagedError("entry %d in place of %d", e.GetIndex(), entries[0].GetIndex()+uint64(i))
		}
	}
	log := r.state.Entries
	if len(log) == 0 {
		r.state.Entries = entries
		return nil
	}
	first, next := log[0].GetIndex(), entries[0].GetIndex()
	if next > first+uint64(len(log)) {
		return damagedError("no entries from %d to %d", first+uint64(len(log)), next-1)
	}
	if next <= first {
		r.state.Entries = entries
		return nil
	}
	r.state.Entries = append(log[:next-first:next-first], entries...)
	return nil
}

// positionOf returns the position of an index in the log. ok is false if the
// log does not hold the index.
func (r *replay) positionOf(index uint64) (position int, ok bool) {
	log := r.state.Entries
	if len(log) == 0 || index < log[0].GetIndex() || index > log[len(log)-1].GetIndex() {
		return 0, false
	}
	return int(index - log[0].GetIndex()), true
}

// joinSnapshot removes the entries that the snapshot covers from the log. reset
// reports whether the snapshot replaces the whole log, because the log holds no
// entry with the snapshot's index and term.
func (r *replay) joinSnapshot() (reset bool, err error) {
	meta := r.state.Snapshot.GetMeta()
	log := r.state.Entries
	if len(log) == 0 {
		return false, nil
	}
	if log[0].GetIndex() > meta.GetIndex()+1 {
		return false, damagedError("no entries from %d to %d", meta.GetIndex()+1, log[0].GetIndex()-1)
	}
	if log[0].GetIndex() == meta.GetIndex()+1 {
		return false, nil
	}
	if position, ok := r.positionOf(meta.GetIndex()); ok && log[position].GetTerm() == meta.GetTerm() {
		r.state.Entries = log[position+1:]
		return false, nil
	}
	r.state.Entries = nil
	return true, nil
}
