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

// agentLink is an entry's side of one link.
type agentLink struct {
	dialer   *AgentDialer
	hello    *wire.AgentHello
	sequence atomic.Uint64

	messages agentConn
	long     agentConn

	flushes atomic.Int32
	flushed chan struct{} // closed when both streams have sent what they held
}

// agentConn is one of the two streams.
type agentConn struct {
	conn   *drpcconn.Conn
	stream agentStream
	ring   *ring.Ring[*wire.EntryMessage]
}

// agentStream is what both generated client types have.
type agentStream interface {
	Send(*wire.EntryBatch) error
	Recv() (*wire.AgentBatch, error)
}

func newAgentLink(d *AgentDialer) *agentLink {
	return &agentLink{
		dialer:   d,
		flushed:  make(chan struct{}),
		messages: agentConn{ring: ring.New[*wire.EntryMessage]("link_messages", MessagesRingSize)},
		long:     agentConn{ring: ring.New[*wire.EntryMessage]("link_bulk", BulkRingSize)},
	}
}

// open dials both connections and exchanges hellos. The agent joins the two by the entry's hello.
func (l *agentLink) open(ctx context.Context) error {
	hello, err := l.openStream(ctx, &l.messages, func(ctx context.Context, c wire.DRPCAgentLinkClient) (agentStream, error) {
		return c.Messages(ctx)
	})
	if err != nil {
		return err
	}
	l.hello = hello
	hello, err = l.openStream(ctx, &l.long, func(ctx context.Context, c wire.DRPCAgentLinkClient) (agentStream, error) {
		return c.Bulk(ctx)
	})
	if err != nil {
		return err
	}
	if hello.GetAgent() != l.hello.GetAgent() || hello.GetIncarnation() != l.hello.GetIncarnation() {
		return errors.Wrap(ErrProtocol, "the streams of a pair lead to different agents")
	}
	return nil
}

type openCall func(context.Context, wire.DRPCAgentLinkClient) (agentStream, error)

func (l *agentLink) openStream(ctx context.Context, c *agentConn, call openCall) (*wire.AgentHello, error) {
	conn, err := Dial(ctx, l.dialer.Network, l.dialer.Address, l.dialer.TLS)
	if err != nil {
		return nil, err
	}
	c.conn = conn
	// The hello is bounded by closing the connection, since the stream outlives ctx.
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
	for _, c := range []*agentConn{&l.messages, &l.long} {
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
	wg.Go(func() { cancel(l.pump(ctx, &l.long, interval*bulkSilenceFactor, silence*bulkSilenceFactor)) })
	wg.Wait()
	return context.Cause(ctx)
}

func (l *agentLink) pump(ctx context.Context, c *agentConn, interval, silence time.Duration) error {
	var batch wire.EntryBatch
	send := func(messages []*wire.EntryMessage) error {
		batch.Messages = messages
		return c.stream.Send(&batch)
	}
	if c == &l.long {
		send = l.sendLong
	}
	p := Pump[*wire.EntryMessage, *wire.AgentBatch]{
		Send:              send,
		Recv:              c.stream.Recv,
		Abort:             func() { c.conn.Close() },
		Ring:              c.ring,
		Size:              func(message *wire.EntryMessage) int { return proto.Size(message) },
		Heartbeat:         l.beat,
		HeartbeatInterval: interval,
		Receive: func(ctx context.Context, in *wire.AgentBatch) (bool, error) {
			return l.receive(ctx, in, c == &l.long)
		},
		SilenceTimeout: silence,
		FlushTimeout:   l.dialer.Timing.FlushTimeout,
		Flushed:        l.waitForBothFlushes,
	}
	return p.Run(ctx)
}

// waitForBothFlushes keeps a stream open until the other one is done as well, for Timing.Flush at most. The agent
// gives a link up when it loses one of the streams, and would not read the rest of the other.
func (l *agentLink) waitForBothFlushes() {
	if l.flushes.Add(1) == 2 {
		close(l.flushed)
	}
	timer := time.NewTimer(l.dialer.Timing.FlushTimeout)
	defer timer.Stop()
	select {
	case <-l.flushed:
	case <-timer.C:
	}
}

// sendLong sends each message of a batch in parts.
func (l *agentLink) sendLong(messages []*wire.EntryMessage) error {
	var batch wire.EntryBatch
	one := make([]*wire.EntryMessage, 1)
	for _, message := range messages {
		err := splitDispatch(message, func(part *wire.EntryMessage) error {
			one[0] = part
			batch.Messages = one
			return l.long.stream.Send(&batch)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (l *agentLink) beat() *wire.EntryMessage {
	beat := &wire.EntryHeartbeat{
		Sequence:      l.sequence.Add(1),
		ConfigVersion: l.dialer.Hello().GetConfigVersion(),
	}
	return &wire.EntryMessage{Kind: &wire.EntryMessage_Heartbeat{Heartbeat: beat}}
}

// receive hands the messages of a batch on. Only an answered heartbeat counts as life: an agent that still sends, but
// no longer hears this entry, will let its leases expire.
func (l *agentLink) receive(ctx context.Context, in *wire.AgentBatch, long bool) (bool, error) {
	alive := false
	for _, message := range in.GetMessages() {
		if message.GetHeartbeat() != nil {
			alive = true
			if long {
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
	if entryLane(message) == laneBulk {
		return l.long.ring.TryPush(message)
	}
	return l.messages.ring.TryPush(message)
}
