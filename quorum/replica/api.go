package replica

import (
	"time"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/journal"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/go-faster/errors"
)

// Transport sends messages to other replicas. Messages may be lost, duplicated
// and reordered.
type Transport interface {
	// Send queues messages for one replica. It must not block and must not
	// call the sending replica; the transport drops and counts messages that
	// do not fit into its queue. The receiving side passes them to Deliver of
	// the replica that currently runs on the instance, which drops and counts
	// messages addressed to an earlier disk. Messages must not be modified,
	// since they share entries with the log.
	Send(to quorum.ID, msgs []*quorumpb.Message)
}

// StateMachine is the state machine that committed entries are applied to. Its
// methods are called by one goroutine at a time, in the order of the index.
type StateMachine interface {
	// Apply applies one committed entry and returns its result. It must be
	// deterministic: the result and the new state may depend only on the entry
	// and on those before it. data must not be modified or retained.
	Apply(index uint64, data []byte) []byte
	// Snapshot returns the state after the last applied entry.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot taken at index.
	Restore(index uint64, data []byte) error
}

// Applied is the result of a committed and applied proposal.
type Applied struct {
	// Index is the index of the proposal's entry, and also the version of the
	// state after it was applied.
	Index uint64
	// Result is the value that StateMachine.Apply returned.
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
	DefaultKeepBytes       = DefaultSnapshotBytes / 2
	// DefaultMaxSnapshotBytes is half of the maximum size of a journal record.
	DefaultMaxSnapshotBytes = 512 << 20
)

// Config configures a replica. A field that is zero takes its default, which is
// the constant Default followed by the field's name, here or in package quorum,
// if nothing else is stated.
type Config struct {
	// Instance is the name of the instance that the replica runs on. Required.
	Instance string
	// Dir is the directory of the journal. No other replica may use it.
	// Required unless Volatile is set.
	Dir string
	// Volatile makes the replica use no files and lose its state at a restart.
	// Its ID is new at each start. It must not become a voter.
	Volatile bool
	// FS is the file system of the journal; nil means journal.OS().
	FS journal.FS
	// Transport sends messages to the other replicas. It may be nil for a
	// group with a single replica.
	Transport Transport
	// StateMachine applies the committed entries. Required.
	StateMachine StateMachine
	// TickInterval is the duration of a tick, the unit of ElectionTicks,
	// FirstElectionTicks and HeartbeatTicks.
	TickInterval time.Duration
	// ElectionTicks is the minimum election timeout, in ticks. A leader that
	// has received no messages from a majority for this time steps down.
	ElectionTicks int
	// FirstElectionTicks is the minimum election timeout for the first election after a start, in ticks; zero means
	// ElectionTicks.
	FirstElectionTicks int
	// HeartbeatTicks is the interval of heartbeats, in ticks.
	HeartbeatTicks int
	// Seed seeds the random election timeouts, together with Instance.
	// Replicas of a group need different seeds.
	Seed uint64
	// QueueLength is the maximum length of each queue of proposals, reads and
	// received messages.
	QueueLength int
	// MaxBatchBytes is the maximum size of the entries of one message, of one
	// write to disk and of one batch to apply, and of each chunk of a
	// snapshot, in bytes.
	MaxBatchBytes int
	// MaxEntryBytes is the maximum size of one proposal, in bytes.
	MaxEntryBytes int
	// MaxUncommittedBytes is the maximum size of all entries that are not yet
	// committed, in bytes.
	MaxUncommittedBytes int
	// SnapshotEntries and SnapshotBytes are the number and the size in bytes
	// of the entries applied since the last snapshot after which a new one is
	// taken. The limit that is reached first counts.
	SnapshotEntries int
	SnapshotBytes   int
	// MaxSnapshotBytes is the maximum size of a snapshot received from a
	// leader, in bytes.
	MaxSnapshotBytes int
	// OnChange, if not nil, is called by the event loop after each change of
	// role, term or leader. It must not block; it may call Status.
	OnChange func(quorum.StateChange)
	// KeepEntries is the number of applied entries that remain in the log
	// after a snapshot, so that followers slightly behind need no snapshot.
	// KeepBytes bounds their payload, in bytes.
	KeepEntries int
	KeepBytes   int
}

