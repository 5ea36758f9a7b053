package quorum

import (
	"slices"

	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
)

// Errors of Step.
var (
	// ErrMisaddressed: the message is for another replica, for an earlier disk
	// of this instance or from another group. It was dropped.
	ErrMisaddressed = errors.New("quorum: message for another replica or group")
	// ErrMalformed: the message breaks the protocol. It was dropped.
	ErrMalformed = errors.New("quorum: malformed message")
	// ErrLostLog: a leader says that this replica acknowledged or committed
	// entries that its log does not hold. Its disk lost synced data, so its
	// votes and acknowledgements are worth nothing: stop it and wipe it.
	ErrLostLog error = result.New(result.JournalDamaged, "quorum: log lost entries that it had acknowledged")
)

// Counters count events since the Node was made.
type Counters struct {
	// ElectionsStarted counts real elections begun here, without pre-votes.
	ElectionsStarted uint64
	// Elected counts elections won here.
	Elected uint64
	// SteppedDown counts leaderships that ended because no quorum was heard.
	SteppedDown uint64
	// SnapshotsSent counts snapshots begun towards followers.
	SnapshotsSent uint64
}

// Node is one replica's part in the protocol. It is not safe for concurrent
// use.
type Node struct {
	cfg      Config
	counters Counters

	term uint64
	vote ID
	role Role
	// leader of the term as far as known.
	leader ID
	log    *entryLog
	// history of memberships; the current one is in force.
	history membershipHistory

	// tickCount counts ticks.
	tickCount uint64
	// electionElapsed counts ticks since a leader, or a vote granted, was last
	// heard; electionTimeout is drawn anew at each change of role.
	electionElapsed, electionTimeout int

	// votes of the running pre-vote or election.
	votes map[ID]bool

	leaderState
	output
}

// leaderState is only valid while the replica leads.
type leaderState struct {
	// peers are all other members, sorted by ID.
	peers []*peer
	// heartbeatElapsed counts ticks since the last heartbeat.
	heartbeatElapsed int
	// unappliedBytes is the payload in bytes of proposals that are not applied yet.
	unappliedBytes int
	reads          readQueue
	// transferee is to become the leader; transferElapsed counts ticks.
	transferee      ID
	transferElapsed int
}

// New returns a Node in the state that its disk holds: hard state, newest
// snapshot and the entries after it, all of them possibly empty. It fails where
// the config is incomplete or the entries do not follow each other.
func New(cfg Config, hard *quorumpb.HardState, snapshot *quorumpb.SnapshotMeta, entries []*quorumpb.Entry) (*Node, error) {
	if err := cfg.setDefaultsAndValidate(); err != nil {
		return nil, err
	}
	log, err := newEntryLog(snapshot, entries, hard.GetCommit())
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, log: log, vote: ID(hard.GetVote())}
	if m := snapshot.GetMembership(); m != nil {
		n.history = membershipHistory{{index: snapshot.GetIndex(), membership: m}}
	}
	if err := n.history.addFromEntries(entries); err != nil {
		return nil, err
	}
	n.term = hard.GetTerm()
	if last := log.lastTerm(); last > n.term {
		return nil, errors.Errorf("quorum: hard state of term %d is older than the log's %d", n.term, last)
	}
	n.persistedHardState = hardState{term: n.term, vote: n.vote}
	n.becomeFollower(n.term, NoID)
	if cfg.FirstElectionTicks != cfg.ElectionTicks {
		n.electionTimeout = n.cfg.FirstElectionTicks + n.cfg.Rand.IntN(n.cfg.FirstElectionTicks)
	}
	n.reportedChange = n.stateChange()
	return n, nil
}

// Tick advances the time by one tick.
func (n *Node) Tick() {
	n.tickCount++
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	n.electionElapsed++
	if n.electionElapsed >= n.electionTimeout && n.mayCampaign() {
		n.startPreVote()
	}
}

// Step takes up a message from another replica. Errors: ErrMisaddressed,
// ErrMalformed, ErrLostLog; only the last one must stop the replica.
func (n *Node) Step(m *quorumpb.Message) error {
	if err := n.checkMessage(m); err != nil {
		return err
	}
	if m.GetTerm() > n.term {
		if !n.handleNewerTerm(m) {
			return nil
		}
	}
	if m.GetTerm() < n.term {
		n.rejectOlderTerm(m)
		return nil
	}
	return n.handleInTerm(m)
}

