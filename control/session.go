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

// session is the server side of the link of one entry or agent.
type session struct {
	control   *Control
	client    client
	hello     *wire.ClientHello
	out       *ring.Ring[*wire.ControlMessage]
	proposals semaphore // in progress for this session
	cancel    context.CancelFunc

	// mu keeps updates in order with the answers that name their versions.
	mu            sync.Mutex
	config, fence uint64 // last sent
	unsentConfigs int    // configuration updates in out
	directory     directorySubscription
	controls      []string // link addresses of control instances, as last sent
	isSlow        bool
}

// pushReason is the event that makes a session look for updates to send.
type pushReason int

const (
	pushForChange pushReason = iota // of the replicated state
	pushForPoll
	pushAfterSend // of a configuration update
)

func newSession(c *Control, hello *wire.ClientHello, cancel context.CancelFunc) *session {
	return &session{
		control:   c,
		client:    client{hello.GetRole(), hello.GetInstance()},
		hello:     hello,
		out:       ring.New[*wire.ControlMessage]("session", sessionRing),
		proposals: newSemaphore(sessionProposals),
		cancel:    cancel,
		config:    hello.GetConfigVersion(),
		directory: directorySubscription{scope: newDirectoryScope(hello)},
	}
}

func (s *session) run(ctx context.Context, stream wire.DRPCControlLink_SessionStream) error {
	s.send(&wire.ControlMessage{Kind: &wire.ControlMessage_Hello{Hello: &wire.ControlHello{
		Instance: s.control.settings.Instance,
		Leader:   s.control.leaderInstance(),

		AvailabilityZone: s.control.settings.AvailabilityZone,
	}}})
	s.control.leader.wake() // an open order may be waiting for this agent
	pump := &link.Pump[*wire.ControlMessage, *wire.ClientBatch]{
		Send:           func(batch []*wire.ControlMessage) error { return s.sendBatch(stream, batch) },
		Recv:           stream.Recv,
		Abort:          func() { link.Abort(stream.Context()) },
		Ring:           s.out,
		Size:           func(m *wire.ControlMessage) int { return proto.Size(m) },
		Receive:        s.receive,
		SilenceTimeout: sessionSilence,
	}
	return pump.Run(ctx)
}

// sendBatch writes messages to the stream, then queues the newest configuration if pushes were held back.
func (s *session) sendBatch(stream wire.DRPCControlLink_SessionStream, batch []*wire.ControlMessage) error {
	configs := 0
	for _, m := range batch {
		if m.GetConfig() != nil {
			configs++
		}
	}
	if err := stream.Send(&wire.ControlBatch{Messages: batch}); err != nil || configs == 0 {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsentConfigs -= configs
	s.pushLocked(newUpdateCache(s.control.machine), pushAfterSend)
	return nil
}

// send queues a message. A full ring ends the session, because a client that missed one message would treat the
// messages after it as complete.
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
		s.handle(ctx, m)
	}
	return true, nil
}

func (s *session) handle(ctx context.Context, m *wire.ClientMessage) {
	switch kind := m.GetKind().(type) {
	case *wire.ClientMessage_Poll:
		s.poll(kind.Poll)
	case *wire.ClientMessage_Propose:
		s.propose(ctx, kind.Propose)
	case *wire.ClientMessage_StreamOrigins:
		s.recordOrigins(kind.StreamOrigins)
	case *wire.ClientMessage_StreamOriginQuery:
		s.answerOriginQuery(kind.StreamOriginQuery)
	case *wire.ClientMessage_OrderResult:
		s.control.leader.enqueueResult(kind.OrderResult)
	}
}

// pollTimeout is the time after which a poll is answered without a confirmation.
//
// Clients poll every second and by default consider an instance silent if its last answer is to a poll that is 2 s old.
// A follower that kept its clients waiting for a failed leader would look as silent as the leader. An entry refuses
// calls while a majority looks silent, so calls would be refused during every election.
const pollTimeout = 500 * time.Millisecond

// poll requests a confirmed read. The answer follows all updates that the read covers.
func (s *session) poll(poll *wire.Poll) {
	s.control.sessions.recordPoll(s, poll)
	s.report(poll.GetReport())
	s.recordEvidence(poll.GetEvidence())
	caps := s.control.usage.Record(s.usageKey(), poll, time.Now())
	summary := s.recordDemand(poll.GetDemand(), time.Now())
	var answered atomic.Bool
	answer := func(confirmed bool) {
		if answered.CompareAndSwap(false, true) {
			s.answerPoll(poll, confirmed, caps, summary)
		}
	}
	timer := time.AfterFunc(pollTimeout, func() { answer(false) })
	s.confirm(answered.Load, func(confirmed bool) {
		timer.Stop()
		answer(confirmed)
	})
}

