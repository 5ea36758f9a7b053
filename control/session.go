package control

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/ring"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// session is the link of one entry or agent.
type session struct {
	control *Control
	client  client
	hello   *wire.ClientHello
	out     *ring.Ring[*wire.ControlMessage]
	slots   slots // of its proposals
	cancel  context.CancelFunc

	// mu keeps updates and the answers that name their versions in order.
	mu            sync.Mutex
	config, fence uint64 // as sent
	directory     following
	controls      []string // addresses of control instances, as sent
	isSlow        bool
}

func newSession(c *Control, hello *wire.ClientHello, cancel context.CancelFunc) *session {
	return &session{
		control:   c,
		client:    client{hello.GetRole(), hello.GetInstance()},
		hello:     hello,
		out:       ring.New[*wire.ControlMessage]("session", sessionRing),
		slots:     newSlots(sessionProposals),
		cancel:    cancel,
		config:    hello.GetConfigVersion(),
		directory: following{scope: newScope(hello)},
	}
}

func (s *session) run(ctx context.Context, stream wire.DRPCControlLink_SessionStream) error {
	s.send(&wire.ControlMessage{Kind: &wire.ControlMessage_Hello{Hello: &wire.ControlHello{
		Instance: s.control.settings.Instance,
		Leader:   s.control.leaderInstance(),

		AvailabilityZone: s.control.settings.AvailabilityZone,
	}}})
	s.control.leader.wake() // its agent may wait for an order
	pump := &link.Pump[*wire.ControlMessage, *wire.ClientBatch]{
		Send:    func(batch []*wire.ControlMessage) error { return stream.Send(&wire.ControlBatch{Messages: batch}) },
		Recv:    stream.Recv,
		Abort:   func() { link.Abort(stream.Context()) },
		Ring:    s.out,
		Size:    func(m *wire.ControlMessage) int { return proto.Size(m) },
		Receive: s.receive,
		Silence: sessionSilence,
	}
	return pump.Run(ctx)
}

// send queues a message. A full ring ends the session: with one message missing the client would take what follows
// for the whole.
func (s *session) send(m *wire.ControlMessage) {
	if s.out.TryPush(m) {
		return
	}
	s.control.counters.slowSessions.Inc()
	s.isSlow = true
	s.cancel()
}

func (s *session) receive(ctx context.Context, batch *wire.ClientBatch) (bool, error) {
	for _, m := range batch.GetMessages() {
		s.message(ctx, m)
	}
	return true, nil
}

func (s *session) message(ctx context.Context, m *wire.ClientMessage) {
	switch kind := m.GetKind().(type) {
	case *wire.ClientMessage_Poll:
		s.poll(kind.Poll)
	case *wire.ClientMessage_Propose:
		s.propose(ctx, kind.Propose)
	case *wire.ClientMessage_OrderResult:
		s.control.leader.orderEnded(kind.OrderResult)
	}
}

// pollTimeout is after which a poll is answered without a confirmation.
//
// Clients poll each second and take an instance for silent whose last answer is to a poll of 2 s ago, by default. If a
// follower kept its clients waiting for a dead leader, it would look as silent as the leader, and with a majority that
// looks silent entries refuse calls during each election.
const pollTimeout = 500 * time.Millisecond

// poll asks for a confirmed read; its answer follows all updates that the read covers.
func (s *session) poll(poll *wire.Poll) {
	s.control.sessions.heard(s, poll)
	s.report(poll.GetReport())
	caps := s.control.usage.Record(s.usageKey(), poll, time.Now())
	var answered atomic.Bool
	answer := func(confirmed bool) {
		if answered.CompareAndSwap(false, true) {
			s.fresh(poll, confirmed, caps)
		}
	}
	timer := time.AfterFunc(pollTimeout, func() { answer(false) })
	s.confirm(answered.Load, func(confirmed bool) {
		timer.Stop()
		answer(confirmed)
	})
}

