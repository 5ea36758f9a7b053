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
	// startupPollDelay is the delay before another poll while no quorum has confirmed the state yet.
	startupPollDelay = 50 * time.Millisecond
)

// Capacities of the outgoing ring and the channel of orders.
const (
	outgoingBufferSize = 1024
	orderBufferSize    = 64
)

// Config configures a Session. Instance, Role, Incarnation, Controls and Network are required.
type Config struct {
	// Instance is the name of this process.
	Instance string
	// Role is ROLE_ENTRY or ROLE_AGENT.
	Role wire.Role
	// Incarnation increases with each start of the process, such as the start time in Unix nanoseconds. It is not 0.
	Incarnation uint64
	// Zone is the availability zone of this process.
	Zone string
	// LinkAddress is the address on which entries dial this agent; empty for an entry.
	LinkAddress string
	// ServerAddress is the address of the backend server beside this agent, as the server announces it to control. The
	// agent then receives only the announcements of this server. Empty means all announcements.
	ServerAddress string
	// Controls holds the link addresses of all control instances.
	Controls []string
	// Network opens the connections.
	Network network.Network
	// TLS configures the connections; nil means plain TCP.
	TLS *tls.Config
	// PollInterval is the interval between polls of each control instance. Zero means DefaultPollInterval.
	PollInterval time.Duration
	// SilenceBound is how long a majority may be silent before the process counts as cut off. Zero means
	// DefaultSilenceBound.
	SilenceBound time.Duration
	// ProposeTimeout is how long a proposal waits for one control instance before it is sent to another. Zero means
	// DefaultProposeTimeout.
	ProposeTimeout time.Duration
	// Report returns the report to send to control with some of the polls, see reporter. It must not block. Nil means
	// no reports.
	Report func() *wire.EntryReport
	// Usage returns the usage to send with each poll, and OnCaps is called with the cap states of an answer. Neither may
	// block. Either may be nil.
	Usage  func() []*wire.Usage
	OnCaps func(states []*wire.CapState)
	// Evidence returns the evidence of the roll-outs in progress, to send with polls, see evidenceReporter. It must not block.
	// Nil means no evidence.
	Evidence func() []*wire.RolloutEvidence
	// Demand returns the demand to report with polls of the leader, without a sequence number, see demandReporter. OnDemand is
	// called with the sums of the other entries and the time at which the poll was sent. Neither may block. Demand returns the same
	// report while nothing has changed, and nil while there is none. Either may be nil.
	Demand   func() *wire.DemandReport
	OnDemand func(summary *wire.DemandSummary, sent time.Time)
	// StreamOrigins returns the origins of streams that this process keeps, for a control instance that was just linked, nil if
	// there are none. OnVersions is called with each answer that tells of the software versions of pools. Neither may block.
	// Either may be nil.
	StreamOrigins func() *wire.StreamOrigins
	OnVersions    func(Versions)
	// OnConfirmed is called for each answer that a quorum confirmed while the directory lists this incarnation, with the
	// time since boot at which the poll was sent. It must not block. Nil means no calls.
	OnConfirmed func(sinceBoot time.Duration)
	// UsageWindow is the period that Usage covers.
	UsageWindow time.Duration
	// RegisterAfter, if not nil, delays the registration until it is closed.
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

// Session keeps the links to control instances: to all of a few, or to the leader and some others of many. Its methods
// may be called by several goroutines at the same time, and before Run.
type Session struct {
	cfg  Config
	view atomic.Pointer[View]
	// peers only grows. A stored slice is never changed; adding to it requires addMu.
	peers     atomic.Pointer[[]*peer]
	addMu     sync.Mutex
	startPeer func(*peer) // nil unless Run is active
	ids       atomic.Uint64

	mu                   sync.Mutex
	freshness            *Freshness
	leader               string
	highestSeenVersion   uint64 // highest configuration version seen on any message
	pendingConfirmations map[*peer]pendingConfirmation

	notifyMu    sync.Mutex
	subscribers []func(*View)

	versionsMu sync.Mutex // held while Config.OnVersions is called, so that the last call is the newest
	versions   VersionAnswers

	refreshedAt time.Time // when ConfirmSince last polled; guarded by mu

	originQueries sync.Map // chan *wire.StreamOriginReply by ID of the query

	registration *registration
	orders       *orders
	counters     counters
	reselect     chan struct{}           // capacity 1
	supersede    context.CancelCauseFunc // set by Run
}

// New returns a session. Run starts it.
func New(cfg Config) *Session {
	cfg = cfg.withDefaults()
	s := &Session{
		cfg:                  cfg,
		freshness:            NewFreshness(len(cfg.Controls), cfg.SilenceBound, time.Now()),
		reselect:             make(chan struct{}, 1),
		pendingConfirmations: make(map[*peer]pendingConfirmation),
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

// ErrSuperseded ends a session whose incarnation control does not accept again: the incarnation was ended after a silence,
// or a newer one of the same instance is registered. Only a new incarnation can continue.
var ErrSuperseded = errors.New("session: this incarnation was ended or replaced")

// Run maintains the links and the registration until ctx ends, and returns the cause, or ErrSuperseded.
func (s *Session) Run(ctx context.Context) error {
	ctx, s.supersede = context.WithCancelCause(ctx)
	defer s.supersede(nil)
	s.resetFreshness()
	var wg sync.WaitGroup
	s.startPeers(func(p *peer) { wg.Go(func() { p.run(ctx) }) })
	wg.Go(func() { s.runLinkSelection(ctx) })
	wg.Go(func() { s.register(ctx) })
	wg.Go(func() { s.runEvidence(ctx) })
	wg.Go(func() { s.runDemand(ctx) })
	<-ctx.Done()
	s.startPeers(nil)
	wg.Wait()
	return context.Cause(ctx)
}

// startPeers calls start for all peers, and for each peer that is added later. Nil starts no further peers.
func (s *Session) startPeers(start func(*peer)) {
	s.addMu.Lock()
	defer s.addMu.Unlock()
	s.startPeer = start
	if start == nil {
		return
	}
	for _, p := range s.knownPeers() {
		start(p)
	}
}

// knownPeers returns the known control instances.
func (s *Session) knownPeers() []*peer { return *s.peers.Load() }

// maxControls bounds the number of control instances that a session knows. A group has a handful of members at a time; the
// rest are members that were replaced while this process ran.
const maxControls = 32

// AddControls adds control instances by their link addresses, so that links to them may be opened. Known addresses and
// those beyond maxControls are ignored.
//
// Instances are replaced at other addresses while a process runs, so its settings may be out of date. A process that knew
// only its first three instances would lose control once the third of them is replaced.
func (s *Session) AddControls(addresses []string) {
	s.addMu.Lock()
	defer s.addMu.Unlock()
	for _, address := range addresses {
		known := s.knownPeers()
		if len(known) >= maxControls || slices.ContainsFunc(known, func(p *peer) bool { return p.address == address }) {
			continue
		}
		s.addPeer(known, address)
	}
}

// Addresses returns the link addresses of the known control instances.
func (s *Session) Addresses() []string {
	var addresses []string
	for _, p := range s.knownPeers() {
		addresses = append(addresses, p.address)
	}
	return addresses
}

// addPeer adds a control instance. The caller holds addMu.
func (s *Session) addPeer(known []*peer, address string) {
	added := newPeer(s, len(known), address)
	s.mu.Lock()
	s.freshness.Add(time.Now())
	peers := append(slices.Clone(known), added)
	s.peers.Store(&peers)
	s.mu.Unlock()
	s.cfg.Log.WithField("address", address).WithField("controls", len(peers)).Info("control_added")
	if s.startPeer != nil {
		s.startPeer(added)
	}
}

// resetFreshness restarts the silence bound at the start of Run.
func (s *Session) resetFreshness() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness = NewFreshness(len(s.knownPeers()), s.cfg.SilenceBound, time.Now())
}

// View returns the newest configuration and directory.
func (s *Session) View() *View {
	return s.view.Load()
}

// Config returns the version of the configuration and its classes sorted by name.
func (s *Session) Config() (uint64, []*wire.Class) {
	v := s.View()
	return v.ConfigVersion, sortedValues(v.Classes)
}

// Servers returns the agents with their backend servers, sorted by agent.
func (s *Session) Servers() []*wire.AgentRecord {
	return sortedValues(s.View().Agents)
}

func sortedValues[V any](m map[string]V) []V {
	list := make([]V, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[name])
	}
	return list
}

// Subscribe calls fn with the current view, and then with each new view, in order and one call at a time. fn must not
// block and must not call Subscribe.
func (s *Session) Subscribe(fn func(*View)) {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.subscribers = append(s.subscribers, fn)
	fn(s.View())
}

// update changes the view and notifies the subscribers.
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

// Ready returns nil when the process may take work: a quorum has confirmed the state that is in force here, this
// incarnation was registered, and the process is not cut off. Errors have code result.Starting or
// result.CutOffFromControl.
//
// A process that starts without state, or with the state of a control instance in a minority, would otherwise serve by
// classes that have long been replaced.
func (s *Session) Ready() error {
	s.mu.Lock()
	confirmed := s.freshness.IsConfirmed()
	s.mu.Unlock()
	if !confirmed {
		return result.New(result.Starting, "no quorum of control has confirmed the configuration yet")
	}
	if !s.registration.isRegistered.Load() {
		return result.New(result.Starting, "this instance isn't registered yet")
	}
	return s.CutOff()
}

// CutOff returns nil, or an error with code result.CutOffFromControl if the process may be cut off, see Freshness.
func (s *Session) CutOff() error {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.freshness.CutOff(now) {
		return nil
	}
	return result.New(result.CutOffFromControl, "%d of %d control instances are silent, and none was confirmed by a quorum",
		s.freshness.SilentInstances(now), len(s.knownPeers()))
}

// Reachability returns how each control instance responds, in the order of Config.Controls, then of AddControls.
func (s *Session) Reachability() []Reachability {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Reachability, len(s.knownPeers()))
	for i := range out {
		out[i] = s.freshness.Reachability(i, now)
	}
	return out
}

