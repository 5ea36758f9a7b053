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

// Timing and capacities of reads.
const (
	readTimeout = time.Second
	// readRoundInterval is the least time between the starts of two rounds. Each process polls each of its instances once
	// a second, so without it a large deployment keeps all instances in rounds all the time, each of which costs the
	// leader a heartbeat to each member.
	readRoundInterval = 10 * time.Millisecond
	// confirmInterval is the time between rounds when no read is pending. Readiness is derived from these rounds.
	confirmInterval = time.Second
	// confirmedMaxAge is the time for which a confirmed round shows that this instance is ready.
	confirmedMaxAge = 3 * time.Second
	readRing        = 8192
	readBatch       = 4096
)

// readConfirmer confirms, for many callers at a time, that the state at this instance is at least as new as their
// requests.
//
// One round runs at a time. A request that arrives during a round waits for the next one: the quorum of the current
// round may have answered before a change that was acknowledged before the request.
type readConfirmer struct {
	control *Control
	pending *ring.Ring[func(confirmed bool)]

	mu        sync.Mutex
	round     uint64
	replies   chan *wire.ReadReply // of the current round
	confirmed time.Time            // start of the last confirmed round
}

func newReadConfirmer(c *Control) *readConfirmer {
	return &readConfirmer{control: c, pending: ring.New[func(bool)]("reads", readRing), replies: make(chan *wire.ReadReply, 1)}
}

// request has done called once from run when a round ends. It returns false at once, without calling done, if too many
// requests are pending.
func (r *readConfirmer) request(done func(confirmed bool)) bool {
	return r.pending.TryPush(done)
}

// wait returns nil once the state at this instance is confirmed to be at least as new as the call. Errors have code
// result.ControlUnavailable.
func (r *readConfirmer) wait(ctx context.Context) error {
	answer := make(chan bool, 1)
	if !r.request(func(confirmed bool) { answer <- confirmed }) {
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

// confirmedRecently reports whether a round was confirmed within confirmedMaxAge.
func (r *readConfirmer) confirmedRecently() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.confirmed.IsZero() && time.Since(r.confirmed) <= confirmedMaxAge
}

// run is the loop that runs the rounds.
func (r *readConfirmer) run(ctx context.Context) error {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	batch := make([]func(bool), 0, readBatch)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case done := <-r.pending.C():
			batch = append(batch, done)
		}
		batch = r.fillBatch(batch)
		started := time.Now()
		confirmed := r.runRound(ctx)
		r.control.counters.readRounds(confirmed).Inc()
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
			pause.For(ctx, retryInterval) // callers that repeat the request at once wait for the next round
			continue
		}
		pause.For(ctx, time.Until(started.Add(readRoundInterval)))
	}
}

func (r *readConfirmer) fillBatch(batch []func(bool)) []func(bool) {
	for len(batch) < readBatch {
		select {
		case done := <-r.pending.C():
			batch = append(batch, done)
		default:
			return batch
		}
	}
	return batch
}

// runRound runs one round and reports whether it was confirmed. The leader asks a quorum itself; a follower asks the
// leader for a log index, and waits until it has applied that index.
func (r *readConfirmer) runRound(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	c := r.control
	if c.isLeader() {
		_, err := c.replica.Read(ctx)
		return err == nil
	}
	index, ok := r.requestFromLeader(ctx)
	return ok && c.machine.waitIndex(ctx, index) == nil
}

func (r *readConfirmer) requestFromLeader(ctx context.Context) (index uint64, ok bool) {
	round, replies := r.startRound()
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

func (r *readConfirmer) startRound() (uint64, <-chan *wire.ReadReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.round++
	r.replies = make(chan *wire.ReadReply, 1)
	return r.round, r.replies
}

// handleReply passes a leader's reply to the current round. It drops a reply to an earlier round, which says nothing
// about requests that arrived after that round.
func (r *readConfirmer) handleReply(reply *wire.ReadReply) {
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

// requestRead sends a read request to an instance, and reports whether it could be queued.
func (p *peers) requestRead(instance string, round uint64) bool {
	p.mu.Lock()
	l := p.links[instance]
	p.mu.Unlock()
	return l != nil && l.ring.TryPush(peerMessage{read: round})
}
