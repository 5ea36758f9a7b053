package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/ring"
	"github.com/carawaypitch/carawaypitch/wire"
)

// urgentRingSize is the capacity of the ring for heartbeat answers.
const urgentRingSize = 4

// entryLink is the agent's side of one link.
type entryLink struct {
	server *EntryServer
	id     EntryID
	hello  *wire.EntryHello

	ctx          context.Context // of the Messages stream, ends with the link
	cancel       context.CancelCauseFunc
	hasBulk      bool          // Bulk stream assigned; guarded by server.mu
	bulkJoined   chan struct{} // closed when the Bulk stream has joined
	up           chan struct{} // closed after the call of Up
	closed       chan struct{} // closed after the call of Down, when the name is free
	isUp         atomic.Bool
	bulkHandlers sync.WaitGroup

	endedStreams atomic.Int32

	messages agentRings
	bulk     agentRings
	sendMu   sync.Mutex
	streams  streamChoices

	bodyMu sync.Mutex
	bodies *BodyAssembler
}

type agentRings struct {
	normal *ring.Ring[*wire.AgentMessage]
	urgent *ring.Ring[*wire.AgentMessage]
}

func newAgentRings(name string, capacity int) agentRings {
	return agentRings{
		normal: ring.New[*wire.AgentMessage](name, capacity),
		urgent: ring.New[*wire.AgentMessage](name+"_urgent", urgentRingSize),
	}
}

func newEntryLink(ctx context.Context, s *EntryServer, hello *wire.EntryHello) *entryLink {
	ctx, cancel := context.WithCancelCause(ctx)
	return &entryLink{
		server:     s,
		id:         EntryID{Name: hello.GetEntry(), Incarnation: hello.GetIncarnation()},
		hello:      hello,
		ctx:        ctx,
		cancel:     cancel,
		bulkJoined: make(chan struct{}),
		up:         make(chan struct{}),
		closed:     make(chan struct{}),
		messages:   newAgentRings("link_messages", MessagesRingSize),
		bulk:       newAgentRings("link_bulk", BulkRingSize),
		streams:    make(streamChoices),
		bodies:     NewBodyAssembler(),
	}
}

func (l *entryLink) fail(cause error) {
	l.cancel(cause)
}

// run serves the link from its Messages stream until it ends.
func (l *entryLink) run(stream entryStream) error {
	defer l.fail(nil)
	if err := l.server.answerHello(stream); err != nil {
		return err
	}
	if !l.waitForBulk() {
		return context.Cause(l.ctx)
	}
	l.isUp.Store(true)
	l.server.Up(l.ctx, l.hello)
	close(l.up)

	timing := l.server.Timing
	err := l.pump(stream, l.messages, timing.SilenceTimeout(), l.receiveMessages)
	l.streamEnded(err)
	l.bulkHandlers.Wait()
	err = context.Cause(l.ctx)
	l.server.Down(l.id, err)
	return err
}

func (l *entryLink) waitForBulk() bool {
	timer := time.NewTimer(l.server.Timing.HandshakeTimeout)
	defer timer.Stop()
	select {
	case <-l.bulkJoined:
		return true
	case <-timer.C:
		return false
	case <-l.ctx.Done():
		return false
	}
}

// runBulk serves the Bulk stream. It returns only after the end of the link.
func (l *entryLink) runBulk(stream entryStream) error {
	l.bulkHandlers.Add(1)
	defer l.bulkHandlers.Done()
	close(l.bulkJoined)
	select {
	case <-l.up:
	case <-l.ctx.Done():
		return context.Cause(l.ctx)
	}
	if err := l.server.answerHello(stream); err != nil {
		l.fail(err)
		return err
	}
	err := l.pump(stream, l.bulk, l.server.Timing.SilenceTimeout()*bulkSilenceFactor, l.receiveBulk)
	l.streamEnded(err)
	return err
}

// streamEnded fails the link after one of its streams has ended. It first lets the other stream read what the entry sent
// before it closed both, for Timing.FlushTimeout at most; otherwise a stopping entry could lose its last messages.
func (l *entryLink) streamEnded(err error) {
	l.isUp.Store(false)
	if l.endedStreams.Add(1) == 2 {
		l.fail(err)
	}
	if !errors.Is(err, ErrSilent) {
		pause.For(l.ctx, l.server.Timing.FlushTimeout)
	}
	l.fail(err)
}

type receiveFunc func(ctx context.Context, message *wire.EntryMessage) error