// ObserveVersion records a configuration version carried by a message of another process, and reports whether the
// configuration in force here is at least as new. On false the session polls for it; the caller must not act on the message
// until a view of that version arrives (see Subscribe), or it would mix two configurations.
func (s *Session) ObserveVersion(version uint64) bool {
	if version <= s.View().ConfigVersion {
		return true
	}
	s.mu.Lock()
	isNew := version > s.highestSeenVersion
	s.highestSeenVersion = max(s.highestSeenVersion, version)
	s.mu.Unlock()
	if isNew {
		s.counters.fetches.Inc()
		s.Refresh()
	}
	return false
}

// Refresh polls all linked control instances without waiting for the next interval.
func (s *Session) Refresh() {
	for _, p := range s.knownPeers() {
		p.poll()
	}
}

// Leader returns the name of the leader as far as known, or "".
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
		s.triggerReselect()
	}
}

// wantedLinks returns the number of control instances to which a link is wanted.
func (s *Session) wantedLinks() int {
	n := 0
	for _, p := range s.knownPeers() {
		if p.currentDemand().wanted {
			n++
		}
	}
	return n
}

// linkTiming returns the timing of the links, which bounds the backoff between dials. A link that is silent for the
// silence bound ends and is dialled again.
func (s *Session) linkTiming() link.Timing {
	return link.Timing{}.WithDefaults()
}
