package control

import (
	"fmt"
	"sync"
)

// maxForeignSources bounds the pairs of source and reason that are remembered.
const maxForeignSources = 256

// foreignMessages remembers which sources of messages that name no backend server were logged, so that a source that
// keeps sending causes one log line for each reason. All messages are counted.
type foreignMessages struct {
	mu   sync.Mutex
	seen map[foreignSource]bool
}

type foreignSource struct{ source, reason string }

// markSeen records a source and reason, and reports whether they are to be logged: they were not recorded before and
// there is room for them.
func (f *foreignMessages) markSeen(source, reason string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := foreignSource{source, reason}
	if f.seen[key] || len(f.seen) >= maxForeignSources {
		return false
	}
	if f.seen == nil {
		f.seen = make(map[foreignSource]bool)
	}
	f.seen[key] = true
	return true
}

// RecordForeignMessage counts a message that claims to come from a backend server and cannot, and logs the first one of
// each source and reason.
func (c *Control) RecordForeignMessage(source, reason string, err error) {
	c.counters.set.GetOrCreateCounter(fmt.Sprintf("carawaypitch_foreign_messages_total{reason=%q}", reason)).Inc()
	if c.foreignMessages.markSeen(source, reason) {
		c.log.WithField("source", source).WithField("reason", reason).WithError(err).Warn("foreign_message")
	}
}
