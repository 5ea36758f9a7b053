package entry

import (
	"context"
	"crypto/tls"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/inbound"
	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/linkset"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// links maintains links to a subset of the agents in the directory, see agentSubset.
type links struct {
	entry *Entry
	tls   *tls.Config
	wake  chan struct{}
	// growth and demand are accessed only by the goroutine of run.
	growth agentGrowth
	demand linkset.Demand

	mu     sync.Mutex
	newest *session.View
	byName map[string]*agentLink
	needed map[string]time.Time // by server, until when its agent is linked regardless of the subset
	wg     sync.WaitGroup
}

// agentLink maintains the link to one agent at one address.
type agentLink struct {
	dialer *link.AgentDialer
	stop   context.CancelFunc
	// Guarded by links.mu.
	up      bool
	removed bool // no longer in the entry's subset of the directory
}

func newLinks(e *Entry, config *tls.Config) *links {
	return &links{
		entry:  e,
		tls:    config,
		wake:   make(chan struct{}, 1),
		byName: make(map[string]*agentLink),
		needed: make(map[string]time.Time),
	}
}

// isLinked reports whether this entry keeps a link to an agent.
func (l *links) isLinked(agent string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.byName[agent]
	return known != nil && !known.removed
}

// viewChanged receives a new view from the session. It doesn't block. Each view is complete, so views that arrive
// faster than they are applied are skipped.
func (l *links) viewChanged(view *session.View) {
	l.mu.Lock()
	l.newest = view
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run applies new views until ctx ends.
func (l *links) run(ctx context.Context) error {
	defer l.wg.Wait()
	var last *session.View
	unusedTicks := time.NewTicker(unusedLinkInterval)
	defer unusedTicks.Stop()
	demandTicks := time.NewTicker(linkDemandInterval)
	defer demandTicks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-unusedTicks.C:
			l.closeUnused(ctx)
			continue
		case <-demandTicks.C:
			l.followDemand(last)
			continue
		case <-l.wake:
		}
		view := l.view()
		if err := l.apply(ctx, last, view); err != nil {
			return nil
		}
		last = view
	}
}

func (l *links) view() *session.View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest
}

// warnOfBodyLimit logs that the desired state allows bodies for which this process has no room, and which are refused.
func (e *Entry) warnOfBodyLimit(bytes uint64) {
	if room := inbound.LargestBody(int64(e.settings.Inbound.Bytes)); bytes > uint64(room) {
		e.log.WithField("allowed", bytes).WithField("room", room).Warn("body_limit_over_room")
	}
}

// apply puts a view in force: first in the scheduler, then for admission, then for the links.
func (l *links) apply(ctx context.Context, last, view *session.View) error {
	e := l.entry
	if last == nil || last.ConfigVersion != view.ConfigVersion {
		if err := e.postEvent(ctx, sched.Config{Version: view.ConfigVersion, Classes: classesOf(view)}); err != nil {
			return err
		}
		e.log.WithField("version", view.ConfigVersion).Info("config_applied")
		e.warnOfBodyLimit(view.Desired.GetLimits().GetBodyBytes())
		e.meter.declareClasses(view.Classes)
		if e.settings.Placement.ByLength {
			e.meter.declarePlacements(view.Classes)
		}
	}
	if err := e.applyRollouts(ctx, last, view); err != nil {
		return err
	}
	agents := l.agents(view)
	own := view.Entries[e.settings.Instance]
	directory := sched.Directory{
		Agents: agents, Entries: len(view.Entries), First: own.GetFirst() && own.GetIncarnation() == e.incarnation,
	}
	if err := e.postEvent(ctx, directory); err != nil {
		return err
	}
	if err := e.applyPoison(ctx, last, view); err != nil {
		return err
	}
	catalogue := newCatalogue(view)
	before := e.catalogue.Load().routing
	catalogue.routing = routingOf(e.now(), view, before, e.caps)
	if catalogue.routing != before && catalogue.routing != nil && catalogue.routing.poolsChanged {
		defer e.origins.routesChanged() // once the catalogue is in force
	}
	e.caps.SetEntries(len(view.Entries))
	e.catalogue.Store(catalogue)
	e.prover.recordAddresses(view)
	l.update(ctx, agents)
	return nil
}

// update opens links to new agents. The link to an agent that has left the directory or this entry's subset stays open
// while it is up and has attempts: their answers arrive on it, and the scheduler sends it no new requests.
func (l *links) update(ctx context.Context, agents []*wire.AgentRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[string]bool, len(agents))
	for _, record := range agents {
		name := record.GetAgent()
		listed[name] = true
		old := l.byName[name]
		if old != nil && old.dialer.Address == record.GetLinkAddress() {
			old.removed = false
			continue
		}
		if old != nil {
			old.stop()
		}
		l.byName[name] = l.open(ctx, name, record.GetLinkAddress())
	}
	for name, old := range l.byName {
		if !listed[name] {
			old.removed = true
			l.stopIfUnused(old)
		}
	}
}

