package agent

import (
	"context"

	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Control is the part of a session with control that the agent uses. session.Session implements it.
type Control interface {
	Run(ctx context.Context) error
	SetServers(servers []*wire.ServerRecord)
	Propose(ctx context.Context, command *wire.Command) (*wire.CommandResult, error)
	Orders() <-chan *wire.Order
	Report(outcome *wire.OrderResult)
	ReportStreamOrigins(*wire.StreamOrigins)
	Ready() error
	View() *session.View
	Subscribe(fn func(*session.View))
	ObserveVersion(version uint64) bool
	AddControls(addresses []string)
}

var _ Control = (*session.Session)(nil)

// runSession runs the session with control. The session registers this incarnation at once, so it is started after the
// recovery. An agent that takes its servers from control needs the session earlier; the session then delays the
// registration itself until the recovery.
func (a *Agent) runSession(ctx context.Context) error {
	if a.follow.selectServers == nil && !a.awaitRecovery(ctx) {
		return nil
	}
	err := a.session.Run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// signalServerChanged signals that the directory record may have changed. The servers' event loops call it.
func (a *Agent) signalServerChanged(*server) {
	select {
	case a.serversChanged <- struct{}{}:
	default:
	}
}

// directoryLoop keeps the directory record in line with the servers. Announcements without a change cause no commit.
func (a *Agent) directoryLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.serversChanged:
		}
		a.updateDirectory()
	}
}

func (a *Agent) updateDirectory() {
	records := a.servers.records()
	if sameRecords(records, a.directory) {
		return
	}
	a.directory = records
	a.session.SetServers(records)
}

// viewLoop applies each new committed view: advice, a newer incarnation of this agent, drains and ended entries.
func (a *Agent) viewLoop(ctx context.Context) error {
	a.session.Subscribe(func(*session.View) {
		select {
		case a.viewChanged <- struct{}{}:
		default:
		}
	})
	incarnations := entryIncarnations{}
	drains := drainDetector{}
	advice := forwardedAdvice{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.viewChanged:
		}
		view := a.session.View()
		a.forwardAdvice(ctx, &advice, view)
		own := view.Agents[a.settings.Instance]
		if own.GetIncarnation() > a.incarnation {
			return ErrSuperseded
		}
		if own.GetIncarnation() < a.incarnation {
			own = nil
		}
		a.drainServers(ctx, drains.update(own))
		a.forwardEndedEntries(ctx, incarnations.update(view.Entries))
	}
}

// forwardedAdvice is the advice that the gates were last sent. A new gate reads the directory's advice itself.
type forwardedAdvice struct {
	senders  int
	versions map[string]uint64
}

// forwardAdvice sends the gates what has changed in the directory's advice, and the number of agents that share it.
func (a *Agent) forwardAdvice(ctx context.Context, forwarded *forwardedAdvice, view *session.View) {
	if senders := a.senders(view); senders != forwarded.senders {
		forwarded.senders = senders
		a.servers.broadcast(ctx, gateEvent{gate.SendersChanged{Count: senders}})
	}
	versions := make(map[string]uint64, len(view.Advice))
	for name, record := range view.Advice {
		versions[name] = record.GetVersion()
	}
	for _, s := range a.servers.all() {
		if versions[s.name] == forwarded.versions[s.name] {
			continue
		}
		if s.push(ctx, directoryAdvice{view.Advice[s.name]}) != nil {
			return
		}
	}
	forwarded.versions = versions
}

func (a *Agent) forwardEndedEntries(ctx context.Context, ended []gate.EntryID) {
	for _, id := range ended {
		a.log.WithField("entry", id.Name).WithField("incarnation", id.Incarnation).Info("entry_ended")
		a.servers.broadcast(ctx, gateEvent{gate.EntryEnded{Entry: id}})
	}
}

// entryIncarnations tracks which entry incarnations are in the directory.
type entryIncarnations struct {
	known map[gate.EntryID]bool
}

// update replaces the tracked entries and returns the incarnations that have disappeared.
func (e *entryIncarnations) update(entries map[string]*wire.EntryRecord) []gate.EntryID {
	known := make(map[gate.EntryID]bool, len(entries))
	for _, entry := range entries {
		known[gate.EntryID{Name: entry.GetEntry(), Incarnation: entry.GetIncarnation()}] = true
	}
	var ended []gate.EntryID
	for id := range e.known {
		if !known[id] {
			ended = append(ended, id)
		}
	}
	e.known = known
	return ended
}

// orderLoop handles the orders from control.
func (a *Agent) orderLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case order := <-a.session.Orders():
			a.orders.handle(ctx, order)
		}
	}
}
