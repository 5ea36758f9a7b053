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

// Pump joins a bidirectional stream to a bounded ring of outgoing items and a callback for what comes in. Out is
// one outgoing item; In is one received batch. All fields but Urgent, Beat, Size and Silence are required.
type Pump[Out, In any] struct {
	// Send sends a batch. The slice is reused afterwards.
	Send func(batch []Out) error
	// Recv waits for the next batch.
	Recv func() (In, error)
	// Abort closes the connection, so that Send and Recv return. It may be called more than once.
	Abort func()

	// Ring holds the outgoing items. Producers use TryPush: a full ring is a counted refusal.
	Ring *ring.Ring[Out]
	// Urgent, if not nil, holds items that go before those of Ring.
	Urgent *ring.Ring[Out]
	// Size gives an item's size in bytes, for the bound of a batch. Nil means that only the number is bounded.
	Size func(Out) int

	// Heartbeat makes a heartbeat, sent every BeatInterval whether Ring is full or empty. Nil means none.
	Heartbeat         func() Out
	HeartbeatInterval time.Duration

	// Receive takes a batch, from one goroutine. It may block, which holds the peer back, until its context ends.
	// It tells whether the batch shows that the peer hears this side. An error from it ends the pump.
	Receive func(ctx context.Context, batch In) (alive bool, err error)
	// SilenceTimeout ends the pump with ErrSilent if no batch showed life for that long. Zero means never.
	//
	// Without it a silently cut connection would look healthy for minutes, until TCP gives up, and work would be
	// sent into it; one would notice it as requests that end only at their deadline.
	SilenceTimeout time.Duration

	// FlushTimeout bounds the sending of what Ring holds when ctx ends; zero means DefaultFlush.
	FlushTimeout time.Duration
	// Flushed, if not nil, is called when that is sent. The connection is closed when it returns.
	Flushed func()

	parent context.Context
	sent   chan struct{} // closed when the sender is done
	start  time.Time
	alive  atomic.Int64 // nanoseconds since start
}

// Run moves items until ctx ends or something fails, and returns the cause. At the end of ctx it sends what Ring
// holds, at most for Flush, unless ctx ended with a cause of its own, which is taken for a failure. It has closed the connection, and calls no callback, once it returns.
func (p *Pump[Out, In]) Run(ctx context.Context) error {
	if p.FlushTimeout <= 0 {
		p.FlushTimeout = DefaultFlushTimeout
	}
	p.start = time.Now()
	p.parent = ctx
	p.sent = make(chan struct{})
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	var wg sync.WaitGroup
	wg.Go(func() {
		defer close(p.sent)
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

// ordered tells whether the pump was told to end, rather than failed: its context ended without a cause of its own.
func (p *Pump[Out, In]) ordered() bool {
	return p.parent.Err() != nil && context.Cause(p.parent) == p.parent.Err()
}

// abortUnlessFlushing leaves the connection to the sender if the order to end came from outside.
func (p *Pump[Out, In]) abortUnlessFlushing() {
	if !p.ordered() {
		p.Abort()
	}
}

// watch ends the pump when it is silent. After the end of ctx it bounds the flush: a Send that is blocked on a cut
// connection doesn't see the end of ctx, and only Abort lets it return.
func (p *Pump[Out, In]) watch(ctx context.Context, cancel context.CancelCauseFunc) {
	if p.SilenceTimeout > 0 {
		p.watchSilence(ctx, cancel)
	}
	<-ctx.Done()
	if p.ordered() {
		timer := time.NewTimer(p.FlushTimeout)
		defer timer.Stop()
		select {
		case <-p.sent:
		case <-timer.C:
		}
	}
	p.Abort()
}

func (p *Pump[Out, In]) watchSilence(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		quiet := time.Since(p.start) - time.Duration(p.alive.Load())
		if quiet >= p.SilenceTimeout {
			cancel(ErrSilent)
			return
		}
		if !pause.For(ctx, p.SilenceTimeout-quiet) {
			return
		}
	}
}

func (p *Pump[Out, In]) sendLoop(ctx context.Context) error {
	var beats <-chan time.Time
	if p.Heartbeat != nil {
		ticker := time.NewTicker(p.HeartbeatInterval)
		defer ticker.Stop()
		beats = ticker.C
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
		case <-beats:
			batch = append(batch, p.Heartbeat())
		case item := <-p.Ring.C():
			batch = append(batch, item)
		}
		if err := p.sendBatch(urgent, batch); err != nil {
			return err
		}
	}
}

// sendBatch adds what else waits to the batch, up to the bounds, and sends it.
func (p *Pump[Out, In]) sendBatch(urgent <-chan Out, batch []Out) error {
	size := p.size(batch[0])
	for len(batch) < MaxBatchMessages && size < MaxBatchBytes {
		item, ok := next(urgent, p.Ring.C())
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

// flush sends what Ring holds, after the end of ctx by order. It sends nothing when the pump failed.
func (p *Pump[Out, In]) flush(ctx context.Context, batch []Out) error {
	cause := context.Cause(ctx)
	if !p.ordered() {
		return cause
	}
	deadline := time.Now().Add(p.FlushTimeout)
	for time.Now().Before(deadline) {
		item, ok := next(nil, p.Ring.C())
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
			p.alive.Store(int64(time.Since(p.start)))
		}
	}
}

func (p *Pump[Out, In]) size(item Out) int {
	if p.Size == nil {
		return 0
	}
	return p.Size(item)
}

// next takes an item without waiting, from the first channel if it has one.
func next[T any](first, second <-chan T) (T, bool) {
	select {
	case item := <-first:
		return item, true
	default:
	}
	select {
	case item := <-second:
		return item, true
	default:
		var none T
		return none, false
	}
}
