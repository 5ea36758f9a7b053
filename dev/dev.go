package dev

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/carawaypitch/carawaypitch/agent"
	"github.com/carawaypitch/carawaypitch/control"
	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/entry"
	"github.com/carawaypitch/carawaypitch/settings"
)

// loopback is the listen address of every daemon without a configured one; port 0 takes a free one. readyPollInterval and
// readyTimeout are the poll interval and the bound of the wait for readiness at start.
const (
	loopback          = "127.0.0.1:0"
	operatorName      = "operator"
	readyPollInterval = 20 * time.Millisecond
	readyTimeout      = 20 * time.Second
)

// Dev is a sample deployment that runs in this process.
type Dev struct {
	options       Options
	log           log.Interface
	organisations []settings.Organisation
	info          Info
	ledger        *standin.Ledger
	stages        []*stage
	client        *http.Client
}

// Start starts all daemons and returns once callers can be served. If it fails, it stops what it has started; otherwise
// the caller must call Stop.
func Start(ctx context.Context, options Options) (*Dev, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	d := &Dev{
		options: options,
		log:     options.Log,
		ledger:  standin.NewLedger(1 << 20),
		client:  &http.Client{Transport: framing.NewTransport(new(http.Transport)), Timeout: time.Second},
	}
	if d.log == nil {
		d.log = &log.Logger{Handler: discard.New()}
	}
	d.generateKeys()
	if err := d.startAll(ctx); err != nil {
		return nil, errors.Join(err, d.Stop())
	}
	return d, nil
}

// Info returns the addresses and keys of the deployment.
func (d *Dev) Info() Info { return d.info }

// Stop stops all daemons gracefully, entries first, and returns their joined errors.
func (d *Dev) Stop() error { return stopAll(d.stages) }

// Failed returns a channel that receives the result of each stage when it ends, also when it ends without Stop.
func (d *Dev) Failed() <-chan error {
	failed := make(chan error, len(d.stages))
	for _, s := range d.stages {
		go func() {
			err := <-s.done
			s.done <- err
			failed <- err
		}()
	}
	return failed
}

// generateKeys creates a caller key for each sample organisation, and the operator key.
func (d *Dev) generateKeys() {
	d.organisations = sampleOrganisations()
	for i := range d.organisations {
		key := newKey()
		d.organisations[i].KeyDigests = []string{settings.NewDigest(key, settings.NewSalt())}
		d.info.Organisations = append(d.info.Organisations, OrganisationInfo{Name: d.organisations[i].Name, Key: key})
	}
	d.info.OperatorKey = newKey()
}

func newKey() string {
	return "cwp-" + uuid.NewString()
}

