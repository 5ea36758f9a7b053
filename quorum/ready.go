package quorum

import "github.com/carawaypitch/carawaypitch/quorum/quorumpb"

// Batch holds the actions that the caller must perform next.
type Batch struct {
	// Early messages do not depend on unpersisted state. Send them immediately,
	// before or while the batch is persisted.
	Early []*quorumpb.Message
	// Snapshot was received from the leader and replaces the log; nil if there
	// is none. Persist it before HardState and Entries, then restore the state
	// machine from it.
	Snapshot *quorumpb.Snapshot
	// HardState to persist; nil if it has not changed.
	HardState *quorumpb.HardState
	// Entries to persist. They replace the entries on disk starting at the
	// index of the first one.
	Entries []*quorumpb.Entry
	// Messages to send after Snapshot, HardState and Entries are durable.
	Messages []*quorumpb.Message
	// Committed entries to apply in order. All of them are durable on this
	// replica. Report them with AppliedTo.
	Committed []*quorumpb.Entry
	// Reads that were confirmed, or lost with the leadership.
	Reads []ReadState
	// Change of role, term or leader; nil if there is none.
	Change *StateChange

	// needsAdvance is true if the batch has a persistent part.
	needsAdvance bool
}

// MustPersist reports whether the batch has a persistent part.
func (b *Batch) MustPersist() bool {
	return b.Snapshot != nil || b.HardState != nil || len(b.Entries) > 0
}

// StateChange holds a Node's role, term and leader after a change.
type StateChange struct {
	Role   Role
	Term   uint64
	Leader ID
}

// hardState is the comparable part of a quorumpb.HardState. The commit index
// need not be durable (thesis 3.8).
type hardState struct {
	term uint64
	vote ID
}

// output collects the content of the next Batch.
type output struct {
	early, afterPersist []*quorumpb.Message
	snapshot            *quorumpb.Snapshot
	readStates          []ReadState
	reportedChange      StateChange
	// persistedHardState is the hard state known to be durable.
	persistedHardState hardState
	// persisting is true while a batch with a persistent part waits for
	// Advance.
	persisting bool
}

// setSender sets m's sender and group, and the current term unless m already
// has a term.
func (n *Node) setSender(m *quorumpb.Message) *quorumpb.Message {
	m.From = string(n.cfg.ID)
	m.Group = n.group()
	if m.Term == 0 {
		m.Term = n.term
	}
	return m
}

// sendEarly queues a message that remains valid even if the local disk loses
// unsynced state.
func (n *Node) sendEarly(m *quorumpb.Message) {
	n.early = append(n.early, n.setSender(m))
}

// sendAfterPersist queues a message that depends on durable state: a vote, an
// acknowledgement or a term.
func (n *Node) sendAfterPersist(m *quorumpb.Message) {
	n.afterPersist = append(n.afterPersist, n.setSender(m))
}

func (n *Node) stateChange() StateChange {
	return StateChange{Role: n.role, Term: n.term, Leader: n.leader}
}

// Ready returns the next batch; ok is false if there is nothing to do. Every
// batch must be passed to Advance once its persistent part is durable, in
// order. Until then, Ready returns batches without a persistent part.
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

// takeCommitted returns the next committed entries to apply once the caller has
// applied the earlier ones. Entries that are not durable on this replica are
// held back; otherwise the state machine could be ahead of the log after a
// restart.
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
	// The replies cover all entries, so they wait for the write of the last
	// one.
	includesLast := len(b.Entries) == 0 || b.Entries[len(b.Entries)-1].GetIndex() == n.log.last()
	if includesLast {
		b.Messages, n.afterPersist = n.afterPersist, nil
	}
	b.needsAdvance = b.MustPersist()
	n.persisting = b.needsAdvance
}

// Advance reports that the persistent part of b is durable. It has no effect if
// b has none.
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
		// The entries may have been overwritten in the log while they were
		// written to disk.
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

// AppliedTo reports that the state machine has applied the entries, or restored
// the snapshot, up to index.
func (n *Node) AppliedTo(index uint64) {
	index = min(index, n.log.delivered)
	if index <= n.log.applied {
		return
	}
	n.unappliedBytes = max(0, n.unappliedBytes-n.log.payloadBytes(n.log.applied, index))
	n.log.applied = index
}
