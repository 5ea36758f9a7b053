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
	// of this instance, or from another group. The message was dropped.
	ErrMisaddressed = errors.New("quorum: message for another replica or group")
	// ErrMalformed: the message violates the protocol. It was dropped.
	ErrMalformed = errors.New("quorum: malformed message")
	// ErrLostLog: a leader's message shows that this replica acknowledged or
	// committed entries that its log does not hold. The disk lost synced data,
	// so the replica's votes and acknowledgements are not reliable: it must be
	// stopped and its disk wiped.
	ErrLostLog error = result.New(result.JournalDamaged, "quorum: log lost entries that it had acknowledged")
)

// Counters count events since New returned the Node.
type Counters struct {
	// ElectionsStarted counts elections started by this replica, without
	// pre-votes.
	ElectionsStarted uint64
	// Elected counts elections won by this replica.
	Elected uint64
	// SteppedDown counts how often this replica gave up leadership because no
	// quorum was active.
	SteppedDown uint64
	// SnapshotsSent counts snapshot transfers started to followers.
	SnapshotsSent uint64
}

// Node is the Raft state machine of one replica. It is not safe for concurrent
// use.
type Node struct {
	cfg      Config
	counters Counters

	term uint64
	vote ID
	role Role
	// leader of the term; NoID if not known.
	leader ID
	log    *entryLog
	// history of the memberships; the newest one is in force.
	history membershipHistory

	// tickCount is the number of ticks since New.
	tickCount uint64
	// electionElapsed is the number of ticks since the last message of a
	// leader, or the last vote granted. electionTimeout is drawn at random
	// whenever the timer restarts.
	electionElapsed, electionTimeout int

	// votes received in the current pre-vote or election.
	votes map[ID]bool

	leaderState
	output
}

// leaderState is valid only while the replica is the leader.
type leaderState struct {
	// peers are all other members, sorted by ID.
	peers []*peer
	// heartbeatElapsed counts ticks since the last heartbeat.
	heartbeatElapsed int
	// recentCommits are the commit indexes at the last ticks, oldest first, at
	// most ElectionTicks of them.
	recentCommits []uint64
	// unappliedBytes is the payload size of the proposals that are not applied
	// yet.
	unappliedBytes int
	reads          readQueue
	// transferee is the target of a leadership transfer, NoID if there is none;
	// transferElapsed is the number of ticks since its start.
	transferee      ID
	transferElapsed int
}

// New returns a Node with the state recovered from disk: the hard state, the
// newest snapshot and the entries after it, each of which may be empty. It
// fails if the config is invalid, the entries are not contiguous, a membership
// cannot be decoded, or the hard state is older than the last entry.
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
		return nil, errors.Errorf("quorum: hard state has term %d, but the last log entry has later term %d", n.term, last)
	}
	n.persistedHardState = hardState{term: n.term, vote: n.vote}
	n.becomeFollower(n.term, NoID)
	if cfg.FirstElectionTicks != cfg.ElectionTicks {
		n.electionTimeout = n.cfg.FirstElectionTicks + n.cfg.Rand.IntN(n.cfg.FirstElectionTicks)
	}
	n.reportedChange = n.stateChange()
	return n, nil
}

// Tick advances the Node's logical clock by one tick.
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

// Step processes a message from another replica. It returns ErrMisaddressed,
// ErrMalformed or ErrLostLog; only the last one requires stopping the replica.
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

