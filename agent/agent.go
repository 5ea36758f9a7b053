package agent

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/inbound"
	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/outbox"
	"github.com/carawaypitch/carawaypitch/process"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// ErrSuperseded ends an agent whose instance name is in use by a newer incarnation: another process with the same
// settings, or this one restarted after its clock was set back. If both went on, each would cancel the other's streams
// as left over from an earlier incarnation at its next restart.
var ErrSuperseded = errors.New("agent: a newer incarnation of this instance is registered")

// ErrDrainTimeout ends a stopping agent whose servers were not drained within timing.drain. The next incarnation
// cancels the attempts that were still running.
var ErrDrainTimeout = errors.New("agent: attempts were in flight at the end of the drain timeout")

// Options configure an agent beyond its settings. Zero values select the defaults.
type Options struct {
	// Network connects to other processes and engines. Default: network.TCP.
	Network network.Network
	// Log receives one entry for each event. Default: entries are discarded.
	Log log.Interface
	// NewEngine returns the client of an announced backend server, whose address is a base URL. Default: engine.HTTP.
	NewEngine func(record *wire.ServerRecord) (engine.Client, error)

	// Control replaces the session with control, for an agent that is embedded in another daemon. Nil means an own
	// session.
	Control Control
	// Select chooses the servers of this agent among those that announce themselves to control; AtAddress and OfKind
	// return such functions. If it is set, the agent follows these announcements instead of those at its own address.
	Select func(*session.View) []*wire.Announcement
	// ServerAddress is the address, IP:port, with which the backend server beside this agent announces itself. If it
	// is set, the agent takes this server from control's announcements as with Select, and control sends it no others.
	ServerAddress string
	// Senders returns the number of agents that send to the servers of this one and share their rate limits. Default:
	// 1.
	Senders func(*session.View) int
	// MaxServers bounds the backend servers known at a time, including those that left recently. Default: maxServers.
	MaxServers int

	// newSession returns the session with control. Default: session.New.
	newSession func(session.Config) Control
}

// Agent is the daemon beside a backend server. It is created by New and run once.
type Agent struct {
	settings    settings.Agent
	network     network.Network
	log         log.Interface
	incarnation uint64
	started     time.Time

	httpListener net.Listener
	linkListener net.Listener
	linkTLS      *tls.Config
	inbound      *inbound.Budget
	answers      *gate.AnswerBudget // kept for resending

	meter   *meter
	credits *credits
	held    *held // nil if nothing is counted
	origins *streamOrigins
	ready   *readiness
	session Control
	links   *link.EntryServer
	servers *servers
	orders  *orders
	reports *outbox.Outbox

	// baseContext ends after the drain, when the agent stops everything that still runs. It is set by Run.
	baseContext context.Context
	cancelBase  context.CancelFunc
	tasks       sync.WaitGroup // goroutines outside of the run group

	directoryConfirmed atomic.Bool   // whether a quorum has confirmed the directory
	recovered          chan struct{} // closed when this incarnation may register and accept entries
	serversChanged     chan struct{} // holds at most one signal
	viewChanged        chan struct{} // holds at most one signal

	senders   func(*session.View) int
	follow    followState          // used by followLoop only
	directory []*wire.ServerRecord // what control was sent last; used by directoryLoop only
}

