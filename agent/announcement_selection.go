package agent

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// followInterval is the interval at which the announcements held by control are passed to the gates again. Three of
// them fit into the shortest silence after which a gate marks a server as suspect.
const followInterval = time.Second

// followState is the state of followLoop.
type followState struct {
	selectServers func(*session.View) []*wire.Announcement
	ended         map[string]serverEnd // of the servers whose end was passed to their gates
}

// serverEnd is the end of a server.
type serverEnd struct {
	at     time.Time
	absent bool // concluded from the server's absence from the directory, and not final
}

// AtAddress selects the servers that announced themselves with this address, IP:port, such as the server beside an
// agent.
func AtAddress(address string) func(*session.View) []*wire.Announcement {
	return func(view *session.View) []*wire.Announcement {
		var found []*wire.Announcement
		for _, announcement := range view.Announcements {
			if announcement.GetAddress() == address {
				found = append(found, announcement)
			}
		}
		return found
	}
}

// OfKind selects the servers of all pools of a kind, such as plain services, which have no agent beside them.
func OfKind(kind engine.Kind) func(*session.View) []*wire.Announcement {
	return func(view *session.View) []*wire.Announcement {
		pools := poolsByName(view)
		var found []*wire.Announcement
		for _, announcement := range view.Announcements {
			if pools[announcement.GetPool()].GetKind() == string(kind) {
				found = append(found, announcement)
			}
		}
		return found
	}
}

// WithoutAgent selects the model servers that no agent in the directory has listed for the duration wait. The function
// that it returns keeps state and may be called by one goroutine only.
//
// A deployment may have model servers on machines without an agent, or lose agents permanently. Without this selection
// such servers would announce themselves and yet get no requests: requests would be refused with "no server" while
// servers are idle. The wait covers agents that have just started and haven't listed their servers yet.
func WithoutAgent(wait time.Duration) func(*session.View) []*wire.Announcement {
	unlistedSince := make(map[string]time.Time) // time since which each start of a server has had no agent
	models := OfKind(engine.KindModel)
	return func(view *session.View) []*wire.Announcement {
		now, listed := time.Now(), ListedByAgents(view)
		previous := unlistedSince
		unlistedSince = make(map[string]time.Time)
		var found []*wire.Announcement
		for _, announcement := range models(view) {
			run := announcement.Run().String()
			if listed[run] {
				continue
			}
			since, known := previous[run]
			if !known {
				since = now
			}
			unlistedSince[run] = since
			if now.Sub(since) >= wait {
				found = append(found, announcement)
			}
		}
		return found
	}
}

// ListedByAgents returns the set of server starts that agents in the directory list, by name.
func ListedByAgents(view *session.View) map[string]bool {
	listed := make(map[string]bool)
	for _, agent := range view.Agents {
		for _, server := range agent.GetServers() {
			listed[server.GetServer()] = true
		}
	}
	return listed
}

// AnyOf selects what any of the selections does.
func AnyOf(selections ...func(*session.View) []*wire.Announcement) func(*session.View) []*wire.Announcement {
	return func(view *session.View) []*wire.Announcement {
		var found []*wire.Announcement
		for _, selects := range selections {
			found = append(found, selects(view)...)
		}
		return found
	}
}

func poolsByName(view *session.View) map[string]*wire.Pool {
	pools := make(map[string]*wire.Pool)
	for _, pool := range view.Desired.GetPools() {
		pools[pool.GetName()] = pool
	}
	return pools
}

// followLoop keeps the servers of this agent in line with the announcements that control holds.
func (a *Agent) followLoop(ctx context.Context) error {
	changed := make(chan struct{}, 1)
	a.session.Subscribe(func(*session.View) {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		a.syncServers(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (a *Agent) syncServers(ctx context.Context) {
	view := a.session.View()
	pools := poolsByName(view)
	announced := make(map[string]bool)
	for _, announcement := range a.follow.selectServers(view) {
		pool := pools[announcement.GetPool()]
		if pool == nil {
			continue
		}
		announced[announcement.Run().String()] = true
		a.followAnnouncement(ctx, announcement, pool)
	}
	for _, s := range a.servers.all() {
		if s.view.Load().announced() && !announced[s.name] && a.follow.recordEnd(s.name, true) {
			_ = s.leaveAbsent(ctx)
		}
	}
	a.removeEndedServers(announced, time.Now())
}

// recordEnd records that a server ended and reports whether its gate doesn't know that yet.
func (f *followState) recordEnd(server string, absent bool) bool {
	if end, known := f.ended[server]; known && (!end.absent || absent) {
		return false
	}
	f.ended[server] = serverEnd{at: time.Now(), absent: absent}
	return true
}

// recordReturn records that the directory lists a server that it didn't list before.
func (f *followState) recordReturn(server string) {
	if f.ended[server].absent {
		delete(f.ended, server)
	}
}

// followAnnouncement passes an announcement to the server's gate. It announces also a server that is draining, since
// only an announced server can leave.
func (a *Agent) followAnnouncement(ctx context.Context, announcement *wire.Announcement, pool *wire.Pool) {
	run := announcement.Run().String()
	s, err := a.servers.getOrCreateAnnounced(run)
	if err == nil {
		err = s.announce(ctx, newServerRecord(announcement, pool), announcement.GetDraining())
	}
	if err != nil {
		a.log.WithField("server", run).WithError(err).Warn("announcement_refused")
		return
	}
	a.followDraining(ctx, s, announcement)
}

// followDraining has a server leave that announces that it is draining.
func (a *Agent) followDraining(ctx context.Context, s *server, announcement *wire.Announcement) {
	if !announcement.GetDraining() {
		a.follow.recordReturn(s.name)
		return
	}
	if a.follow.recordEnd(s.name, false) {
		_ = s.leave(ctx, "draining")
	}
}

func newServerRecord(announcement *wire.Announcement, pool *wire.Pool) *wire.ServerRecord {
	return &wire.ServerRecord{
		Server:  announcement.Run().String(),
		Kind:    pool.GetKind(),
		Address: schemeHTTP + announcement.GetAddress(),
		Models:  []string{pool.GetName()},
		Slots:   announcement.GetSlots(),

		TokensPerEvent: pool.GetTokensPerEvent(),
		HealthPath:     pool.GetHealthPath(),
		Version:        announcement.GetVersion(),
		Suspends:       pool.GetSuspends(),
		SuspendedMs:    pool.GetSuspendedMs(),
		MaxConnections: pool.GetMaxConnections(),
		Capabilities: &wire.Capabilities{
			Fencing:      string(engine.FencingIgnores),
			Resume:       pool.GetKind() == string(engine.KindModel),
			OnDisconnect: string(engine.DisconnectCancels),
		},
	}
}
