package agent

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// followInterval is how often what control says of the servers counts as a new announcement. It fits three times into
// the shortest silence after which a gate suspects a server.
const followInterval = time.Second

// followState is what the followState duty knows of the servers that announce themselves to control.
type followState struct {
	selectServers func(*session.View) []*wire.Announcement
	endedAt       map[string]time.Time // servers whose end was passed on, and when
}

// AtAddress selects the servers that announced themselves at an address, which is that of the one beside this agent.
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

// WithoutAgent selects the model servers that no agent of the directory lists, once that has been so for some time. Only one
// goroutine may call what it returns.
//
// A deployment may have model servers with no agent's machine beside them, or lose agents for good. Their servers announce
// themselves, so they are there, and would get no request at all. One would notice by refusals with "no server" while
// servers are idle. The wait is for agents that have just started and haven't told of their servers yet.
func WithoutAgent(wait time.Duration) func(*session.View) []*wire.Announcement {
	unlistedSince := make(map[string]time.Time) // since when each run has had no agent
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

// ListedByAgents are the runs of servers that agents of the directory list.
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

// followLoop takes the servers of this agent from what control says.
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
		if s.view.Load().announced() && !announced[s.name] && a.follow.recordEnd(s.name) {
			_ = s.leave(ctx, "ended")
		}
	}
	a.removeEndedServers(announced, time.Now())
}

// recordEnd notes a server's end, and tells whether it is news.
func (f *followState) recordEnd(server string) bool {
	if _, known := f.endedAt[server]; known {
		return false
	}
	f.endedAt[server] = time.Now()
	return true
}

// followAnnouncement passes one announcement on. A server that leaves is announced first: its gate must know it.
func (a *Agent) followAnnouncement(ctx context.Context, announcement *wire.Announcement, pool *wire.Pool) {
	run := announcement.Run().String()
	s, err := a.servers.getOrCreateAnnounced(run)
	if err == nil {
		err = s.announce(ctx, newServerRecord(announcement, pool))
	}
	if err != nil {
		a.log.WithField("server", run).WithError(err).Warn("announcement_refused")
		return
	}
	if announcement.GetDraining() && a.follow.recordEnd(run) {
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
		MaxConnections: pool.GetMaxConnections(),
		Capabilities: &wire.Capabilities{
			Fencing:      string(engine.FencingIgnores),
			Resume:       pool.GetKind() == string(engine.KindModel),
			OnDisconnect: string(engine.DisconnectCancels),
		},
	}
}