// New returns an agent that listens at both of its addresses but serves nothing yet. It fails if an address can't be
// listened at or the TLS files can't be loaded.
func New(s settings.Agent, options Options) (*Agent, error) {
	a := &Agent{
		settings:       s,
		network:        options.Network,
		log:            options.Log,
		incarnation:    uint64(time.Now().UnixNano()),
		started:        time.Now(),
		meter:          newMeter(),
		credits:        newCredits(),
		held:           newHeld(int64(s.Memory.HeldBytes)),
		origins:        newStreamOrigins(time.Now),
		recovered:      make(chan struct{}),
		serversChanged: make(chan struct{}, 1),
		viewChanged:    make(chan struct{}, 1),
	}
	if a.network == nil {
		a.network = network.TCP{}
	}
	if a.log == nil {
		a.log = discardLog()
	}
	newEngine := options.NewEngine
	if newEngine == nil {
		newEngine = a.httpEngines()
	}
	clientTLS, err := a.loadTLS()
	if err != nil {
		return nil, err
	}
	if err := a.listen(); err != nil {
		return nil, err
	}
	if options.newSession == nil {
		options.newSession = func(c session.Config) Control { return session.New(c) }
	}
	if options.MaxServers == 0 {
		options.MaxServers = maxServers
	}
	if options.ServerAddress != "" {
		options.Select = AtAddress(options.ServerAddress)
	}
	if a.senders = options.Senders; a.senders == nil {
		a.senders = func(*session.View) int { return 1 }
	}
	a.follow = followState{selectServers: options.Select, ended: make(map[string]serverEnd)}
	if a.session = options.Control; a.session == nil {
		a.session = options.newSession(a.sessionConfig(clientTLS, options.ServerAddress))
		a.origins.tell = a.session.ReportStreamOrigins
	}
	a.initComponents(newEngine, options.MaxServers)
	return a, nil
}

func discardLog() log.Interface {
	handler := log.HandlerFunc(func(*log.Entry) error { return nil })
	return &log.Logger{Handler: handler, Level: log.FatalLevel}
}

func (a *Agent) loadTLS() (*tls.Config, error) {
	server, err := a.settings.TLS.ServerConfig()
	if err != nil {
		return nil, err
	}
	a.linkTLS = server
	return a.settings.TLS.ClientConfig()
}

func (a *Agent) listen() error {
	var err error
	if a.httpListener, err = a.network.Listen(a.settings.Listen.HTTP); err != nil {
		return errors.Wrap(err, "agent: listen.http")
	}
	if a.linkListener, err = a.network.Listen(a.settings.Listen.Links); err != nil {
		_ = a.httpListener.Close()
		return errors.Wrap(err, "agent: listen.links")
	}
	a.inbound = process.NewBudget(a.settings.Inbound, a.log, a.meter.set)
	a.answers = gate.NewAnswerBudget(int64(a.settings.Limits.KeptAnswers))
	a.meter.set.GetOrCreateGauge("carawaypitch_kept_answer_bytes", func() float64 { return float64(a.answers.Used()) })
	a.httpListener, a.linkListener = a.inbound.Listen(a.httpListener), a.inbound.ListenLinks(a.linkListener)
	return nil
}

// HTTPAddr returns the address, IP:port, at which backend servers announce themselves.
func (a *Agent) HTTPAddr() string {
	return a.httpListener.Addr().String()
}

// LinkAddr returns the address, IP:port, at which entries connect.
func (a *Agent) LinkAddr() string {
	return a.linkListener.Addr().String()
}

// AddControls opens links to further control instances by their link addresses.
func (a *Agent) AddControls(addresses []string) {
	a.session.AddControls(addresses)
}

// initComponents creates the components and connects them.
func (a *Agent) initComponents(newEngine func(*wire.ServerRecord) (engine.Client, error), serverLimit int) {
	a.ready = &readiness{control: a.session.Ready}
	a.links = a.newEntryServer()
	a.meter.registerHeld(a.held)
	a.reports = outbox.New(outbox.Options{
		Log:       a.log,
		Propose:   a.session.Propose,
		OnRetry:   func() { a.meter.retried(retryReport) },
		OnRefused: a.meter.ringRefused,
	})
	a.servers = newServers(serverDeps{
		log:                a.log,
		meter:              a.meter,
		timing:             a.settings.Timing,
		ready:              a.ready,
		links:              linkSender{a.links},
		newEngine:          newEngine,
		newGate:            a.newGate,
		spawn:              a.spawn,
		onChange:           a.signalServerChanged,
		report:             a.reports.Put,
		propose:            a.session.Propose,
		advice:             func(server string) *wire.ServerAdvice { return a.session.View().Advice[server] },
		uniqueNamePerStart: a.follow.selectServers != nil,
		credits:            a.credits,
		held:               a.held,
		origins:            a.origins,
		senderCount:        func() int { return a.senders(a.session.View()) },
	}, a.startServer, serverLimit)
	a.orders = newOrders(orderDeps{
		log:     a.log,
		meter:   a.meter,
		fence:   &fence{view: a.session.View},
		ready:   a.ready,
		servers: a.servers,
		spawn:   a.spawn,
		report:  a.session.Report,
	})
}

