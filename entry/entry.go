package entry

import (
	"context"
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
	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/logging"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/outbox"
	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/ring"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Options are what an entry takes besides its settings. Zero values mean the defaults.
type Options struct {
	// Network opens connections; the default is network.TCP.
	Network network.Network
	// Log takes the events; the default writes them to standard error.
	Log log.Interface
	// Now tells the time; the default is time.Now.
	Now func() time.Time
	// Policy is the scheduler's, for measurements.
	Policy sched.Policy
	// MaxOutstanding bounds the attempts at one server under a baseline policy, for measurements; 0 means the default.
	MaxOutstanding int
	// Seed starts the scheduler's random choices; 0 means the incarnation.
	Seed uint64
	// Callers makes the handler of the callers' listener; the default is the product's own interface.
	Callers func(*Entry) http.Handler
	// NewEngine makes the client of a backend server that has no agent beside it. With it the entry serves the plain
	// services that announce themselves to control through an agent of its own.
	NewEngine func(*wire.ServerRecord) (engine.Client, error)
	// Control replaces the session with control, for tests.
	Control Control
}

// Control is what an entry needs of its session with control. Package session gives it.
type Control interface {
	// Run keeps the session until ctx ends.
	Run(ctx context.Context) error
	// Propose has a command committed; see session.Session.Propose for its errors.
	Propose(ctx context.Context, command *wire.Command) (*wire.CommandResult, error)
	// View returns the newest configuration and directory, and Subscribe reports each new one.
	View() *session.View
	Subscribe(func(*session.View))
	// Ready tells whether requests may be admitted, CutOff whether control may have gone on without this process.
	Ready() error
	CutOff() error
	// ObserveVersion notes a configuration version that another process has shown.
	ObserveVersion(version uint64) bool
	// AddControls opens links to further control instances; Addresses returns those of all.
	AddControls(addresses []string)
	Addresses() []string
}

// Entry is an entry instance.
type Entry struct {
	settings    settings.Entry
	options     Options
	log         log.Interface
	now         func() time.Time
	network     network.Network
	incarnation uint64
	listener    net.Listener
	keys        *settings.Keyring
	operators   *settings.Keyring
	defaults    map[string]string // default class by organisation
	control     Control
	meter       *meter

	scheduler *sched.Scheduler // touched by the scheduler duty only
	inputs    *ring.Ring[input]
	calls     *calls
	flights   *flights
	links     *links
	prover    *prover
	outbox    *outbox.Outbox
	local     *localAgent // nil without one
	view      atomic.Pointer[catalogue]
	caps      *quota.Caps
	patience  *patience
	sequence  atomic.Uint64                       // of verbatim requests
	waiting   atomic.Pointer[[]sched.TargetQueue] // as of the last look, see report
	wanted    atomic.Uint64                       // highest configuration version that any process has shown

	successor  atomic.Pointer[Entry]     // the incarnation that followed on this one, nil while this one runs
	leaving    atomic.Bool               // says that it isn't ready, and still takes requests
	endBy      atomic.Pointer[time.Time] // when what is open is cut, nil unless leaving
	stopping   atomic.Bool
	active     atomic.Int64 // calls and flights in progress
	bodyBytes  atomic.Int64
	base       context.Context // ends when the duties do
	end        context.CancelFunc
	background sync.WaitGroup
	slots      chan struct{} // of background work for the scheduler
}

// New checks the settings and opens the listener for callers. Run has to follow, which closes it.
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
		settings:    s,
		options:     options,
		log:         options.Log,
		now:         options.Now,
		network:     options.Network,
		incarnation: uint64(options.Now().UnixNano()),
		keys:        keys,
		operators:   operators,
		defaults:    make(map[string]string),
		meter:       newMeter(),
		inputs:      ring.New[input]("scheduler", inputRing),
		calls:       newCalls(),
		patience:    newPatience(),
		slots:       make(chan struct{}, maxBackground),
	}
	times := quota.Clock{Now: options.Now, SinceBoot: clock.SinceBoot}
	e.caps = quota.NewCaps(s.Instance, e.incarnation, times, usageTolerance(s))
	for _, organisation := range s.Organisations {
		e.defaults[organisation.Name] = organisation.DefaultClass
	}
	e.flights = newFlights(e)
	e.view.Store(newCatalogue(&session.View{}))
	e.base, e.end = context.WithCancel(context.Background())
	if err := e.connect(options); err != nil {
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
	e.meter.watch(e)
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

// connect makes what talks to other processes.
func (e *Entry) connect(options Options) error {
	tls, err := e.settings.TLS.ClientConfig()
	if err != nil {
		return errors.Wrap(err, "entry")
	}
	e.links = newLinks(e, tls)
	e.prover = newProver(e)
	if options.NewEngine != nil {
		if e.local, err = newLocalAgent(e); err != nil {
			return err
		}
	}
	e.control = options.Control
	if e.control != nil {
		return nil
	}
	e.control = session.New(session.Config{
		Instance:     e.settings.Instance,
		Role:         wire.Role_ROLE_ENTRY,
		Incarnation:  e.incarnation,
		Zone:         e.settings.AvailabilityZone,
		Controls:     e.settings.Controls,
		Network:      e.network,
		TLS:          tls,
		SilenceBound: e.settings.Timing.CutOff,
		Report:       e.report,
		Usage:        e.caps.Usage,
		OnCaps:       e.caps.ApplyStates,
		OnConfirmed:  e.caps.RenewLease,
		UsageWindow:  e.settings.Timing.UsageWindow,
		Log:          e.log,
		Metrics:      e.meter.set,
	})
	return nil
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
	}
}

