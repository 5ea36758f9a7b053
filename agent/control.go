package agent

import (
	"context"

	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Control is what the agent needs of its session with control. Package session gives it.
type Control interface {
	Run(ctx context.Context) error
	SetServers(servers []*wire.ServerRecord)
	Propose(ctx context.Context, command *wire.Command) (*wire.CommandResult, error)
	Orders() <-chan *wire.Order
	Report(outcome *wire.OrderResult)
	Ready() error
	View() *session.View
	Subscribe(fn func(*session.View))
	ObserveVersion(version uint64) bool
	AddControls(addresses []string)
}

var _ Control = (*session.Session)(nil)

// runSession keeps the session with control. The session registers this incarnation at once, so it waits for the
// release. An agent that hears of its servers from control needs the session before; the session then holds the
// registration back.
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

// signalServerChanged says that the directory record may have changed. It is called by gate duties.
func (a *Agent) signalServerChanged(*server) {
	select {
	case a.serversChanged <- struct{}{}:
	default:
	}
}

// directoryLoop keeps the directory record as the servers are. Announcements that change nothing lead to no commit.
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

// viewLoop takes what control committed.
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

// forwardedAdvice is what the gates were told of the advice of their servers. A gate that begins reads it itself.
type forwardedAdvice struct {
	senders  int
	versions map[string]uint64
}

// forwardAdvice tells the gates what has changed in the directory's advice, and how many agents share it.
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

// entryIncarnations remembers which entry incarnations control has in its directory.
type entryIncarnations struct {
	known map[gate.EntryID]bool
}

// update takes all entries and returns the incarnations that are there no longer.
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

// orderLoop takes orders.
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
