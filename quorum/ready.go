package quorum

import "github.com/carawaypitch/carawaypitch/quorum/quorumpb"

// Batch is what the caller must do next.
type Batch struct {
	// Early messages promise nothing that must be on disk first; send them at
	// once, before or while the batch is persisted.
	Early []*quorumpb.Message
	// Snapshot, received from the leader, replaces the log. Persist it before
	// HardState and Entries, and restore the state machine from it after.
	Snapshot *quorumpb.Snapshot
	// HardState to persist; nil if it has not changed.
	HardState *quorumpb.HardState
	// Entries to persist. They replace those on disk from the index of the
	// first one on.
	Entries []*quorumpb.Entry
	// Messages to send after Snapshot, HardState and Entries are durable.
	Messages []*quorumpb.Message
	// Committed entries to apply in order; all are on disk here. Report them
	// with AppliedTo.
	Committed []*quorumpb.Entry
	// Reads that were confirmed or lost.
	Reads []ReadState
	// Change of role, term or leader; nil if there is none.
	Change *StateChange

	needsAdvance bool
}

// MustPersist tells whether the batch has something to make durable.
func (b *Batch) MustPersist() bool {
	return b.Snapshot != nil || b.HardState != nil || len(b.Entries) > 0
}

// StateChange is the state after a change.
type StateChange struct {
	Role   Role
	Term   uint64
	Leader ID
}

// hardState is the comparable part of a quorumpb.HardState; the commit index
// need not be durable (thesis 3.8).
type hardState struct {
	term uint64
	vote ID
}

// output collects what the next Batch will hold.
type output struct {
	early, afterPersist []*quorumpb.Message
	snapshot            *quorumpb.Snapshot
	readStates          []ReadState
	reportedChange      StateChange
	// persistedHardState is the hard state known to be on disk.
	persistedHardState hardState
	// persisting is set while a tracked batch waits for Advance.
	persisting bool
}

func (n *Node) setSender(m *quorumpb.Message) *quorumpb.Message {
	m.From = string(n.cfg.ID)
	m.Group = n.group()
	if m.Term == 0 {
		m.Term = n.term
	}
	return m
}

// sendEarly is for messages that hold true whatever the own disk loses.
func (n *Node) sendEarly(m *quorumpb.Message) {
	n.early = append(n.early, n.setSender(m))
}

// sendAfterPersist is for messages that promise something: a vote, an
// acknowledgement, a term.
func (n *Node) sendAfterPersist(m *quorumpb.Message) {
	n.afterPersist = append(n.afterPersist, n.setSender(m))
}

func (n *Node) stateChange() StateChange {
	return StateChange{Role: n.role, Term: n.term, Leader: n.leader}
}

// Ready returns the next batch; ok is false if there is nothing to do. Every
// batch must be given to Advance when its persistent part is durable, in
// order. In between, Ready returns batches without a persistent part.
func (n *Node) Ready() (b Batch, ok bool) {
	if n.role == RoleLeader {
		n.replicate()
		n.startReadRound()
	}
	b.Early, n.early = n.early, nil
	b.Reads, n.readStates = n.readStates, nil
	if c := n.stateChange(); c != n.reportedChange {
		b.Change = &c
		n.reportedChange = c
	}
	b.Committed = n.takeCommitted()
	if !n.persisting {
		n.addPersistent(&b)
	}
	ok = b.MustPersist() || len(b.Early)+len(b.Messages)+len(b.Committed)+len(b.Reads) > 0 || b.Change != nil
	return b, ok
}

// takeCommitted hands out committed entries, as long as the caller has applied
// the ones before. Entries not on the own disk wait, so that after a restart
// no state machine is ahead of its log.
func (n *Node) takeCommitted() []*quorumpb.Entry {
	if n.log.applied < n.log.delivered {
		return nil
	}
	entries := n.log.slice(n.log.delivered+1, min(n.log.commit, n.log.persisted), n.cfg.MaxBatchBytes)
	n.log.delivered += uint64(len(entries))
	return entries
}

func (n *Node) addPersistent(b *Batch) {
	b.Snapshot, n.snapshot = n.snapshot, nil
	b.Entries = n.log.slice(n.log.persisted+1, n.log.last(), n.cfg.MaxBatchBytes)
	if n.persistedHardState != (hardState{term: n.term, vote: n.vote}) {
		b.HardState = &quorumpb.HardState{Term: n.term, Vote: string(n.vote), Commit: n.log.commit}
	}
	// The replies speak for all entries: they wait for the last part.
	includesLast := len(b.Entries) == 0 || b.Entries[len(b.Entries)-1].GetIndex() == n.log.last()
	if includesLast {
		b.Messages, n.afterPersist = n.afterPersist, nil
	}
	b.needsAdvance = b.MustPersist()
	n.persisting = b.needsAdvance
}

// Advance reports that the batch's persistent part is durable.
func (n *Node) Advance(b Batch) {
	if !b.needsAdvance {
		return
	}
	n.persisting = false
	if h := b.HardState; h != nil {
		n.persistedHardState = hardState{term: h.GetTerm(), vote: ID(h.GetVote())}
	}
	if len(b.Entries) > 0 {
		last := b.Entries[len(b.Entries)-1]
		// The log may have been overwritten while the entries were written.
		if n.log.matches(last.GetIndex(), last.GetTerm()) {
			n.log.persisted = max(n.log.persisted, last.GetIndex())
		}
	}
	if n.role == RoleCandidate && n.persistedHardState == (hardState{term: n.term, vote: n.cfg.ID}) && !n.votes[n.cfg.ID] {
		n.recordVote(n.cfg.ID, true)
	}
	if n.role == RoleLeader {
		n.advanceCommit()
	}
}

// AppliedTo reports that the state machine has applied the entries, or
// restored the snapshot, up to index.
func (n *Node) AppliedTo(index uint64) {
	index = min(index, n.log.delivered)
	if index <= n.log.applied {
		return
	}
	n.unappliedBytes = max(0, n.unappliedBytes-n.log.payloadBytes(n.log.applied, index))
	n.log.applied = index
}
