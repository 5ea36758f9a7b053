package agent

import (
	"context"
	"time"
)

// retireAfter is how long a backend server whose name has ended stays known after it was drained: longer than a message
// about it can be under way. Its tombstones aren't needed beyond that, since the name never comes back.
const retireAfter = 30 * time.Second

// retire forgets backend servers whose names have ended for good, and ends their gate duties.
//
// A platform gives each start of a server a new name. Without this an agent that lives through 64 starts of its server
// takes no more, so that the server gets no work any longer, and each server that is gone goes on costing a tick.
func (a *Agent) retire(announced map[string]bool, now time.Time) {
	for _, s := range a.servers.all() {
		since, ended := a.follow.ended[s.name]
		view := s.view.Load()
		if ended && !announced[s.name] && view.drained && now.Sub(since) >= retireAfter {
			a.servers.forget(s.name)
			delete(a.follow.ended, s.name)
			s.log.Info("server_forgotten")
		}
	}
}

// forget ends a server's duty. Messages about it meet a new gate, which never has an engine.
func (l *servers) forget(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.list[name]; s != nil {
		delete(l.list, name)
		s.end()
	}
}

// runUntilForgotten runs the gate duty until ctx ends or the server is forgotten.
func (s *server) runUntilForgotten(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(s.forgotten, stop)()
	s.run(ctx)
}