// CallersAddr returns the address, IP:port, where callers connect.
func (e *Entry) CallersAddr() string {
	return e.listener.Addr().String()
}

// Run serves until ctx ends, then lets what is in flight finish, for settings.Timing.Drain at most, and returns nil. It
// may be called once. An error means that a duty failed.
func (e *Entry) Run(ctx context.Context) error {
	return e.runIncarnations(ctx)
}

// runIncarnation runs this incarnation's duties.
func (e *Entry) runIncarnation(ctx context.Context) error {
	defer e.background.Wait()
	defer e.end()
	e.log.WithField("instance", e.settings.Instance).WithField("callers", e.CallersAddr()).Info("entry_started")
	e.control.Subscribe(e.links.viewChanged)

	var group run.Group
	e.add(&group, e.schedulerDuty)
	e.add(&group, e.control.Run)
	e.add(&group, e.links.run)
	e.add(&group, e.sharesDuty)
	e.add(&group, e.outbox.Run)
	e.add(&group, e.httpDuty)
	if e.local != nil {
		e.add(&group, e.local.run)
	}
	stop := func(own context.Context) error { return e.stopDuty(ctx, own) }
	e.add(&group, stop)
	err := group.Run()
	e.calls.failAll()
	if ctx.Err() != nil {
		err = nil
	}
	e.log.WithField("instance", e.settings.Instance).WithField("error", err).Info("entry_stopped")
	return err
}

// add runs a duty in the group with a context that ends when the first duty has.
func (e *Entry) add(group *run.Group, duty func(context.Context) error) {
	ctx, cancel := context.WithCancel(e.base)
	group.Add(func() error { return duty(ctx) }, func(error) { cancel() })
}

// stopDuty waits for the order to stop, or for the end of the other duties.
func (e *Entry) stopDuty(order, own context.Context) error {
	select {
	case <-order.Done():
	case <-own.Done():
		return nil
	}
	e.leave(own)
	e.stopping.Store(true)
	e.log.WithField("active", e.active.Load()).Info("entry_stopping")
	if !e.drain(own) {
		// What is still open is cut now, while the callers' connections can be closed in order.
		e.calls.failAll()
	}
	e.deregister(own)
	return nil
}

// leave lets the balancer notice before anything is refused.
//
// A balancer goes on sending connections until it has asked for readiness again. Refused at once, their callers would
// hear of a shutdown that they have nothing to do with.
func (e *Entry) leave(ctx context.Context) {
	if e.settings.Timing.Leave <= 0 {
		return
	}
	end := time.Now().Add(e.settings.Timing.Leave + e.settings.Timing.Drain)
	e.endBy.Store(&end)
	e.leaving.Store(true)
	e.log.WithField("active", e.active.Load()).WithField("for", e.settings.Timing.Leave).Info("entry_leaving")
	pause.For(ctx, e.settings.Timing.Leave)
}

// drain waits until nothing is in flight. It returns false at the end of timing.drain.
func (e *Entry) drain(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, e.settings.Timing.Drain)
	defer cancel()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for e.active.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			e.log.WithField("active", e.active.Load()).Warn("drain_timed_out")
			return false
		}
	}
	return true
}

// deregister tells control that this incarnation is gone, so that its open records may be taken over at once.
func (e *Entry) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	command := &wire.Command{Kind: &wire.Command_EndEntry{EndEntry: &wire.EndEntry{
		Entry:       e.settings.Instance,
		Incarnation: e.incarnation,
	}}}
	if _, err := e.control.Propose(ctx, command); err != nil {
		e.log.WithError(err).Warn("deregister_failed")
	}
}

// hello is this entry's hello on links.
func (e *Entry) hello() *wire.EntryHello {
	return &wire.EntryHello{
		Entry:            e.settings.Instance,
		Incarnation:      e.incarnation,
		AvailabilityZone: e.settings.AvailabilityZone,
		ConfigVersion:    e.view.Load().version,
	}
}
