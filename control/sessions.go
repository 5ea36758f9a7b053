package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Bounds of the sessions.
const (
	maxSessions      = 8192
	sessionRing      = 1024
	sessionSilence   = 5 * time.Second
	sessionProposals = 512 // under way for one session
)

// client names an entry or agent.
type client struct {
	role     wire.Role
	instance string
}

// sessions holds the links of entries and agents. It implements wire.DRPCControlLinkServer.
type sessions struct {
	control *Control

	mu   sync.Mutex
	open map[*session]bool
	seen map[client]*seenClient
}

// seenClient is what is known of a client, also after its session has ended.
type seenClient struct {
	incarnation uint64
	zone        string
	heard       time.Time
	config      uint64 // version as last polled
	directory   uint64
	session     *session // newest one; nil if it has ended
}

func newSessions(c *Control) *sessions {
	return &sessions{control: c, open: make(map[*session]bool), seen: make(map[client]*seenClient)}
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
	ctx, cancel := untilStopping(stream.Context())
	defer cancel()
	one := newSession(s.control, hello, cancel)
	if !s.add(one) {
		return link.ErrProtocol
	}
	defer s.remove(one)
	return one.run(ctx, stream)
}

// add registers a session. An earlier one of the same client stays open until it falls silent: its client may have
// messages on the way.
func (s *sessions) add(one *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= maxSessions {
		return false
	}
	s.open[one] = true
	seen := s.seen[one.client]
	if seen == nil {
		seen = new(seenClient)
		s.seen[one.client] = seen
	}
	if one.hello.GetIncarnation() < seen.incarnation {
		return true
	}
	*seen = seenClient{
		incarnation: one.hello.GetIncarnation(),
		zone:        one.hello.GetAvailabilityZone(),
		heard:       time.Now(),
		config:      one.hello.GetConfigVersion(),
		directory:   one.hello.GetDirectoryVersion(),
		session:     one,
	}
	return true
}

func (s *sessions) remove(one *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, one)
	if seen := s.seen[one.client]; seen != nil && seen.session == one {
		seen.session = nil
	}
}

// heard notes a poll of a client.
func (s *sessions) heard(one *session, poll *wire.Poll) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.seen[one.client]
	if seen == nil || seen.incarnation != one.hello.GetIncarnation() {
		return
	}
	seen.heard = time.Now()
	seen.config = poll.GetConfigVersion()
	seen.directory = poll.GetDirectoryVersion()
}

// lastHeard returns when an incarnation was last heard, the zero time if never.
func (s *sessions) lastHeard(role wire.Role, instance string, incarnation uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.seen[client{role, instance}]
	if seen == nil || seen.incarnation != incarnation {
		return time.Time{}
	}
	return seen.heard
}

// forget drops clients without a session that weren't heard for the given time, so that the memory of them is bounded
// by those that come and go within it.
func (s *sessions) forget(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, seen := range s.seen {
		if seen.session == nil && time.Since(seen.heard) > after {
			delete(s.seen, key)
		}
	}
}

// of returns the session of an agent, or nil.
func (s *sessions) of(agent string) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seen := s.seen[client{wire.Role_ROLE_AGENT, agent}]; seen != nil {
		return seen.session
	}
	return nil
}

func (s *sessions) list() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*session, 0, len(s.open))
	for one := range s.open {
		list = append(list, one)
	}
	slices.SortFunc(list, func(a, b *session) int { return cmp.Compare(a.client.instance, b.client.instance) })
	return list
}

// runPushes is the duty that sends each change to all sessions. Changes that come while a round runs go together.
func (s *sessions) runPushes(ctx context.Context) error {
	var config, directory, fence uint64
	for {
		changed := s.control.machine.wait()
		c, d, f := s.control.pushVersions()
		if c != config || d != directory || f != fence {
			config, directory, fence = c, d, f
			s.pushAll()
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
	for _, one := range s.list() {
		one.push(cache)
	}
}

func (c *Control) pushVersions() (config, directory, fence uint64) {
	c.machine.read(func(s *state.State) {
		config, directory, fence = s.ConfigVersion(), s.DirectoryVersion(), s.Fence()
	})
	return config, directory, fence
}
