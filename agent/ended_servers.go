package agent

import (
	"context"
	"time"
)

// endedServerRetention is how long a backend server whose name has ended is kept after it was drained. It exceeds the
// time for which a message about it can be in flight. Its tombstones aren't needed longer, since the name is never
// used again.
const endedServerRetention = 30 * time.Second

// removeEndedServers removes drained backend servers whose names have ended for good, and ends their event loops.
//
// The platform gives each start of a server a new name. Without the removal an agent would reach its limit after 64
// starts of its server and refuse the next one, so that the server would get no more work, and each ended server would
// go on costing a tick.
func (a *Agent) removeEndedServers(announced map[string]bool, now time.Time) {
	for _, s := range a.servers.all() {
		end, ended := a.follow.ended[s.name]
		view := s.view.Load()
		if ended && !announced[s.name] && view.drained && now.Sub(end.at) >= endedServerRetention {
			a.servers.remove(s.name)
			delete(a.follow.ended, s.name)
			s.log.Info("server_forgotten")
		}
	}
}

// remove ends the event loop of a server. Later messages about it create a new gate, which never has an engine.
func (l *servers) remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.byName[name]; s != nil {
		delete(l.byName, name)
		s.endLifetime()
	}
}

// runUntilRemoved runs the event loop until ctx ends or the server is removed.
func (s *server) runUntilRemoved(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(s.lifetime, stop)()
	s.run(ctx)
}