func (n *Node) checkMessage(m *quorumpb.Message) error {
	if ID(m.GetTo()) != n.cfg.ID {
		return ErrMisaddressed
	}
	group := n.group()
	if group != "" && m.GetGroup() != "" && group != m.GetGroup() {
		return ErrMisaddressed
	}
	if m.GetFrom() == "" || ID(m.GetFrom()) == n.cfg.ID || m.GetTerm() == 0 {
		return ErrMalformed
	}
	index, term := m.GetIndex(), max(m.GetIndexTerm(), 1)
	for _, e := range m.GetEntries() {
		index++
		if e.GetIndex() != index || e.GetTerm() < term || e.GetTerm() > m.GetTerm() {
			return ErrMalformed
		}
		term = e.GetTerm()
	}
	if m.GetType() == quorumpb.MessageType_MESSAGE_TYPE_SNAPSHOT && m.GetSnapshot().GetMeta().GetIndex() == 0 {
		return ErrMalformed
	}
	return nil
}

// handleNewerTerm handles the term of a message from a later term (thesis 3.3). It
// returns false if the message must be ignored.
func (n *Node) handleNewerTerm(m *quorumpb.Message) bool {
	switch m.GetType() {
	case quorumpb.MessageType_MESSAGE_TYPE_PRE_VOTE:
		// A pre-vote names a term that may never begin.
		n.handlePreVote(m)
		return false
	case quorumpb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY:
		if !m.GetReject() {
			n.handlePreVoteReply(m)
			return false
		}
		n.becomeFollower(m.GetTerm(), NoID)
		return false
	case quorumpb.MessageType_MESSAGE_TYPE_VOTE:
		// A replica that was removed, or cut off, would otherwise depose a
		// leader that everyone else hears (thesis 4.2.3).
		if n.hasActiveLeader() && !m.GetTransfer() {
			return false
		}
		n.becomeFollower(m.GetTerm(), NoID)
	case quorumpb.MessageType_MESSAGE_TYPE_APPEND,
		quorumpb.MessageType_MESSAGE_TYPE_HEARTBEAT,
		quorumpb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		n.becomeFollower(m.GetTerm(), ID(m.GetFrom()))
	default:
		n.becomeFollower(m.GetTerm(), NoID)
	}
	return true
}

// rejectOlderTerm answers a message from an earlier term so that its sender learns
// of the newer one. Without this, a leader of an older term and a replica that
// has moved on would ignore each other for ever.
func (n *Node) rejectOlderTerm(m *quorumpb.Message) {
	reply := &quorumpb.Message{To: m.GetFrom(), Reject: true}
	switch m.GetType() {
	case quorumpb.MessageType_MESSAGE_TYPE_PRE_VOTE:
		reply.Type = quorumpb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY
	case quorumpb.MessageType_MESSAGE_TYPE_VOTE:
		reply.Type = quorumpb.MessageType_MESSAGE_TYPE_VOTE_REPLY
	case quorumpb.MessageType_MESSAGE_TYPE_APPEND,
		quorumpb.MessageType_MESSAGE_TYPE_HEARTBEAT,
		quorumpb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		reply.Type = quorumpb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY
	default:
		return
	}
	n.sendAfterPersist(reply)
}

// handleInTerm handles a message of the own term.
func (n *Node) handleInTerm(m *quorumpb.Message) error {
	switch m.GetType() {
	case quorumpb.MessageType_MESSAGE_TYPE_PRE_VOTE:
		n.handlePreVote(m)
	case quorumpb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY:
		// The rejection of a pre-vote for the next term.
		n.handlePreVoteReply(m)
	case quorumpb.MessageType_MESSAGE_TYPE_VOTE:
		n.handleVote(m)
	case quorumpb.MessageType_MESSAGE_TYPE_VOTE_REPLY:
		n.handleVoteReply(m)
	case quorumpb.MessageType_MESSAGE_TYPE_APPEND:
		return n.handleAppend(m)
	case quorumpb.MessageType_MESSAGE_TYPE_APPEND_REPLY:
		n.handleAppendReply(m)
	case quorumpb.MessageType_MESSAGE_TYPE_HEARTBEAT:
		return n.handleHeartbeat(m)
	case quorumpb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY:
		n.handleHeartbeatReply(m)
	case quorumpb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		return n.handleSnapshot(m)
	case quorumpb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW:
		n.handleTimeoutNow(m)
	default:
		return ErrMalformed
	}
	return nil
}

