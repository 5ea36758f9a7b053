// Package deploy starts the deployment of an experiment in this process: control instances, entries, agents and
// stand-ins of backend servers, each a host of a fabric, with the same library and settings as the separate processes.
package deploy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/experiment/fabric"
	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/retry/audit"
	"github.com/carawaypitch/carawaypitch/settings"
)

// Ports of the instances' listeners.
const (
	portCallers   = "8080"
	portOperators = "8090"
	portLinks     = "9100"
	portHTTP      = "7100"
	portEngine    = "7200"
)

// Zones of those who are no instance of the deployment.
const (
	zoneClients = "clients"
	zoneNowhere = "nowhere" // without a delay, for probes
)

// Durations.
const (
	readyPoll  = 20 * time.Millisecond
	readyBound = 30 * time.Second
	probeBound = 2 * time.Second
	stopBound  = 20 * time.Second
)

// maxStarts bounds the attempts that the stand-ins' ledger knows.
const maxStarts = 1 << 21

// Options say what to start.
type Options struct {
	Plan   *plan.Plan
	Policy plan.Policy
	// Rollout is the roll-out that RunRollout runs; nil for none.
	Rollout *plan.Rollout
	// Log receives the daemons' events; nil drops them.
	Log log.Interface
}

// Deployment is a running deployment.
type Deployment struct {
	options       Options
	plan          *plan.Plan
	log           log.Interface
	fabric        *fabric.Fabric
	folder        string
	operatorKey   string
	keys          []string
	organisations []settings.Organisation
	ledger        *standin.Ledger
	rollout       *rollout // nil without one
	probe         *http.Client

	mu       sync.Mutex // guards what follows once Start has returned
	controls []*controlInstance
	entries  []*entryInstance
	servers  []*serverInstance
	leaving  []*instance // killed, or ending by themselves

	violations []string // that faults have seen themselves
	asked      []Asked
	arrivals   map[string]*audit.Record // by model or service
}

// Start starts everything and returns once callers can be served. Stop must follow.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "carawaypitch-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	d := &Deployment{
		options: options,
		plan:    options.Plan,
		log:     options.Log,
		folder:  folder,
		ledger:  standin.NewLedger(maxStarts),
		rollout: newRollout(options.Rollout),

		arrivals: make(map[string]*audit.Record),
	}
	d.fabric = fabric.New(d.delay)
	if d.log == nil {
		d.log = &log.Logger{Handler: discard.New()}
	}
	d.probe = clientOf(d.fabric.Host(d.fabric.NewIP(), zoneNowhere))
	d.makeKeys()
	if err := d.startAll(ctx); err != nil {
		return nil, errors.Join(err, d.Stop())
	}
	return d, nil
}

func clientOf(n network.Network) *http.Client {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, address) }
	return &http.Client{Transport: framing.NewTransport(&http.Transport{DialContext: dial}), Timeout: probeBound}
}

// delay is the one-way delay between two zones.
func (d *Deployment) delay(from, to string) time.Duration {
	delays := d.plan.Delays
	switch {
	case from == zoneNowhere || to == zoneNowhere:
		return 0
	case from == zoneClients || to == zoneClients:
		return delays.Clients.Std()
	case from == to:
		return delays.WithinZone.Std()
	default:
		return delays.BetweenZones.Std()
	}
}

// makeKeys gives each organisation a caller key and makes the operator key. They protect nothing here.
func (d *Deployment) makeKeys() {
	d.operatorKey = "bench-operator"
	for _, o := range d.plan.Organisations {
		key := "bench-" + o.Name
		d.keys = append(d.keys, key)
		d.organisations = append(d.organisations, settings.Organisation{
			Name:         o.Name,
			DefaultClass: d.plan.Classes[0].Name,
			KeyDigests:   []string{settings.NewDigest(key, settings.NewSalt())},
		})
	}
}

func (d *Deployment) startAll(ctx context.Context) error {
	for _, start := range []func() error{d.startControls, d.startServers, d.startEntries} {
		if err := start(); err != nil {
			return err
		}
	}
	return d.waitReady(ctx)
}

// Clients returns the network that callers use.
func (d *Deployment) Clients() network.Network {
	return d.fabric.Host(d.fabric.NewIP(), zoneClients)
}

