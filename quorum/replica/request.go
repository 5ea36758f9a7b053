package replica

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/go-faster/errors"
)

// requestState settles the race between the core that takes a request up and a
// caller that gives it up.
type requestState = int32

const (
	requestQueued requestState = iota
	requestClaimed
	requestCanceled
)

// request is a call that waits for the core.
type request struct {
	state atomic.Int32
	// data of a proposal, or change of the membership, or target of a
	// transfer; none of them for a read.
	data     []byte
	change   *quorum.Change
	transfer bool
	target   quorum.ID
	// position of the entry once it is in the log.
	position quorum.Position
	// index that a confirmed read waits for.
	index uint64
	done  chan outcome
}

type outcome struct {
	applied Applied
	err     error
}

func (q *request) claim() bool { return q.state.CompareAndSwap(requestQueued, requestClaimed) }

func (q *request) cancel() bool { return q.state.CompareAndSwap(requestQueued, requestCanceled) }

// finish answers; a request is answered once.
func (q *request) finish(applied Applied, err error) {
	q.done <- outcome{applied: applied, err: err}
}

// Propose appends data to the log and returns after it was committed and
// applied here, with the state machine's result.
//
// Errors: *quorum.RefusedError says that data was not proposed and never will
// be; *UnknownOutcomeError says that it may have been or may yet be committed.
func (r *Replica) Propose(ctx context.Context, data []byte) (Applied, error) {
	return r.submit(ctx, r.proposals, &request{data: slices.Clone(data)})
}

// Read returns, after the state machine here has applied it, an index such that
// everything committed before the call is at or before it (linearizable). Only
// the leader answers. Errors: *quorum.RefusedError; or ErrLeadershipLost or
// the context's error, after which the caller may simply try again.
func (r *Replica) Read(ctx context.Context) (uint64, error) {
	applied, err := r.submit(ctx, r.reads, &request{})
	return applied.Index, err
}

// AddLearner adds a replica that receives the log without a vote. Errors are
// those of Propose.
func (r *Replica) AddLearner(ctx context.Context, id quorum.ID, address string) (Applied, error) {
	return r.changeMembership(ctx, quorum.Change{Kind: quorum.AddLearner, ID: id, Address: address})
}

// Promote turns a learner that holds the committed log into a voter. While it
// does not, the refusal is quorum.ErrNotCaughtUp: try again. Errors are those
// of Propose.
func (r *Replica) Promote(ctx context.Context, id quorum.ID) (Applied, error) {
	return r.changeMembership(ctx, quorum.Change{Kind: quorum.Promote, ID: id})
}

// Remove removes a replica from the group. The removed replica is not told: it
// goes on asking for pre-votes, which the others refuse, until it is stopped.
// Errors are those of Propose.
func (r *Replica) Remove(ctx context.Context, id quorum.ID) (Applied, error) {
	return r.changeMembership(ctx, quorum.Change{Kind: quorum.Remove, ID: id})
}

func (r *Replica) changeMembership(ctx context.Context, c quorum.Change) (Applied, error) {
	return r.submit(ctx, r.commands, &request{change: &c})
}

// TransferLeader hands leadership to target, or with quorum.NoID to the voter
// that is furthest on, and returns once this replica no longer leads. Call it
// before a graceful stop, which then costs no election timeout. Errors:
// *quorum.RefusedError, or the context's.
func (r *Replica) TransferLeader(ctx context.Context, target quorum.ID) error {
	_, err := r.submit(ctx, r.commands, &request{transfer: true, target: target})
	return err
}

// submit queues q and waits for its outcome.
func (r *Replica) submit(ctx context.Context, queue chan<- *request, q *request) (Applied, error) {
	q.done = make(chan outcome, 1)
	select {
	case <-r.stopped:
		return Applied{}, r.counters.countRefusal(quorum.ErrStopped)
	default:
	}
	select {
	case queue <- q:
	default:
		return Applied{}, r.counters.countRefusal(quorum.ErrQueueFull)
	}
	select {
	case o := <-q.done:
		return r.countOutcome(o)
	case <-ctx.Done():
		return r.cancelRequest(q, quorum.ErrCanceled, ctx.Err())
	case <-r.stopped:
		return r.cancelRequest(q, quorum.ErrStopped, quorum.ErrStopped)
	}
}

func (r *Replica) countOutcome(o outcome) (Applied, error) {
	if errors.Is(o.err, ErrUnknownOutcome) {
		r.counters.unknownOutcomes.Add(1)
	}
	return o.applied, o.err
}

// cancelRequest ends the wait for q. It is a refusal only if the core has not taken
// q up and now never will.
func (r *Replica) cancelRequest(q *request, refusal *quorum.RefusedError, cause error) (Applied, error) {
	if q.cancel() {
		return Applied{}, r.counters.countRefusal(refusal)
	}
	select {
	case o := <-q.done:
		return r.countOutcome(o)
	default:
	}
	if q.data == nil && q.change == nil {
		return Applied{}, cause
	}
	return r.countOutcome(outcome{err: &UnknownOutcomeError{Cause: cause}})
}
