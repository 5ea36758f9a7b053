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
	number  int
	address string

	mu       sync.Mutex
	ring     *ring.Ring[*wire.ClientMessage] // nil while there is no link
	instance string                          // as of its hello
	zone     string                          // availability zone, as of its hello
	sent     map[uint64]pollTime             // polls without an answer
	waiting  map[uint64]chan *wire.ProposeReply
	reports  reporter
	wish     wish
	failed   time.Time // when the last dial or link failed
	soon     bool      // a poll before the next interval is due

	isFollowed bool      // the directory is to come over this link
	confirmed  time.Time // when the last poll that a quorum confirmed by this instance was sent
	avoidUntil time.Time // until when the instance isn't followed
}

// pollTime is when a poll was sent.
type pollTime struct {
	at        time.Time
	sinceBoot time.Duration
}

func newPeer(s *Session, number int, address string) *peer {
	return &peer{session: s, number: number, address: address, wish: wish{changed: make(chan struct{})}}
}

// keep dials until ctx ends, with a growing wait between tries.
func (p *peer) keep(ctx context.Context) {
	timing := p.session.timing()
	wait := timing.RedialMin
	for ctx.Err() == nil {
		wasUp, err := p.once(ctx)
		if ctx.Err() != nil {
			return
		}
		if wasUp {
			wait = timing.RedialMin
			p.session.counters.linksLost.Inc()
			p.session.cfg.Log.WithError(err).WithField("address", p.address).Warn("control_link_lost")
		}
		p.noteFailure()
		if !pause.For(ctx, wait) {
			return
		}
		wait = min(2*wait, timing.RedialMax)
	}
}

// once dials and serves one link until it ends.
func (p *peer) once(ctx context.Context) (wasUp bool, err error) {
	conn, err := link.Dial(ctx, p.session.cfg.Network, p.address, p.session.cfg.TLS)
	if err != nil {
		p.dialFailed(err)
		return false, err
	}
	defer conn.Close()
	// The stream outlives ctx for a moment, so that the pump can send what it has.
	stream, err := wire.NewDRPCControlLinkClient(conn).Session(context.WithoutCancel(ctx))
	if err != nil {
		return false, err
	}
	if err := stream.Send(&wire.ClientBatch{Messages: []*wire.ClientMessage{p.hello()}}); err != nil {
		return false, err
	}
	out := ring.New[*wire.ClientMessage]("control", outgoingRing)
	p.open(out)
	defer p.close()
	p.session.followFirst(p)
	p.poll()
	pump := &link.Pump[*wire.ClientMessage, *wire.ControlBatch]{
		Send:         func(batch []*wire.ClientMessage) error { return stream.Send(&wire.ClientBatch{Messages: batch}) },
		Recv:         stream.Recv,
		Abort:        func() { conn.Close() },
		Ring:         out,
		Size:         func(m *wire.ClientMessage) int { return proto.Size(m) },
		Beat:         p.pollMessage,
		BeatInterval: p.session.cfg.PollInterval,
		Receive:      p.receive,
		Silence:      min(p.session.cfg.SilenceBound, DefaultSilenceBound),
	}
	return true, pump.Run(ctx)
}

// dialFailed notes a refused connection as an answer: no process listens there.
func (p *peer) dialFailed(err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		p.session.counters.dialsFailed.Inc()
		return
	}
	p.session.counters.dialsRefused.Inc()
	p.session.mu.Lock()
	defer p.session.mu.Unlock()
	p.session.freshness.RecordRefusal(p.number, time.Now())
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
	links := p.session.links()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ring = out
	p.sent = make(map[uint64]pollTime)
	p.waiting = make(map[uint64]chan *wire.ProposeReply)
	p.reports = reporter{source: p.session.cfg.Report, links: links}
}

// close ends the link. Who waits for a reply learns that none will come.
func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ring = nil
	p.isFollowed, p.confirmed = false, time.Time{}
	for _, reply := range p.waiting {
		close(reply)
	}
	p.waiting = nil
}

// send passes a message on, and returns false if there is no link or its ring is full.
func (p *peer) send(m *wire.ClientMessage) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ring != nil && p.ring.TryPush(m)
}

// poll asks at once, without waiting for the next interval.
func (p *peer) poll() {
	p.send(p.pollMessage())
}

// pollSoon asks again after startPoll, once for all answers that come until then. It follows the answer to the last poll only.
//
// Each poll interval brings a poll of its own. Were each answer followed by another poll, there would be one chain of them more
// with each second without a confirmation: after 15 s a process asked each instance 150 times a second, and the replicas had no time
// left to elect the leader that all of them waited for.
func (p *peer) pollSoon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.soon {
		return
	}
	p.soon = true
	time.AfterFunc(startPoll, func() {
		p.mu.Lock()
		p.soon = false
		p.mu.Unlock()
		p.poll()
	})
}

