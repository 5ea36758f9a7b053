package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/ring"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// replyRing is the capacity of the ring of read replies to one peer.
const replyRing = 16

// Messages serves a link that a peer dialled. It implements wire.DRPCReplicaLinkServer.
func (p *peers) Messages(stream wire.DRPCReplicaLink_MessagesStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello.GetInstance() == "" || hello.GetReplica() == "" {
		return link.ErrProtocol
	}
	link.Admit(stream.Context())
	c := p.control
	if err := stream.Send(&wire.ReplicaBatch{Hello: c.replicaHello()}); err != nil {
		return err
	}
	p.recordHello(hello)
	ctx, cancel := streamContext(stream.Context())
	defer cancel()
	replies := ring.New[*wire.ReplicaBatch]("read_replies", replyRing)
	pump := &link.Pump[*wire.ReplicaBatch, *wire.ReplicaBatch]{
		Send:              func(batch []*wire.ReplicaBatch) error { return sendEach(stream, batch) },
		Recv:              stream.Recv,
		Abort:             func() { link.Abort(stream.Context()) },
		Ring:              replies,
		Heartbeat:         func() *wire.ReplicaBatch { return &wire.ReplicaBatch{Status: c.replicaStatus()} },
		HeartbeatInterval: statusInterval,
		Receive: func(ctx context.Context, batch *wire.ReplicaBatch) (bool, error) {
			return true, p.handleBatch(ctx, hello, batch, replies)
		},
		SilenceTimeout: peerSilence,
	}
	return pump.Run(ctx)
}

func sendEach(stream peerStream, batches []*wire.ReplicaBatch) error {
	for _, b := range batches {
		if err := stream.Send(b); err != nil {
			return err
		}
	}
	return nil
}

// streamContext returns a context that ends with the stream's context parent, and also when the server is stopping.
func streamContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-link.Stopping(parent):
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// handleBatch delivers messages to the replica, records the peer's status, and starts the answer to a read request.
func (p *peers) handleBatch(ctx context.Context, from *wire.ReplicaHello, batch *wire.ReplicaBatch, replies *ring.Ring[*wire.ReplicaBatch]) error {
	for _, data := range batch.GetMessages() {
		m := new(quorumpb.Message)
		if err := proto.Unmarshal(data, m); err != nil {
			return result.Wrap(err, result.BadMessage, "")
		}
		p.control.replica.Deliver(m)
	}
	if batch.GetStatus() != nil {
		p.recordStatus(from, batch.GetStatus())
	}
	if round := batch.GetReadRequest(); round != 0 {
		go func() { replies.TryPush(&wire.ReplicaBatch{ReadReply: p.control.confirmRead(ctx, round)}) }()
	}
	return nil
}

// confirmRead answers a follower's read request.
func (c *Control) confirmRead(ctx context.Context, round uint64) *wire.ReadReply {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if _, err := c.replica.Read(ctx); err != nil {
		return &wire.ReadReply{Round: round}
	}
	return &wire.ReadReply{Round: round, Confirmed: true, Index: c.machine.index()}
}

// Forward proposes a command that a follower has forwarded. It implements wire.DRPCReplicaLinkServer.
func (p *peers) Forward(ctx context.Context, in *wire.Propose) (*wire.ProposeReply, error) {
	link.Admit(ctx)
	if !mayForward(in.GetCommand()) {
		return notAllowed(in.GetId()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return p.control.proposeLocally(ctx, in.GetId(), in.GetCommand()), nil
}

// versions returns the versions of the configuration and of the directory at this instance.
func (c *Control) versions() (config, directory uint64) {
	c.machine.read(func(s *state.State) { config, directory = s.ConfigVersion(), s.DirectoryVersion() })
	return config, directory
}

// elapsed returns the time since t, or 0 if t is in the future.
func elapsed(t time.Time) time.Duration {
	return max(0, time.Since(t))
}
