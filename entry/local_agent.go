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

// localSuffix is appended to the entry's name to form the name of its local agent.
const localSuffix = "/services"

// localProbeInterval is the interval between probes of the local agent's servers. A server is suspect after two failed
// probes, so requests are lost to a crashed server for at most half a second.
const localProbeInterval = 200 * time.Millisecond

// localUnprovenHold is how long a slot at a plain service counts as occupied after a connection to it was lost. Calls
// to plain services take tens of milliseconds.
const localUnprovenHold = time.Second

// The local agent sees only part of a server's work, so it can't learn how many concurrent attempts the server handles
// well, nor infer much about its health from its speed: it uses all announced slots, and suspects a server only if it
// stalls.
const (
	localSlotsFloor = 1
	localSlowRatio  = 10
)

// localDrainTimeout is how long calls may still take after the entry has drained its own requests.
const localDrainTimeout = 100 * time.Millisecond

// localSettleTime is how long the local agent waits for attempts that an earlier process left at the servers. It is the
// smallest possible value, since the requests of that process ended with it and can't run a second time.
const localSettleTime = time.Nanosecond

// Addresses of the local agent on its in-process network.
const (
	localHost  = "127.0.0.1"
	localLinks = localHost + ":1"
	localHTTP  = localHost + ":2"
)

// localMaxServers bounds the servers of the local agent, including those that left recently. It guards against an
// unbounded number of announcements; ten thousand servers are more than any deployment has.
const localMaxServers = 10_000

// agentlessGracePeriod is how long a model server must be without an agent before the entries' local agents serve it.
// Agents announce themselves within a second of starting.
const agentlessGracePeriod = 2 * time.Second

// localAgent is an agent within the entry process, for plain services without an agent of their own. Each entry has
// one, which is not in the directory. An agent shared by several entries would be one more process whose crash loses
// in-flight requests; plain services are lightly loaded, so the entries need no common gate to order their requests.
//
// It also serves model servers that have no agent, see agentlessSelector. The gates of several entries don't
// coordinate, so under high load the slots of such a server are offered more than once.
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
	s.Limits.KeptAnswers = e.settings.Limits.KeptAnswers
	s.Timing.Heartbeat, s.Timing.Drain = e.settings.Timing.Heartbeat, localDrainTimeout
	s.Timing.Probe = localProbeInterval
	s.Timing.UnprovenHold = localUnprovenHold
	s.Timing.UnlistedSettle = localSettleTime
	s.Limits.SlowRatio, s.Limits.SlotsFloor = localSlowRatio, localSlotsFloor
	modelServers := newAgentlessSelector(e.settings.Instance, e.settings.AvailabilityZone, agentlessGracePeriod)
	modelServers.needed = func(view *session.View) map[string]bool {
		return exposedServers(view, e.settings.Rollout.ExposureShare)
	}
	var err error
	l.agent, err = agent.New(s, agent.Options{
		Network:   l.network,
		Log:       e.log,
		NewEngine: e.options.NewEngine,
		Control:   localControl{l},
		Select: agent.AnyOf(
			agent.OfKind(engine.KindService),
			modelServers.choose,
		),

		// Any entry may send to a server without an agent.
		Senders:    func(view *session.View) int { return len(view.Entries) },
		MaxServers: localMaxServers,
	})
	if err != nil {
		return nil, errors.Wrap(err, "entry: local agent")
	}
	return l, nil
}

// is reports whether name is that of the local agent. It returns false if there is none.
func (l *localAgent) is(name string) bool {
	return l != nil && l.name == name
}

// record returns the agent's record in the form used by the directory. Servers that are listed by an agent in the
// directory are omitted.
func (l *localAgent) record(view *session.View) *wire.AgentRecord {
	withAgent := agent.ListedByAgents(view)
	return &wire.AgentRecord{
		Agent:            l.name,
		AvailabilityZone: l.entry.settings.AvailabilityZone,
		LinkAddress:      localLinks,
		Servers: slices.DeleteFunc(slices.Clone(*l.servers.Load()), func(server *wire.ServerRecord) bool {
			return withAgent[server.GetServer()]
		}),
	}
}

// run runs the agent. It stops with the entry's other goroutines, after in-flight requests have ended.
func (l *localAgent) run(ctx context.Context) error {
	err := l.agent.Run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// localControl provides the entry's session to its local agent. The agent is not in the directory, so its removal is
// not proposed.
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
	c.local.entry.links.reapply()
}

// Propose implements agent.Control.
func (c localControl) Propose(ctx context.Context, command *wire.Command) (*wire.CommandResult, error) {
	if command.GetRemoveAgent() != nil {
		return &wire.CommandResult{}, nil
	}
	return c.local.entry.control.Propose(ctx, command)
}

// Orders implements agent.Control. The local agent receives no orders.
func (localControl) Orders() <-chan *wire.Order { return nil }

// Report implements agent.Control.
func (localControl) Report(*wire.OrderResult) {}

// ReportStreamOrigins implements agent.Control. It does nothing: the entry itself tells control the origins of its streams.
func (localControl) ReportStreamOrigins(*wire.StreamOrigins) {}

// Ready implements agent.Control.
func (c localControl) Ready() error { return c.local.entry.control.Ready() }

// View implements agent.Control.
func (c localControl) View() *session.View { return c.local.entry.control.View() }

// Subscribe implements agent.Control.
func (c localControl) Subscribe(fn func(*session.View)) { c.local.entry.control.Subscribe(fn) }

// AddControls implements agent.Control. It does nothing, since the entry's session maintains its own links to control.
func (localControl) AddControls([]string) {}

// ObserveVersion implements agent.Control.
func (c localControl) ObserveVersion(version uint64) bool {
	return c.local.entry.control.ObserveVersion(version)
}
