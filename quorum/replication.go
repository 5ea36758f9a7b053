package quorum

import "github.com/carawaypitch/carawaypitch/quorum/quorumpb"

// replicate sends the missing entries to every peer. Ready calls it, so that
// all proposals since the last batch are sent together.
func (n *Node) replicate() {
	for _, p := range n.peers {
		n.replicateTo(p)
	}
}

func (n *Node) replicateTo(p *peer) {
	if p.next <= n.log.prevIndex {
		n.sendSnapshot(p)
		return
	}
	switch p.state {
	case peerProbe:
		if !p.probePending {
			n.sendAppend(p)
			p.probePending = true
		}
	case peerReplicate:
		for p.next <= n.log.last() && !p.inflightFull(&n.cfg) {
			n.sendAppend(p)
		}
		if p.sentCommit < n.log.commit && !p.inflightFull(&n.cfg) {
			n.sendAppend(p)
		}
	case peerSnapshot:
	}
}

func (n *Node) sendAppend(p *peer) {
	prev := p.next - 1
	term, _ := n.log.term(prev)
	entries := n.log.slice(p.next, n.log.last(), n.cfg.MaxBatchBytes)
	n.sendEarly(&quorumpb.Message{
		Type:      quorumpb.MessageType_MESSAGE_TYPE_APPEND,
		To:        string(p.id),
		Index:     prev,
		IndexTerm: term,
		Entries:   entries,
		Commit:    n.log.commit,
	})
	p.sentCommit = n.log.commit
	if p.state == peerReplicate && len(entries) > 0 {
		p.recordSent(entries, n.tickCount)
	}
}

// sendSnapshot starts a snapshot transfer to an active peer that needs entries
// which the log no longer holds.
func (n *Node) sendSnapshot(p *peer) {
	if p.state == peerSnapshot || !n.isActive(p) {
		return
	}
	n.counters.SnapshotsSent++
	p.state = peerSnapshot
	p.snapshotIndex = n.log.snapshot.GetIndex()
	p.progressTick = n.tickCount
	p.clearUnacknowledged()
	n.sendEarly(&quorumpb.Message{
		Type:     quorumpb.MessageType_MESSAGE_TYPE_SNAPSHOT,
		To:       string(p.id),
		Snapshot: &quorumpb.Snapshot{Meta: n.log.snapshot},
	})
}

// SnapshotFailed reports that the snapshot for id could not be passed to the
// transport. The leader retries after the next heartbeat reply.
func (n *Node) SnapshotFailed(id ID) {
	if p := n.peer(id); p != nil && p.state == peerSnapshot {
		p.startProbing()
		p.probePending = true
	}
}

// SnapshotProgress reports that id acknowledged a part of the snapshot. It
// postpones the retry of the transfer.
func (n *Node) SnapshotProgress(id ID) {
	if p := n.peer(id); p != nil && p.state == peerSnapshot {
		p.progressTick = n.tickCount
		p.lastHeardTick = n.tickCount
	}
}

func (n *Node) sendHeartbeats() {
	n.heartbeatElapsed = 0
	for _, p := range n.peers {
		n.sendEarly(&quorumpb.Message{
			Type: quorumpb.MessageType_MESSAGE_TYPE_HEARTBEAT,
			To:   string(p.id),
			// Limited to match: the peer's log may differ after it.
			Commit:    min(p.match, n.log.commit),
			ReadRound: n.reads.round,
		})
	}
}

func (n *Node) handleAppendReply(m *quorumpb.Message) {
	p := n.peer(ID(m.GetFrom()))
	if n.role != RoleLeader || p == nil {
		return
	}
	p.lastHeardTick = n.tickCount
	if m.GetReject() {
		n.handleRejection(p, m)
		return
	}
	if m.GetIndex() > n.log.last() {
		// The peer cannot hold entries that this leader has not sent in this
		// term.
		return
	}
	p.recordAcknowledged(m.GetIndex(), n.tickCount)
	n.advanceCommit()
	if n.role == RoleLeader {
		n.sendTimeoutNowIfCaughtUp(p)
	}
}

// handleRejection moves next back to a position where the logs may match
// (thesis 3.5).
func (n *Node) handleRejection(p *peer, m *quorumpb.Message) {
	stale := m.GetIndex() <= p.match ||
		p.state == peerSnapshot ||
		p.state == peerProbe && m.GetIndex() != p.next-1
	if stale {
		return
	}
	index, _ := n.log.conflictHint(m.GetHintIndex(), m.GetHintTerm())
	p.startProbing()
	p.next = max(p.match+1, min(m.GetIndex(), index+1))
}

func (n *Node) handleHeartbeatReply(m *quorumpb.Message) {
	p := n.peer(ID(m.GetFrom()))
	if n.role != RoleLeader || p == nil || m.GetReject() {
		return
	}
	p.lastHeardTick = n.tickCount
	p.readRound = max(p.readRound, m.GetReadRound())
	n.confirmReads()
	n.resendIfOverdue(p)
}

// resendIfOverdue resends messages that were probably lost: the peer replies to
// heartbeats but has acknowledged nothing for half an election timeout, or a
// snapshot for snapshotRetryTimeouts. Otherwise one lost message would stop
// replication to the peer until the next election.
func (n *Node) resendIfOverdue(p *peer) {
	overdue := n.tickCount-p.progressTick >= uint64(n.cfg.ElectionTicks)/2
	switch p.state {
	case peerProbe:
		p.probePending = false
	case peerReplicate:
		if len(p.unacknowledged) > 0 && overdue {
			p.startProbing()
		}
	case peerSnapshot:
		if n.tickCount-p.progressTick >= snapshotRetryTimeouts*uint64(n.cfg.ElectionTicks) {
			p.startProbing()
		}
	}
}

// snapshotRetryTimeouts is the number of election timeouts without progress
// after which a snapshot is sent again.
const snapshotRetryTimeouts = 2
