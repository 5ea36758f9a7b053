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
	statusInterval = time.Second
	peerSilence    = 4 * time.Second
	peerRing       = 4096
	maxPeers       = 64
	helloTimeout   = 2 * time.Second
	peerRedialMin  = 50 * time.Millisecond
	peerRedialMax  = 500 * time.Millisecond
	peerRingName   = "replica"
)

// peers holds the links to the other control instances. Each pair of instances has two links, one dialled from either
// side, which carries the dialler's messages. It implements replica.Transport.
type peers struct {
	control *Control

	mu      sync.Mutex
	links   map[string]*peerLink // by instance
	known   map[string]*peerInfo // by instance
	changed chan struct{}        // closed when known changes
	start   func(*peerLink)      // nil unless run is running
}

// peerInfo is what another control instance has sent about itself.
type peerInfo struct {
	hello       *wire.ReplicaHello
	status      *wire.ReplicaStatus
	lastContact time.Time
	// leaving is the replica of this instance that said that it is about to stop, leavingHeard when it last said so.
	leaving      quorum.ID
	leavingHeard time.Time
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

// run keeps a link to each peer, including peers that are added later.
func (p *peers) run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	p.mu.Lock()
	p.start = func(l *peerLink) { wg.Go(func() { l.run(ctx) }) }
	for _, name := range slices.Sorted(maps.Keys(p.links)) {
		p.start(p.links[name])
	}
	p.mu.Unlock()
	p.add(p.control.memberPeers())
	<-ctx.Done()
	p.mu.Lock()
	p.start = nil
	p.mu.Unlock()
	return nil
}

// Send implements replica.Transport. Messages that do not fit into the link's ring are dropped, and the ring counts
// them.
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

// recordHello stores a peer's hello, and opens links to the peer and to the instances that its hello names, unless
// there is one already.
func (p *peers) recordHello(hello *wire.ReplicaHello) {
	p.mu.Lock()
	defer p.mu.Unlock()
	info := p.info(hello.GetInstance())
	info.hello, info.lastContact, info.leaving = hello, time.Now(), quorum.NoID
	p.notifyChanged()
	p.openLinkLocked(hello.GetInstance(), hello.GetLinkAddress())
	for _, peer := range hello.GetPeers() {
		p.openLinkLocked(peer.GetInstance(), peer.GetLinkAddress())
	}
}

// add opens links to instances that are not in the settings with which this instance started: members of the group, and
// seeds added later.
func (p *peers) add(peers []*wire.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range peers {
		p.openLinkLocked(peer.GetInstance(), peer.GetLinkAddress())
	}
}

// openLinkLocked opens a link to an instance that has none. p.mu must be held.
func (p *peers) openLinkLocked(instance, address string) {
	if instance == p.control.settings.Instance || p.links[instance] != nil || len(p.links) >= maxPeers || p.start == nil {
		return
	}
	l := newPeerLink(p, instance, address)
	p.links[instance] = l
	p.start(l)
}

// recentPeers returns the instances whose last contact is at most joinContactAge ago.
func (p *peers) recentPeers() []*wire.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var recent []*wire.Peer
	for _, name := range slices.Sorted(maps.Keys(p.known)) {
		info := p.known[name]
		if info.hello != nil && time.Since(info.lastContact) <= joinContactAge {
			recent = append(recent, &wire.Peer{Instance: name, LinkAddress: info.hello.GetLinkAddress()})
		}
	}
	return recent
}

// recordStatus stores the status of the replica that said hello on the same link.
func (p *peers) recordStatus(hello *wire.ReplicaHello, status *wire.ReplicaStatus) {
	if status.GetLeaving() {
		p.recordLeaving(quorum.ID(hello.GetReplica()))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	info := p.info(hello.GetInstance())
	info.status = status
	info.lastContact = time.Now()
}

// recordLeaving stores that a replica is about to stop.
func (p *peers) recordLeaving(id quorum.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	info := p.info(id.Instance())
	info.leaving, info.leavingHeard = id, time.Now()
}

func (p *peers) info(instance string) *peerInfo {
	if p.known[instance] == nil {
		p.known[instance] = new(peerInfo)
	}
	return p.known[instance]
}

func (p *peers) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
	p.control.leader.wake()
}

// nextChange returns a channel that is closed when a peer sends its hello.
func (p *peers) nextChange() <-chan struct{} {
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

// address returns the address at which an instance is dialled, or "".
func (p *peers) address(instance string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[instance]; l != nil {
		return l.address
	}
	return ""
}

// peerMessage is one outgoing item. Exactly one field is set.
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
	return &peerLink{peers: p, instance: instance, address: address, ring: ring.New[peerMessage](peerRingName, peerRing)}
}

func (l *peerLink) run(ctx context.Context) {
	wait := peerRedialMin
	for ctx.Err() == nil {
		established, err := l.serveOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if established {
			wait = peerRedialMin
			l.peers.control.log.WithError(err).WithField("peer", l.instance).Warn("replica_link_lost")
		}
		if !pause.For(ctx, wait) {
			return
		}
		wait = min(2*wait, peerRedialMax)
	}
}

// serveOnce dials one connection and serves it until it ends. established reports whether the hellos were exchanged.
func (l *peerLink) serveOnce(ctx context.Context) (established bool, err error) {
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
	l.peers.recordHello(first.GetHello())
	pump := &link.Pump[peerMessage, *wire.ReplicaBatch]{
		Send:              func(batch []peerMessage) error { return sendPeer(stream, batch) },
		Recv:              stream.Recv,
		Abort:             func() { conn.Close() },
		Ring:              l.ring,
		Size:              peerMessageSize,
		Heartbeat:         func() peerMessage { return peerMessage{status: c.replicaStatus()} },
		HeartbeatInterval: statusInterval,
		Receive: func(_ context.Context, batch *wire.ReplicaBatch) (bool, error) {
			l.receive(first.GetHello(), batch)
			return true, nil
		},
		SilenceTimeout: peerSilence,
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

// receive handles what the dialled side sends: its status, and replies to read requests.
func (l *peerLink) receive(hello *wire.ReplicaHello, batch *wire.ReplicaBatch) {
	if batch.GetStatus() != nil {
		l.peers.recordStatus(hello, batch.GetStatus())
	}
	if batch.GetReadReply() != nil {
		l.peers.control.reads.handleReply(batch.GetReadReply())
	}
}

func (c *Control) replicaStatus() *wire.ReplicaStatus {
	config, directory := c.versions()
	return &wire.ReplicaStatus{ConfigVersion: config, DirectoryVersion: directory, Leaving: c.stopping.Load()}
}