// stopIfUnused stops the link to a removed agent if it is down. The caller must hold l.mu.
func (l *links) stopIfUnused(a *agentLink) {
	if !a.removed || a.up {
		return
	}
	a.stop()
	if l.byName[a.dialer.Agent] == a {
		delete(l.byName, a.dialer.Agent)
	}
}

func (l *links) open(ctx context.Context, name, address string) *agentLink {
	parent := ctx
	ctx, stop := context.WithCancel(ctx)
	a := &agentLink{stop: stop}
	a.dialer = &link.AgentDialer{
		Network:     l.network(name),
		TLS:         l.tls,
		Address:     address,
		Agent:       name,
		Hello:       l.entry.hello,
		Up:          func(ctx context.Context, hello *wire.AgentHello) { l.up(ctx, a, hello) },
		Down:        func(hello *wire.AgentHello, cause error) { l.down(parent, a, hello, cause) },
		Receive:     l.receive,
		OnDialError: func(error) { l.failed(a) },
		Timing:      link.Timing{HeartbeatInterval: l.entry.settings.Timing.Heartbeat},
	}
	l.wg.Go(func() {
		defer stop()
		_ = a.dialer.Run(ctx)
	})
	return a
}

// agents returns this entry's subset of the agents in the directory, and its local agent.
func (l *links) agents(view *session.View) []*wire.AgentRecord {
	s := l.entry.settings
	settled, again := l.growth.settled(sortedAgents(view), time.Now())
	if again > 0 {
		time.AfterFunc(again, l.reapply)
	}
	needed := l.currentlyNeeded()
	maps.Copy(needed, exposedServers(view, s.Rollout.ExposureShare))
	agents := slices.Clip(agentSubset(s.Instance, s.AvailabilityZone, settled, needed, l.demand.Count()))
	if l.entry.localAgent != nil {
		agents = append(agents, l.entry.localAgent.record(view))
	}
	return agents
}

// linkDemandInterval is how often the number of links is compared with the requests that run.
const linkDemandInterval = 100 * time.Millisecond

// followDemand links to more agents, or to fewer again, as this entry has more requests at servers than usual.
func (l *links) followDemand(view *session.View) {
	if view == nil || len(view.Agents) <= linkset.Base {
		return
	}
	slots := 0
	for _, agent := range view.Agents {
		for _, server := range agent.GetServers() {
			slots += int(server.GetSlots())
		}
	}
	running := int(l.entry.inFlight.Load())
	if l.demand.Observe(time.Now(), running, float64(slots)/float64(len(view.Agents))) {
		l.entry.log.WithField("running", running).WithField("links", l.demand.Count()).Info("links_wanted")
		l.reapply()
	}
}

// network returns the network on which an agent is reached: the local agent's is within this process.
func (l *links) network(agent string) network.Network {
	if l.entry.localAgent.is(agent) {
		return l.entry.localAgent.network
	}
	return l.entry.network
}

// reapply applies the current view again, after the servers of the local agent or the needed servers have changed.
func (l *links) reapply() {
	l.viewChanged(l.entry.control.View())
}

func (l *links) up(ctx context.Context, a *agentLink, hello *wire.AgentHello) {
	l.mu.Lock()
	a.up = true
	l.mu.Unlock()
	l.entry.log.WithField("agent", hello.GetAgent()).WithField("incarnation", hello.GetIncarnation()).Info("link_up")
	l.entry.observeVersion(hello.GetConfigVersion())
	_ = l.entry.postEvent(ctx, sched.AgentUp{Hello: hello})
}

func (l *links) down(ctx context.Context, a *agentLink, hello *wire.AgentHello, cause error) {
	l.entry.log.WithField("agent", a.dialer.Agent).WithField("incarnation", hello.GetIncarnation()).WithError(cause).Warn("link_down")
	l.entry.meter.countLostLink()
	_ = l.entry.postEvent(ctx, sched.AgentDown{Agent: a.dialer.Agent, Incarnation: hello.GetIncarnation()})
	l.mu.Lock()
	defer l.mu.Unlock()
	a.up = false
	l.stopIfUnused(a)
}

func (l *links) failed(a *agentLink) {
	l.entry.meter.countFailedDial()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopIfUnused(a)
}

// receive passes a message from an agent to the scheduler. While the ring is full, it blocks the link.
func (l *links) receive(ctx context.Context, hello *wire.AgentHello, message *wire.AgentMessage) error {
	if heartbeat := message.GetHeartbeat(); heartbeat != nil {
		l.entry.observeVersion(heartbeat.GetConfigVersion())
		return nil
	}
	return l.entry.postEvent(ctx, sched.MessageReceived{Agent: hello.GetAgent(), Incarnation: hello.GetIncarnation(), Message: message})
}

// send sends a message of the scheduler. A message that can't be sent is lost and counted; the scheduler retries.
func (l *links) send(a sched.Send) {
	l.mu.Lock()
	to := l.byName[a.Agent]
	l.mu.Unlock()
	if to == nil || !to.dialer.Send(a.Incarnation, a.Message) {
		l.entry.meter.countDroppedMessage()
	}
}
