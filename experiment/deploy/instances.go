package deploy

import (
	"net"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/agent"
	"github.com/carawaypitch/carawaypitch/control"
	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/entry"
	"github.com/carawaypitch/carawaypitch/experiment/fabric"
	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/settings"
)

// Timing that keeps the end of a run short. It comes into force only once all answers are in.
const (
	drain        = time.Second
	leaveTimeout = time.Minute
)

// policies of the scheduler by their names in a plan.
var policies = map[string]sched.Policy{
	"targets":     sched.PolicyTargets,
	"round_robin": sched.PolicyRoundRobin,
	"least_load":  sched.PolicyLeastLoad,
	"random_fifo": sched.PolicyRandomFIFO,
}

type controlInstance struct {
	*instance
	ip string
}

func (c *controlInstance) links() string { return net.JoinHostPort(c.ip, portLinks) }
func (c *controlInstance) url() string   { return "http://" + net.JoinHostPort(c.ip, portOperators) }

func (d *Deployment) startControls() error {
	for range d.plan.Controls {
		d.controls = append(d.controls, &controlInstance{ip: d.fabric.NewIP()})
	}
	for i, c := range d.controls {
		if err := d.startControl(i, c); err != nil {
			// Those without a daemon can't be stopped.
			d.controls = d.controls[:i]
			return err
		}
	}
	return nil
}

func (d *Deployment) startControl(number int, c *controlInstance) error {
	s := settings.DefaultControl()
	s.Instance = instanceName("control", number)
	s.AvailabilityZone = d.controlZone(number)
	s.Listen = settings.ControlListen{Operators: net.JoinHostPort(c.ip, portOperators), Links: c.links()}
	s.Advertise = c.links()
	s.Bootstrap = true
	s.DataDir = filepath.Join(d.folder, s.Instance)
	s.Operators = []settings.OperatorAccount{{
		Name:       "bench",
		KeyDigests: []string{settings.NewDigest(d.operatorKey, settings.NewSalt())},
	}}
	s.Organisations = d.organisations
	s.InitialClasses = d.plan.Classes
	s.Timing.Drain = drain
	for i, other := range d.controls {
		s.Replicas = append(s.Replicas, settings.Replica{Instance: instanceName("control", i), Address: other.links()})
	}
	host := d.fabric.Host(c.ip, s.AvailabilityZone)
	daemon, err := control.New(s, control.Options{Network: host, Log: d.log, Seed: d.plan.Seed + uint64(number) + 1})
	if err != nil {
		return errors.Wrap(err, s.Instance)
	}
	c.instance = launch(s.Instance, host, daemon.Run)
	return nil
}

func (d *Deployment) controlZone(number int) string { return d.plan.Zones[number%len(d.plan.Zones)] }

func (d *Deployment) controlLinks() []string {
	var addresses []string
	for _, c := range d.controls {
		addresses = append(addresses, c.links())
	}
	return addresses
}

type entryInstance struct {
	*instance
	ip string
	// ready says that the platform's balancer sends callers here.
	ready atomic.Bool
}

func (e *entryInstance) url() string { return "http://" + net.JoinHostPort(e.ip, portCallers) }

func (d *Deployment) startEntries() error {
	for i := range d.plan.Entries {
		e := &entryInstance{ip: d.fabric.NewIP()}
		if err := d.startEntry(i, e); err != nil {
			return err
		}
		d.entries = append(d.entries, e)
	}
	return nil
}

func (d *Deployment) startEntry(number int, e *entryInstance) error {
	s := settings.DefaultEntry()
	s.Instance = instanceName("entry", number)
	s.AvailabilityZone = d.plan.Entries[number].Zone
	s.Listen.Callers = net.JoinHostPort(e.ip, portCallers)
	s.Controls = d.controlLinks()
	s.Organisations = d.organisations
	s.Timing.Drain = drain
	limits := d.RetryLimits()
	s.Limits.RetryRatio, s.Limits.RetryAllowance, s.Timing.RetryWindow = limits.Ratio, int(limits.Allowance), limits.Window
	host := d.fabric.Host(e.ip, s.AvailabilityZone)
	daemon, err := entry.New(s, d.entryOptions(host, number))
	if err != nil {
		return errors.Wrap(err, s.Instance)
	}
	e.instance = launch(s.Instance, host, daemon.Run)
	return nil
}