func (p *peer) pollMessage() *wire.ClientMessage {
	view := p.session.View()
	id := p.session.ids.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	now, sinceBoot := time.Now(), clock.SinceBoot()
	if p.sent != nil {
		p.sent[id] = pollTime{now, sinceBoot}
	}
	return &wire.ClientMessage{Kind: &wire.ClientMessage_Poll{Poll: &wire.Poll{
		Sequence:         id,
		ConfigVersion:    view.ConfigVersion,
		DirectoryVersion: view.DirectoryVersion,
		Report:           p.reports.next(now),
		Usage:            p.session.usage(),
		UsageWindowMs:    uint32(p.session.cfg.UsageWindow.Milliseconds()),
		SinceBootMs:      uint64(sinceBoot.Milliseconds()),
		Follow:           p.isFollowed,
	}}}
}

// receive takes one batch. A batch with the answer to a poll shows that the instance hears this side.
func (p *peer) receive(_ context.Context, batch *wire.ControlBatch) (bool, error) {
	alive := false
	for _, m := range batch.GetMessages() {
		answered, err := p.message(m)
		if err != nil {
			return alive, err
		}
		alive = alive || answered
	}
	return alive, nil
}

func (p *peer) message(m *wire.ControlMessage) (answered bool, err error) {
	s := p.session
	switch kind := m.GetKind().(type) {
	case *wire.ControlMessage_Hello:
		p.mu.Lock()
		p.instance, p.zone = kind.Hello.GetInstance(), kind.Hello.GetAvailabilityZone()
		p.mu.Unlock()
		s.choiceChanged()
		s.setLeader(kind.Hello.GetLeader())
	case *wire.ControlMessage_Config:
		return false, s.applyConfig(kind.Config)
	case *wire.ControlMessage_Directory:
		return false, s.applyDirectory(kind.Directory)
	case *wire.ControlMessage_Fresh:
		return true, p.fresh(kind.Fresh)
	case *wire.ControlMessage_Reply:
		p.reply(kind.Reply)
	case *wire.ControlMessage_Order:
		s.order(p, kind.Order)
	}
	return false, nil
}

// fresh notes the answer to a poll. Only a confirmed one whose versions are in force here counts as confirmed.
func (p *peer) fresh(f *wire.Fresh) error {
	p.mu.Lock()
	sent, known := p.sent[f.GetSequence()]
	for sequence := range p.sent {
		if sequence <= f.GetSequence() {
			delete(p.sent, sequence)
		}
	}
	isLast := len(p.sent) == 0
	if known && f.GetConfirmed() {
		p.confirmed = sent.at
	}
	p.mu.Unlock()
	if !known {
		return nil
	}
	s := p.session
	s.setLeader(f.GetLeader())
	s.mu.Lock()
	s.freshness.RecordAnswer(p.number, sent.at, time.Now())
	s.mu.Unlock()
	if f.GetConfirmed() {
		s.AddControls(f.GetControls())
		s.noteZones(f.GetControls(), f.GetZones())
		s.confirm(awaited{p, f, sent})
		s.followBest(time.Now())
	}
	if isLast && !s.isConfirmed() {
		// A process that starts serves nobody yet: it asks again soon, since an election may just be over.
		p.pollSoon()
	}
	s.registration.wake()
	return nil
}

// tellConfirmed passes on what only counts in an answer that a quorum confirmed.
func (p *peer) tellConfirmed(f *wire.Fresh, sent pollTime) {
	cfg := p.session.cfg
	if cfg.OnConfirmed != nil && p.session.listed() == cfg.Incarnation {
		cfg.OnConfirmed(sent.sinceBoot)
	}
	// With few links only the leader hears all entries, so only it can tell of the others.
	hearsAll := len(p.session.all()) <= linkAllUpTo || f.GetLeader() == p.name()
	if cfg.OnCaps != nil && len(f.GetCaps()) > 0 && hearsAll {
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
		s.counters.older.Inc()
	}
	err := s.update(func(v *View) (*View, error) { return v.withConfig(u) })
	s.confirmInForce()
	return s.countGap(err)
}

func (s *Session) applyDirectory(u *wire.DirectoryUpdate) error {
	err := s.update(func(v *View) (*View, error) { return v.withDirectory(u) })
	s.confirmInForce()
	return s.countGap(err)
}

// countGap ends the link by its error; the next hello says which version is known, and the update begins there.
func (s *Session) countGap(err error) error {
	if err != nil {
		s.counters.gaps.Inc()
	}
	return err
}
