package session

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/clock"
	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/ring"
	"github.com/carawaypitch/carawaypitch/wire"
)

// peer is one control instance and the link to it.
type peer struct {
	session *Session
	index   int
	address string

	mu              sync.Mutex
	ring            *ring.Ring[*wire.ClientMessage] // nil while there is no link
	instance        string                          // from its hello
	zone            string                          // availability zone, from its hello or from the answers to polls
	pendingPolls    map[uint64]pollTime             // unanswered polls by sequence
	pendingReplies  map[uint64]chan *wire.ProposeReply
	reporter        reporter
	evidence        evidenceReporter
	demandReporter  demandReporter
	demand          linkDemand
	failedAt        time.Time // when the last dial or link failed
	isPollScheduled bool      // a poll ahead of the next interval is scheduled

	isFollowed  bool      // this instance is the directory source
	confirmedAt time.Time // when the last poll that a quorum confirmed through this instance was sent
	avoidUntil  time.Time // until when the instance is not used as the directory source
}

// pollTime is the time at which a poll was sent.
type pollTime struct {
	at        time.Time
	sinceBoot time.Duration
}

func newPeer(s *Session, index int, address string) *peer {
	return &peer{session: s, index: index, address: address, demand: linkDemand{changed: make(chan struct{})}}
}

// redialLoop dials until ctx ends, with exponential backoff.
func (p *peer) redialLoop(ctx context.Context) {
	timing := p.session.linkTiming()
	wait := timing.RedialMin
	for ctx.Err() == nil {
		wasOpen, err := p.runLink(ctx)
		if ctx.Err() != nil {
			return
		}
		if wasOpen {
			wait = timing.RedialMin
			p.session.counters.linksLost.Inc()
			p.session.cfg.Log.WithError(err).WithField("address", p.address).Warn("control_link_lost")
		}
		p.recordFailure()
		if !pause.For(ctx, wait) {
			return
		}
		wait = min(2*wait, timing.RedialMax)
	}
}

// runLink dials and serves one link until it ends. It reports whether the link was open.
func (p *peer) runLink(ctx context.Context) (wasOpen bool, err error) {
	conn, err := link.Dial(ctx, p.session.cfg.Network, p.address, p.session.cfg.TLS)
	if err != nil {
		p.recordDialError(err)
		return false, err
	}
	defer conn.Close()
	// The stream outlives ctx so that the pump can send what is queued.
	stream, err := wire.NewDRPCControlLinkClient(conn).Session(context.WithoutCancel(ctx))
	if err != nil {
		return false, err
	}
	if err := stream.Send(&wire.ClientBatch{Messages: []*wire.ClientMessage{p.hello()}}); err != nil {
		return false, err
	}
	out := ring.New[*wire.ClientMessage]("control", outgoingBufferSize)
	p.open(out)
	defer p.close()
	p.session.followIfNone(p)
	p.poll()
	p.sendOrigins()
	pump := &link.Pump[*wire.ClientMessage, *wire.ControlBatch]{
		Send:              func(batch []*wire.ClientMessage) error { return stream.Send(&wire.ClientBatch{Messages: batch}) },
		Recv:              stream.Recv,
		Abort:             func() { conn.Close() },
		Ring:              out,
		Size:              func(m *wire.ClientMessage) int { return proto.Size(m) },
		Heartbeat:         p.pollMessage,
		HeartbeatInterval: p.session.cfg.PollInterval,
		Receive:           p.receive,
		SilenceTimeout:    min(p.session.cfg.SilenceBound, DefaultSilenceBound),
	}
	return true, pump.Run(ctx)
}

// recordDialError counts a failed dial. A refused connection also counts as contact with the instance: it shows that no
// process listens there.
func (p *peer) recordDialError(err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		p.session.counters.dialsFailed.Inc()
		return
	}
	p.session.counters.dialsRefused.Inc()
	p.session.mu.Lock()
	defer p.session.mu.Unlock()
	p.session.freshness.RecordRefusal(p.index, time.Now())
}