// handleNewerTerm processes a message whose term is later than the current one
// (thesis 3.3). It reports whether the message still has to be processed in the
// new term.
func (n *Node) handleNewerTerm(m *quorumpb.Message) bool {
	switch m.GetType() {
	case quorumpb.MessageType_MESSAGE_TYPE_PRE_VOTE:
		// The term of a pre-vote may never start, so it is not adopted.
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
		// Otherwise a replica that was removed or partitioned would depose a
		// leader that all others receive heartbeats from (thesis 4.2.3).
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

// rejectOlderTerm replies to a message from an earlier term so that its sender
// learns the newer one. Otherwise a leader of an older term and a replica in a
// later term would ignore each other indefinitely.
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

// handleInTerm processes a message of the current term.
func (n *Node) handleInTerm(m *quorumpb.Message) error {
	switch m.GetType() {
	case quorumpb.MessageType_MESSAGE_TYPE_PRE_VOTE:
		n.handlePreVote(m)
	case quorumpb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY:
		// A rejection of a pre-vote for the next term.
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

// becomeFollower makes the replica a follower in term, which may be the current
// one. leader is NoID if it is not known.
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

// restartElectionTimer draws a new random election timeout. With equal timeouts
// the candidates would split the votes repeatedly (thesis 3.4).
//
// A pre-candidate uses the shorter FirstElectionTicks: its pre-votes may have
// been lost because no connection was open yet, and repeating them does not
// disturb a leader.
func (n *Node) restartElectionTimer() {
	n.electionElapsed = 0
	if n.role == RolePreCandidate {
		n.electionTimeout = n.cfg.FirstElectionTicks + n.cfg.Rand.IntN(n.cfg.FirstElectionTicks)
		return
	}
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}

// hasActiveLeader reports whether this replica leads, or has received a message
// from the leader of this term within the minimum election timeout. A leader
// checks its own quorum and steps down without one.
func (n *Node) hasActiveLeader() bool {
	return n.role == RoleLeader || n.leader != NoID && n.electionElapsed < n.cfg.ElectionTicks
}

// Compact records a durable snapshot of the caller's state machine at an
// applied index. It removes the entries up to the snapshot's index except for
// the last keep ones, or fewer if their payload exceeds keepBytes, which lets
// slightly lagging followers catch up without a snapshot. It ignores a snapshot
// that is not newer than the current one or not applied yet.
func (n *Node) Compact(meta *quorumpb.SnapshotMeta, keep, keepBytes int) {
	if meta.GetIndex() <= n.log.snapshot.GetIndex() || meta.GetIndex() > n.log.applied {
		return
	}
	n.log.snapshot = meta
	n.log.compact(n.log.compactionIndex(meta.GetIndex(), keep, keepBytes))
	n.history.compact(n.log.prevIndex)
}

// SnapshotMeta returns the metadata for a snapshot taken at index; ok is false
// if the log does not hold that entry, it was not delivered in a Batch yet, or
// no membership is known at index.
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

// NodeStatus is a Node's view of its own state and of its group.
type NodeStatus struct {
	ID     ID
	Leader ID
	Role   Role
	Term   uint64
	// Last, Commit and Applied are indexes of entries. Snapshot is the index of
	// the newest snapshot, 0 if there is none.
	Last, Commit, Applied, Snapshot uint64
	// LogBytes is the payload size of the log in memory.
	LogBytes int
	// Membership in force, nil if none is known. It must not be modified.
	Membership *quorumpb.Membership
	// MembershipCommitted reports whether Membership is committed, as far as
	// this replica knows.
	MembershipCommitted bool
	// Progress of the other members, sorted by ID; set only on the leader.
	Progress []Progress
	// Transferee is the target of a leadership transfer; NoID if there is none.
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
		LogBytes:   n.log.bytes,
		Membership: n.membership(),
		Transferee: n.transferee,

		MembershipCommitted: n.history.current().index <= n.log.commit,

		Counters: n.counters,
	}
	for _, p := range n.peers {
		s.Progress = append(s.Progress, Progress{
			ID:       p.id,
			Match:    p.match,
			Active:   n.isActive(p),
			CaughtUp: n.caughtUp(p),
			Snapshot: p.state == peerSnapshot,
		})
	}
	return s
}

// peer returns the peer with the given ID, or nil if there is none.
func (n *Node) peer(id ID) *peer {
	i, found := slices.BinarySearchFunc(n.peers, id, func(p *peer, id ID) int { return compareIDs(p.id, id) })
	if !found {
		return nil
	}
	return n.peers[i]
}
