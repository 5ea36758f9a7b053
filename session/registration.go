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

// registrationTry bounds one proposal of the registration.
const registrationTry = 5 * time.Second

// registration keeps this instance in the directory.
type registration struct {
	done   atomic.Bool // registered at least once
	ended  atomic.Bool // this process proposed its own end
	signal chan struct{}

	mu       sync.Mutex
	servers  []*wire.ServerRecord
	wanted   uint64 // rises with each change of servers
	accepted uint64 // value of wanted when the last accepted registration was made
	at       time.Time
}

func newRegistration(cfg Config) *registration {
	r := &registration{signal: make(chan struct{}, 1), wanted: 1}
	if cfg.Role == wire.Role_ROLE_AGENT {
		r.servers = []*wire.ServerRecord{}
	}
	return r
}

// wake lets register look again.
func (r *registration) wake() {
	select {
	case r.signal <- struct{}{}:
	default:
	}
}

// SetServers says which backend servers this agent has. The session registers them, again after each change, and when
// the directory has lost them. The records must not be changed afterwards.
func (s *Session) SetServers(servers []*wire.ServerRecord) {
	r := s.registration
	r.mu.Lock()
	r.servers = slices.Clone(servers)
	r.wanted++
	r.mu.Unlock()
	r.wake()
}

// register is the duty that proposes the registration.
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

// needsRegistration compares what was accepted with what is wanted, and with a directory confirmed after that. An
// instance that was silent too long is removed by the leader, and comes back by this.
func (s *Session) needsRegistration() bool {
	if s.registration.ended.Load() {
		return false
	}
	s.mu.Lock()
	confirmed, isConfirmed := s.freshness.LastConfirmed(), s.freshness.IsConfirmed()
	s.mu.Unlock()
	r := s.registration
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accepted != r.wanted {
		return true
	}
	return isConfirmed && confirmed.After(r.at) && s.listed() != s.cfg.Incarnation
}

// noteEnd ends the registration when this process proposes its own end, at its stop. Otherwise the session would see
// itself missing and come back, and the directory would hold a process that is gone.
func (s *Session) noteEnd(cmd *wire.Command) {
	if cmd.GetEndEntry() != nil || cmd.GetRemoveAgent() != nil {
		s.registration.ended.Store(true)
	}
}

// listed returns the incarnation of this instance in the directory, 0 if it isn't there.
func (s *Session) listed() uint64 {
	if s.cfg.Role == wire.Role_ROLE_AGENT {
		return s.View().Agents[s.cfg.Instance].GetIncarnation()
	}
	return s.View().Entries[s.cfg.Instance].GetIncarnation()
}

func (s *Session) registerOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registrationTry)
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
		pause.For(ctx, retryPause)
		return
	}
	r := s.registration
	r.mu.Lock()
	r.accepted = version
	r.at = time.Now()
	r.mu.Unlock()
	r.done.Store(true)
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
		return &wire.Command{Kind: &wire.Command_RegisterEntry{RegisterEntry: &wire.RegisterEntry{Entry: entry}}}, r.wanted
	}
	agent := &wire.AgentRecord{
		Agent:            s.cfg.Instance,
		Incarnation:      s.cfg.Incarnation,
		AvailabilityZone: s.cfg.Zone,
		LinkAddress:      s.cfg.LinkAddress,
		Servers:          r.servers,
	}
	return &wire.Command{Kind: &wire.Command_RegisterAgent{RegisterAgent: &wire.RegisterAgent{Agent: agent}}}, r.wanted
}
