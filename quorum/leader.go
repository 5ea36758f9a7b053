package quorum

import (
	"cmp"
	"slices"

	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"google.golang.org/protobuf/proto"
)

func compareIDs(a, b ID) int { return cmp.Compare(a, b) }

// becomeLeader starts leading. The first entry, without payload, lets the
// leader learn the commit index (thesis 6.4) and commit what earlier terms
// left behind (3.6.2).
func (n *Node) becomeLeader() {
	n.counters.Elected++
	n.role = RoleLeader
	n.leader = n.cfg.ID
	n.votes = nil
	n.leaderState = leaderState{}
	n.updatePeers()
	n.appendInTerm(quorumpb.EntryType_ENTRY_TYPE_DATA, nil)
}

// clearLeaderState ends what only a leader has. Reads that wait are lost.
func (n *Node) clearLeaderState() {
	n.failReads()
	n.leaderState = leaderState{}
}

// updatePeers makes the peers those of the membership in force.
func (n *Node) updatePeers() {
	var peers []*peer
	for _, member := range n.membership().GetMembers() {
		id := ID(member.GetId())
		if id == n.cfg.ID {
			continue
		}
		p := n.peer(id)
		if p == nil {
			// A new peer counts as heard, or a new leader would step down
			// before its first message could be answered.
			p = &peer{id: id, next: n.log.last() + 1, lastHeardTick: n.tickCount}
		}
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(a, b *peer) int { return compareIDs(a.id, b.id) })
	n.peers = peers
}

// appendInTerm appends an entry of the own term and returns its index.
func (n *Node) appendInTerm(kind quorumpb.EntryType, data []byte) uint64 {
	e := &quorumpb.Entry{Index: n.log.last() + 1, Term: n.term, Type: kind, Data: data}
	n.log.append(e)
	n.unappliedBytes += len(data)
	return e.GetIndex()
}

// tickLeader sends heartbeats and steps down where no quorum is heard.
func (n *Node) tickLeader() {
	if !n.hasActiveQuorum(n.membership()) {
		// Cut off: another leader may exist by now. Without this, callers
		// would wait on this replica for as long as the cut lasts (thesis 6.2).
		n.counters.SteppedDown++
		n.becomeFollower(n.term, NoID)
		return
	}
	if n.transferee != NoID {
		n.transferElapsed++
		if n.transferElapsed >= n.cfg.ElectionTicks {
			n.transferee = NoID
		}
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.sendHeartbeats()
	}
}

func (n *Node) isActive(p *peer) bool {
	return n.tickCount-p.lastHeardTick < uint64(n.cfg.ElectionTicks)
}

// hasActiveQuorum tells whether a quorum of m was heard within an election
// timeout.
func (n *Node) hasActiveQuorum(m *quorumpb.Membership) bool {
	return hasQuorum(m, func(id ID) bool {
		if id == n.cfg.ID {
			return true
		}
		p := n.peer(id)
		return p != nil && n.isActive(p)
	})
}

// Position is the place of a proposal in the log.
type Position struct {
	// Index of the first entry.
	Index uint64
	// Term of all entries. Another term at Index in the committed log means
	// that the proposal was not and will not be committed.
	Term uint64
}

// Propose appends payloads to the log, one entry each. A payload must not be
// changed afterwards. It returns a *RefusedError with the reasons
// ReasonNotLeader, ReasonTransferring, ReasonEmpty, ReasonTooLarge
// or ReasonUncommittedFull; then none of the payloads was appended.
func (n *Node) Propose(data ...[]byte) (Position, error) {
	if err := n.checkLeader(); err != nil {
		return Position{}, err
	}
	size := 0
	for _, d := range data {
		if len(d) == 0 {
			return Position{}, ErrEmpty
		}
		if len(d) > n.cfg.MaxEntryBytes {
			return Position{}, ErrTooLarge
		}
		size += len(d)
	}
	// A single proposal passes however small the bound is.
	if n.unappliedBytes > 0 && n.unappliedBytes+size > n.cfg.MaxUncommittedBytes {
		return Position{}, ErrUncommittedFull
	}
	p := Position{Index: n.log.last() + 1, Term: n.term}
	for _, d := range data {
		n.appendInTerm(quorumpb.EntryType_ENTRY_TYPE_DATA, d)
	}
	return p, nil
}

func (n *Node) checkLeader() error {
	if n.role != RoleLeader {
		return &RefusedError{Reason: ReasonNotLeader, Leader: n.leader}
	}
	if n.transferee != NoID {
		return ErrTransferring
	}
	return nil
}