// Callers returns the URLs of the entries in the plan's order, empty for those that the platform's balancer leaves out.
func (d *Deployment) Callers() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	urls := make([]string, len(d.entries))
	for i, e := range d.entries {
		if e.ready.Load() {
			urls[i] = e.url()
		}
	}
	return urls
}

// Keys returns the organisations' caller keys, in the plan's order.
func (d *Deployment) Keys() []string { return d.keys }

// Ledger counts the starts of attempts at the stand-ins and their overlaps.
func (d *Deployment) Ledger() *standin.Ledger { return d.ledger }

// waitReady polls until every instance may receive work.
func (d *Deployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		last := d.ready(ctx)
		if last == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(last, "not ready in time")
		case <-ticker.C:
		}
	}
}

func (d *Deployment) ready(ctx context.Context) error {
	for _, e := range d.entries {
		if _, err := d.get(ctx, e.url()+"/readyz"); err != nil {
			return err
		}
		e.ready.Store(true)
	}
	for _, s := range d.servers {
		if _, err := d.get(ctx, s.agentURL()+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// get returns the body of a good answer.
func (d *Deployment) get(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+d.operatorKey)
	reply, err := d.probe.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		return nil, err
	}
	if reply.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s: status %d: %.200s", url, reply.StatusCode, body)
	}
	return body, nil
}

// Metrics returns the text of GET /metrics of every entry and agent that answers.
func (d *Deployment) Metrics(ctx context.Context) [][]byte {
	var all [][]byte
	add := func(url string) {
		if body, err := d.get(ctx, url+"/metrics"); err == nil {
			all = append(all, body)
		}
	}
	for _, e := range d.entries {
		add(e.url())
	}
	for _, s := range d.serverList() {
		add(s.agentURL())
	}
	return all
}

// serverList returns the backend servers, those that are gone included.
func (d *Deployment) serverList() []*serverInstance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.servers)
}

// Stop stops everything, entries first, and removes the data folder. It waits for all instances, bounded.
func (d *Deployment) Stop() error {
	var errs []error
	for _, e := range d.entries {
		e.cancel()
	}
	for _, e := range d.entries {
		errs = append(errs, e.wait(stopBound))
	}
	running := slices.DeleteFunc(d.serverList(), func(s *serverInstance) bool { return s.gone })
	// A stand-in that leaves asks its agent until that says drained, so the agent stays until then. One that was stopped
	// beside it was gone before it had said so, and the stand-in asked on beyond stopBound.
	for _, s := range running {
		s.standin.cancel()
	}
	for _, s := range running {
		errs = append(errs, s.standin.wait(stopBound))
	}
	for _, s := range running {
		s.agent.cancel()
	}
	for _, s := range running {
		errs = append(errs, s.agent.wait(stopBound))
	}
	for _, i := range d.leaving {
		i.cancel()
	}
	for _, i := range d.leaving {
		// Killed instances end as they can: their errors say nothing.
		if err := i.wait(stopBound); errors.Is(err, errStillRuns) {
			errs = append(errs, err)
		}
	}
	for _, c := range d.controls {
		c.cancel()
	}
	for _, c := range d.controls {
		errs = append(errs, c.wait(stopBound))
	}
	d.probe.CloseIdleConnections()
	errs = append(errs, os.RemoveAll(d.folder))
	return errors.Join(errs...)
}

// errStillRuns says that an instance didn't end in time.
var errStillRuns = errors.New("an instance still runs")

// instance is a running daemon and its host.
type instance struct {
	name   string
	host   *fabric.Host
	cancel context.CancelFunc
	done   chan error
}

// launch runs a daemon.
func launch(name string, host *fabric.Host, daemon func(ctx context.Context) error) *instance {
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{name: name, host: host, cancel: cancel, done: make(chan error, 1)}
	go func() { i.done <- daemon(ctx) }()
	return i
}

// wait waits for the daemon's end.
func (i *instance) wait(bound time.Duration) error {
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case err := <-i.done:
		i.done <- err
		if err == nil {
			return nil
		}
		return errors.Wrap(err, i.name)
	case <-timer.C:
		return errors.Wrap(errStillRuns, i.name)
	}
}

func instanceName(kind string, number int) string {
	return fmt.Sprintf("%s-%d", kind, number+1)
}
