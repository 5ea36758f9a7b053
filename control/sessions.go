package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Limits of the sessions.
const (
	maxSessions      = 8192
	sessionRing      = 1024
	sessionSilence   = 5 * time.Second
	sessionProposals = 512 // in progress for one session
)

// client identifies an entry or agent.
type client struct {
	role     wire.Role
	instance string
}

// sessions holds the links of entries and agents. It implements wire.DRPCControlLinkServer.
type sessions struct {
	control *Control

	mu      sync.Mutex
	open    map[*session]bool
	clients map[client]*clientState
}

// clientState is what is known of a client. It outlives the client's session.
type clientState struct {
	incarnation uint64
	zone        string
	lastContact time.Time
	config      uint64 // version in the last poll
	directory   uint64
	session     *session // newest one; nil if it has ended
}

func newSessions(c *Control) *sessions {
	return &sessions{control: c, open: make(map[*session]bool), clients: make(map[client]*clientState)}
}

// Session serves one link until it ends. It implements wire.DRPCControlLinkServer.
func (s *sessions) Session(stream wire.DRPCControlLink_SessionStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if len(first.GetMessages()) == 0 {
		return link.ErrProtocol
	}
	hello := first.GetMessages()[0].GetHello()
	if hello.GetInstance() == "" || hello.GetRole() == wire.Role_ROLE_UNSPECIFIED {
		return link.ErrProtocol
	}
	link.Admit(stream.Context())
	ctx, cancel := streamContext(stream.Context())
	defer cancel()
	sess := newSession(s.control, hello, cancel)
	if !s.add(sess) {
		return link.ErrProtocol
	}
	defer s.remove(sess)
	return sess.run(ctx, stream)
}

// add registers a session and reports whether there was room for it. An earlier session of the same client stays open
// until its silence timeout, because messages of the client may still be in transit on it.
func (s *sessions) add(sess *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= maxSessions {
		return false
	}
	s.open[sess] = true
	known := s.clients[sess.client]
	if known == nil {
		known = new(clientState)
		s.clients[sess.client] = known
	}
	if sess.hello.GetIncarnation() < known.incarnation {
		return true
	}
	*known = clientState{
		incarnation: sess.hello.GetIncarnation(),
		zone:        sess.hello.GetAvailabilityZone(),
		lastContact: time.Now(),
		config:      sess.hello.GetConfigVersion(),
		directory:   sess.hello.GetDirectoryVersion(),
		session:     sess,
	}
	return true
}

func (s *sessions) remove(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, sess)
	if known := s.clients[sess.client]; known != nil && known.session == sess {
		known.session = nil
	}
}

// recordPoll updates the state of a client from its poll. Polls of an incarnation other than the newest one are
// ignored.
func (s *sessions) recordPoll(sess *session, poll *wire.Poll) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.clients[sess.client]
	if known == nil || known.incarnation != sess.hello.GetIncarnation() {
		return
	}
	known.lastContact = time.Now()
	known.config = poll.GetConfigVersion()
	known.directory = poll.GetDirectoryVersion()
}

// lastContact returns the time of the last message from an incarnation, or the zero time if there was none.
func (s *sessions) lastContact(role wire.Role, instance string, incarnation uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.clients[client{role, instance}]
	if known == nil || known.incarnation != incarnation {
		return time.Time{}
	}
	return known.lastContact
}

// evictIdle removes clients that have no session and have sent nothing for the given time. This bounds memory by the
// number of clients that connect within that time.
func (s *sessions) evictIdle(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, known := range s.clients {
		if known.session == nil && time.Since(known.lastContact) > after {
			delete(s.clients, key)
		}
	}
}

// agentSession returns the newest session of an agent, or nil.
func (s *sessions) agentSession(agent string) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.clients[client{wire.Role_ROLE_AGENT, agent}]; known != nil {
		return known.session
	}
	return nil
}

func (s *sessions) list() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*session, 0, len(s.open))
	for sess := range s.open {
		list = append(list, sess)
	}
	slices.SortFunc(list, func(a, b *session) int { return cmp.Compare(a.client.instance, b.client.instance) })
	return list
}

// pushIntervalPerRecord is the least time between two rounds of pushes, for each record of the directory.
//
// A client looks through its whole directory at each update, and all processes register when a deployment starts. With an
// update for each registration, entries on slow machines would have no time left for their heartbeats. An interval that
// grows with the directory bounds the share of its time that a client spends on updates.
const pushIntervalPerRecord = 50 * time.Microsecond

// runPushes is the loop that sends each change to all sessions. Changes that arrive during a round, or before the next
// one may start, are sent together in the next one. The first change after an idle time is sent at once.
func (s *sessions) runPushes(ctx context.Context) error {
	var config, directory, fence uint64
	for {
		changed := s.control.machine.nextChange()
		c, d, f := s.control.pushVersions()
		if c != config || d != directory || f != fence {
			config, directory, fence = c, d, f
			s.pushAll()
			pause.For(ctx, time.Duration(s.control.directorySize())*pushIntervalPerRecord)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *sessions) pushAll() {
	cache := newUpdateCache(s.control.machine)
	for _, sess := range s.list() {
		sess.push(cache)
	}
}

// directorySize returns the number of agents, entries and announcements in the directory.
func (c *Control) directorySize() (records int) {
	c.machine.read(func(s *state.State) { records = s.DirectorySize() })
	return records
}

func (c *Control) pushVersions() (config, directory, fence uint64) {
	c.machine.read(func(s *state.State) {
		config, directory, fence = s.ConfigVersion(), s.DirectoryVersion(), s.Fence()
	})
	return config, directory, fence
}
