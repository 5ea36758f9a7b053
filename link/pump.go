package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/ring"
)

// Pump connects a bidirectional stream to a bounded ring of outgoing items and a callback for received batches. Out is
// one outgoing item; In is one received batch. Send, Recv, Abort, Ring and Receive are required.
type Pump[Out, In any] struct {
	// Send sends a batch. The slice is reused afterwards.
	Send func(batch []Out) error
	// Recv waits for the next batch.
	Recv func() (In, error)
	// Abort closes the connection, so that Send and Recv return. It may be called more than once.
	Abort func()

	// Ring holds the outgoing items. Producers use TryPush, which refuses and counts an item when the ring is full.
	Ring *ring.Ring[Out]
	// Urgent, if not nil, holds items that are sent before those of Ring.
	Urgent *ring.Ring[Out]
	// Size returns the size of an item in bytes, which bounds a batch. Nil means that only the number of items is bounded.
	Size func(Out) int

	// Heartbeat returns a heartbeat, sent every HeartbeatInterval whether Ring is full or empty. Nil means no heartbeats.
	Heartbeat         func() Out
	HeartbeatInterval time.Duration

	// Receive handles a batch, from one goroutine. It may block until its context ends, which applies backpressure to the
	// peer. It reports whether the batch proves that the peer receives from this side. An error from it ends the pump.
	Receive func(ctx context.Context, batch In) (alive bool, err error)
	// SilenceTimeout ends the pump with ErrSilent if no batch proved for that long that the peer is alive. Zero means no
	// timeout.
	//
	// Without it, a connection cut without an error would appear healthy for minutes, until TCP gives up, and work sent into
	// it would end only at its deadline.
	SilenceTimeout time.Duration

	// FlushTimeout bounds the sending of the items in Ring when ctx ends; zero means DefaultFlushTimeout.
	FlushTimeout time.Duration
	// Flushed, if not nil, is called at the end of that flush. The connection is closed when it returns.
	Flushed func()

	parent    context.Context
	sendDone  chan struct{} // closed when the sender has ended
	start     time.Time
	lastAlive atomic.Int64 // nanoseconds since start
}

// Run sends and receives until ctx ends or something fails, and returns the cause. When ctx is cancelled, it sends the
// items in Ring for at most FlushTimeout; if ctx has a cause of its own, that counts as a failure and nothing more is
// sent. When Run returns, the connection is closed and no more callbacks are called.
func (p *Pump[Out, In]) Run(ctx context.Context) error {
	if p.FlushTimeout <= 0 {
		p.FlushTimeout = DefaultFlushTimeout
	}
	p.start = time.Now()
	p.parent = ctx
	p.sendDone = make(chan struct{})
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	var wg sync.WaitGroup
	wg.Go(func() {
		defer close(p.sendDone)
		cancel(p.sendLoop(ctx))
		p.Abort()
	})
	wg.Go(func() {
		cancel(p.receiveLoop(ctx))
		p.abortUnlessFlushing()
	})
	wg.Go(func() {
		p.watch(ctx, cancel)
	})
	wg.Wait()
	return context.Cause(ctx)
}

// isGracefulStop reports whether the pump was stopped rather than failed: its context ended without a cause of its own.
func (p *Pump[Out, In]) isGracefulStop() bool {
	return p.parent.Err() != nil && context.Cause(p.parent) == p.parent.Err()
}

// abortUnlessFlushing aborts the connection, except in a graceful stop, where the sender still uses it.
func (p *Pump[Out, In]) abortUnlessFlushing() {
	if !p.isGracefulStop() {
		p.Abort()
	}
}

// watch ends the pump when the peer is silent. After the end of ctx it bounds the flush: a Send that blocks on a cut
// connection does not see the end of ctx, and returns only on Abort.
func (p *Pump[Out, In]) watch(ctx context.Context, cancel context.CancelCauseFunc) {
	if p.SilenceTimeout > 0 {
		p.watchSilence(ctx, cancel)
	}
	<-ctx.Done()
	if p.isGracefulStop() {
		timer := time.NewTimer(p.FlushTimeout)
		defer timer.Stop()
		select {
		case <-p.sendDone:
		case <-timer.C:
		}
	}
	p.Abort()
}

func (p *Pump[Out, In]) watchSilence(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		silence := time.Since(p.start) - time.Duration(p.lastAlive.Load())
		if silence >= p.SilenceTimeout {
			cancel(ErrSilent)
			return
		}
		if !pause.For(ctx, p.SilenceTimeout-silence) {
			return
		}
	}
}

func (p *Pump[Out, In]) sendLoop(ctx context.Context) error {
	var heartbeats <-chan time.Time
	if p.Heartbeat != nil {
		ticker := time.NewTicker(p.HeartbeatInterval)
		defer ticker.Stop()
		heartbeats = ticker.C
	}
	var urgent <-chan Out
	if p.Urgent != nil {
		urgent = p.Urgent.C()
	}
	batch := make([]Out, 0, MaxBatchMessages)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return p.flush(ctx, batch)
		case item := <-urgent:
			batch = append(batch, item)
		case <-heartbeats:
			batch = append(batch, p.Heartbeat())
		case item := <-p.Ring.C():
			batch = append(batch, item)
		}
		if err := p.sendBatch(urgent, batch); err != nil {
			return err
		}
	}
}

// sendBatch adds waiting items to the batch, up to the limits, and sends it.
func (p *Pump[Out, In]) sendBatch(urgent <-chan Out, batch []Out) error {
	size := p.size(batch[0])
	for len(batch) < MaxBatchMessages && size < MaxBatchBytes {
		item, ok := tryNext(urgent, p.Ring.C())
		if !ok {
			break
		}
		batch = append(batch, item)
		size += p.size(item)
	}
	err := p.Send(batch)
	clear(batch)
	if err != nil {
		return errors.Wrap(err, "link: send")
	}
	return nil
}

// flush sends the items in Ring after a graceful stop. It sends nothing if the pump failed.
func (p *Pump[Out, In]) flush(ctx context.Context, batch []Out) error {
	cause := context.Cause(ctx)
	if !p.isGracefulStop() {
		return cause
	}
	deadline := time.Now().Add(p.FlushTimeout)
	for time.Now().Before(deadline) {
		item, ok := tryNext(nil, p.Ring.C())
		if !ok {
			break
		}
		if err := p.sendBatch(nil, append(batch[:0], item)); err != nil {
			return err
		}
	}
	if p.Flushed != nil {
		p.Flushed()
	}
	return cause
}

func (p *Pump[Out, In]) receiveLoop(ctx context.Context) error {
	for {
		in, err := p.Recv()
		if err != nil {
			return errors.Wrap(err, "link: receive")
		}
		alive, err := p.Receive(ctx, in)
		if err != nil {
			return err
		}
		if alive {
			p.lastAlive.Store(int64(time.Since(p.start)))
		}
	}
}

func (p *Pump[Out, In]) size(item Out) int {
	if p.Size == nil {
		return 0
	}
	return p.Size(item)
}

// tryNext takes an item without waiting, from first if it has one. It reports false if both channels are empty.
func tryNext[T any](first, second <-chan T) (T, bool) {
	select {
	case item := <-first:
		return item, true
	default:
	}
	select {
	case item := <-second:
		return item, true
	default:
		var zero T
		return zero, false
	}
}