// confirm asks for a confirmed read until there is one or the poll was answered, and answers at once only where too many wait.
//
// A process that starts asks again as soon as it hears that nothing is confirmed. Answered after one failed round, the 285 processes
// of a fleet that had lost its power asked three instances thousands of times a second, and the replicas there had no time left to
// elect a leader: for as long as that lasted nothing could be confirmed. One would notice by pre_candidate in the logs of all
// replicas that are left, for seconds, while their links to each other are up. A poll that is kept also hears of the leader
// sooner than the next one would.
func (s *session) confirm(isOver func() bool, answer func(confirmed bool)) {
	asked := s.control.reads.ask(func(confirmed bool) {
		if !confirmed && !isOver() {
			s.confirm(isOver, answer)
			return
		}
		answer(confirmed)
	})
	if !asked {
		answer(false)
	}
}

func (s *session) fresh(poll *wire.Poll, confirmed bool, caps []*wire.CapState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.set(poll)
	s.pushLocked(newUpdateCache(s.control.machine), true)
	controls := s.newControls(confirmed)
	s.send(&wire.ControlMessage{Kind: &wire.ControlMessage_Fresh{Fresh: &wire.Fresh{
		Sequence:         poll.GetSequence(),
		Confirmed:        confirmed,
		ConfigVersion:    s.config,
		DirectoryVersion: s.directoryVersion(),
		Leader:           s.control.leaderInstance(),
		Caps:             caps,
		Controls:         controls,
		Zones:            s.control.zonesOf(controls),
	}}})
}

// newControls are the addresses of control instances if they have changed since a confirmed answer told them.
func (s *session) newControls(confirmed bool) []string {
	addresses := s.control.memberAddresses()
	if slices.Equal(addresses, s.controls) {
		return nil
	}
	if confirmed {
		s.controls = addresses
	}
	return addresses
}

// push sends what changed since the last update.
func (s *session) push(cache *updateCache) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pushLocked(cache, false)
}

// directoryVersion is that of the directory that an answer to a poll names.
func (s *session) directoryVersion() (version uint64) {
	if s.directory.on {
		return s.directory.told
	}
	s.control.machine.read(func(st *state.State) { version = st.DirectoryVersion() })
	return version
}

// pushLocked sends what is new. Each change of the configuration goes over every link, since it must be in force within seconds
// whichever links fail; the directory, which is larger and changes more often, over the one that the client follows.
func (s *session) pushLocked(cache *updateCache, isPoll bool) {
	if s.isSlow {
		return
	}
	if u := cache.config(s.config, s.fence); u != nil {
		s.config, s.fence = u.GetVersion(), u.GetFence()
		s.send(&wire.ControlMessage{Kind: &wire.ControlMessage_Config{Config: u}})
	}
	if u := s.directory.next(cache, isPoll); u != nil {
		s.send(&wire.ControlMessage{Kind: &wire.ControlMessage_Directory{Directory: u}})
	}
}

// propose starts a proposal; its reply comes in any order.
func (s *session) propose(ctx context.Context, p *wire.Propose) {
	if !mayPropose(s.hello, p.GetCommand()) {
		s.control.counters.proposalFailed(result.BadMessage).Inc()
		s.reply(notAllowed(p.GetId()))
		return
	}
	if !s.slots.take() {
		s.reply(&wire.ProposeReply{
			Id:      p.GetId(),
			Code:    uint32(result.ProposalQueueFull),
			Message: result.ProposalQueueFull.Info().Message,
		})
		return
	}
	go func() {
		defer s.slots.put()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), proposeTimeout)
		defer cancel()
		s.reply(s.control.proposeHere(ctx, p.GetId(), p.GetCommand()))
	}()
}

func (s *session) reply(r *wire.ProposeReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.send(&wire.ControlMessage{Kind: &wire.ControlMessage_Reply{Reply: r}})
}

// order sends an order to the agent.
func (s *session) order(o *wire.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.send(&wire.ControlMessage{Kind: &wire.ControlMessage_Order{Order: o}})
}
