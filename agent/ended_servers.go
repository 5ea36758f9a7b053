package agent

import (
	"context"
	"time"
)

// endedServerRetention is how long a backend server whose name has ended stays known after it was drained: longer than a message
// about it can be under way. Its tombstones aren't needed beyond that, since the name never comes back.
const endedServerRetention = 30 * time.Second

// removeEndedServers forgets backend servers whose names have ended for good, and ends their gate duties.
//
// A platform gives each start of a server a new name. Without this an agent that lives through 64 starts of its server
// takes no more, so that the server gets no work any longer, and each server that is gone goes on costing a tick.
func (a *Agent) removeEndedServers(announced map[string]bool, now time.Time) {
	for _, s := range a.servers.all() {
		since, ended := a.follow.endedAt[s.name]
		view := s.view.Load()
		if ended && !announced[s.name] && view.drained && now.Sub(since) >= endedServerRetention {
			a.servers.remove(s.name)
			delete(a.follow.endedAt, s.name)
			s.log.Info("server_forgotten")
		}
	}
}

// remove ends a server's duty. Messages about it meet a new gate, which never has an engine.
func (l *servers) remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.byName[name]; s != nil {
		delete(l.byName, name)
		s.endLifetime()
	}
}

// runUntilRemoved runs the gate duty until ctx ends or the server is forgotten.
func (s *server) runUntilRemoved(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(s.lifetime, stop)()
	s.run(ctx)
}
