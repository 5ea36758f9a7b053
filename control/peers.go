package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/carawaypitch/carawaypitch/ring"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Timing and capacities of the links between control instances.
const (
	statusInterval  = time.Second
	peerSilence     = 4 * time.Second
	peerRing        = 4096
	maxPeers        = 64
	helloTimeout    = 2 * time.Second
	peerRedialMin   = 50 * time.Millisecond
	peerRedialMax   = 500 * time.Millisecond
	replicaDelivery = "replica"
)

// peers are the links to the other control instances. Each pair has two: one dialled from either side, which carries
// the dialler's messages. It implements replica.Transport.
type peers struct {
	control *Control

	mu      sync.Mutex
	links   map[string]*peerLink // by instance
	known   map[string]*peerInfo // by instance
	changed chan struct{}        // closed when known changes
	start   func(*peerLink)      // set while run runs
}

// peerInfo is what another control instance said of itself.
type peerInfo struct {
	hello  *wire.ReplicaHello
	status *wire.ReplicaStatus
	heard  time.Time
}

func newPeers(c *Control) *peers {
	p := &peers{
		control: c,
		links:   make(map[string]*peerLink),
		known:   make(map[string]*peerInfo),
		changed: make(chan struct{}),
	}
	for _, r := range c.settings.Replicas {
		if r.Instance != c.settings.Instance {
			p.links[r.Instance] = newPeerLink(p, r.Instance, r.Address)
		}
	}
	return p
}

// run keeps a link to each peer, also to those that are added later.
func (p *peers) run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	p.mu.Lock()
	p.start = func(l *peerLink) { wg.Go(func() { l.run(ctx) }) }
	for _, name := range slices.Sorted(maps.Keys(p.links)) {
		p.start(p.links[name])
	}
	p.mu.Unlock()
	p.add(p.control.members())
	<-ctx.Done()
	p.mu.Lock()
	p.start = nil
	p.mu.Unlock()
	return nil
}

// Send implements replica.Transport: what doesn't fit is dropped and counted by the ring.
func (p *peers) Send(to quorum.ID, messages []*quorumpb.Message) {
	p.mu.Lock()
	l := p.links[to.Instance()]
	p.mu.Unlock()
	if l == nil {
		return
	}
	for _, m := range messages {
		l.ring.TryPush(peerMessage{quorum: m})
	}
}

// learn notes what a peer said in its hello, and opens a link to one that the settings don't name.
func (p *peers) learn(hello *wire.ReplicaHello) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.info(hello.GetInstance()).hello = hello
	p.info(hello.GetInstance()).heard = time.Now()
	p.signal()
	p.open(hello.GetInstance(), hello.GetLinkAddress())
	for _, peer := range hello.GetPeers() {
		p.open(peer.GetInstance(), peer.GetLinkAddress())
	}
}

// add opens links to instances that the settings didn't name: members of the group, and seeds that are new.
func (p *peers) add(peers []*wire.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range peers {
		p.open(peer.GetInstance(), peer.GetLinkAddress())
	}
}

// open begins a link to an instance that has none. It is called with the lock held.
func (p *peers) open(instance, address string) {
	if instance == p.control.settings.Instance || p.links[instance] != nil || len(p.links) >= maxPeers || p.start == nil {
		return
	}
	l := newPeerLink(p, instance, address)
	p.links[instance] = l
	p.start(l)
}

// heardLately returns the instances that were heard within memberHeard.
func (p *peers) heardLately() []*wire.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var heard []*wire.Peer
	for _, name := range slices.Sorted(maps.Keys(p.known)) {
		info := p.known[name]
		if info.hello != nil && time.Since(info.heard) <= memberHeard {
			heard = append(heard, &wire.Peer{Instance: name, LinkAddress: info.hello.GetLinkAddress()})
		}
	}
	return heard
}

func (p *peers) noteStatus(instance string, status *wire.ReplicaStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	info := p.info(instance)
	info.status = status
	info.heard = time.Now()
}

func (p *peers) info(instance string) *peerInfo {
	if p.known[instance] == nil {
		p.known[instance] = new(peerInfo)
	}
	return p.known[instance]
}

func (p *peers) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
	p.control.leader.wake()
}

// wait returns a channel that is closed when a peer says hello.
func (p *peers) wait() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// hello returns the last hello of an instance, or nil.
func (p *peers) hello(instance string) *wire.ReplicaHello {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[instance].getHello()
}

