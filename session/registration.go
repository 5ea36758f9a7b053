package session

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// registrationTimeout bounds one attempt to propose the registration.
const registrationTimeout = 5 * time.Second

// registration keeps this instance listed in the directory.
type registration struct {
	isRegistered atomic.Bool // registered at least once
	isRemoved    atomic.Bool // this process has proposed its own removal
	signal       chan struct{}

	mu              sync.Mutex
	servers         []*wire.ServerRecord
	version         uint64 // incremented by each change of servers
	acceptedVersion uint64 // version of the last registration that was accepted
	acceptedAt      time.Time
}

func newRegistration(cfg Config) *registration {
	r := &registration{signal: make(chan struct{}, 1), version: 1}
	if cfg.Role == wire.Role_ROLE_AGENT {
		r.servers = []*wire.ServerRecord{}
	}
	return r
}

// notify makes register check at once whether a registration is needed.
func (r *registration) notify() {
	select {
	case r.signal <- struct{}{}:
	default:
	}
}

// SetServers sets the backend servers of this agent. The session registers them, and registers again after each change
// and when the directory does not list them. The records must not be changed afterwards.
func (s *Session) SetServers(servers []*wire.ServerRecord) {
	r := s.registration
	r.mu.Lock()
	r.servers = slices.Clone(servers)
	r.version++
	r.mu.Unlock()
	r.notify()
}

// register proposes the registration whenever it is needed, until ctx ends.
func (s *Session) register(ctx context.Context) {
	if s.cfg.RegisterAfter != nil {
		select {
		case <-ctx.Done():
			return
		case <-s.cfg.RegisterAfter:
		}
	}
	ticker := time.NewTicker(s.cfg.PollInterval)
	defer ticker.Stop()
	for {
		if s.needsRegistration() {
			s.registerOnce(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.registration.signal:
		}
	}
}

// needsRegistration reports whether the accepted registration is out of date, or missing from a directory that was
// confirmed after it. The leader removes an instance that is silent for too long; this is how the instance returns.
func (s *Session) needsRegistration() bool {
	if s.registration.isRemoved.Load() {
		return false
	}
	s.mu.Lock()
	confirmed, isConfirmed := s.freshness.LastConfirmed(), s.freshness.IsConfirmed()
	s.mu.Unlock()
	r := s.registration
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.acceptedVersion != r.version {
		return true
	}
	return isConfirmed && confirmed.After(r.acceptedAt) && s.listedIncarnation() != s.cfg.Incarnation
}

// recordOwnRemoval stops the registration when this process proposes its own removal while stopping. Otherwise the session
// would find itself missing and register again, and the directory would list a process that has stopped.
func (s *Session) recordOwnRemoval(cmd *wire.Command) {
	if cmd.GetEndEntry() != nil || cmd.GetRemoveAgent() != nil {
		s.registration.isRemoved.Store(true)
	}
}

// listedIncarnation returns the incarnation of this instance in the directory, or 0 if it is not listed.
func (s *Session) listedIncarnation() uint64 {
	if s.cfg.Role == wire.Role_ROLE_AGENT {
		return s.View().Agents[s.cfg.Instance].GetIncarnation()
	}
	return s.View().Entries[s.cfg.Instance].GetIncarnation()
}

func (s *Session) registerOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	cmd, version := s.registrationCommand()
	res, err := s.Propose(ctx, cmd)
	if err == nil && res.GetCode() != 0 {
		err = result.New(result.Code(res.GetCode()), "%s", res.GetMessage())
	}
	if err != nil {
		s.cfg.Log.WithError(err).Warn("registration_failed")
		if result.Is(err, result.AttemptSuperseded) {
			s.supersede(ErrSuperseded)
			return
		}
		pause.For(ctx, retryDelay)
		return
	}
	r := s.registration
	r.mu.Lock()
	r.acceptedVersion = version
	r.acceptedAt = time.Now()
	r.mu.Unlock()
	r.isRegistered.Store(true)
}

func (s *Session) registrationCommand() (*wire.Command, uint64) {
	r := s.registration
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.cfg.Role != wire.Role_ROLE_AGENT {
		entry := &wire.EntryRecord{
			Entry:            s.cfg.Instance,
			Incarnation:      s.cfg.Incarnation,
			AvailabilityZone: s.cfg.Zone,
		}
		return &wire.Command{Kind: &wire.Command_RegisterEntry{RegisterEntry: &wire.RegisterEntry{Entry: entry}}}, r.version
	}
	agent := &wire.AgentRecord{
		Agent:            s.cfg.Instance,
		Incarnation:      s.cfg.Incarnation,
		AvailabilityZone: s.cfg.Zone,
		LinkAddress:      s.cfg.LinkAddress,
		Servers:          r.servers,
	}
	return &wire.Command{Kind: &wire.Command_RegisterAgent{RegisterAgent: &wire.RegisterAgent{Agent: agent}}}, r.version
}
