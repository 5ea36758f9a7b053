package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/oklog/run"

	"github.com/carawaypitch/carawaypitch/clock"
	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/inbound"
	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/logging"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/origin"
	"github.com/carawaypitch/carawaypitch/outbox"
	"github.com/carawaypitch/carawaypitch/process"
	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/ring"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Options configure an entry in addition to its settings. Zero values select the defaults.
type Options struct {
	// Network opens connections; the default is network.TCP.
	Network network.Network
	// Log receives log events; the default writes them to standard error.
	Log log.Interface
	// Now returns the current time; the default is time.Now.
	Now func() time.Time
	// Policy is the scheduling policy, for measurements.
	Policy sched.Policy
	// MaxOutstanding bounds the attempts at one server under a baseline policy, for measurements; 0 means the default.
	MaxOutstanding int
	// Seed seeds the scheduler's random choices; 0 means the incarnation.
	Seed uint64
	// Callers returns the handler of the callers' listener; the default is the product's own HTTP interface.
	Callers func(*Entry) http.Handler
	// NewEngine returns a client for a backend server that has no agent. If it is set, the entry runs a local agent
	// that serves the plain services announced to control. If it is nil, there is no local agent.
	NewEngine func(*wire.ServerRecord) (engine.Client, error)
	// Control replaces the session with control, for tests.
	Control Control
	// Inbound is the budget of all listeners of the process; the default is one of settings.Inbound.
	Inbound *inbound.Budget
}

// Control is the part of a session with control that an entry uses. Package session implements it.
type Control interface {
	// Run maintains the session until ctx ends.
	Run(ctx context.Context) error
	// Propose commits a command; see session.Session.Propose for its errors.
	Propose(ctx context.Context, command *wire.Command) (*wire.CommandResult, error)
	// View returns the newest configuration and directory; Subscribe calls the function with each new one.
	View() *session.View
	Subscribe(func(*session.View))
	// Ready returns nil if requests may be admitted. CutOff returns an error if control may have moved on without this
	// process.
	Ready() error
	CutOff() error
	// ObserveVersion records a configuration version reported by another process.
	ObserveVersion(version uint64) bool
	// AddControls opens links to further control instances; Addresses returns the addresses of all.
	AddControls(addresses []string)
	Addresses() []string
	// HeardAt returns until when control can't have changed the directory unknown to this process. ConfirmSince waits until that is
	// no earlier than a time, and reports whether it is. ReportStreamOrigins and
	// LookUpStreamOrigin tell and ask which software versions began streams; see session.Session.
	HeardAt() time.Time
	ConfirmSince(context.Context, time.Time) bool
	ReportStreamOrigins(*wire.StreamOrigins)
	LookUpStreamOrigin(context.Context, origin.Key) *wire.StreamOriginReply
}

// Entry is an entry instance.
type Entry struct {
	settings       settings.Entry
	options        Options
	log            log.Interface
	now            func() time.Time
	network        network.Network
	incarnation    uint64
	started        time.Time
	listener       net.Listener
	keys           *settings.Keyring
	operators      *settings.Keyring
	defaultClasses map[string]string // default class by organisation
	control        Control
	meter          *meter

	scheduler        *sched.Scheduler // accessed by the scheduler goroutine only
	inputs           *ring.Ring[input]
	calls            *calls
	inflight         *inflightKeys
	requests         *openRequests
	links            *links
	prover           *prover
	outbox           *outbox.Outbox
	localAgent       *localAgent // nil if there is none
	catalogue        atomic.Pointer[catalogue]
	caps             *quota.Caps
	callerTimeouts   *timeoutTracker
	memory           *callMemory // nil if what is held is not counted
	origins          *streamOrigins
	contact          controlContact
	rollouts         rolloutState
	demand           demandState
	verbatimSequence atomic.Uint64                       // of verbatim requests
	targetQueues     atomic.Pointer[[]sched.TargetQueue] // as of the last sampleQueues
	highestVersion   atomic.Uint64                       // highest configuration version reported by any process

	successor       atomic.Pointer[Entry]     // the incarnation that replaced this one, nil while this one runs
	leaving         atomic.Bool               // reports not ready, but still admits requests
	drainDeadline   atomic.Pointer[time.Time] // when in-flight requests are cut, nil unless leaving
	stopping        atomic.Bool
	active          atomic.Int64 // calls and in-flight keys
	inFlight        atomic.Int64 // attempts at servers
	congestion      congestion
	intake          intake
	phases          phasesReached
	bodyBytes       atomic.Int64
	runContext      context.Context // ends when Run's goroutines are to end
	cancelRun       context.CancelFunc
	background      sync.WaitGroup
	backgroundSlots chan struct{} // limit background work started by the scheduler
}