func (a *Agent) newGate() serverGate {
	timing, limits := a.settings.Timing, a.settings.Limits
	return gate.New(gate.Config{
		OfferTimeout:      timing.Offer,
		TombstoneLifetime: timing.Tombstone,
		SilentAfter:       timing.Silent,
		MaxRecords:        limits.MaxTombstones,
		MaxWaiting:        limits.MaxReservations,
		UnprovenHold:      timing.UnprovenHold,
		SlowRatio:         limits.SlowRatio,
		SlotsFloor:        limits.SlotsFloor,

		Reporter:           a.settings.Instance,
		UniqueNamePerStart: a.follow.selectServers != nil,
		UnlistedSettle:     timing.UnlistedSettle,
		ProcessStarted:     a.started,
		TrialAtStart:       true,
		Suspension:         a.suspensionConfig(),
		FewServersFirst:    a.settings.Placement.FewServersFirst,
		UpperOutput:        a.settings.Memory.UpperOutput,
		Answers:            a.answers,
	})
}

// suspensionConfig returns the settings of the gates for the suspension of runs.
func (a *Agent) suspensionConfig() gate.SuspensionConfig {
	return gate.SuspensionConfig{
		Enabled:   a.settings.Suspension.Enabled,
		MaxPerRun: a.settings.Suspension.MaxPerRun,
	}
}

// unfinishedAnswers bounds what answers take while they are read, as a number of answers of the largest size.
const unfinishedAnswers = 4

// httpEngines returns the constructor of clients of engines that speak the protocol of engine.HTTP.
func (a *Agent) httpEngines() func(*wire.ServerRecord) (engine.Client, error) {
	options := engine.HTTPOptions{
		MaxAnswerBytes: int64(a.settings.Limits.MaxAnswer),
		Network:        a.network,
		Budget:         framing.NewBudget(unfinishedAnswers * int64(a.settings.Limits.MaxAnswer)),
	}
	if a.held != nil {
		options.WriteTimeout = a.settings.Memory.ReaderTimeout
		options.ReadBufferBytes = engineReadBuffer
	}
	return func(record *wire.ServerRecord) (engine.Client, error) {
		return engine.NewHTTP(record.GetAddress(), options)
	}
}

func (a *Agent) sessionConfig(clientTLS *tls.Config, serverAddress string) session.Config {
	config := session.Config{
		Instance:    a.settings.Instance,
		Role:        wire.Role_ROLE_AGENT,
		Incarnation: a.incarnation,
		Zone:        a.settings.AvailabilityZone,
		LinkAddress: a.advertisedAddress(),

		ServerAddress: serverAddress,
		Controls:      a.settings.Controls,
		Network:       a.network,
		TLS:           clientTLS,
		PollInterval:  min(a.settings.Timing.CutOff/pollsPerCutOff, session.DefaultPollInterval),
		SilenceBound:  a.settings.Timing.CutOff,
		Log:           a.log,
		Metrics:       a.meter.set,
		StreamOrigins: a.origins.all,
		OnVersions:    a.origins.versionsChanged,
	}
	if a.follow.selectServers != nil {
		config.RegisterAfter = a.recovered
	}
	return config
}

// advertisedAddress returns the address, IP:port, that entries dial. A configured port of 0 is replaced by the port
// that the listener got.
func (a *Agent) advertisedAddress() string {
	host, port, err := net.SplitHostPort(a.settings.Advertise)
	if err != nil {
		return a.LinkAddr()
	}
	if port != "0" {
		return a.settings.Advertise
	}
	_, listenPort, err := net.SplitHostPort(a.LinkAddr())
	if err != nil {
		return a.LinkAddr()
	}
	return net.JoinHostPort(host, listenPort)
}
