package control

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/oklog/run"
	"storj.io/drpc/drpcmux"

	"github.com/carawaypitch/carawaypitch/demand"
	"github.com/carawaypitch/carawaypitch/inbound"
	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/process"
	"github.com/carawaypitch/carawaypitch/quorum/journal"
	"github.com/carawaypitch/carawaypitch/quorum/replica"
	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Options holds what settings cannot express. The zero value is usable.
type Options struct {
	// Network opens and accepts connections; nil means network.TCP.
	Network network.Network
	// Log receives events; nil discards them.
	Log log.Interface
	// FS is the file system of the data folder; nil means that of the operating system.
	FS journal.FS
	// Metrics receives the daemon's metrics; nil means a new set.
	Metrics *metrics.Set
	// Operators returns the handler of the operators' listener; nil means the interface that this package implements.
	Operators func(*Control) http.Handler
	// Seed seeds the randomised election timeouts; zero means a random seed.
	Seed uint64
}

// Control is a control instance, created by New.
type Control struct {
	settings settings.Control
	options  Options
	log      log.Interface

	replica         *replica.Replica
	machine         *stateMachine
	peers           *peers
	reads           *readConfirmer
	sessions        *sessions
	reports         *reports
	usage           *quota.Ledger
	demand          *demand.Ledger
	origins         *streamOrigins
	usageFile       *usageFile
	foreignMessages foreignMessages
	leader          *leader
	announcements   *announcementBatcher
	rollouts        *rollouts
	keys            *settings.Keyring
	counters        counters

	linkListener, operatorsListener net.Listener
	linkTLS, dialTLS                *tls.Config
	http                            *http.Server
	inbound                         *inbound.Budget

	stopping  atomic.Bool
	proposals semaphore // in progress
	rounds    proposalRounds
}

// New opens the data folder and the listeners. The caller must call Run or Close afterwards. It returns errors of the
// journal and of the listeners, and errors about key digests and TLS files in the settings.
func New(s settings.Control, options Options) (*Control, error) {
	c := &Control{settings: s, options: options.withDefaults()}
	c.log = c.options.Log
	c.machine = newStateMachine()
	c.proposals = newSemaphore(maxProposals)
	c.peers = newPeers(c)
	c.reads = newReadConfirmer(c)
	c.sessions = newSessions(c)
	c.reports = newReports()
	c.usage = quota.NewLedger(c.capOf, c.heldByOthers)
	c.demand = demand.NewLedger()
	c.origins = newStreamOrigins()
	c.usageFile = newUsageFile(s, c.options.FS)
	c.leader = newLeader(c)
	c.announcements = newAnnouncementBatcher(c)
	c.rollouts = newRollouts(c)
	if err := c.open(); err != nil {
		c.Close()
		return nil, err
	}
	c.counters = newCounters(c)
	if c.options.Operators == nil {
		c.options.Operators = (*Control).routes
	}
	c.http = c.inbound.NewServer(c.options.Operators(c), operatorTimeouts)
	return c, nil
}

// operatorTimeouts bound the steps of the calls of operators and backend servers.
var operatorTimeouts = inbound.Timeouts{Header: 10 * time.Second, Read: 30 * time.Second, Write: time.Minute, Idle: 2 * time.Minute}

