package quorum

import "github.com/carawaypitch/carawaypitch/quorum/quorumpb"

// followLeader takes up that m's sender leads this term.
func (n *Node) followLeader(m *quorumpb.Message) error {
	from := ID(m.GetFrom())
	if n.role == RoleLeader || n.leader != NoID && n.leader != from {
		// Two leaders in one term: a voter voted twice.
		return ErrMalformed
	}
	if n.role != RoleFollower {
		n.becomeFollower(n.term, from)
	}
	n.leader = from
	n.electionElapsed = 0
	return nil
}

// handleAppend takes entries up after the point where both logs agree (thesis
// 3.5). The reply leaves when the entries are on disk.
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

// mergeEntries replaces the log's end from the first entry that differs. What
// already matches stays: the message may be an old one, and the entries after
// its last may be acknowledged.
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
		// The leader only sends what this replica acknowledged in this term.
		return ErrLostLog
	}
	n.log.commit = max(n.log.commit, m.GetCommit())
	n.sendHeartbeatReply(m)
	return nil
}

// sendHeartbeatReply answers at once where that promises nothing new, so that
// a slow disk does not look like a cut link.
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

// handleSnapshot replaces the log by a snapshot that goes beyond it (thesis 5).
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

// handleTimeoutNow starts an election at once on the leader's wish (thesis
// 3.10).
func (n *Node) handleTimeoutNow(m *quorumpb.Message) {
	if n.role != RoleFollower || n.leader != ID(m.GetFrom()) || !n.mayCampaign() {
		return
	}
	n.startElection(true)
}