// confirm requests a confirmed read, and repeats the request until a read is confirmed or the poll is answered. It
// answers unconfirmed at once only if too many reads are pending.
//
// A process that is starting polls again as soon as it gets an unconfirmed answer. If each poll were answered after one
// failed round, 285 processes that start after a power loss would send thousands of polls a second to three instances.
// The replicas would then have no time left to elect a leader, and nothing could be confirmed. The symptom is role
// pre_candidate in the logs of all remaining replicas for seconds while the links between them are up. A poll that is
// held back also learns of a new leader earlier than the next poll would.
func (s *session) confirm(isAnswered func() bool, answer func(confirmed bool)) {
	asked := s.control.reads.request(func(confirmed bool) {
		if !confirmed && !isAnswered() {
			s.confirm(isAnswered, answer)
			return
		}
		answer(confirmed)
	})
	if !asked {
		answer(false)
	}
}

func (s *session) answerPoll(poll *wire.Poll, confirmed bool, caps []*wire.CapState, summary *wire.DemandSummary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.applyPoll(poll)
	s.pushLocked(newUpdateCache(s.control.machine), pushForPoll)
	controls := s.changedControlAddresses(confirmed)
	s.send(&wire.ControlMessage{Kind: &wire.ControlMessage_Fresh{Fresh: &wire.Fresh{
		Sequence:         poll.GetSequence(),
		Confirmed:        confirmed,
		ConfigVersion:    s.config,
		DirectoryVersion: s.directoryVersion(),
		Leader:           s.control.leaderInstance(),
		Caps:             caps,
		Controls:         controls,
		Zones:            s.control.zonesOf(controls),
		Demand:           summary,
		Versions:         s.versions(),
	}}})
}

// changedControlAddresses returns the link addresses of the control instances if they differ from those in the last
// confirmed answer, otherwise nil.
func (s *session) changedControlAddresses(confirmed bool) []string {
	addresses := s.control.memberAddresses()
	if slices.Equal(addresses, s.controls) {
		return nil
	}
	if confirmed {
		s.controls = addresses
	}
	return addresses
}

// push sends what has changed since the last update.
func (s *session) push(cache *updateCache) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pushLocked(cache, pushForChange)
}

// directoryVersion returns the directory version that the answer to a poll names.
func (s *session) directoryVersion() (version uint64) {
	if s.directory.active {
		return s.directory.sent
	}
	s.control.machine.read(func(st *state.State) { version = st.DirectoryVersion() })
	return version
}

// pushLocked sends pending updates; s.mu must be held. Configuration changes go over every link, since they must be in
// force within seconds whichever links fail. The directory is larger and changes more often, so it goes only over the
// link on which the client follows it.
//
// While a configuration update waits to be sent, later changes are held back and sent together after it. Otherwise a
// client that doesn't read would make this instance hold every version of a large desired state. The answer to a poll
// names the newest version, so the update that it covers is queued in any case.
func (s *session) pushLocked(cache *updateCache, reason pushReason) {
	if s.isSlow {
		return
	}
	if s.unsentConfigs == 0 || reason == pushForPoll {
		s.pushConfigLocked(cache)
	}
	if reason == pushAfterSend {
		return
	}
	if u := s.directory.next(cache, reason == pushForPoll); u != nil {
		s.send(&wire.ControlMessage{Kind: &wire.ControlMessage_Directory{Directory: u}})
	}
}

// pushConfigLocked queues the configuration update that is due, if there is one. s.mu must be held.
func (s *session) pushConfigLocked(cache *updateCache) {
	u := cache.config(s.config, s.fence)
	if u == nil {
		return
	}
	s.config, s.fence = u.GetVersion(), u.GetFence()
	if s.client.role == wire.Role_ROLE_AGENT {
		u = agentConfig(u)
	}
	s.unsentConfigs++
	s.send(&wire.ControlMessage{Kind: &wire.ControlMessage_Config{Config: u}})
}

// propose starts a proposal. Replies may be sent in a different order than the proposals came in.
func (s *session) propose(ctx context.Context, p *wire.Propose) {
	if !mayPropose(s.hello, p.GetCommand()) {
		s.control.counters.proposalFailed(result.BadMessage).Inc()
		s.sendReply(notAllowed(p.GetId()))
		return
	}
	if !s.proposals.tryAcquire() {
		s.sendReply(&wire.ProposeReply{
			Id:      p.GetId(),
			Code:    uint32(result.ProposalQueueFull),
			Message: result.ProposalQueueFull.Info().Message,
		})
		return
	}
	go func() {
		defer s.proposals.release()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), proposeTimeout)
		defer cancel()
		s.sendReply(s.control.proposeLocally(ctx, p.GetId(), p.GetCommand()))
	}()
}

func (s *session) sendReply(r *wire.ProposeReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.send(&wire.ControlMessage{Kind: &wire.ControlMessage_Reply{Reply: r}})
}

// sendOrder sends an order to the agent.
func (s *session) sendOrder(o *wire.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.send(&wire.ControlMessage{Kind: &wire.ControlMessage_Order{Order: o}})
}
