package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"

	"github.com/carawaypitch/carawaypitch/ring"
	"github.com/carawaypitch/carawaypitch/wire"
)

// agentLink is the entry's side of one link.
type agentLink struct {
	dialer   *AgentDialer
	hello    *wire.AgentHello
	sequence atomic.Uint64

	messages agentConn
	bulk     agentConn

	flushedStreams atomic.Int32
	flushed        chan struct{} // closed when both streams have sent their queued messages
}

// agentConn is the connection, stream and outgoing ring of one of the two streams.
type agentConn struct {
	conn   *drpcconn.Conn
	stream agentStream
	ring   *ring.Ring[*wire.EntryMessage]
}

// agentStream is the common interface of the generated client streams.
type agentStream interface {
	Send(*wire.EntryBatch) error
	Recv() (*wire.AgentBatch, error)
}

func newAgentLink(d *AgentDialer) *agentLink {
	return &agentLink{
		dialer:   d,
		flushed:  make(chan struct{}),
		messages: agentConn{ring: ring.New[*wire.EntryMessage]("link_messages", MessagesRingSize)},
		bulk:     agentConn{ring: ring.New[*wire.EntryMessage]("link_bulk", BulkRingSize)},
	}
}

// open dials both connections and exchanges hellos. The agent matches the two streams by the entry's hello.
func (l *agentLink) open(ctx context.Context) error {
	hello, err := l.openStream(ctx, &l.messages, func(ctx context.Context, c wire.DRPCAgentLinkClient) (agentStream, error) {
		return c.Messages(ctx)
	})
	if err != nil {
		return err
	}
	l.hello = hello
	hello, err = l.openStream(ctx, &l.bulk, func(ctx context.Context, c wire.DRPCAgentLinkClient) (agentStream, error) {
		return c.Bulk(ctx)
	})
	if err != nil {
		return err
	}
	if hello.GetAgent() != l.hello.GetAgent() || hello.GetIncarnation() != l.hello.GetIncarnation() {
		return errors.Wrap(ErrProtocol, "the two streams of the link lead to different agents")
	}
	return nil
}

type openFunc func(context.Context, wire.DRPCAgentLinkClient) (agentStream, error)

func (l *agentLink) openStream(ctx context.Context, c *agentConn, call openFunc) (*wire.AgentHello, error) {
	conn, err := Dial(ctx, l.dialer.Network, l.dialer.Address, l.dialer.TLS)
	if err != nil {
		return nil, err
	}
	c.conn = conn
	// The stream outlives ctx, so the timeout of the handshake closes the connection.
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	c.stream, err = call(context.WithoutCancel(ctx), wire.NewDRPCAgentLinkClient(conn))
	if err != nil {
		return nil, errors.Wrap(err, "link: open")
	}
	return exchangeHellos(c.stream, l.dialer.Hello())
}

func exchangeHellos(stream agentStream, hello *wire.EntryHello) (*wire.AgentHello, error) {
	message := &wire.EntryMessage{Kind: &wire.EntryMessage_Hello{Hello: hello}}
	err := stream.Send(&wire.EntryBatch{Messages: []*wire.EntryMessage{message}})
	if err != nil {
		return nil, errors.Wrap(err, "link: hello")
	}
	batch, err := stream.Recv()
	if err != nil {
		return nil, errors.Wrap(err, "link: hello")
	}
	if len(batch.GetMessages()) != 1 || batch.GetMessages()[0].GetHello() == nil {
		return nil, errors.Wrap(ErrProtocol, "the first message isn't a hello")
	}
	return batch.GetMessages()[0].GetHello(), nil
}

func (l *agentLink) close() {
	for _, c := range []*agentConn{&l.messages, &l.bulk} {
		if c.conn != nil {
			c.conn.Close()
		}
	}
}

// run serves both streams until one of them ends, and returns the first cause.
func (l *agentLink) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := l.dialer.Timing.SilenceTimeout()
	var wg sync.WaitGroup
	interval := l.dialer.Timing.HeartbeatInterval
	wg.Go(func() { cancel(l.pump(ctx, &l.messages, interval, silence)) })
	wg.Go(func() { cancel(l.pump(ctx, &l.bulk, interval*bulkSilenceFactor, silence*bulkSilenceFactor)) })
	wg.Wait()
	return context.Cause(ctx)
}

func (l *agentLink) pump(ctx context.Context, c *agentConn, interval, silence time.Duration) error {
	var batch wire.EntryBatch
	send := func(messages []*wire.EntryMessage) error {
		batch.Messages = messages
		return c.stream.Send(&batch)
	}
	if c == &l.bulk {
		send = l.sendSplit
	}
	p := Pump[*wire.EntryMessage, *wire.AgentBatch]{
		Send:              send,
		Recv:              c.stream.Recv,
		Abort:             func() { c.conn.Close() },
		Ring:              c.ring,
		Size:              func(message *wire.EntryMessage) int { return proto.Size(message) },
		Heartbeat:         l.heartbeat,
		HeartbeatInterval: interval,
		Receive: func(ctx context.Context, in *wire.AgentBatch) (bool, error) {
			return l.receive(ctx, in, c == &l.bulk)
		},
		SilenceTimeout: silence,
		FlushTimeout:   l.dialer.Timing.FlushTimeout,
		Flushed:        l.waitForBothFlushes,
	}
	return p.Run(ctx)
}

// waitForBothFlushes keeps a stream open until the other one has sent its messages too, for Timing.FlushTimeout at most.
// The agent ends a link when it loses one of the streams, and would then not read the rest of the other.
func (l *agentLink) waitForBothFlushes() {
	if l.flushedStreams.Add(1) == 2 {
		close(l.flushed)
	}
	timer := time.NewTimer(l.dialer.Timing.FlushTimeout)
	defer timer.Stop()
	select {
	case <-l.flushed:
	case <-timer.C:
	}
}

// sendSplit sends each message of a batch, a long Dispatch in parts.
func (l *agentLink) sendSplit(messages []*wire.EntryMessage) error {
	var batch wire.EntryBatch
	one := make([]*wire.EntryMessage, 1)
	for _, message := range messages {
		err := splitDispatch(message, func(part *wire.EntryMessage) error {
			one[0] = part
			batch.Messages = one
			return l.bulk.stream.Send(&batch)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (l *agentLink) heartbeat() *wire.EntryMessage {
	heartbeat := &wire.EntryHeartbeat{
		Sequence:      l.sequence.Add(1),
		ConfigVersion: l.dialer.Hello().GetConfigVersion(),
	}
	return &wire.EntryMessage{Kind: &wire.EntryMessage_Heartbeat{Heartbeat: heartbeat}}
}

// receive delivers the messages of a batch. It reports whether the batch holds the answer to a heartbeat; no other message
// proves that the agent is alive, since an agent that sends but does not receive from this entry lets the leases of the
// entry expire.
func (l *agentLink) receive(ctx context.Context, in *wire.AgentBatch, isBulk bool) (bool, error) {
	alive := false
	for _, message := range in.GetMessages() {
		if message.GetHeartbeat() != nil {
			alive = true
			if isBulk {
				continue
			}
		}
		if message.GetHello() != nil || message.GetKind() == nil {
			return alive, ErrProtocol
		}
		if err := l.dialer.Receive(ctx, l.hello, message); err != nil {
			return alive, err
		}
	}
	return alive, nil
}

func (l *agentLink) send(message *wire.EntryMessage) bool {
	if tooLarge(message) {
		return false
	}
	if entryMessageStream(message) == bulkStream {
		return l.bulk.ring.TryPush(message)
	}
	return l.messages.ring.TryPush(message)
}
