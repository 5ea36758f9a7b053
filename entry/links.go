package entry

import (
	"context"
	"crypto/tls"
	"slices"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// links keeps links to agents of the directory, see agentSubset.
type links struct {
	entry *Entry
	tls   *tls.Config
	wake  chan struct{}

	mu     sync.Mutex
	latest *session.View
	byName map[string]*agentLink
	needed map[string]time.Time // servers whose agents are linked whatever the subset, until then
	wg     sync.WaitGroup
}

// agentLink is the link duty of one agent at one address.
type agentLink struct {
	dialer *link.AgentDialer
	stop   context.CancelFunc
	// Guarded by links.mu.
	up      bool
	removed bool // not in the directory any more
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

// viewChanged takes a new view from the session. It doesn't wait; views that come faster than the duty takes them are
// skipped, since each is whole.
func (l *links) viewChanged(view *session.View) {
	l.mu.Lock()
	l.latest = view
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run is the duty that follows the directory.
func (l *links) run(ctx context.Context) error {
	defer l.wg.Wait()
	var last *session.View
	unused := time.NewTicker(unusedInterval)
	defer unused.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-unused.C:
			l.dropUnused(ctx)
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
	return l.latest
}

// apply puts a view in force: the scheduler first, then admission, then the links.
func (l *links) apply(ctx context.Context, last, view *session.View) error {
	e := l.entry
	if last == nil || last.ConfigVersion != view.ConfigVersion {
		if err := e.tell(ctx, sched.Config{Version: view.ConfigVersion, Classes: classesOf(view)}); err != nil {
			return err
		}
		e.log.WithField("version", view.ConfigVersion).Info("config_applied")
		e.meter.declareClasses(view.Classes)
	}
	agents := l.agents(view)
	if err := e.tell(ctx, sched.Directory{Agents: agents, Entries: len(view.Entries)}); err != nil {
		return err
	}
	if err := e.applyPoison(ctx, last, view); err != nil {
		return err
	}
	catalogue := newCatalogue(view)
	catalogue.routing = routingOf(view, e.view.Load().routing, e.caps)
	e.caps.SetEntries(len(view.Entries))
	e.view.Store(catalogue)
	e.prover.learn(view)
	l.update(ctx, agents)
	return nil
}

// update opens links to new agents. The link to one that left the directory, or this entry's part of it, stays while it is up
// and has work: answers in flight come over it, and the scheduler sends it no new work.
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

// stopIfUnused is called with the lock held.
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
	duties := ctx
	ctx, stop := context.WithCancel(ctx)
	a := &agentLink{stop: stop}
	a.dialer = &link.AgentDialer{
		Network:     l.network(name),
		TLS:         l.tls,
		Address:     address,
		Agent:       name,
		Hello:       l.entry.hello,
		Up:          func(ctx context.Context, hello *wire.AgentHello) { l.up(ctx, a, hello) },
		Down:        func(hello *wire.AgentHello, cause error) { l.down(duties, a, hello, cause) },
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

// agents are this entry's part of those of the directory, and its own.
func (l *links) agents(view *session.View) []*wire.AgentRecord {
	s := l.entry.settings
	agents := slices.Clip(agentSubset(s.Instance, s.AvailabilityZone, sortedAgents(view), l.neededNow()))
	if l.entry.local != nil {
		agents = append(agents, l.entry.local.record(view))
	}
	return agents
}

// network is how an agent is reached: the entry's own is in this process.
func (l *links) network(agent string) network.Network {
	if l.entry.local.is(agent) {
		return l.entry.local.network
	}
	return l.entry.network
}

// again applies the present view once more, after the entry's own agent has other servers.
func (l *links) again() {
	l.viewChanged(l.entry.control.View())
}

func (l *links) up(ctx context.Context, a *agentLink, hello *wire.AgentHello) {
	l.mu.Lock()
	a.up = true
	l.mu.Unlock()
	l.entry.log.WithField("agent", hello.GetAgent()).WithField("incarnation", hello.GetIncarnation()).Info("link_up")
	l.entry.observe(hello.GetConfigVersion())
	_ = l.entry.tell(ctx, sched.AgentUp{Hello: hello})
}

func (l *links) down(ctx context.Context, a *agentLink, hello *wire.AgentHello, cause error) {
	l.entry.log.WithField("agent", a.dialer.Agent).WithField("incarnation", hello.GetIncarnation()).WithError(cause).Warn("link_down")
	l.entry.meter.linkLost()
	_ = l.entry.tell(ctx, sched.AgentDown{Agent: a.dialer.Agent, Incarnation: hello.GetIncarnation()})
	l.mu.Lock()
	defer l.mu.Unlock()
	a.up = false
	l.stopIfUnused(a)
}

func (l *links) failed(a *agentLink) {
	l.entry.meter.dialFailed()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopIfUnused(a)
}

// receive passes a message of an agent on. A full ring holds the link back.
func (l *links) receive(ctx context.Context, hello *wire.AgentHello, message *wire.AgentMessage) error {
	if beat := message.GetHeartbeat(); beat != nil {
		l.entry.observe(beat.GetConfigVersion())
		return nil
	}
	return l.entry.tell(ctx, sched.MessageReceived{Agent: hello.GetAgent(), Incarnation: hello.GetIncarnation(), Message: message})
}

// send passes a message of the scheduler on. What can't be sent is lost and counted; the scheduler asks again.
func (l *links) send(a sched.Send) {
	l.mu.Lock()
	to := l.byName[a.Agent]
	l.mu.Unlock()
	if to == nil || !to.dialer.Send(a.Incarnation, a.Message) {
		l.entry.meter.messageDropped()
	}
}