func (p *peer) hello() *wire.ClientMessage {
	cfg, view := p.session.cfg, p.session.View()
	return &wire.ClientMessage{Kind: &wire.ClientMessage_Hello{Hello: &wire.ClientHello{
		Instance:         cfg.Instance,
		Role:             cfg.Role,
		Incarnation:      cfg.Incarnation,
		AvailabilityZone: cfg.Zone,
		LinkAddress:      cfg.LinkAddress,
		ConfigVersion:    view.ConfigVersion,
		DirectoryVersion: view.DirectoryVersion,
		ServerAddress:    cfg.ServerAddress,
	}}}
}

func (p *peer) open(out *ring.Ring[*wire.ClientMessage]) {
	links := p.session.wantedLinks()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ring = out
	p.pendingPolls = make(map[uint64]pollTime)
	p.pendingReplies = make(map[uint64]chan *wire.ProposeReply)
	p.reporter = reporter{source: p.session.cfg.Report, links: links}
	p.evidence = evidenceReporter{source: p.session.cfg.Evidence}
	p.demandReporter = demandReporter{source: p.session.cfg.Demand}
}

// close ends the link. Callers that wait for a reply find their channel closed.
func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ring = nil
	p.isFollowed, p.confirmedAt = false, time.Time{}
	for _, reply := range p.pendingReplies {
		close(reply)
	}
	p.pendingReplies = nil
}

// send queues a message. It reports false if there is no link or its ring is full.
func (p *peer) send(m *wire.ClientMessage) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ring != nil && p.ring.TryPush(m)
}

// poll polls at once, without waiting for the next interval.
func (p *peer) poll() {
	p.send(p.pollMessage())
}

// pollSoon polls again after startupPollDelay, once for all answers that arrive until then. It must follow only the answer
// to the most recent poll.
//
// Each poll interval adds a poll. If every answer were followed by another poll, each second without a confirmation would
// start one more chain of polls: after 15 s a process polls each instance 150 times a second, which leaves the replicas no
// time to elect the leader that all of them wait for.
func (p *peer) pollSoon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isPollScheduled {
		return
	}
	p.isPollScheduled = true
	time.AfterFunc(startupPollDelay, func() {
		p.mu.Lock()
		p.isPollScheduled = false
		p.mu.Unlock()
		p.poll()
	})
}

func (p *peer) pollMessage() *wire.ClientMessage {
	view := p.session.View()
	leader := p.session.Leader()
	id := p.session.ids.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	now, sinceBoot := time.Now(), clock.SinceBoot()
	if p.pendingPolls != nil {
		p.pendingPolls[id] = pollTime{now, sinceBoot}
	}
	return &wire.ClientMessage{Kind: &wire.ClientMessage_Poll{Poll: &wire.Poll{
		Sequence:         id,
		ConfigVersion:    view.ConfigVersion,
		DirectoryVersion: view.DirectoryVersion,
		Report:           p.reporter.next(now),
		Usage:            p.session.usage(),
		UsageWindowMs:    uint32(p.session.cfg.UsageWindow.Milliseconds()),
		SinceBootMs:      uint64(sinceBoot.Milliseconds()),
		Follow:           p.isFollowed,
		Evidence:         p.evidence.next(now),
		Demand:           p.demandReporter.next(now, id, leader != "" && p.instance == leader),
	}}}
}

// receive handles one batch. It reports whether the batch answers a poll, which proves that the instance receives messages
// from this process.
func (p *peer) receive(_ context.Context, batch *wire.ControlBatch) (bool, error) {
	alive := false
	for _, m := range batch.GetMessages() {
		answered, err := p.handleMessage(m)
		if err != nil {
			return alive, err
		}
		alive = alive || answered
	}
	return alive, nil
}

