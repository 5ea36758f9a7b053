package journal

import (
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
)

// replay rebuilds the state from the records in their order.
type replay struct {
	state State
}

func (p *replay) add(r *quorumpb.Record) error {
	if r.GetHardState() != nil {
		p.state.HardState = r.GetHardState()
	}
	if r.GetReplacedBy() != nil {
		p.state.Entries = nil
	}
	if len(r.GetEntries()) > 0 {
		return p.addEntries(r.GetEntries())
	}
	return nil
}

// addEntries replaces the log's end by entries.
func (p *replay) addEntries(entries []*quorumpb.Entry) error {
	for i, e := range entries {
		if e.GetIndex() != entries[0].GetIndex()+uint64(i) {
			return damaged("entry %d in place of %d", e.GetIndex(), entries[0].GetIndex()+uint64(i))
		}
	}
	log := p.state.Entries
	if len(log) == 0 {
		p.state.Entries = entries
		return nil
	}
	first, next := log[0].GetIndex(), entries[0].GetIndex()
	if next > first+uint64(len(log)) {
		return damaged("no entries from %d to %d", first+uint64(len(log)), next-1)
	}
	if next <= first {
		p.state.Entries = entries
		return nil
	}
	p.state.Entries = append(log[:next-first:next-first], entries...)
	return nil
}

func (p *replay) find(index uint64) (at int, ok bool) {
	log := p.state.Entries
	if len(log) == 0 || index < log[0].GetIndex() || index > log[len(log)-1].GetIndex() {
		return 0, false
	}
	return int(index - log[0].GetIndex()), true
}

// finish joins log and snapshot. reset is true where the snapshot replaces a
// log that does not reach it.
func (p *replay) finish() (reset bool, err error) {
	meta := p.state.Snapshot.GetMeta()
	log := p.state.Entries
	if len(log) == 0 {
		return false, nil
	}
	if log[0].GetIndex() > meta.GetIndex()+1 {
		return false, damaged("no entries from %d to %d", meta.GetIndex()+1, log[0].GetIndex()-1)
	}
	if log[0].GetIndex() == meta.GetIndex()+1 {
		return false, nil
	}
	if at, ok := p.find(meta.GetIndex()); ok && log[at].GetTerm() == meta.GetTerm() {
		p.state.Entries = log[at+1:]
		return false, nil
	}
	p.state.Entries = nil
	return true, nil
}
