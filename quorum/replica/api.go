package replica

import (
	"time"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/journal"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/go-faster/errors"
)

// Transport carries messages to other replicas. Messages may be lost, repeated
// and reordered.
type Transport interface {
	// Send hands over messages for one replica. It must not block and must not
	// call the sending replica; what does not fit is dropped and counted by the
	// transport. Deliver them to the instance's present replica: it drops and
	// counts what is addressed to an earlier disk. The messages must not be
	// changed, they share entries with the log.
	Send(to quorum.ID, msgs []*quorumpb.Message)
}

// StateMachine is what the log is applied to. One goroutine calls it, and all
// calls are ordered by index.
type StateMachine interface {
	// Apply applies one committed entry and returns its result. It must
	// depend on nothing but the entries before. data must not be changed or
	// kept.
	Apply(index uint64, data []byte) []byte
	// Snapshot returns the state after the last applied entry.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot taken at index.
	Restore(index uint64, data []byte) error
}

// Applied is the outcome of a committed proposal.
type Applied struct {
	// Index of its entry; also the version of the state it led to.
	Index uint64
	// Result that the state machine returned.
	Result []byte
}

// Defaults of Config.
const (
	DefaultTickInterval    = 20 * time.Millisecond
	DefaultElectionTicks   = 10
	DefaultHeartbeatTicks  = 2
	DefaultQueueLength     = 1024
	DefaultSnapshotEntries = 10_000
	DefaultSnapshotBytes   = 64 << 20
	DefaultKeepEntries     = 1_000
	// DefaultMaxSnapshotBytes is half of what a journal record can hold.
	DefaultMaxSnapshotBytes = 512 << 20
)

// Config configures a replica. Fields left zero take their default.
type Config struct {
	// Instance is the name of the instance the replica runs on. Required.
	Instance string
	// Dir is the folder of the journal; one replica has it for itself.
	// Required unless Volatile.
	Dir string
	// Volatile has the replica keep nothing over a restart, and use no file.
	// Its identity is new at each start. It must not be made a voter.
	Volatile bool
	// FS is the file system; the default is the machine's own.
	FS journal.FS
	// Transport carries messages to the other replicas. It may be nil for a
	// group of one.
	Transport Transport
	// StateMachine is applied to. Required.
	StateMachine StateMachine
	// TickInterval is the unit of the two numbers below.
	TickInterval time.Duration
	// ElectionTicks is the shortest election timeout, in ticks. A leader that
	// has heard from no majority for so long steps down.
	ElectionTicks int
	// FirstElectionTicks is the same for the first election after a start, see quorum.Config; 0: ElectionTicks.
	FirstElectionTicks int
	// HeartbeatTicks is the interval of heartbeats, in ticks.
	HeartbeatTicks int
	// Seed of the random election timeouts. Replicas of a group need
	// different seeds.
	Seed uint64
	// QueueLength bounds each queue of the replica, in requests or messages.
	QueueLength int
	// MaxBatchBytes bounds the entries of one message, of one write to disk, of
	// one apply, and each part of a snapshot.
	MaxBatchBytes int
	// MaxEntryBytes bounds one proposal.
	MaxEntryBytes int
	// MaxUncommittedBytes bounds the entries that wait for a quorum.
	MaxUncommittedBytes int
	// SnapshotEntries and SnapshotBytes say after how many applied entries,
	// or bytes of them, a snapshot is taken.
	SnapshotEntries int
	SnapshotBytes   int
	// MaxSnapshotBytes bounds a snapshot received from a leader.
	MaxSnapshotBytes int
	// OnChange, if set, is called in the core's goroutine after each change of
	// role, term or leader. It must not block; it may call Status.
	OnChange func(quorum.StateChange)
	// KeepEntries is how many applied entries stay in the log after a
	// snapshot, for followers that lag a little.
	KeepEntries int
}

// Member is a replica of the group.
type Member struct {
	// ID of the replica: its instance and the identity of its disk.
	ID quorum.ID
	// Address where its transport is reached; opaque here.
	Address string
	// Voter is false for a learner.
	Voter bool
}

// Status is what a replica knows of itself.
type Status struct {
	// ID of this replica.
	ID quorum.ID
	// Leader is NoID where none is known.
	Leader quorum.ID
	// Role of this replica.
	Role quorum.Role
	// Term, and indexes of the last, last committed and last applied entry.
	Term, Last, Commit, Applied uint64
	// Snapshot is the index of the newest snapshot.
	Snapshot uint64
	// Members, sorted by ID; empty for a replica that no leader has reached.
	Members []Member
	// Progress of the others; only at the leader, sorted by ID.
	Progress []quorum.Progress
	// Counters since the start.
	Counters Counters
}

// Counters count since the replica's start.
type Counters struct {
	// ElectionsStarted counts elections that this replica began, Elected those
	// it won, SteppedDown leaderships that ended for want of a quorum.
	ElectionsStarted, Elected, SteppedDown uint64
	// LeaderChanges counts changes of the known leader.
	LeaderChanges uint64
	// Committed and Applied count entries.
	Committed, Applied uint64
	// Syncs counts fsync calls of the journal, SyncedBytes bytes written.
	Syncs, SyncedBytes uint64
	// SnapshotsTaken, SnapshotsSent, SnapshotsRestored count snapshots.
	SnapshotsTaken, SnapshotsSent, SnapshotsRestored uint64
	// MessagesDropped counts received messages that found a full queue,
	// MessagesMisaddressed those for another replica, disk or group.
	MessagesDropped, MessagesMisaddressed uint64
	// Refused counts refusals by quorum.Reason.
	Refused [quorum.ReasonCount]uint64
	// MessagesMalformed counts received messages that broke the protocol.
	MessagesMalformed uint64
	// UnknownOutcomes counts proposals whose outcome stayed unknown.
	UnknownOutcomes uint64
}

// UnknownOutcomeError says that a proposal may or may not have been committed,
// and may yet be. The caller must look at the state before it acts.
type UnknownOutcomeError struct {
	// Cause is what ended the wait: lost leadership, the caller's context or
	// the end of the replica.
	Cause error
}

// ErrUnknownOutcome matches every UnknownOutcomeError in errors.Is.
var ErrUnknownOutcome = &UnknownOutcomeError{}

// ErrLeadershipLost is the cause where this replica stopped leading.
var ErrLeadershipLost = errors.New("quorum: leadership lost")

// ErrNotEmpty is returned by Bootstrap where the disk already holds a log.
var ErrNotEmpty = errors.New("quorum: disk already holds a log")

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	if e.Cause == nil {
		return "quorum: unknown outcome"
	}
	return "quorum: unknown outcome: " + e.Cause.Error()
}

// Code returns the numbered result code.
func (e *UnknownOutcomeError) Code() result.Code { return result.ProposalUnknown }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Is reports whether target is an UnknownOutcomeError.
func (e *UnknownOutcomeError) Is(target error) bool {
	_, ok := target.(*UnknownOutcomeError)
	return ok
}
