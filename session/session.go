package session

import (
	"context"
	"crypto/tls"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Defaults of Config.
const (
	DefaultPollInterval   = time.Second
	DefaultSilenceBound   = 3 * time.Second
	DefaultProposeTimeout = 2 * time.Second
	// startPoll is how soon a process asks again that no quorum has confirmed the state to yet.
	startPoll = 50 * time.Millisecond
)

// Capacities of the rings.
const (
	outgoingRing = 1024
	orderRing    = 64
)

// Config configures a Session. Instance, Role, Incarnation, Controls and Network are required.
type Config struct {
	// Instance is this process's name.
	Instance string
	// Role is ROLE_ENTRY or ROLE_AGENT.
	Role wire.Role
	// Incarnation rises with each start of the process, such as nanoseconds since 1970 at the start. It isn't 0.
	Incarnation uint64
	// Zone is the availability zone.
	Zone string
	// LinkAddress is where entries dial this agent; empty for an entry.
	LinkAddress string
	// ServerAddress is that of the backend server beside this agent, as it announces itself to control. Of all announcements the
	// agent then gets those of this server. Empty for all.
	ServerAddress string
	// Controls are the link addresses of all control instances.
	Controls []string
	// Network opens the connections.
	Network network.Network
	// TLS is the configuration of the connections, nil for none.
	TLS *tls.Config
	// PollInterval is how often each control instance is polled.
	PollInterval time.Duration
	// SilenceBound is how long a majority may be silent before the process counts as cut off.
	SilenceBound time.Duration
	// ProposeTimeout is how long a proposal waits at one control instance before it goes to another.
	ProposeTimeout time.Duration
	// Report gives what goes to control with some of the polls, see reporter. It must not block. Nil for none.
	Report func() *wire.EntryReport
	// Usage gives what goes to control with each poll, and Caps takes the answer. They must not block. Nil for none.
	Usage  func() []*wire.Usage
	OnCaps func(states []*wire.CapState)
	// OnConfirmed hears of each answer that a quorum confirmed while the directory has this incarnation, by the time since boot
	// at which it was asked for. It must not block. Nil for none.
	OnConfirmed func(asked time.Duration)
	// UsageWindow is the time over which Usage counts.
	UsageWindow time.Duration
	// RegisterAfter, if not nil, holds the registration back until it is closed.
	RegisterAfter <-chan struct{}
	// Log and Metrics may be nil.
	Log     log.Interface
	Metrics *metrics.Set
}

func (c Config) withDefaults() Config {
	setDefault(&c.PollInterval, DefaultPollInterval)
	setDefault(&c.SilenceBound, DefaultSilenceBound)
	setDefault(&c.ProposeTimeout, DefaultProposeTimeout)
	if c.Log == nil {
		c.Log = &log.Logger{Handler: log.HandlerFunc(func(*log.Entry) error { return nil }), Level: log.FatalLevel}
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return c
}

func setDefault(d *time.Duration, fallback time.Duration) {
	if *d <= 0 {
		*d = fallback
	}
}

// Session keeps the links to control instances: to all of a few, and to the leader and some others of many. Its methods may be called from any goroutine, before Run too.
type Session struct {
	cfg  Config
	view atomic.Pointer[View]
	// peers only grows. A stored slice isn't changed; adding holds addMu.
	peers atomic.Pointer[[]*peer]
	addMu sync.Mutex
	start func(*peer) // set while Run runs
	ids   atomic.Uint64

	mu        sync.Mutex
	freshness *Freshness
	leader    string
	wanted    uint64 // highest configuration version seen on any message
	awaited   map[*peer]awaited

	notifyMu    sync.Mutex
	subscribers []func(*View)

	registration *registration
	orders       *orders
	counters     counters
	reselect     chan struct{}           // holds one note
	supersede    context.CancelCauseFunc // set by Run
}

// New returns a session that Run starts.
func New(cfg Config) *Session {
	cfg = cfg.withDefaults()
	s := &Session{
		cfg:       cfg,
		freshness: NewFreshness(len(cfg.Controls), cfg.SilenceBound, time.Now()),
		reselect:  make(chan struct{}, 1),
		awaited:   make(map[*peer]awaited),
	}
	s.view.Store(newView())
	peers := make([]*peer, 0, len(cfg.Controls))
	for i, address := range cfg.Controls {
		peers = append(peers, newPeer(s, i, address))
	}
	s.peers.Store(&peers)
	s.registration = newRegistration(cfg)
	s.orders = newOrders()
	s.counters = newCounters(cfg.Metrics, s)
	return s
}

// ErrSuperseded ends a session whose incarnation control doesn't take back: it was ended, after a silence, or a newer
// one of the same instance is registered. Only a new incarnation can go on.
var ErrSuperseded = errors.New("session: this incarnation was ended or replaced")

// Run keeps the links and the registration until ctx ends, and returns the cause, or ErrSuperseded.
func (s *Session) Run(ctx context.Context) error {
	ctx, s.supersede = context.WithCancelCause(ctx)
	defer s.supersede(nil)
	s.restart()
	var wg sync.WaitGroup
	s.startPeers(func(p *peer) { wg.Go(func() { p.run(ctx) }) })
	wg.Go(func() { s.runSelection(ctx) })
	wg.Go(func() { s.register(ctx) })
	<-ctx.Done()
	s.startPeers(nil)
	wg.Wait()
	return context.Cause(ctx)
}

// startPeers begins all links, and those that are added later, with start; nil begins no more.
func (s *Session) startPeers(start func(*peer)) {
	s.addMu.Lock()
	defer s.addMu.Unlock()
	s.start = start
	if start == nil {
		return
	}
	for _, p := range s.all() {
		start(p)
	}
}

// all returns the control instances that are known.
func (s *Session) all() []*peer { return *s.peers.Load() }

// maxControls bounds the control instances that a session keeps links to. A group has a handful of members at a time;
// the rest are those that were replaced while this process ran.
const maxControls = 32

// AddControls opens links to further control instances by their link addresses. Those that are known already, and what
// goes beyond the bound, change nothing.
//
// Instances are replaced at other addresses while a process runs, and its settings may be older than it. One that only
// knew its first three would lose control with the third that is replaced.
func (s *Session) AddControls(addresses []string) {
	s.addMu.Lock()
	defer s.addMu.Unlock()
	for _, address := range addresses {
		known := s.all()
		if len(known) >= maxControls || slices.ContainsFunc(known, func(p *peer) bool { return p.address == address }) {
			continue
		}
		s.add(known, address)
	}
}

// Addresses returns the link addresses of the control instances that are known.
func (s *Session) Addresses() []string {
	var addresses []string
	for _, p := range s.all() {
		addresses = append(addresses, p.address)
	}
	return addresses
}

// add is called with addMu held.
func (s *Session) add(known []*peer, address string) {
	added := newPeer(s, len(known), address)
	s.mu.Lock()
	s.freshness.Add(time.Now())
	peers := append(slices.Clone(known), added)
	s.peers.Store(&peers)
	s.mu.Unlock()
	s.cfg.Log.WithField("address", address).WithField("controls", len(peers)).Info("control_added")
	if s.start != nil {
		s.start(added)
	}
}

// restart counts freshness from the start of Run.
func (s *Session) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness = NewFreshness(len(s.all()), s.cfg.SilenceBound, time.Now())
}

// View returns the newest configuration and directory.
func (s *Session) View() *View {
	return s.view.Load()
}

// Config returns the version of the configuration, and its classes sorted by name.
func (s *Session) Config() (uint64, []*wire.Class) {
	v := s.View()
	return v.ConfigVersion, sorted(v.Classes)
}

// Servers returns the agents with their backend servers, sorted by agent.
func (s *Session) Servers() []*wire.AgentRecord {
	return sorted(s.View().Agents)
}

func sorted[V any](m map[string]V) []V {
	list := make([]V, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[name])
	}
	return list
}