// Member describes a replica of the group.
type Member struct {
	// ID identifies the replica: its instance and the identity of its disk.
	ID quorum.ID
	// Address is the address of the replica's transport. This package does not
	// interpret it.
	Address string
	// Voter reports whether the replica votes; a learner does not.
	Voter bool
}

// Status is the state of a replica as seen by that replica.
type Status struct {
	// ID is the ID of this replica.
	ID quorum.ID
	// Leader is the ID of the leader, or quorum.NoID if none is known.
	Leader quorum.ID
	// Role is the role of this replica.
	Role quorum.Role
	// Term is the current term. Last, Commit and Applied are the indexes of the
	// last entry in the log, the last committed and the last applied entry.
	Term, Last, Commit, Applied uint64
	// Snapshot is the index of the newest snapshot, or zero if there is none.
	Snapshot uint64
	// LogBytes is the payload size of the log in memory, in bytes.
	LogBytes int
	// Members are the members of the group, sorted by ID. It is empty for a
	// replica that has not yet received a membership from a leader.
	Members []Member
	// MembersCommitted reports whether Members is committed, as far as this
	// replica knows.
	MembersCommitted bool
	// Progress is the replication progress of the other members, sorted by ID.
	// It is set only at the leader.
	Progress []quorum.Progress
	// Counters holds the counters since the replica was opened.
	Counters Counters
}

// Counters holds counters since the replica was opened.
type Counters struct {
	// ElectionsStarted counts the elections that this replica started, Elected
	// those that it won. SteppedDown counts how often it gave up leadership
	// because it had no quorum.
	ElectionsStarted, Elected, SteppedDown uint64
	// LeaderChanges counts the changes of role, term or known leader.
	LeaderChanges uint64
	// Committed and Applied count the committed and the applied entries.
	Committed, Applied uint64
	// Syncs counts the fsync calls of the journal, SyncedBytes the bytes that
	// it has written.
	Syncs, SyncedBytes uint64
	// SnapshotsTaken, SnapshotsSent and SnapshotsRestored count the snapshots
	// taken locally, sent to followers and restored from a leader.
	SnapshotsTaken, SnapshotsSent, SnapshotsRestored uint64
	// MessagesDropped counts received messages that were dropped because the
	// queue was full, MessagesMisaddressed those for another replica, disk or
	// group.
	MessagesDropped, MessagesMisaddressed uint64
	// Refused counts the refused requests by quorum.Reason.
	Refused [quorum.ReasonCount]uint64
	// MessagesMalformed counts received messages that violated the protocol.
	MessagesMalformed uint64
	// UnknownOutcomes counts the proposals that ended with an
	// UnknownOutcomeError.
	UnknownOutcomes uint64
}

// UnknownOutcomeError is returned for a proposal that may or may not have been
// committed, or may still be committed later. The caller must read the state
// before it proposes again.
type UnknownOutcomeError struct {
	// Cause is the reason why the wait ended: ErrLeadershipLost, the error of
	// the caller's context, quorum.ErrStopped or nil.
	Cause error
}

// ErrUnknownOutcome matches every UnknownOutcomeError with errors.Is.
var ErrUnknownOutcome = &UnknownOutcomeError{}

// ErrLeadershipLost is returned by Read, and is the cause of an
// UnknownOutcomeError, if this replica lost leadership during the call.
var ErrLeadershipLost = errors.New("quorum: leadership lost")

// ErrNotEmpty is returned by Bootstrap if the disk already holds a log.
var ErrNotEmpty = errors.New("quorum: disk already holds a log")

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	if e.Cause == nil {
		return "quorum: unknown outcome"
	}
	return "quorum: unknown outcome: " + e.Cause.Error()
}

// Code returns result.ProposalUnknown.
func (e *UnknownOutcomeError) Code() result.Code { return result.ProposalUnknown }

// Unwrap returns Cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Is reports whether target is an UnknownOutcomeError.
func (e *UnknownOutcomeError) Is(target error) bool {
	_, ok := target.(*UnknownOutcomeError)
	return ok
}
