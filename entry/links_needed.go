package entry

import "time"

// neededLinkDuration is how long the agents of servers that may have run an operation stay linked. It is longer than
// any call.
const neededLinkDuration = 10 * time.Minute

// keepLinked keeps links to the agents of the given servers, for an operation begun by another entry: only these agents
// can report its outcome.
func (l *links) keepLinked(servers []string) {
	l.mu.Lock()
	hasNew := false
	for _, server := range servers {
		hasNew = hasNew || l.needed[server].IsZero()
		l.needed[server] = time.Now().Add(neededLinkDuration)
	}
	l.mu.Unlock()
	if hasNew {
		l.reapply()
	}
}

// currentlyNeeded returns the servers whose agents must stay linked, and removes expired ones.
func (l *links) currentlyNeeded() map[string]bool {
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
