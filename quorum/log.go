package quorum

import (
	"slices"

	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/go-faster/errors"
)

// entryLog is the part of the log after the last compaction, held in memory.
//
// Invariant: prevIndex <= applied <= delivered <= commit <= last, and delivered
// <= persisted. Entries are shared with messages and never modified.
type entryLog struct {
	entries []*quorumpb.Entry
	// bytes is the payload size of entries.
	bytes int
	// prevIndex and prevTerm are the position before the first of entries.
	prevIndex, prevTerm uint64
	// snapshot is the newest snapshot that is durable or about to be written.
	// Its index is at least prevIndex.
	snapshot *quorumpb.SnapshotMeta
	// persisted is the index of the last entry known to be durable.
	persisted uint64
	commit    uint64
	// delivered is the index of the last committed entry returned in a Batch,
	// applied that of the last one reported by AppliedTo.
	delivered, applied uint64
}

// newEntryLog returns the log recovered from disk at a restart. It fails if the
// entries are not contiguous or their terms decrease.
func newEntryLog(snapshot *quorumpb.SnapshotMeta, entries []*quorumpb.Entry, commit uint64) (*entryLog, error) {
	l := &entryLog{
		entries:   slices.Clone(entries),
		prevIndex: snapshot.GetIndex(),
		prevTerm:  snapshot.GetTerm(),
		snapshot:  snapshot,
		delivered: snapshot.GetIndex(),
		applied:   snapshot.GetIndex(),
	}
	term := l.prevTerm
	for i, e := range entries {
		if e.GetIndex() != l.prevIndex+1+uint64(i) || e.GetTerm() < term {
			return nil, errors.Errorf("quorum: entry %d of term %d is out of order in the log", e.GetIndex(), e.GetTerm())
		}
		term = e.GetTerm()
	}
	l.bytes = payloadSize(l.entries)
	l.persisted = l.last()
	l.commit = max(min(commit, l.last()), l.prevIndex)
	return l, nil
}

func (l *entryLog) last() uint64 { return l.prevIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index; ok is false if the log does not
// hold that entry.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.prevIndex:
		return l.prevTerm, true
	case index == l.snapshot.GetIndex():
		return l.snapshot.GetTerm(), true
	case index < l.prevIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.prevIndex-1].GetTerm(), true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// isUpToDate reports whether a log that ends at index and term is at least as
// up to date as this one (thesis 3.6.1).
func (l *entryLog) isUpToDate(index, term uint64) bool {
	lastTerm := l.lastTerm()
	return term > lastTerm || term == lastTerm && index >= l.last()
}

// slice returns the entries with indexes from through to, limited to maxBytes
// of payload but at least one entry.
func (l *entryLog) slice(from, to uint64, maxBytes int) []*quorumpb.Entry {
	if from > to {
		return nil
	}
	all := l.entries[from-l.prevIndex-1 : to-l.prevIndex]
	size := 0
	for i, e := range all {
		size += len(e.GetData())
		if i > 0 && size > maxBytes {
			return slices.Clone(all[:i])
		}
	}
	return slices.Clone(all)
}

// append adds entries at the end of the log.
func (l *entryLog) append(entries ...*quorumpb.Entry) {
	l.entries = append(l.entries, entries...)
	l.bytes += payloadSize(entries)
}

// truncate removes the entries starting at index.
func (l *entryLog) truncate(index uint64) {
	kept, removed := l.entries[:index-l.prevIndex-1], l.entries[index-l.prevIndex-1:]
	l.bytes -= payloadSize(removed)
	l.entries = slices.Clone(kept)
	// The entries that replace them must count as not durable. Otherwise they
	// could be acknowledged before they are written, and a crash would bring
	// the old entries back.
	l.persisted = min(l.persisted, index-1)
}

// firstConflict returns the index of the first of entries that the log does not
// hold with the same term, or 0 if it holds them all.
func (l *entryLog) firstConflict(entries []*quorumpb.Entry) uint64 {
	for _, e := range entries {
		if !l.matches(e.GetIndex(), e.GetTerm()) {
			return e.GetIndex()
		}
	}
	return 0
}

// conflictHint returns the last position at or before index whose term is at
// most term. The two logs cannot match at a later position, so the leader skips
// whole terms that differ in the follower's log (thesis 3.5).
func (l *entryLog) conflictHint(index, term uint64) (uint64, uint64) {
	for i := min(index, l.last()); i > l.prevIndex; i-- {
		if t, _ := l.term(i); t <= term {
			return i, t
		}
	}
	return l.prevIndex, l.prevTerm
}

// reset replaces the whole log with a snapshot.
func (l *entryLog) reset(meta *quorumpb.SnapshotMeta) {
	l.entries, l.bytes = nil, 0
	l.prevIndex, l.prevTerm = meta.GetIndex(), meta.GetTerm()
	l.snapshot = meta
	l.persisted = meta.GetIndex()
	l.commit = meta.GetIndex()
	l.delivered = meta.GetIndex()
}

// compact removes the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.prevIndex {
		return
	}
	term, _ := l.term(index)
	removed, kept := l.entries[:index-l.prevIndex], l.entries[index-l.prevIndex:]
	l.bytes -= payloadSize(removed)
	// The clone lets the old array be garbage collected.
	l.entries = slices.Clone(kept)
	l.prevIndex, l.prevTerm = index, term
}

// compactionIndex returns the index up to which the log can be compacted so that at most keep entries of at most
// keepBytes in total remain before the snapshot's index.
func (l *entryLog) compactionIndex(snapshot uint64, keep, keepBytes int) uint64 {
	index, size := min(snapshot, l.last()), 0
	for index > l.prevIndex && snapshot-index < uint64(keep) {
		size += len(l.entries[index-l.prevIndex-1].GetData())
		if size > keepBytes {
			break
		}
		index--
	}
	return index
}

// payloadSize returns the payload size of entries, in bytes.
func payloadSize(entries []*quorumpb.Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.GetData())
	}
	return size
}

// payloadBytes returns the payload size of the entries after from, up to and
// including to.
func (l *entryLog) payloadBytes(from, to uint64) int {
	from, to = max(from, l.prevIndex), min(to, l.last())
	if from >= to {
		return 0
	}
	return payloadSize(l.entries[from-l.prevIndex : to-l.prevIndex])
}