// Subscribe calls fn with each new view, in order and one at a time, and first with the present one. It must not block,
// and must not call Subscribe.
func (s *Session) Subscribe(fn func(*View)) {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.subscribers = append(s.subscribers, fn)
	fn(s.View())
}

// update changes the view and tells the subscribers.
func (s *Session) update(change func(*View) (*View, error)) error {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	old := s.View()
	next, err := change(old)
	if err != nil || next == old {
		return err
	}
	s.view.Store(next)
	for _, fn := range s.subscribers {
		fn(next)
	}
	return nil
}

// Ready returns nil when the process may take work: the state was confirmed by a quorum and is in force here, this
// incarnation was registered, and the process isn't cut off. Errors have code result.Starting or
// result.CutOffFromControl.
//
// A process that starts with nothing, or with what a control instance in a minority tells it, would serve by classes
// that were replaced long ago.
func (s *Session) Ready() error {
	s.mu.Lock()
	confirmed := s.freshness.IsConfirmed()
	s.mu.Unlock()
	if !confirmed {
		return result.New(result.Starting, "no quorum of control has confirmed the configuration yet")
	}
	if !s.registration.done.Load() {
		return result.New(result.Starting, "this instance isn't registered yet")
	}
	return s.CutOff()
}

// CutOff returns nil, or an error with code result.CutOffFromControl while the process may be cut off, see Freshness.
func (s *Session) CutOff() error {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.freshness.CutOff(now) {
		return nil
	}
	return result.New(result.CutOffFromControl, "%d of %d control instances are silent, and none was confirmed by a quorum",
		s.freshness.SilentInstances(now), len(s.all()))
}

// Reachability returns how each control instance is reached, in the order of Config.Controls.
func (s *Session) Reachability() []Reachability {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Reachability, len(s.all()))
	for i := range out {
		out[i] = s.freshness.Reachability(i, now)
	}
	return out
}

// ObserveVersion notes a configuration version that came on a message of another process, and returns true if what
// is in force here is at least as new. On false the session fetches; the caller must not act on the message before a
// view of that version came (see Subscribe), or it would mix two configurations.
func (s *Session) ObserveVersion(version uint64) bool {
	if version <= s.View().ConfigVersion {
		return true
	}
	s.mu.Lock()
	isNew := version > s.wanted
	s.wanted = max(s.wanted, version)
	s.mu.Unlock()
	if isNew {
		s.counters.fetches.Inc()
		s.Refresh()
	}
	return false
}

// Refresh polls all control instances without waiting for the next interval.
func (s *Session) Refresh() {
	for _, p := range s.all() {
		p.poll()
	}
}

// Leader returns the instance that leads as far as known, or "".
func (s *Session) Leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

func (s *Session) setLeader(instance string) {
	if instance == "" {
		return
	}
	s.mu.Lock()
	isNew := s.leader != instance
	s.leader = instance
	s.mu.Unlock()
	if isNew {
		s.choiceChanged()
	}
}

// links is to how many control instances a link is wanted.
func (s *Session) links() int {
	n := 0
	for _, p := range s.all() {
		if p.wished().wanted {
			n++
		}
	}
	return n
}

// timing is that of the links: a silent one is dialled anew at the bound.
func (s *Session) timing() link.Timing {
	return link.Timing{}.WithDefaults()
}