func (n *Node) group() string { return n.history.current().membership.GetGroup() }

func (n *Node) membership() *quorumpb.Membership { return n.history.current().membership }

// becomeFollower enters term, or stays in it, under leader.
func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.term {
		n.term = term
		n.vote = NoID
	}
	n.clearLeaderState()
	n.role = RoleFollower
	n.leader = leader
	n.votes = nil
	n.restartElectionTimer()
}

// restartElectionTimer draws a new timeout. Equal timeouts would split the
// votes again and again (thesis 3.4).
//
// A replica that asks for pre-votes asks again soon: its links may not have been open yet, and it disturbs nobody.
func (n *Node) restartElectionTimer() {
	n.electionElapsed = 0
	if n.role == RolePreCandidate {
		n.electionTimeout = n.cfg.FirstElectionTicks + n.cfg.Rand.IntN(n.cfg.FirstElectionTicks)
		return
	}
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}

// hasActiveLeader tells whether a leader of this term is alive as far as this
// replica knows. A leader steps down itself when it hears no quorum.
func (n *Node) hasActiveLeader() bool {
	return n.role == RoleLeader || n.leader != NoID && n.electionElapsed < n.cfg.ElectionTicks
}

// Compact takes up a snapshot of the own state machine, at an applied index,
// that is on disk. The entries up to its index are dropped but for the last
// keep ones, which serve followers that lag a little.
func (n *Node) Compact(meta *quorumpb.SnapshotMeta, keep int) {
	if meta.GetIndex() <= n.log.snapshot.GetIndex() || meta.GetIndex() > n.log.applied {
		return
	}
	n.log.snapshot = meta
	if meta.GetIndex() > uint64(keep) {
		n.log.compact(meta.GetIndex() - uint64(keep))
	}
	n.history.compact(n.log.prevIndex)
}

// SnapshotMeta describes a snapshot taken at index; ok is false where the log
// does not hold that entry, or no longer.
func (n *Node) SnapshotMeta(index uint64) (meta *quorumpb.SnapshotMeta, ok bool) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.delivered {
		return nil, false
	}
	m := n.history.at(index)
	if m == nil {
		return nil, false
	}
	return &quorumpb.SnapshotMeta{Index: index, Term: term, Membership: proto.Clone(m).(*quorumpb.Membership)}, true
}

// NodeStatus is a Node's view of itself and of its group.
type NodeStatus struct {
	ID     ID
	Leader ID
	Role   Role
	Term   uint64
	// Last, Commit and Applied are indexes of entries, Snapshot is the index
	// of the newest snapshot.
	Last, Commit, Applied, Snapshot uint64
	// Membership in force; nil where none is known. It must not be changed.
	Membership *quorumpb.Membership
	// Progress of the other members, sorted by ID; only at the leader.
	Progress []Progress
	// Transferee is to become the leader; NoID while none is.
	Transferee ID
	Counters   Counters
}

// Status returns the Node's status.
func (n *Node) Status() NodeStatus {
	s := NodeStatus{
		ID:         n.cfg.ID,
		Leader:     n.leader,
		Role:       n.role,
		Term:       n.term,
		Last:       n.log.last(),
		Commit:     n.log.commit,
		Applied:    n.log.applied,
		Snapshot:   n.log.snapshot.GetIndex(),
		Membership: n.membership(),
		Transferee: n.transferee,
		Counters:   n.counters,
	}
	for _, p := range n.peers {
		s.Progress = append(s.Progress, Progress{
			ID:       p.id,
			Match:    p.match,
			Active:   n.isActive(p),
			Snapshot: p.state == peerSnapshot,
		})
	}
	return s
}

func (n *Node) peer(id ID) *peer {
	i, found := slices.BinarySearchFunc(n.peers, id, func(p *peer, id ID) int { return compareIDs(p.id, id) })
	if !found {
		return nil
	}
	return n.peers[i]
}
