package control

import (
	"context"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/ring"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Timing and capacity of reads.
const (
	readTimeout = time.Second
	// confirmInterval is how often a round runs when nobody asks, for readyz.
	confirmInterval = time.Second
	// confirmBound is for how long a confirmed round shows that this instance is of use.
	confirmBound = 3 * time.Second
	readRing     = 8192
	readBatch    = 4096
)

// reads confirms, for many who ask at once, that the state here is at least as new as when they asked.
//
// One round runs at a time. Who asks while it runs waits for the next: the round's quorum may have answered before a
// change that was acknowledged before the question.
type reads struct {
	control *Control
	waiting *ring.Ring[func(confirmed bool)]

	mu        sync.Mutex
	round     uint64
	replies   chan *wire.ReadReply // of the running round
	confirmed time.Time            // start of the last confirmed round
}

func newReads(c *Control) *reads {
	return &reads{control: c, waiting: ring.New[func(bool)]("reads", readRing), replies: make(chan *wire.ReadReply, 1)}
}

// ask calls done once, from the duty of reads, or returns false at once when too many wait.
func (r *reads) ask(done func(confirmed bool)) bool {
	return r.waiting.TryPush(done)
}

// wait returns nil when the state here is confirmed to be at least as new as the call. Errors have code
// result.ControlUnavailable.
func (r *reads) wait(ctx context.Context) error {
	answer := make(chan bool, 1)
	if !r.ask(func(confirmed bool) { answer <- confirmed }) {
		return result.New(result.ControlUnavailable, "too many reads wait").WithRan(result.RanNo)
	}
	select {
	case confirmed := <-answer:
		if confirmed {
			return nil
		}
		return result.New(result.ControlUnavailable, "no quorum of control instances answered").WithRan(result.RanNo)
	case <-ctx.Done():
		return result.Wrap(context.Cause(ctx), result.ControlUnavailable, "no quorum of control instances answered in time").WithRan(result.RanNo)
	}
}

// isRecent tells whether a round was confirmed lately.
func (r *reads) isRecent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.confirmed.IsZero() && time.Since(r.confirmed) <= confirmBound
}

// run is the duty that runs the rounds.
func (r *reads) run(ctx context.Context) error {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	batch := make([]func(bool), 0, readBatch)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case done := <-r.waiting.C():
			batch = append(batch, done)
		}
		batch = r.fill(batch)
		started := time.Now()
		confirmed := r.once(ctx)
		r.control.counters.reads(confirmed).Inc()
		if confirmed {
			r.mu.Lock()
			r.confirmed = started
			r.mu.Unlock()
		}
		for _, done := range batch {
			done(confirmed)
		}
		clear(batch)
		if !confirmed {
			pause.For(ctx, retryPause) // those who ask again at once wait for the next round
		}
	}
}

func (r *reads) fill(batch []func(bool)) []func(bool) {
	for len(batch) < readBatch {
		select {
		case done := <-r.waiting.C():
			batch = append(batch, done)
		default:
			return batch
		}
	}
	return batch
}

// once runs one round: at the leader itself, else by asking the leader for the index to wait for.
func (r *reads) once(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	c := r.control
	if c.isLeader() {
		_, err := c.replica.Read(ctx)
		return err == nil
	}
	index, ok := r.askLeader(ctx)
	return ok && c.machine.waitIndex(ctx, index) == nil
}

func (r *reads) askLeader(ctx context.Context) (index uint64, ok bool) {
	round, replies := r.begin()
	leader := r.control.leaderInstance()
	if leader == "" || !r.control.peers.requestRead(leader, round) {
		return 0, false
	}
	select {
	case reply := <-replies:
		return reply.GetIndex(), reply.GetConfirmed()
	case <-ctx.Done():
		return 0, false
	}
}

func (r *reads) begin() (uint64, <-chan *wire.ReadReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.round++
	r.replies = make(chan *wire.ReadReply, 1)
	return r.round, r.replies
}

// reply takes a leader's reply. One to an earlier round is dropped: it says nothing of those who ask now.
func (r *reads) reply(reply *wire.ReadReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.GetRound() != r.round {
		return
	}
	select {
	case r.replies <- reply:
	default:
	}
}

// requestRead sends a read request, and returns false if it can't.
func (p *peers) requestRead(instance string, round uint64) bool {
	p.mu.Lock()
	l := p.links[instance]
	p.mu.Unlock()
	return l != nil && l.ring.TryPush(peerMessage{read: round})
}