func (i *peerInfo) getHello() *wire.ReplicaHello {
	if i == nil {
		return nil
	}
	return i.hello
}

// all returns what is known of each peer, by instance.
func (p *peers) all() map[string]peerInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]peerInfo, len(p.known))
	for name, info := range p.known {
		out[name] = *info
	}
	return out
}

// address returns where an instance is dialled, or "".
func (p *peers) address(instance string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[instance]; l != nil {
		return l.address
	}
	return ""
}

// peerMessage is one outgoing item: exactly one field is set.
type peerMessage struct {
	quorum *quorumpb.Message
	status *wire.ReplicaStatus
	read   uint64
}

// peerLink is the dialled link to one peer.
type peerLink struct {
	peers    *peers
	instance string
	address  string
	ring     *ring.Ring[peerMessage]
}

func newPeerLink(p *peers, instance, address string) *peerLink {
	return &peerLink{peers: p, instance: instance, address: address, ring: ring.New[peerMessage](replicaDelivery, peerRing)}
}

func (l *peerLink) run(ctx context.Context) {
	wait := peerRedialMin
	for ctx.Err() == nil {
		wasUp, err := l.once(ctx)
		if ctx.Err() != nil {
			return
		}
		if wasUp {
			wait = peerRedialMin
			l.peers.control.log.WithError(err).WithField("peer", l.instance).Warn("replica_link_lost")
		}
		if !pause.For(ctx, wait) {
			return
		}
		wait = min(2*wait, peerRedialMax)
	}
}

// once dials and serves one link until it ends.
func (l *peerLink) once(ctx context.Context) (wasUp bool, err error) {
	c := l.peers.control
	conn, err := link.Dial(ctx, c.options.Network, l.address, c.dialTLS)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	stopHello := time.AfterFunc(helloTimeout, func() { conn.Close() })
	defer stopHello.Stop()
	stream, err := wire.NewDRPCReplicaLinkClient(conn).Messages(context.WithoutCancel(ctx))
	if err != nil {
		return false, err
	}
	if err := stream.Send(&wire.ReplicaBatch{Hello: c.replicaHello()}); err != nil {
		return false, err
	}
	first, err := stream.Recv()
	if err != nil {
		return false, err
	}
	if first.GetHello().GetInstance() != l.instance {
		return false, errors.Wrapf(link.ErrOtherInstance, "want %s, found %s", l.instance, first.GetHello().GetInstance())
	}
	if !stopHello.Stop() {
		return false, link.ErrSilent
	}
	l.peers.learn(first.GetHello())
	pump := &link.Pump[peerMessage, *wire.ReplicaBatch]{
		Send:         func(batch []peerMessage) error { return sendPeer(stream, batch) },
		Recv:         stream.Recv,
		Abort:        func() { conn.Close() },
		Ring:         l.ring,
		Size:         peerMessageSize,
		Beat:         func() peerMessage { return peerMessage{status: c.replicaStatus()} },
		BeatInterval: statusInterval,
		Receive:      l.receive,
		Silence:      peerSilence,
	}
	return true, pump.Run(ctx)
}

func peerMessageSize(m peerMessage) int {
	if m.quorum == nil {
		return 0
	}
	return proto.Size(m.quorum)
}

type peerStream interface {
	Send(*wire.ReplicaBatch) error
}

func sendPeer(stream peerStream, batch []peerMessage) error {
	out := &wire.ReplicaBatch{}
	for _, m := range batch {
		switch {
		case m.quorum != nil:
			data, err := proto.Marshal(m.quorum)
			if err != nil {
				return err
			}
			out.Messages = append(out.Messages, data)
		case m.status != nil:
			out.Status = m.status
		default:
			out.ReadRequest = max(out.ReadRequest, m.read)
		}
	}
	return stream.Send(out)
}

// receive takes what the dialled side sends: its status, and replies to read requests.
func (l *peerLink) receive(_ context.Context, batch *wire.ReplicaBatch) (bool, error) {
	if batch.GetStatus() != nil {
		l.peers.noteStatus(l.instance, batch.GetStatus())
	}
	if batch.GetReadReply() != nil {
		l.peers.control.reads.reply(batch.GetReadReply())
	}
	return true, nil
}

func (c *Control) replicaStatus() *wire.ReplicaStatus {
	config, directory := c.versions()
	return &wire.ReplicaStatus{ConfigVersion: config, DirectoryVersion: directory}
}
