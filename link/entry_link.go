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

// urgentRing is the capacity of the ring for answers to heartbeats.
const urgentRing = 4

// entryLink is the agent's side of one link.
type entryLink struct {
	server *EntryServer
	id     EntryID
	hello  *wire.EntryHello

	ctx    context.Context // of the Messages stream, ends with the link
	cancel context.CancelCauseFunc
	joined bool          // guarded by server.mu
	bulk   chan struct{} // closed when the Bulk stream has joined
	up     chan struct{} // closed when Up was called
	gone   chan struct{} // closed when Down was called and the name is free
	isUp   atomic.Bool
	duties sync.WaitGroup

	streamsEnded atomic.Int32

	messages agentRings
	long     agentRings
	sendMu   sync.Mutex
	lanes    agentLanes

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
		urgent: ring.New[*wire.AgentMessage](name+"_urgent", urgentRing),
	}
}

func newEntryLink(ctx context.Context, s *EntryServer, hello *wire.EntryHello) *entryLink {
	ctx, cancel := context.WithCancelCause(ctx)
	return &entryLink{
		server:   s,
		id:       EntryID{Name: hello.GetEntry(), Incarnation: hello.GetIncarnation()},
		hello:    hello,
		ctx:      ctx,
		cancel:   cancel,
		bulk:     make(chan struct{}),
		up:       make(chan struct{}),
		gone:     make(chan struct{}),
		messages: newAgentRings("link_messages", MessagesRingSize),
		long:     newAgentRings("link_bulk", BulkRingSize),
		lanes:    make(agentLanes),
		bodies:   NewBodyAssembler(),
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
	err := l.pump(stream, l.messages, timing.SilenceTimeout(), l.receiveShort)
	l.ended(err)
	l.duties.Wait()
	err = context.Cause(l.ctx)
	l.server.Down(l.id, err)
	return err
}

func (l *entryLink) waitForBulk() bool {
	timer := time.NewTimer(l.server.Timing.HandshakeTimeout)
	defer timer.Stop()
	select {
	case <-l.bulk:
		return true
	case <-timer.C:
		return false
	case <-l.ctx.Done():
		return false
	}
}

// runBulk serves the Bulk stream. It returns only after the link's end.
func (l *entryLink) runBulk(stream entryStream) error {
	l.duties.Add(1)
	defer l.duties.Done()
	close(l.bulk)
	select {
	case <-l.up:
	case <-l.ctx.Done():
		return context.Cause(l.ctx)
	}
	if err := l.server.answerHello(stream); err != nil {
		l.fail(err)
		return err
	}
	err := l.pump(stream, l.long, l.server.Timing.SilenceTimeout()*bulkSilenceFactor, l.receiveLong)
	l.ended(err)
	return err
}

// ended fails the link when one of its streams has ended. It first lets the other one read what the entry sent before
// it closed both, for Timing.Flush at most; else the last messages of an entry that stops would be lost at random.
func (l *entryLink) ended(err error) {
	l.isUp.Store(false)
	if l.streamsEnded.Add(1) == 2 {
		l.fail(err)
	}
	if !errors.Is(err, ErrSilent) {
		pause.For(l.ctx, l.server.Timing.FlushTimeout)
	}
	l.fail(err)
}

type entryReceive func(ctx context.Context, message *wire.EntryMessage) error

func (l *entryLink) pump(stream entryStream, rings agentRings, silence time.Duration, receive entryReceive) error {
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

// receive answers heartbeats and hands the messages of a batch on. Only a heartbeat counts as life.
func (l *entryLink) receive(ctx context.Context, in *wire.EntryBatch, rings agentRings, next entryReceive) (bool, error) {
	alive := false
	for _, message := range in.GetMessages() {
		if beat := message.GetHeartbeat(); beat != nil {
			alive = true
			rings.urgent.TryPush(l.answerBeat(beat))
		}
		if err := next(ctx, message); err != nil {
			return alive, err
		}
	}
	return alive, nil
}

func (l *entryLink) answerBeat(beat *wire.EntryHeartbeat) *wire.AgentMessage {
	answer := &wire.AgentHeartbeat{
		Sequence:      beat.GetSequence(),
		ConfigVersion: l.server.Hello().GetConfigVersion(),
	}
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Heartbeat{Heartbeat: answer}}
}

// receiveShort takes a message of the Messages stream.
func (l *entryLink) receiveShort(ctx context.Context, message *wire.EntryMessage) error {
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

// receiveLong takes a message of the Bulk stream.
func (l *entryLink) receiveLong(ctx context.Context, message *wire.EntryMessage) error {
	switch kind := message.GetKind().(type) {
	case *wire.EntryMessage_Dispatch:
		return l.dispatch(ctx, message)
	case *wire.EntryMessage_Body:
		l.bodyMu.Lock()
		d, err := l.bodies.AddChunk(kind.Body)
		l.bodyMu.Unlock()
		return l.passOn(ctx, d, err)
	case *wire.EntryMessage_Heartbeat:
		// The one on Messages renews the leases.
		return nil
	default:
		return ErrProtocol
	}
}

func (l *entryLink) dispatch(ctx context.Context, message *wire.EntryMessage) error {
	l.bodyMu.Lock()
	d, err := l.bodies.AddDispatch(message.GetDispatch())
	l.bodyMu.Unlock()
	return l.passOn(ctx, d, err)
}

// passOn hands a whole dispatch on, or the cancel of one that can't become whole.
func (l *entryLink) passOn(ctx context.Context, d *wire.Dispatch, err error) error {
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

// send chooses the stream and pushes the message.
func (l *entryLink) send(message *wire.AgentMessage) bool {
	size := agentMessageSize(message)
	if size > MaxMessage {
		return false
	}
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	if l.lanes.choose(message, size) == laneBulk {
		return l.long.normal.TryPush(message)
	}
	return l.messages.normal.TryPush(message)
}