func (p *peer) handleMessage(m *wire.ControlMessage) (answered bool, err error) {
	s := p.session
	switch kind := m.GetKind().(type) {
	case *wire.ControlMessage_Hello:
		p.mu.Lock()
		p.instance, p.zone = kind.Hello.GetInstance(), kind.Hello.GetAvailabilityZone()
		p.mu.Unlock()
		s.triggerReselect()
		s.setLeader(kind.Hello.GetLeader())
	case *wire.ControlMessage_Config:
		return false, s.applyConfig(kind.Config)
	case *wire.ControlMessage_Directory:
		return false, s.applyDirectory(kind.Directory)
	case *wire.ControlMessage_Fresh:
		return true, p.handleFresh(kind.Fresh)
	case *wire.ControlMessage_Reply:
		p.handleReply(kind.Reply)
	case *wire.ControlMessage_Order:
		s.handleOrder(p, kind.Order)
	case *wire.ControlMessage_StreamOrigin:
		s.handleOriginReply(kind.StreamOrigin)
	}
	return false, nil
}

// handleFresh handles the answer to a poll. Only a confirmed answer whose versions are in force here counts as confirmed.
func (p *peer) handleFresh(f *wire.Fresh) error {
	p.handleDemand(f)
	p.mu.Lock()
	sent, known := p.pendingPolls[f.GetSequence()]
	for sequence := range p.pendingPolls {
		if sequence <= f.GetSequence() {
			delete(p.pendingPolls, sequence)
		}
	}
	isLast := len(p.pendingPolls) == 0
	if known && f.GetConfirmed() {
		p.confirmedAt = sent.at
	}
	p.mu.Unlock()
	if !known {
		return nil
	}
	s := p.session
	s.setLeader(f.GetLeader())
	s.noteVersions(p, f, sent.at) // first, since ConfirmSince returns once the answer is recorded
	s.mu.Lock()
	s.freshness.RecordAnswer(p.index, sent.at, time.Now())
	s.mu.Unlock()
	if f.GetConfirmed() {
		s.AddControls(f.GetControls())
		s.updateZones(f.GetControls(), f.GetZones())
		s.handleConfirmation(pendingConfirmation{p, f, sent})
		s.selectSource(time.Now())
	}
	if isLast && !s.isConfirmed() {
		// A starting process does not serve yet: it polls again soon, since an election may have just ended.
		p.pollSoon()
	}
	s.registration.notify()
	return nil
}

// notifyConfirmed delivers the parts of an answer that are valid only if a quorum confirmed it.
func (p *peer) notifyConfirmed(f *wire.Fresh, sent pollTime) {
	cfg := p.session.cfg
	if cfg.OnConfirmed != nil && p.session.listedIncarnation() == cfg.Incarnation {
		cfg.OnConfirmed(sent.sinceBoot)
	}
	// With few links only the leader receives the usage of all entries, so only its cap states are complete.
	coversAllEntries := len(p.session.knownPeers()) <= linkAllMaxInstances || f.GetLeader() == p.name()
	if cfg.OnCaps != nil && len(f.GetCaps()) > 0 && coversAllEntries {
		cfg.OnCaps(f.GetCaps())
	}
}

func (s *Session) isConfirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freshness.IsConfirmed()
}

func (s *Session) usage() []*wire.Usage {
	if s.cfg.Usage == nil {
		return nil
	}
	return s.cfg.Usage()
}

func (s *Session) applyConfig(u *wire.ConfigUpdate) error {
	if u.GetVersion() < s.View().ConfigVersion {
		s.counters.staleUpdates.Inc()
	}
	err := s.update(func(v *View) (*View, error) { return v.withConfig(u) })
	s.resolvePendingConfirmations()
	return s.countGap(err)
}

func (s *Session) applyDirectory(u *wire.DirectoryUpdate) error {
	err := s.update(func(v *View) (*View, error) { return v.withDirectory(u) })
	s.resolvePendingConfirmations()
	return s.countGap(err)
}

// countGap counts the error of an update and returns it, which ends the link. The next hello gives the known version, and
// the next update starts there.
func (s *Session) countGap(err error) error {
	if err != nil {
		s.counters.gaps.Inc()
	}
	return err
}
