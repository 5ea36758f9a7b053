package quorum

import "github.com/carawaypitch/carawaypitch/quorum/quorumpb"

// followLeader records m's sender as the leader of this term and resets the
// election timer. It returns ErrMalformed if the term already has another
// leader.
func (n *Node) followLeader(m *quorumpb.Message) error {
	from := ID(m.GetFrom())
	if n.role == RoleLeader || n.leader != NoID && n.leader != from {
		// Two leaders in one term: a voter has voted twice.
		return ErrMalformed
	}
	if n.role != RoleFollower {
		n.becomeFollower(n.term, from)
	}
	n.leader = from
	n.electionElapsed = 0
	return nil
}

// handleAppend appends the entries after the position where both logs match
// (thesis 3.5). The reply is sent after the entries are durable.
func (n *Node) handleAppend(m *quorumpb.Message) error {
	if err := n.followLeader(m); err != nil {
		return err
	}
	if m.GetIndex() < n.log.commit {
		n.acknowledgeAppend(m, n.log.commit)
		return nil
	}
	if !n.log.matches(m.GetIndex(), m.GetIndexTerm()) {
		n.rejectAppend(m)
		return nil
	}
	if err := n.mergeEntries(m.GetEntries()); err != nil {
		return err
	}
	last := m.GetIndex() + uint64(len(m.GetEntries()))
	n.log.commit = max(n.log.commit, min(m.GetCommit(), last))
	n.acknowledgeAppend(m, last)
	return nil
}

// mergeEntries replaces the end of the log, starting at the first entry that
// differs. Matching entries stay: the message may be delayed, and entries after
// its last one may already be acknowledged.
func (n *Node) mergeEntries(entries []*quorumpb.Entry) error {
	first := n.log.firstConflict(entries)
	if first == 0 {
		return nil
	}
	if first <= n.log.commit {
		return ErrLostLog
	}
	if first <= n.log.last() {
		n.log.truncate(first)
		n.history.truncate(first)
	}
	added := entries[first-entries[0].GetIndex():]
	if err := n.history.addFromEntries(added); err != nil {
		return ErrMalformed
	}
	n.log.append(added...)
	return nil
}

func (n *Node) acknowledgeAppend(m *quorumpb.Message, index uint64) {
	n.sendAfterPersist(&quorumpb.Message{
		Type:  quorumpb.MessageType_MESSAGE_TYPE_APPEND_REPLY,
		To:    m.GetFrom(),
		Index: index,
	})
}

func (n *Node) rejectAppend(m *quorumpb.Message) {
	index, term := n.log.conflictHint(m.GetIndex(), m.GetIndexTerm())
	n.sendAfterPersist(&quorumpb.Message{
		Type:      quorumpb.MessageType_MESSAGE_TYPE_APPEND_REPLY,
		To:        m.GetFrom(),
		Index:     m.GetIndex(),
		Reject:    true,
		HintIndex: index,
		HintTerm:  term,
	})
}

func (n *Node) handleHeartbeat(m *quorumpb.Message) error {
	if err := n.followLeader(m); err != nil {
		return err
	}
	if m.GetCommit() > n.log.last() {
		// A leader sends only a commit index that this replica has acknowledged
		// in this term.
		return ErrLostLog
	}
	n.log.commit = max(n.log.commit, m.GetCommit())
	n.sendHeartbeatReply(m)
	return nil
}

// sendHeartbeatReply replies without waiting for the disk if the current term
// is already durable. Otherwise a slow disk would look like a network partition
// to the leader.
func (n *Node) sendHeartbeatReply(m *quorumpb.Message) {
	reply := &quorumpb.Message{
		Type:      quorumpb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY,
		To:        m.GetFrom(),
		ReadRound: m.GetReadRound(),
	}
	if n.persistedHardState.term == n.term {
		n.sendEarly(reply)
		return
	}
	n.sendAfterPersist(reply)
}

// handleSnapshot replaces the log with a snapshot that is ahead of it (thesis
// 5).
func (n *Node) handleSnapshot(m *quorumpb.Message) error {
	if err := n.followLeader(m); err != nil {
		return err
	}
	meta := m.GetSnapshot().GetMeta()
	switch {
	case meta.GetIndex() <= n.log.commit:
		n.acknowledgeAppend(m, n.log.commit)
		return nil
	case n.log.matches(meta.GetIndex(), meta.GetTerm()):
		n.log.commit = meta.GetIndex()
		n.acknowledgeAppend(m, meta.GetIndex())
		return nil
	}
	n.log.reset(meta)
	n.history = membershipHistory{{index: meta.GetIndex(), membership: meta.GetMembership()}}
	n.snapshot = m.GetSnapshot()
	n.acknowledgeAppend(m, meta.GetIndex())
	return nil
}

// handleTimeoutNow starts an election immediately at the leader's request
// (thesis 3.10).
func (n *Node) handleTimeoutNow(m *quorumpb.Message) {
	if n.role != RoleFollower || n.leader != ID(m.GetFrom()) || !n.mayCampaign() {
		return
	}
	n.startElection(true)
}
