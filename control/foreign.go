package control

import (
	"fmt"
	"sync"
)

// maxForeign bounds the sources and reasons that are remembered.
const maxForeign = 256

// foreignMessages remembers which sources of messages that name no server were logged, so that a writer that goes on costs one line
// for each reason. All are counted.
type foreignMessages struct {
	mu   sync.Mutex
	seen map[foreignSource]bool
}

type foreignSource struct{ source, reason string }

// isNew tells whether a line is due.
func (f *foreignMessages) isNew(source, reason string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := foreignSource{source, reason}
	if f.seen[key] || len(f.seen) >= maxForeign {
		return false
	}
	if f.seen == nil {
		f.seen = make(map[foreignSource]bool)
	}
	f.seen[key] = true
	return true
}

// RecordForeignMessage counts a message that was sent in a server's name and can't be one of a server, and logs the first of a source and
// reason.
func (c *Control) RecordForeignMessage(source, reason string, err error) {
	c.counters.set.GetOrCreateCounter(fmt.Sprintf("carawaypitch_foreign_messages_total{reason=%q}", reason)).Inc()
	if c.foreign.isNew(source, reason) {
		c.log.WithField("source", source).WithField("reason", reason).WithError(err).Warn("foreign_message")
	}
}