// New validates the settings and opens the listener for callers. Run must be called afterwards; it closes the listener.
func New(s settings.Entry, options Options) (*Entry, error) {
	e, err := build(s, options)
	if err != nil {
		return nil, err
	}
	e.listener, err = e.listen()
	if err != nil {
		return nil, err
	}
	return e, nil
}

func build(s settings.Entry, options Options) (*Entry, error) {
	if s.Limits.MaxBody > link.MaxBody {
		return nil, errors.Errorf("entry: limits.max_body is over %d bytes", link.MaxBody)
	}
	options = options.withDefaults(s)
	keys, err := settings.NewKeyring(s.Organisations)
	if err != nil {
		return nil, errors.Wrap(err, "entry")
	}
	operators, err := settings.NewOperatorKeyring(s.Operators)
	if err != nil {
		return nil, errors.Wrap(err, "entry")
	}
	e := &Entry{
		settings:        s,
		options:         options,
		log:             options.Log,
		now:             options.Now,
		network:         options.Network,
		incarnation:     uint64(options.Now().UnixNano()),
		started:         options.Now(),
		keys:            keys,
		operators:       operators,
		defaultClasses:  make(map[string]string),
		meter:           newMeter(),
		inputs:          ring.New[input]("scheduler", inputRingSize),
		calls:           newCalls(),
		callerTimeouts:  newTimeoutTracker(),
		backgroundSlots: make(chan struct{}, maxBackground),
	}
	if e.options.Inbound == nil { // the next incarnation of the process uses the same
		e.options.Inbound = process.NewBudget(s.Inbound, e.log, e.meter.set)
	}
	e.requests = newOpenRequests(e.log, &e.stopping)
	e.memory = newCallMemory(s.Memory, e.log, e.meter, e.now)
	clocks := quota.Clock{Now: options.Now, SinceBoot: clock.SinceBoot}
	e.caps = quota.NewCaps(s.Instance, e.incarnation, clocks, usageTolerance(s))
	for _, organisation := range s.Organisations {
		e.defaultClasses[organisation.Name] = organisation.DefaultClass
	}
	e.inflight = newInflightKeys(e)
	e.catalogue.Store(newCatalogue(&session.View{}))
	e.runContext, e.cancelRun = context.WithCancel(context.Background())
	if err := e.buildConnections(options); err != nil {
		return nil, err
	}
	e.outbox = outbox.New(outbox.Options{
		Log:       e.log,
		Propose:   e.control.Propose,
		OnRetry:   func() { e.meter.add(metricOutboxRetries, 1) },
		OnRefused: func(string) { e.meter.add(metricOutboxRefused, 1) },
	})
	e.scheduler, err = sched.New(e.schedulerOptions(options))
	if err != nil {
		return nil, errors.Wrap(err, "entry")
	}
	e.meter.registerGauges(e)
	e.meter.declare(s.Organisations)
	return e, nil
}

