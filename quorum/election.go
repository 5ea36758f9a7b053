package quorum

import (
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
)

// mayCampaign tells whether this replica may start an election: it is a voter
// of the newest membership, or of one that may still be in force because its
// successor is not committed (thesis 4.2.2). A replica with an empty disk is
// neither, so it waits for a leader.
func (n *Node) mayCampaign() bool {
	if isVoter(n.membership(), n.cfg.ID) {
		return true
	}
	return isVoter(n.history.at(n.log.commit), n.cfg.ID)
}

// mayVote tells whether this replica may vote: its log names it. A replica
// whose disk was wiped comes back with an empty log; if it voted, it could
// elect a candidate without the entries that its former disk had acknowledged,
// and the loss of one more replica would lose committed entries. It also need
// not be a voter yet by its own log: the candidate's log can be ahead of it
// (thesis 4.2.2).
func (n *Node) mayVote() bool {
	return n.history.contains(n.cfg.ID)
}

// startPreVote asks whether an election could be won, without a new term
// (thesis 9.6). Without it, a replica that was cut off would come back with a
// high term and depose a working leader.
func (n *Node) startPreVote() {
	n.leader = NoID
	n.role = RolePreCandidate
	n.votes = map[ID]bool{n.cfg.ID: true}
	n.restartElectionTimer()
	n.requestVotes(quorumpb.MessageType_MESSAGE_TYPE_PRE_VOTE, n.term+1, false)
	n.countPreVotes()
}

// startElection begins a new term (thesis 3.4). The own vote counts only when
// it is on disk, see Advance.
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

// handlePreVote answers without a change of state.
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
		// An empty replica in no term has nothing to say.
		return
	}
	n.sendAfterPersist(reply)
}

// outranks tells whether this replica asks for pre-votes itself with an equally
// good log and the greater ID. Were two such replicas to encourage each other,
// both would begin the term, vote for themselves and lose an election timeout.
// Only the pre-vote may be refused for that: it is about progress, not safety.
func (n *Node) outranks(m *quorumpb.Message) bool {
	return n.role == RolePreCandidate && compareIDs(n.cfg.ID, ID(m.GetFrom())) > 0 &&
		m.GetIndex() == n.log.last() && m.GetIndexTerm() == n.log.lastTerm()
}

func (n *Node) handlePreVoteReply(m *quorumpb.Message) {
	if n.role != RolePreCandidate {
		return
	}
	if !m.GetReject() && m.GetTerm() != n.term+1 {
		// The answer to an earlier pre-vote.
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
// log could lack a committed entry (thesis 3.4, 3.6.1). The reply leaves after
// the vote is on disk; otherwise a crash would let this replica vote twice.
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