func (d *Deployment) entryOptions(host *fabric.Host, number int) entry.Options {
	return entry.Options{
		Network: host,
		Log:     d.log,
		Policy:  policies[d.options.Policy.Policy],
		Seed:    d.plan.Seed + uint64(number) + 1,

		MaxOutstanding: d.options.Policy.MaxOutstanding,
	}
}

// serverInstance is a backend server with its agent. Both run on one host.
type serverInstance struct {
	plan.Server
	ip      string
	server  *standin.Server
	standin *instance
	agent   *instance
	// agentHost dies with the agent; the stand-in lives on.
	agentHost *fabric.Host
	// isNew says that it was started for a roll-out, gone that it was killed for good.
	isNew, gone bool
}

func (s *serverInstance) agentURL() string { return "http://" + net.JoinHostPort(s.ip, portHTTP) }

func (d *Deployment) startServers() error {
	for i, described := range d.plan.ServerList() {
		s := &serverInstance{Server: described, ip: d.fabric.NewIP()}
		if err := d.startAgent(s); err != nil {
			return err
		}
		d.startStandin(i, s)
		d.servers = append(d.servers, s)
	}
	return nil
}

func (d *Deployment) startAgent(s *serverInstance) error {
	a := settings.DefaultAgent()
	a.Instance = "agent-" + s.Name
	a.AvailabilityZone = s.Zone
	a.Listen = settings.AgentListen{
		HTTP:  net.JoinHostPort(s.ip, portHTTP),
		Links: net.JoinHostPort(s.ip, portLinks),
	}
	a.Advertise = a.Listen.Links
	a.Controls = d.controlLinks()
	a.Timing.Drain = drain
	s.agentHost = d.fabric.Host(s.ip, s.Zone)
	daemon, err := agent.New(a, agent.Options{Network: s.agentHost, Log: d.log})
	if err != nil {
		return errors.Wrap(err, a.Instance)
	}
	s.agent = launch(a.Instance, s.agentHost, daemon.Run)
	return nil
}

// startStandin starts a backend server. It is a host of its own at its agent's IP number, so that the agent can die
// alone.
func (d *Deployment) startStandin(number int, s *serverInstance) {
	options := StandinOptions(s.Server, d.plan.Seed+uint64(number)+1)
	options.Listen = net.JoinHostPort(s.ip, portEngine)
	host := d.fabric.Host(s.ip, s.Zone)
	options.Network = host
	options.Agent = s.agentURL()
	options.Ledger = d.ledger
	options.OnArrival = func(attempt engine.AttemptID) { d.NoteArrival(s.Serves, attempt, time.Now()) }
	d.rollout.prepare(&options, s.Serves, s.isNew)
	s.server = standin.New(options)
	s.standin = launch(s.Name, host, s.server.Run)
}

// StandinOptions are the settings of the stand-in of a backend server, but for its place in the network.
func StandinOptions(s plan.Server, seed uint64) standin.Options {
	options := standin.ModelDefaults()
	if s.Kind == settings.KindService {
		options = standin.ServiceDefaults()
	}
	options.Server = s.Name
	options.Seed = seed
	options.Models = []string{s.Serves}
	options.Slots = s.Slots
	options.PrefillRate = s.PrefillTokensPerS
	options.DecodePace = s.DecodePace.Std()
	options.DecodeSlope = s.DecodeSlope.Std()
	options.KVTokens = s.KVTokens
	options.CacheBlocks = s.CacheBlocks
	options.ServiceTime = s.ServiceTime.Std()
	options.ServiceJitter = s.ServiceJitter
	options.LoadLag = s.LoadLag.Std()
	options.CacheLag = s.CacheLag.Std()
	options.CacheGap = s.CacheGap
	options.Version = s.Version
	options.LeaveTimeout = leaveTimeout
	options.MaxTracked = maxStarts
	if s.IgnoresFence {
		options.Capabilities.Fencing = engine.FencingIgnores
	}
	return options
}
