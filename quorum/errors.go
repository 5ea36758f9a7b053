package quorum

import (
	"fmt"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/go-faster/errors"
)

// Reason is the reason why a request was refused. Its String is used as a
// metric label.
type Reason uint8

// Reasons for a refusal.
const (
	// ReasonNotLeader: another replica is the leader, or there is none.
	ReasonNotLeader Reason = iota
	// ReasonUncommittedFull: the unapplied entries would exceed
	// Config.MaxUncommittedBytes.
	ReasonUncommittedFull
	// ReasonTransferring: a leadership transfer is in progress.
	ReasonTransferring
	// ReasonTooManyReads: Config.MaxReads reads already wait for a quorum.
	ReasonTooManyReads
	// ReasonTooLarge: an entry exceeds Config.MaxEntryBytes.
	ReasonTooLarge
	// ReasonMembershipPending: an earlier membership change, or the first entry
	// of the leader's term, is not committed yet.
	ReasonMembershipPending
	// ReasonNotCaughtUp: the learner does not have all entries yet that were
	// committed an election timeout ago.
	ReasonNotCaughtUp
	// ReasonInvalidChange: the change does not fit the membership or leaves no
	// active quorum, or a transfer has no active voter as its target.
	ReasonInvalidChange
	// ReasonQueueFull: the replica's request queue is full.
	ReasonQueueFull
	// ReasonStopped: the replica is stopping or has stopped.
	ReasonStopped
	// ReasonEmpty: the proposal has no payload.
	ReasonEmpty
	// ReasonCanceled: the caller canceled the request before it was processed.
	ReasonCanceled
	// ReasonCount is the number of reasons.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"not_leader", "uncommitted_full", "transferring", "too_many_reads", "too_large", "membership_pending",
	"not_caught_up", "invalid_change", "queue_full", "stopped", "empty", "canceled",
}

// String returns the name of the reason in snake case.
func (r Reason) String() string {
	if r >= ReasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

var reasonCodes = [ReasonCount]result.Code{
	ReasonNotLeader:         result.NotLeader,
	ReasonUncommittedFull:   result.ProposalQueueFull,
	ReasonTransferring:      result.NotLeader,
	ReasonTooManyReads:      result.ProposalQueueFull,
	ReasonTooLarge:          result.EntryTooLarge,
	ReasonMembershipPending: result.ReplicaChangeBusy,
	ReasonNotCaughtUp:       result.ReplicaNotCaughtUp,
	ReasonInvalidChange:     result.FieldRefused,
	ReasonQueueFull:         result.ProposalQueueFull,
	ReasonStopped:           result.Stopping,
	ReasonEmpty:             result.FieldRefused,
	ReasonCanceled:          result.CallerLeft,
}

// Code returns the numbered result code of the reason.
func (r Reason) Code() result.Code {
	if r >= ReasonCount {
		return result.Internal
	}
	return reasonCodes[r]
}

// RefusedError is returned for a request that was refused. The request had no
// effect and will not take effect later.
type RefusedError struct {
	Reason Reason
	// Leader is the leader as far as known, otherwise NoID; set only for
	// ReasonNotLeader.
	Leader ID
	// Detail explains the refusal to an operator; may be empty.
	Detail string
}

// Error implements error.
func (e *RefusedError) Error() string {
	s := "quorum: refused: " + e.Reason.String()
	if e.Leader != NoID {
		s += fmt.Sprintf(" (leader %s)", e.Leader)
	}
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	return s
}

// Code returns the numbered result code of the refusal.
func (e *RefusedError) Code() result.Code { return e.Reason.Code() }

// Is reports whether target is a RefusedError with the same Reason, whatever
// its Leader and Detail. It makes errors.Is(err, ErrNotLeader) work for every
// leader.
func (e *RefusedError) Is(target error) bool {
	t, ok := target.(*RefusedError)
	return ok && t.Reason == e.Reason
}

// Refusals for use with errors.Is.
var (
	ErrNotLeader         = &RefusedError{Reason: ReasonNotLeader}
	ErrUncommittedFull   = &RefusedError{Reason: ReasonUncommittedFull}
	ErrTransferring      = &RefusedError{Reason: ReasonTransferring}
	ErrTooManyReads      = &RefusedError{Reason: ReasonTooManyReads}
	ErrTooLarge          = &RefusedError{Reason: ReasonTooLarge}
	ErrMembershipPending = &RefusedError{Reason: ReasonMembershipPending}
	ErrNotCaughtUp       = &RefusedError{Reason: ReasonNotCaughtUp}
	ErrInvalidChange     = &RefusedError{Reason: ReasonInvalidChange}
	ErrQueueFull         = &RefusedError{Reason: ReasonQueueFull}
	ErrStopped           = &RefusedError{Reason: ReasonStopped}
	ErrEmpty             = &RefusedError{Reason: ReasonEmpty}
	ErrCanceled          = &RefusedError{Reason: ReasonCanceled}
)

// Refused returns the first RefusedError in err's chain and reports whether
// there is one.
func Refused(err error) (*RefusedError, bool) {
	var r *RefusedError
	ok := errors.As(err, &r)
	return r, ok
}
