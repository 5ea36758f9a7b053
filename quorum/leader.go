package quorum

import (
	"cmp"
	"slices"

	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"google.golang.org/protobuf/proto"
)

func compareIDs(a, b ID) int { return cmp.Compare(a, b) }

// becomeLeader starts this replica's leadership. It appends an entry without
// payload: committing it lets the leader learn the commit index (thesis 6.4)
// and commits the remaining entries of earlier terms (3.6.2).
func (n *Node) becomeLeader() {
	n.counters.Elected++
	n.role = RoleLeader
	n.leader = n.cfg.ID
	n.votes = nil
	n.leaderState = leaderState{}
	n.updatePeers()
	n.appendInTerm(quorumpb.EntryType_ENTRY_TYPE_DATA, nil)
}

// clearLeaderState discards the state that is valid only for a leader and fails
// the pending reads.
func (n *Node) clearLeaderState() {
	n.failReads()
	n.leaderState = leaderState{}
}

// updatePeers sets the peers to the other members of the membership in force.
func (n *Node) updatePeers() {
	var peers []*peer
	for _, member := range n.membership().GetMembers() {
		id := ID(member.GetId())
		if id == n.cfg.ID {
			continue
		}
		p := n.peer(id)
		if p == nil {
			// A new peer counts as active; otherwise a new leader would step
			// down before the first reply can arrive.
			p = &peer{id: id, next: n.log.last() + 1, lastHeardTick: n.tickCount}
		}
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(a, b *peer) int { return compareIDs(a.id, b.id) })
	n.peers = peers
}

// appendInTerm appends an entry of the current term and returns its index.
func (n *Node) appendInTerm(kind quorumpb.EntryType, data []byte) uint64 {
	e := &quorumpb.Entry{Index: n.log.last() + 1, Term: n.term, Type: kind, Data: data}
	n.log.append(e)
	n.unappliedBytes += len(data)
	return e.GetIndex()
}

// tickLeader sends heartbeats, and steps down if no quorum is active.
func (n *Node) tickLeader() {
	if !n.hasActiveQuorum(n.membership()) {
		// Behind a network partition, another leader may have been elected. If
		// this replica did not step down, its callers would wait until the
		// partition heals (thesis 6.2).
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
	n.recordCommit()
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.sendHeartbeats()
	}
}

// isActive reports whether a message from p arrived within the last election
// timeout.
func (n *Node) isActive(p *peer) bool {
	return n.tickCount-p.lastHeardTick < uint64(n.cfg.ElectionTicks)
}

// hasActiveQuorum reports whether a quorum of m's voters, counting this
// replica, is active.
func (n *Node) hasActiveQuorum(m *quorumpb.Membership) bool {
	return hasQuorum(m, func(id ID) bool {
		if id == n.cfg.ID {
			return true
		}
		p := n.peer(id)
		return p != nil && n.isActive(p)
	})
}

// Position is the position of a proposal in the log.
type Position struct {
	// Index of the first entry.
	Index uint64
	// Term of all entries. If the committed log has another term at Index, the
	// proposal was not and will not be committed.
	Term uint64
}

// Propose appends payloads to the log, one entry each. The caller must not
// modify a payload afterwards. On failure it appends none of the payloads and
// returns a *RefusedError with ReasonNotLeader, ReasonTransferring,
// ReasonEmpty, ReasonTooLarge or ReasonUncommittedFull.
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
	// With nothing pending, a proposal is accepted even if it exceeds the
	// bound.
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

// ProposeMembership appends a membership change of one replica. It returns a
// *RefusedError with ReasonNotLeader, ReasonTransferring,
// ReasonMembershipPending, ReasonNotCaughtUp or ReasonInvalidChange.
func (n *Node) ProposeMembership(c Change) (Position, error) {
	if err := n.checkLeader(); err != nil {
		return Position{}, err
	}
	// Two concurrent changes could have disjoint quorums. So could a change by
	// a leader that does not know its predecessor's change yet (thesis 4.1, and
	// Ongaro's correction of 2015).
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
	// Without an active quorum of the new voters, the change could never be
	// committed.
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

// caughtUp reports whether the active peer p has on disk the membership in
// force and every entry that was committed an election timeout ago (thesis
// 4.2.1). A voter that is further behind would count towards quorums before it
// can acknowledge anything, and one that doesn't know that it is a member
// couldn't vote if another replica were lost now.
//
// The entries committed since then needn't be there: the change that makes p a
// voter is committed only with them. While entries are committed all the time,
// a replica that answers later than the others never has all of them.
func (n *Node) caughtUp(p *peer) bool {
	wanted := n.log.commit
	if len(n.recentCommits) == n.cfg.ElectionTicks {
		wanted = n.recentCommits[0]
	}
	return n.isActive(p) && p.match >= max(wanted, n.history.current().index)
}

// recordCommit records the commit index of this tick.
func (n *Node) recordCommit() {
	if len(n.recentCommits) == n.cfg.ElectionTicks {
		n.recentCommits = append(n.recentCommits[:0], n.recentCommits[1:]...)
	}
	n.recentCommits = append(n.recentCommits, n.log.commit)
}

// committedInTerm reports whether an entry of the current term is committed.
// Until then a leader does not know the commit index (thesis 6.4).
func (n *Node) committedInTerm() bool {
	term, _ := n.log.term(n.log.commit)
	return term == n.term
}

// advanceCommit commits the entries that a quorum has on disk. This replica
// counts only for the entries on its own disk.
func (n *Node) advanceCommit() {
	index := n.quorumIndex()
	// An entry of an earlier term can be overwritten even if a quorum has it.
	// It is committed together with an entry of the current term (thesis
	// 3.6.2).
	if index <= n.log.commit || !n.log.matches(index, n.term) {
		return
	}
	n.log.commit = index
	if n.history.current().index <= index && !isVoter(n.membership(), n.cfg.ID) {
		// The removal of this replica is committed, so it steps down (thesis
		// 4.2.2).
		n.becomeFollower(n.term, NoID)
	}
}

// quorumIndex returns the highest index that a quorum has on disk.
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

// TransferLeader transfers leadership to target or, if target is NoID, to the
// active voter with the highest match index (thesis 3.10). Proposals are
// refused until the transfer is complete or an election timeout has passed. It
// returns a *RefusedError with ReasonNotLeader, ReasonTransferring or
// ReasonInvalidChange.
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

// sendTimeoutNowIfCaughtUp asks p to campaign if it is the transferee and has
// the whole log.
func (n *Node) sendTimeoutNowIfCaughtUp(p *peer) {
	if n.transferee == p.id && p.match == n.log.last() {
		n.sendEarly(&quorumpb.Message{Type: quorumpb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW, To: string(p.id)})
	}
}