func (l *entryLink) pump(stream entryStream, rings agentRings, silence time.Duration, receive receiveFunc) error {
	ctx, cancel := context.WithCancelCause(l.ctx)
	defer cancel(nil)
	stop := Stopping(stream.Context())
	go func() {
		select {
		case <-stop:
			cancel(context.Canceled)
		case <-ctx.Done():
		}
	}()
	var batch wire.AgentBatch
	p := Pump[*wire.AgentMessage, *wire.EntryBatch]{
		Send: func(messages []*wire.AgentMessage) error {
			batch.Messages = messages
			return stream.Send(&batch)
		},
		Recv:   stream.Recv,
		Abort:  func() { Abort(stream.Context()) },
		Ring:   rings.normal,
		Urgent: rings.urgent,
		Size:   agentMessageSize,
		Receive: func(ctx context.Context, in *wire.EntryBatch) (bool, error) {
			return l.receive(ctx, in, rings, receive)
		},
		SilenceTimeout: silence,
		FlushTimeout:   l.server.Timing.FlushTimeout,
	}
	return p.Run(ctx)
}

// receive answers heartbeats and delivers the messages of a batch. It reports whether the batch holds a heartbeat; no
// other message proves that the entry is alive.
func (l *entryLink) receive(ctx context.Context, in *wire.EntryBatch, rings agentRings, next receiveFunc) (bool, error) {
	alive := false
	for _, message := range in.GetMessages() {
		if heartbeat := message.GetHeartbeat(); heartbeat != nil {
			alive = true
			rings.urgent.TryPush(l.answerHeartbeat(heartbeat))
		}
		if err := next(ctx, message); err != nil {
			return alive, err
		}
	}
	return alive, nil
}

func (l *entryLink) answerHeartbeat(heartbeat *wire.EntryHeartbeat) *wire.AgentMessage {
	answer := &wire.AgentHeartbeat{
		Sequence:      heartbeat.GetSequence(),
		ConfigVersion: l.server.Hello().GetConfigVersion(),
	}
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Heartbeat{Heartbeat: answer}}
}

// receiveMessages handles a message of the Messages stream.
func (l *entryLink) receiveMessages(ctx context.Context, message *wire.EntryMessage) error {
	switch kind := message.GetKind().(type) {
	case *wire.EntryMessage_Dispatch:
		return l.dispatch(ctx, message)
	case *wire.EntryMessage_Cancel:
		l.bodyMu.Lock()
		l.bodies.Cancel(kind.Cancel.GetAttempt())
		l.bodyMu.Unlock()
	case *wire.EntryMessage_Body, *wire.EntryMessage_Hello, nil:
		return ErrProtocol
	}
	return l.server.Receive(ctx, l.id, message)
}

// receiveBulk handles a message of the Bulk stream.
func (l *entryLink) receiveBulk(ctx context.Context, message *wire.EntryMessage) error {
	switch kind := message.GetKind().(type) {
	case *wire.EntryMessage_Dispatch:
		return l.dispatch(ctx, message)
	case *wire.EntryMessage_Body:
		l.bodyMu.Lock()
		d, err := l.bodies.AddChunk(kind.Body)
		l.bodyMu.Unlock()
		return l.deliver(ctx, d, err)
	case *wire.EntryMessage_Heartbeat:
		// The heartbeat on Messages renews the leases.
		return nil
	default:
		return ErrProtocol
	}
}

func (l *entryLink) dispatch(ctx context.Context, message *wire.EntryMessage) error {
	l.bodyMu.Lock()
	d, err := l.bodies.AddDispatch(message.GetDispatch())
	l.bodyMu.Unlock()
	return l.deliver(ctx, d, err)
}

// deliver passes on a complete dispatch, or the cancel of a refused one. It does nothing if both d and err are nil.
func (l *entryLink) deliver(ctx context.Context, d *wire.Dispatch, err error) error {
	if err != nil {
		cancel, ok := asCancel(err)
		if !ok {
			return err
		}
		return l.server.Receive(ctx, l.id, cancel)
	}
	if d == nil {
		return nil
	}
	return l.server.Receive(ctx, l.id, &wire.EntryMessage{Kind: &wire.EntryMessage_Dispatch{Dispatch: d}})
}

// send queues a message on its stream. It reports false if the message is too large or the ring is full.
func (l *entryLink) send(message *wire.AgentMessage) bool {
	size := agentMessageSize(message)
	if size > MaxMessage {
		return false
	}
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	if l.streams.choose(message, size) == bulkStream {
		return l.bulk.normal.TryPush(message)
	}
	return l.messages.normal.TryPush(message)
}