func (o Options) withDefaults(s settings.Entry) Options {
	if o.Network == nil {
		o.Network = network.TCP{}
	}
	if o.Log == nil {
		o.Log = logging.New(s.Log.Level, os.Stderr)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// buildConnections creates the components that communicate with other processes.
func (e *Entry) buildConnections(options Options) error {
	config, err := e.settings.TLS.ClientConfig()
	if err != nil {
		return errors.Wrap(err, "entry")
	}
	e.links = newLinks(e, config)
	e.prover = newProver(e)
	if options.NewEngine != nil {
		if e.localAgent, err = newLocalAgent(e); err != nil {
			return err
		}
	}
	e.control = options.Control
	if e.control == nil {
		e.control = e.newSession(config)
	}
	e.origins = newStreamOrigins(e.now, e.control, e.calls.list)
	return nil
}

// newSession returns the session with control.
func (e *Entry) newSession(config *tls.Config) *session.Session {
	return session.New(session.Config{
		Instance:     e.settings.Instance,
		Role:         wire.Role_ROLE_ENTRY,
		Incarnation:  e.incarnation,
		Zone:         e.settings.AvailabilityZone,
		Controls:     e.settings.Controls,
		Network:      e.network,
		TLS:          config,
		SilenceBound: e.settings.Timing.CutOff,
		Report:       e.report,
		Usage:        e.caps.Usage,
		OnCaps:       e.caps.ApplyStates,
		OnConfirmed:  e.controlConfirmed,
		Evidence:     e.rolloutEvidence,
		Demand:       e.demandSource(),
		OnDemand:     e.applyFleetDemand,
		UsageWindow:  e.settings.Timing.UsageWindow,

		StreamOrigins: func() *wire.StreamOrigins { return e.origins.all() },
		OnVersions:    func(v session.Versions) { e.origins.versionsChanged(v) },

		Log:     e.log,
		Metrics: e.meter.set,
	})
}

func (e *Entry) schedulerOptions(options Options) sched.Options {
	seed := options.Seed
	if seed == 0 {
		seed = e.incarnation
	}
	return sched.Options{
		Policy:           options.Policy,
		MaxOutstanding:   options.MaxOutstanding,
		Entry:            e.settings.Instance,
		AvailabilityZone: e.settings.AvailabilityZone,
		Seed:             seed,
		Reservations:     e.settings.Limits.MaxReservations,
		MaxQueued:        e.settings.Limits.MaxQueued,
		MaxAnswerBytes:   int(e.settings.Limits.MaxAnswer),
		LeaseDuration:    e.settings.Timing.Lease,
		RetryRatio:       e.settings.Limits.RetryRatio,
		RetryWindow:      e.settings.Timing.RetryWindow,
		RetryAllowance:   e.settings.Limits.RetryAllowance,
		ExposureShare:    e.settings.Rollout.ExposureShare,
		ControlSilence:   e.controlSilence(),
		Forecast:         e.settings.Admission.Forecast,
		RetryAdvice:      e.settings.Admission.RetryAdvice,
		LongTermShare:    e.settings.Admission.LongTermShare,
		FleetDemand:      e.settings.Admission.FleetDemand,
		ByLength:         e.settings.Placement.ByLength,
	}
}

// Inbound returns the budget of all listeners of the process.
func (e *Entry) Inbound() *inbound.Budget { return e.options.Inbound }

// CallersAddr returns the address, IP:port, where callers connect.
func (e *Entry) CallersAddr() string {
	return e.listener.Addr().String()
}

// Run serves until ctx ends, then waits for in-flight requests, for settings.Timing.Drain at most, and returns nil. It
// may be called once. It returns an error if one of its goroutines fails.
func (e *Entry) Run(ctx context.Context) error {
	return e.runIncarnations(ctx)
}

// runIncarnation runs the goroutines of this incarnation.
func (e *Entry) runIncarnation(ctx context.Context) error {
	defer e.background.Wait()
	defer e.cancelRun()
	e.log.WithField("instance", e.settings.Instance).WithField("callers", e.CallersAddr()).Info("entry_started")
	e.control.Subscribe(e.links.viewChanged)
	e.control.Subscribe(e.origins.viewChanged)

	var group run.Group
	e.addActor(&group, e.runScheduler)
	e.addActor(&group, e.control.Run)
	e.addActor(&group, e.links.run)
	e.addActor(&group, e.runShares)
	e.addActor(&group, e.outbox.Run)
	e.addActor(&group, e.runHTTP)
	if e.memory != nil {
		e.addActor(&group, e.runReaders)
	}
	if e.localAgent != nil {
		e.addActor(&group, e.localAgent.run)
	}
	stop := func(groupContext context.Context) error { return e.runStop(ctx, groupContext) }
	e.addActor(&group, stop)
	err := group.Run()
	e.calls.failAll()
	if ctx.Err() != nil {
		err = nil
	}
	e.log.WithField("instance", e.settings.Instance).WithField("error", err).Info("entry_stopped")
	return err
}

// addActor adds a function to the group with a context that ends when the first function of the group returns.
func (e *Entry) addActor(group *run.Group, execute func(context.Context) error) {
	ctx, cancel := context.WithCancel(e.runContext)
	group.Add(func() error { return execute(ctx) }, func(error) { cancel() })
}

// hello returns the hello message that this entry sends on links.
func (e *Entry) hello() *wire.EntryHello {
	return &wire.EntryHello{
		Entry:            e.settings.Instance,
		Incarnation:      e.incarnation,
		AvailabilityZone: e.settings.AvailabilityZone,
		ConfigVersion:    e.catalogue.Load().version,
	}
}
