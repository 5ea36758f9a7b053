package replica

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/go-faster/errors"
)

// requestState decides the race between the event loop, which claims a request,
// and the caller, which cancels it.
type requestState = int32

const (
	requestQueued requestState = iota
	requestClaimed
	requestCanceled
)

// request is a call that waits for the event loop.
type request struct {
	state atomic.Int32
	// data is set for a proposal, change for a membership change, transfer and
	// target for a leadership transfer; none of them is set for a read.
	data     []byte
	change   *quorum.Change
	transfer bool
	target   quorum.ID
	// position is the position of the entry once it is in the log.
	position quorum.Position
	// index is the index whose application a confirmed read waits for.
	index uint64
	done  chan outcome
}

// outcome is the result of a request.
type outcome struct {
	applied Applied
	err     error
}

// claim reports whether the event loop may handle q: false after cancel.
func (q *request) claim() bool { return q.state.CompareAndSwap(requestQueued, requestClaimed) }

// cancel reports whether the caller has withdrawn q: false after claim.
func (q *request) cancel() bool { return q.state.CompareAndSwap(requestQueued, requestCanceled) }

// finish returns the outcome to the caller. It is called at most once for each
// request, so that the send never blocks.
func (q *request) finish(applied Applied, err error) {
	q.done <- outcome{applied: applied, err: err}
}

// Propose appends data to the log and returns the state machine's result after
// the entry was committed and applied on this replica.
//
// A *quorum.RefusedError means that data was not proposed and never will be. An
// *UnknownOutcomeError means that data may have been committed or may still be.
func (r *Replica) Propose(ctx context.Context, data []byte) (Applied, error) {
	p := NewProposal(data)
	r.Submit(p)
	return r.Wait(ctx, p)
}

// Proposal is data to be appended to the log.
type Proposal struct{ request *request }

// NewProposal returns a proposal of data that has not been submitted.
func NewProposal(data []byte) *Proposal {
	return &Proposal{request: &request{data: slices.Clone(data), done: make(chan outcome, 1)}}
}

// Submit hands proposals to the event loop, which appends all of them in one
// batch. If its queue is full, they are refused. Each proposal must be submitted
// at most once, and its outcome is returned by Wait.
func (r *Replica) Submit(proposals ...*Proposal) {
	requests := make([]*request, len(proposals))
	for i, p := range proposals {
		requests[i] = p.request
	}
	select {
	case r.proposals <- requests:
	default:
		for _, q := range requests {
			if q.claim() {
				q.finish(Applied{}, r.counters.countRefusal(quorum.ErrQueueFull))
			}
		}
	}
}

// Wait returns the outcome of a proposal, with the errors of Propose. A proposal
// that has not been submitted when ctx ends is withdrawn.
func (r *Replica) Wait(ctx context.Context, p *Proposal) (Applied, error) {
	return r.await(ctx, p.request)
}

// Read waits until the state machine of this replica has applied every entry
// that was committed before the call, and returns the index up to which it has
// at least applied, so that a following read of the state is linearizable. Only
// the leader can serve it. The error is a *quorum.RefusedError,
// ErrLeadershipLost, quorum.ErrStopped or the error of the context; in each case
// the read can be retried.
func (r *Replica) Read(ctx context.Context) (uint64, error) {
	applied, err := r.submit(ctx, r.reads, &request{})
	return applied.Index, err
}

// AddLearner adds a replica that receives the log but does not vote. Errors are
// those of Propose.
func (r *Replica) AddLearner(ctx context.Context, id quorum.ID, address string) (Applied, error) {
	return r.changeMembership(ctx, quorum.Change{Kind: quorum.AddLearner, ID: id, Address: address})
}

// Promote makes a learner that holds the committed log a voter. While the
// learner is behind, Promote returns quorum.ErrNotCaughtUp and can be retried.
// Other errors are those of Propose.
func (r *Replica) Promote(ctx context.Context, id quorum.ID) (Applied, error) {
	return r.changeMembership(ctx, quorum.Change{Kind: quorum.Promote, ID: id})
}

// Remove removes a replica from the group. The removed replica is not notified:
// until it is stopped, it continues to request pre-votes, which the others
// refuse. Errors are those of Propose.
func (r *Replica) Remove(ctx context.Context, id quorum.ID) (Applied, error) {
	return r.changeMembership(ctx, quorum.Change{Kind: quorum.Remove, ID: id})
}

func (r *Replica) changeMembership(ctx context.Context, c quorum.Change) (Applied, error) {
	return r.submit(ctx, r.commands, &request{change: &c})
}

// TransferLeader transfers leadership to target, or to the most up-to-date voter
// if target is quorum.NoID, and returns once this replica is no longer leader.
// Call it before a graceful stop, so that the group need not wait for an
// election timeout. The error is a *quorum.RefusedError or the error of the
// context.
func (r *Replica) TransferLeader(ctx context.Context, target quorum.ID) error {
	_, err := r.submit(ctx, r.commands, &request{transfer: true, target: target})
	return err
}

// submit queues q and waits for its outcome. If the queue is full, q is refused.
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
	return r.await(ctx, q)
}

// await waits for the outcome of q.
func (r *Replica) await(ctx context.Context, q *request) (Applied, error) {
	select {
	case o := <-q.done:
		return r.countOutcome(o)
	case <-ctx.Done():
		return r.cancelRequest(q, quorum.ErrCanceled, ctx.Err())
	case <-r.stopped:
		return r.cancelRequest(q, quorum.ErrStopped, quorum.ErrStopped)
	}
}

// countOutcome counts an unknown outcome and returns the values of o.
func (r *Replica) countOutcome(o outcome) (Applied, error) {
	if errors.Is(o.err, ErrUnknownOutcome) {
		r.counters.unknownOutcomes.Add(1)
	}
	return o.applied, o.err
}

// cancelRequest ends the wait for q. It returns refusal only if the event loop
// has not claimed q and therefore never will. Otherwise it returns the outcome
// if there is one, cause for a read or a transfer, and an UnknownOutcomeError
// for a proposal.
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
