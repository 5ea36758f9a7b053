package quorum

import (
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
)

// mayCampaign reports whether this replica may start an election: it is a voter
// in the newest membership, or in the last committed one, which may still be in
// force because its successor is not committed (thesis 4.2.2). A replica with
// an empty log is in neither and waits for a leader.
func (n *Node) mayCampaign() bool {
	if isVoter(n.membership(), n.cfg.ID) {
		return true
	}
	return isVoter(n.history.at(n.log.commit), n.cfg.ID)
}

// mayVote reports whether this replica may vote: a membership in its log lists
// it. A replica whose disk was wiped has an empty log. If it voted, it could
// elect a candidate that lacks entries which its former disk had acknowledged,
// and the loss of one more replica would lose committed entries. The replica
// need not be a voter in its own log, because the candidate's log can be ahead
// of it (thesis 4.2.2).
func (n *Node) mayVote() bool {
	return n.history.contains(n.cfg.ID)
}

// startPreVote asks the voters whether they would elect this replica, without
// starting a new term (thesis 9.6). Otherwise a replica that reconnects after a
// partition would have a high term and depose an active leader.
func (n *Node) startPreVote() {
	n.leader = NoID
	n.role = RolePreCandidate
	n.votes = map[ID]bool{n.cfg.ID: true}
	n.restartElectionTimer()
	n.requestVotes(quorumpb.MessageType_MESSAGE_TYPE_PRE_VOTE, n.term+1, false)
	n.countPreVotes()
}

// startElection starts an election in a new term (thesis 3.4). The replica's
// vote for itself counts only after it is durable; see Advance.
func (n *Node) startElection(transfer bool) {
	n.counters.ElectionsStarted++
	n.term++
	n.vote = n.cfg.ID
	n.leader = NoID
	n.role = RoleCandidate
	n.votes = map[ID]bool{}
	n.restartElectionTimer()
	n.requestVotes(quorumpb.MessageType_MESSAGE_TYPE_VOTE, n.term, transfer)
}

func (n *Node) requestVotes(kind quorumpb.MessageType, term uint64, transfer bool) {
	for _, id := range voters(n.membership()) {
		if id == n.cfg.ID {
			continue
		}
		n.sendAfterPersist(&quorumpb.Message{
			Type:      kind,
			To:        string(id),
			Term:      term,
			Index:     n.log.last(),
			IndexTerm: n.log.lastTerm(),
			Transfer:  transfer,
		})
	}
}

// handlePreVote replies to a pre-vote without changing the state.
func (n *Node) handlePreVote(m *quorumpb.Message) {
	grant := m.GetTerm() > n.term && !n.hasActiveLeader() && n.mayVote() &&
		n.log.isUpToDate(m.GetIndex(), m.GetIndexTerm()) && !n.outranks(m)
	reply := &quorumpb.Message{
		Type:   quorumpb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY,
		To:     m.GetFrom(),
		Term:   m.GetTerm(),
		Reject: !grant,
	}
	if !grant {
		reply.Term = n.term
	}
	if reply.Term == 0 {
		// A replica in term 0 has no valid term to reply with.
		return
	}
	n.sendAfterPersist(reply)
}

// outranks reports whether this replica is a pre-candidate too, with an equally
// up-to-date log and a greater ID than m's sender. If two such replicas granted
// each other's pre-vote, both would start the term, vote for themselves and
// lose an election timeout. Only a pre-vote may be refused for this reason:
// pre-votes affect progress, not safety.
func (n *Node) outranks(m *quorumpb.Message) bool {
	return n.role == RolePreCandidate && compareIDs(n.cfg.ID, ID(m.GetFrom())) > 0 &&
		m.GetIndex() == n.log.last() && m.GetIndexTerm() == n.log.lastTerm()
}

func (n *Node) handlePreVoteReply(m *quorumpb.Message) {
	if n.role != RolePreCandidate {
		return
	}
	if !m.GetReject() && m.GetTerm() != n.term+1 {
		// A reply to an earlier pre-vote.
		return
	}
	n.votes[ID(m.GetFrom())] = !m.GetReject()
	n.countPreVotes()
}

func (n *Node) countPreVotes() {
	if hasQuorum(n.membership(), func(id ID) bool { return n.votes[id] }) {
		n.startElection(false)
	}
}

// handleVote grants at most one vote in a term, and none to a candidate whose
// log may lack a committed entry (thesis 3.4, 3.6.1). The reply is sent after
// the vote is durable; otherwise this replica could vote twice in a term after
// a crash.
func (n *Node) handleVote(m *quorumpb.Message) {
	candidate := ID(m.GetFrom())
	grant := (n.vote == NoID || n.vote == candidate) && n.mayVote() &&
		n.log.isUpToDate(m.GetIndex(), m.GetIndexTerm())
	if grant {
		n.becomeFollower(n.term, n.leader)
		n.vote = candidate
	}
	n.sendAfterPersist(&quorumpb.Message{
		Type:   quorumpb.MessageType_MESSAGE_TYPE_VOTE_REPLY,
		To:     m.GetFrom(),
		Reject: !grant,
	})
}

func (n *Node) handleVoteReply(m *quorumpb.Message) {
	if n.role != RoleCandidate {
		return
	}
	n.recordVote(ID(m.GetFrom()), !m.GetReject())
}

func (n *Node) recordVote(id ID, granted bool) {
	n.votes[id] = granted
	if hasQuorum(n.membership(), func(id ID) bool { return n.votes[id] }) {
		n.becomeLeader()
		return
	}
	if hasQuorum(n.membership(), func(id ID) bool { v, answered := n.votes[id]; return answered && !v }) {
		n.becomeFollower(n.term, NoID)
	}
}