func (o Options) withDefaults() Options {
	if o.Network == nil {
		o.Network = network.TCP{}
	}
	if o.Log == nil {
		o.Log = &log.Logger{Handler: log.HandlerFunc(func(*log.Entry) error { return nil }), Level: log.FatalLevel}
	}
	if o.FS == nil {
		o.FS = journal.OS()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return o
}

func (c *Control) open() (err error) {
	if c.keys, err = settings.NewOperatorKeyring(c.settings.Operators); err != nil {
		return err
	}
	if c.linkTLS, err = c.settings.TLS.ServerConfig(); err != nil {
		return err
	}
	if c.dialTLS, err = c.settings.TLS.ClientConfig(); err != nil {
		return err
	}
	if c.linkListener, err = c.options.Network.Listen(c.settings.Listen.Links); err != nil {
		return errors.Wrap(err, "control: listen.links")
	}
	c.inbound = process.NewBudget(c.settings.Inbound, c.log, c.options.Metrics)
	c.linkListener = c.inbound.ListenLinks(c.linkListener)
	if c.operatorsListener, err = c.listenOperators(); err != nil {
		return err
	}
	if c.replica, err = replica.New(c.replicaConfig()); err != nil {
		return err
	}
	c.rounds.submit = c.replica.Submit
	if err := c.usageFile.load(c.usage, time.Now()); err != nil {
		c.log.WithError(err).Warn("usage_not_loaded")
	}
	return nil
}

func (c *Control) listenOperators() (net.Listener, error) {
	config, err := c.settings.OperatorTLS.ServerConfig()
	if err != nil {
		return nil, err
	}
	listener, err := c.options.Network.Listen(c.settings.Listen.Operators)
	if err != nil {
		return nil, errors.Wrap(err, "control: listen.operators")
	}
	if config == nil {
		return c.inbound.Listen(listener), nil
	}
	return tls.NewListener(c.inbound.ListenForTLS(listener), config), nil
}

// Close releases what New opened. It is for a control instance on which Run was never called.
func (c *Control) Close() error {
	var errs []error
	for _, listener := range []net.Listener{c.linkListener, c.operatorsListener} {
		if listener != nil {
			errs = append(errs, listener.Close())
		}
	}
	if c.replica != nil {
		errs = append(errs, c.replica.Close())
	}
	return errors.Join(errs...)
}

// LinkAddr returns the address of the links listener.
func (c *Control) LinkAddr() string { return c.linkListener.Addr().String() }

// OperatorsAddr returns the address of the operators' HTTP listener.
func (c *Control) OperatorsAddr() string { return c.operatorsListener.Addr().String() }

// Metrics returns the set that holds the daemon's metrics.
func (c *Control) Metrics() *metrics.Set { return c.options.Metrics }

// advertise returns the link address that other processes dial: the configured one, or the listener's own if the
// configured address has port 0 or cannot be split.
func (c *Control) advertise() string {
	_, port, err := net.SplitHostPort(c.settings.Advertise)
	if err != nil || port == "0" {
		return c.LinkAddr()
	}
	return c.settings.Advertise
}

// Run serves until ctx ends, then shuts down in order and returns nil. Any other end returns an error, such as a
// damaged journal.
func (c *Control) Run(ctx context.Context) error {
	var g run.Group
	add := func(actor func(context.Context) error) {
		ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		g.Add(func() error { return actor(ctx) }, func(error) { cancel() })
	}
	add(c.runReplica)
	add(c.serveLinks)
	add(c.peers.run)
	add(c.reads.run)
	add(c.sessions.runPushes)
	add(c.leader.run)
	add(c.announcements.run)
	add(c.rollouts.run)
	add(c.runUsageFile)
	add(c.runReleases)
	add(c.serveOperators)
	stopCtx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return c.stop(stopCtx, ctx) }, func(error) { cancel() })
	c.log.WithField("instance", c.settings.Instance).
		WithField("operators", c.OperatorsAddr()).
		WithField("links", c.LinkAddr()).
		Info("control_started")
	err := g.Run()
	if errors.Is(err, errStopped) {
		err = nil
	}
	c.log.WithField("instance", c.settings.Instance).WithField("error", err).Info("control_stopped")
	return err
}

// errStopped is returned by the shutdown actor once the context of Run has ended and the shutdown is complete.
var errStopped = errors.New("control: stopped")

// transferTimeout bounds the transfer of leadership during a shutdown.
const transferTimeout = 2 * time.Second

// stop waits until runCtx ends, then makes the daemon report not ready, transfers leadership, and waits at most the
// drain time for calls in flight and for a successor that takes over its vote. When it returns, all other actors are stopped.
func (c *Control) stop(ctx, runCtx context.Context) error {
	<-ctx.Done()
	if runCtx.Err() == nil {
		return ctx.Err() // another actor failed
	}
	c.stopping.Store(true)
	c.log.Info("control_stopping")
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.settings.Timing.Drain)
	defer cancel()
	c.transferLeadership(drain)
	var leaving sync.WaitGroup
	leaving.Go(func() { c.handOverVote(drain) })
	_ = c.http.Shutdown(drain)
	c.proposals.drain(drain)
	leaving.Wait()
	return errStopped
}

// transferLeadership hands leadership to another voter, so that the group does not have to wait for an election
// timeout.
func (c *Control) transferLeadership(ctx context.Context) {
	if !c.isLeader() || len(c.replica.Status().Members) < 2 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if err := c.replica.TransferLeader(ctx, ""); err != nil {
		c.log.WithError(err).Warn("leader_transfer_failed")
	}
}

func (c *Control) serveLinks(ctx context.Context) error {
	register := func(mux *drpcmux.Mux) error {
		if err := wire.DRPCRegisterControlLink(mux, c.sessions); err != nil {
			return err
		}
		return wire.DRPCRegisterReplicaLink(mux, c.peers)
	}
	return link.ServeWithRefusalHook(ctx, c.linkListener, c.linkTLS, register, c.recordRefusedPeer)
}

// recordRefusedPeer counts and logs a connection from a process without a certificate of this deployment.
func (c *Control) recordRefusedPeer(peer net.Addr, err error) {
	c.counters.peersRefused.Inc()
	c.log.WithField("peer", peer.String()).WithError(err).Warn("link_peer_refused")
}

func (c *Control) serveOperators(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { c.http.Close() })
	defer stop()
	err := c.http.Serve(c.operatorsListener)
	if errors.Is(err, http.ErrServerClosed) {
		// Shutdown has begun; the shutdown actor decides when it is complete.
		<-ctx.Done()
		return nil
	}
	return errors.Wrap(err, "control: operators")
}
