package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/agent"
	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/network/memory"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// localSuffix follows the entry's name in the name of its own agent.
const localSuffix = "/services"

// localProbe is how often the entry's own agent looks after its servers. A server is suspect after two failures, so what
// is lost to one that just died goes on for half a second at most.
const localProbe = 200 * time.Millisecond

// localUnprovenHold is how long a place at a plain service counts as taken after a connection to it was lost. Its calls
// take tens of milliseconds.
const localUnprovenHold = time.Second

// The entry's own agent sees a part of a server's work only, so it learns neither how many attempts the server runs well at
// a time nor, from its pace, much of its health: all announced slots are given out, and only a standstill is suspect.
const (
	localSlotsFloor = 1
	localSlowRatio  = 10
)

// localDrain is how long calls may still take after the entry itself has let its own requests finish.
const localDrain = 100 * time.Millisecond

// localSettle is how long the entry's own agent waits for what an earlier process left at the servers: the least there
// is, since the requests of that process died with it and can't run a second time.
const localSettle = time.Nanosecond

// Addresses of the entry's own agent on a network inside this process.
const (
	localHost  = "127.0.0.1"
	localLinks = localHost + ":1"
	localHTTP  = localHost + ":2"
)

// localMaxServers bounds the servers of the entry's own agent, with those that left lately. It is a guard against announcements
// without end: ten thousand servers are more than any deployment has.
const localMaxServers = 10_000

// localAttendWait is how long a model server has no agent before the entries' own agents take it. Agents announce themselves
// within a second of their start.
const localAttendWait = 2 * time.Second

// localAgent is an agent inside the entry, for the plain services that have no agent beside them. Each entry has one of
// its own, in no directory. An agent that several entries share would be one more process whose death loses what is in
// flight; a plain service is lightly loaded, so its entries need no common gate to keep their order.
//
// It also takes model servers that have no agent, for want of a better one, see unattended: the gates of several entries keep no common
// order there, so its slots are given out more than once under high load.
type localAgent struct {
	entry   *Entry
	name    string
	network network.Network
	agent   *agent.Agent
	servers atomic.Pointer[[]*wire.ServerRecord]
}

func newLocalAgent(e *Entry) (*localAgent, error) {
	l := &localAgent{
		entry:   e,
		name:    e.settings.Instance + localSuffix,
		network: memory.New().Host(localHost),
	}
	l.servers.Store(new([]*wire.ServerRecord))
	s := settings.DefaultAgent()
	s.Instance = l.name
	s.AvailabilityZone = e.settings.AvailabilityZone
	s.Listen = settings.AgentListen{HTTP: localHTTP, Links: localLinks}
	s.Advertise = localLinks
	s.Limits.MaxBody, s.Limits.MaxAnswer = e.settings.Limits.MaxBody, e.settings.Limits.MaxAnswer
	s.Timing.Heartbeat, s.Timing.Drain = e.settings.Timing.Heartbeat, localDrain
	s.Timing.Probe = localProbe
	s.Timing.UnprovenHold = localUnprovenHold
	s.Timing.UnlistedSettle = localSettle
	s.Limits.SlowRatio, s.Limits.SlotsFloor = localSlowRatio, localSlotsFloor
	var err error
	l.agent, err = agent.New(s, agent.Options{
		Network:   l.network,
		Log:       e.log,
		NewEngine: e.options.NewEngine,
		Control:   localControl{l},
		Select: agent.AnyOf(
			agent.OfKind(engine.KindService),
			newUnattended(e.settings.Instance, e.settings.AvailabilityZone, localAttendWait).choose,
		),

		// Any entry may send to a server without an agent.
		Senders:    func(view *session.View) int { return len(view.Entries) },
		MaxServers: localMaxServers,
	})
	if err != nil {
		return nil, errors.Wrap(err, "entry: own agent")
	}
	return l, nil
}

// is tells whether the name is that of the entry's own agent.
func (l *localAgent) is(name string) bool {
	return l != nil && l.name == name
}

// record is the agent as the directory would have it. A server that an agent of the directory lists is that agent's.
func (l *localAgent) record(view *session.View) *wire.AgentRecord {
	attended := agent.ListedByAgents(view)
	return &wire.AgentRecord{
		Agent:            l.name,
		AvailabilityZone: l.entry.settings.AvailabilityZone,
		LinkAddress:      localLinks,
		Servers: slices.DeleteFunc(slices.Clone(*l.servers.Load()), func(server *wire.ServerRecord) bool {
			return attended[server.GetServer()]
		}),
	}
}

// run is the duty of the agent. It stops with the entry's duties, after what is in flight has ended.
func (l *localAgent) run(ctx context.Context) error {
	err := l.agent.Run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// localControl is the entry's session as its own agent sees it. The agent proposes nothing of its own: it is in no
// directory.
type localControl struct{ local *localAgent }

var _ agent.Control = localControl{}

// Run implements agent.Control.
func (c localControl) Run(ctx context.Context) error {
	<-ctx.Done()
	return context.Cause(ctx)
}

// SetServers implements agent.Control.
func (c localControl) SetServers(servers []*wire.ServerRecord) {
	c.local.servers.Store(&servers)
	c.local.entry.links.again()
}

// Propose implements agent.Control.
func (c localControl) Propose(ctx context.Context, command *wire.Command) (*wire.CommandResult, error) {
	if command.GetRemoveAgent() != nil {
		return &wire.CommandResult{}, nil
	}
	return c.local.entry.control.Propose(ctx, command)
}

// Orders implements agent.Control. Nobody orders the entry's own agent.
func (localControl) Orders() <-chan *wire.Order { return nil }

// Report implements agent.Control.
func (localControl) Report(*wire.OrderResult) {}

// Ready implements agent.Control.
func (c localControl) Ready() error { return c.local.entry.control.Ready() }

// View implements agent.Control.
func (c localControl) View() *session.View { return c.local.entry.control.View() }

// Subscribe implements agent.Control.
func (c localControl) Subscribe(fn func(*session.View)) { c.local.entry.control.Subscribe(fn) }

// AddControls implements agent.Control: the entry's session has its own.
func (localControl) AddControls([]string) {}

// ObserveVersion implements agent.Control.
func (c localControl) ObserveVersion(version uint64) bool {
	return c.local.entry.control.ObserveVersion(version)
}