// ProposeMembership appends a change of one replica. It returns a
// *RefusedError with the reasons of Propose or ReasonMembershipPending,
// ReasonNotCaughtUp or ReasonInvalidChange.
func (n *Node) ProposeMembership(c Change) (Position, error) {
	if err := n.checkLeader(); err != nil {
		return Position{}, err
	}
	// Two changes at once could have quorums that do not meet, and so could a
	// change by a leader that does not know yet of its predecessor's (thesis
	// 4.1, and Ongaro's correction of 2015).
	if n.history.current().index > n.log.commit || !n.committedInTerm() {
		return Position{}, ErrMembershipPending
	}
	if p := n.peer(c.ID); c.Kind == Promote && p != nil && !n.caughtUp(p) {
		return Position{}, ErrNotCaughtUp
	}
	next, detail := applyChange(n.membership(), c)
	if next == nil {
		return Position{}, &RefusedError{Reason: ReasonInvalidChange, Detail: detail}
	}
	// Otherwise the change itself could never be committed.
	if !n.hasActiveQuorum(next) {
		return Position{}, &RefusedError{Reason: ReasonInvalidChange, Detail: "no quorum of the new voters is heard"}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(next)
	if err != nil {
		return Position{}, &RefusedError{Reason: ReasonInvalidChange, Detail: err.Error()}
	}
	index := n.appendInTerm(quorumpb.EntryType_ENTRY_TYPE_MEMBERSHIP, data)
	n.history = append(n.history, configuration{index: index, membership: next})
	n.updatePeers()
	return Position{Index: index, Term: n.term}, nil
}

// caughtUp tells whether a learner holds every committed entry on its disk.
// A voter that does not would count for quorums from which a committed entry
// can be missing after one more failure (thesis 4.2.1).
func (n *Node) caughtUp(p *peer) bool {
	return n.isActive(p) && p.match >= n.log.commit
}

// committedInTerm tells whether an entry of the own term is committed. Before,
// a leader does not know the commit index (thesis 6.4).
func (n *Node) committedInTerm() bool {
	term, _ := n.log.term(n.log.commit)
	return term == n.term
}

// advanceCommit commits what a quorum holds on disk, this replica included
// only as far as its own disk goes.
func (n *Node) advanceCommit() {
	index := n.quorumIndex()
	// An entry of an earlier term can be overwritten even if a quorum holds
	// it; it is committed with one of the own term (thesis 3.6.2).
	if index <= n.log.commit || !n.log.matches(index, n.term) {
		return
	}
	n.log.commit = index
	if n.history.current().index <= index && !isVoter(n.membership(), n.cfg.ID) {
		// The removal of this replica is committed (thesis 4.2.2).
		n.becomeFollower(n.term, NoID)
	}
}

// quorumIndex returns the highest index that a quorum holds on disk.
func (n *Node) quorumIndex() uint64 {
	var persisted []uint64
	for _, id := range voters(n.membership()) {
		if id == n.cfg.ID {
			persisted = append(persisted, n.log.persisted)
			continue
		}
		persisted = append(persisted, n.peer(id).match)
	}
	slices.Sort(persisted)
	return persisted[(len(persisted)-1)/2]
}

// TransferLeader hands leadership to target, or, with NoID, to the active
// voter that is furthest on (thesis 3.10). Proposals are refused until it is
// done or an election timeout has passed. It returns a *RefusedError with the
// reasons ReasonNotLeader, ReasonTransferring or ReasonInvalidChange.
func (n *Node) TransferLeader(target ID) error {
	if err := n.checkLeader(); err != nil {
		return err
	}
	var best *peer
	for _, p := range n.peers {
		allowed := target == NoID || target == p.id
		if allowed && isVoter(n.membership(), p.id) && n.isActive(p) && (best == nil || p.match > best.match) {
			best = p
		}
	}
	if best == nil {
		return &RefusedError{Reason: ReasonInvalidChange, Detail: "no active voter to transfer to"}
	}
	n.transferee = best.id
	n.transferElapsed = 0
	n.sendTimeoutNowIfCaughtUp(best)
	return nil
}

// sendTimeoutNowIfCaughtUp asks the transferee to campaign once it holds the whole log.
func (n *Node) sendTimeoutNowIfCaughtUp(p *peer) {
	if n.transferee == p.id && p.match == n.log.last() {
		n.sendEarly(&quorumpb.Message{Type: quorumpb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW, To: string(p.id)})
	}
}
