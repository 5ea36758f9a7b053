package entry

import "time"

// neededFor is how long the agents of servers that an operation may have run on stay linked: longer than any call.
const neededFor = 10 * time.Minute

// need has the agents of servers linked, for an operation that another entry began: only they can tell what became of it.
func (l *links) need(servers []string) {
	l.mu.Lock()
	isNew := false
	for _, server := range servers {
		isNew = isNew || l.needed[server].IsZero()
		l.needed[server] = time.Now().Add(neededFor)
	}
	l.mu.Unlock()
	if isNew {
		l.again()
	}
}

// neededNow returns the servers that are needed still.
func (l *links) neededNow() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	needed := make(map[string]bool, len(l.needed))
	for server, until := range l.needed {
		if now.After(until) {
			delete(l.needed, server)
			continue
		}
		needed[server] = true
	}
	return needed
}