// startAll starts the stages in order: control, agents, engines, entries. It returns once the entries and the agents are
// ready.
func (d *Dev) startAll(ctx context.Context) error {
	controlLink, err := d.startControl()
	if err != nil {
		return err
	}
	if err := d.startServers(ctx, controlLink); err != nil {
		return err
	}
	if err := d.startEntries(controlLink); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

// startControl starts the control replica and returns its link address.
func (d *Dev) startControl() (string, error) {
	s := settings.DefaultControl()
	s.Instance = "control-1"
	s.AvailabilityZone = zone(0)
	s.Listen = settings.ControlListen{Operators: d.options.Control, Links: loopback}
	s.Replicas = []settings.Replica{{Instance: s.Instance, Address: loopback}}
	s.Bootstrap = true
	s.DataDir = d.options.DataDir
	s.Operators = d.operators()
	s.Organisations = d.organisations
	s.InitialClasses = SampleClasses()
	c, err := control.New(s, control.Options{Log: d.log})
	if err != nil {
		return "", errors.Wrap(err, "control")
	}
	d.stages = append(d.stages, startStage([]runner{c.Run}))
	d.info.Controls = append(d.info.Controls, "http://"+c.OperatorsAddr())
	return c.LinkAddr(), nil
}

func (d *Dev) operators() []settings.OperatorAccount {
	return []settings.OperatorAccount{{
		Name:       operatorName,
		KeyDigests: []string{settings.NewDigest(d.info.OperatorKey, settings.NewSalt())},
	}}
}

// startServers starts an agent and a stand-in for each backend server; controlLink is the control replica's link address.
func (d *Dev) startServers(ctx context.Context, controlLink string) error {
	var agents, engines []runner
	var servers []*standin.Server
	add := func(options standin.Options, n int) error {
		a, err := d.newAgent(options.Server, n, controlLink)
		if err != nil {
			return err
		}
		options.Agent = "http://" + a.HTTPAddr()
		options.Ledger = d.ledger
		server := standin.New(options)
		agents = append(agents, a.Run)
		engines = append(engines, server.Run)
		servers = append(servers, server)
		d.info.Agents = append(d.info.Agents, options.Agent)
		return nil
	}
	for i := range d.options.Servers + d.options.NewServers {
		options := d.withVersion(modelOptions(i), i >= d.options.Servers)
		options.Server = fmt.Sprintf("model-%02d", i+1)
		if err := add(options, i); err != nil {
			return err
		}
	}
	for i := range d.options.Services + d.options.NewServices {
		options := d.withVersion(serviceOptions(i), i >= d.options.Services)
		options.Server = fmt.Sprintf("registry-%02d", i+1)
		if err := add(options, i); err != nil {
			return err
		}
	}
	d.stages = append(d.stages, startStage(agents), startStage(engines))
	return d.waitForEngines(ctx, servers)
}

// withVersion sets the version that a stand-in announces, and the fault of the new version.
func (d *Dev) withVersion(options standin.Options, isNew bool) standin.Options {
	options.Version = d.options.Version
	if isNew {
		options.Version, options.VersionFault = d.options.NewVersion, d.options.NewFault
	}
	return options
}

// waitForEngines waits until the stand-ins listen and records their URLs and the names of the models and services.
func (d *Dev) waitForEngines(ctx context.Context, servers []*standin.Server) error {
	for _, s := range servers {
		select {
		case <-s.Ready():
			d.info.Engines = append(d.info.Engines, s.URL())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if d.options.Servers+d.options.NewServers > 0 {
		d.info.Models = []string{SampleModel}
	}
	if d.options.Services+d.options.NewServices > 0 {
		d.info.Services = []string{SampleService}
	}
	return nil
}

func (d *Dev) newAgent(server string, n int, controlLink string) (*agent.Agent, error) {
	s := settings.DefaultAgent()
	s.Instance = "agent-" + server
	s.AvailabilityZone = zone(n)
	s.Listen = settings.AgentListen{HTTP: loopback, Links: loopback}
	s.Advertise = loopback
	s.Controls = []string{controlLink}
	a, err := agent.New(s, agent.Options{Log: d.log})
	if err != nil {
		return nil, errors.Wrap(err, "agent")
	}
	return a, nil
}

func (d *Dev) startEntries(controlLink string) error {
	var runners []runner
	for i := range d.options.Entries {
		s := settings.DefaultEntry()
		s.Instance = fmt.Sprintf("entry-%d", i+1)
		s.AvailabilityZone = zone(i)
		s.Listen.Callers = loopback
		if i == 0 {
			s.Listen.Callers = d.options.Entry
		}
		s.Controls = []string{controlLink}
		s.Organisations = d.organisations
		s.Operators = d.operators()
		e, err := entry.New(s, entry.Options{Log: d.log})
		if err != nil {
			return errors.Wrap(err, "entry")
		}
		runners = append(runners, e.Run)
		d.info.Entries = append(d.info.Entries, "http://"+e.CallersAddr())
	}
	d.stages = append(d.stages, startStage(runners))
	return nil
}

// zone returns the availability zone of the i-th instance; there are three.
func zone(i int) string {
	const zones = 3
	return fmt.Sprintf("zone-%d", i%zones+1)
}

// waitReady polls /readyz for up to readyTimeout, until every entry may receive requests and every agent's backend server
// has announced itself.
func (d *Dev) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	var lastErr error
	for {
		if lastErr = d.checkReady(ctx); lastErr == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(lastErr, "not ready in time")
		case <-ticker.C:
		}
	}
}

// checkReady returns the error of the first entry or agent that is not ready.
func (d *Dev) checkReady(ctx context.Context) error {
	for _, url := range append(d.info.Entries, d.info.Agents...) {
		if err := d.probe(ctx, url+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

func (d *Dev) probe(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	reply, err := d.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(reply.Body, 1<<10))
		return errors.Errorf("%s: %s", url, text)
	}
	return nil
}
