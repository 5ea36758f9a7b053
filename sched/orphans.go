package sched

import (
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Bounds of orphans.
const (
	maxOrphans      = 4096
	orphanRetention = 10 * time.Minute
)

// orphan is an attempt that wasn't proved over when its request ended. It is cancelled again when its agent
// reconnects, so that the engine doesn't compute an answer that nobody waits for.
type orphan struct {
	id          *wire.AttemptID
	server      string
	agent       string
	incarnation uint64
	until       time.Time
}

// orphanTable holds orphans in the order of their expiry. Its size is bounded: the oldest is dropped first.
type orphanTable struct {
	items []orphan
}

func newOrphanTable() *orphanTable {
	return &orphanTable{}
}

// keepOrphan adds the current attempt of a request that ends, unless it is proved over.
func (s *Scheduler) keepOrphan(r *request) {
	if r.currentRecord().provedOver {
		return
	}
	a := r.attempt
	if len(s.orphans.items) >= maxOrphans {
		s.orphans.items = s.orphans.items[1:]
	}
	s.orphans.items = append(s.orphans.items, orphan{
		id: a.id, server: a.server.name, agent: a.agent.name, incarnation: a.incarnation, until: s.now.Add(orphanRetention),
	})
}

// removeReported removes an attempt that its agent reports over.
func (t *orphanTable) removeReported(a *agent, id *wire.AttemptID) {
	t.removeWhere(func(o *orphan) bool { return o.agent == a.name && sameAttempt(o.id, id) })
}

func (t *orphanTable) removeProved(id *wire.AttemptID) {
	t.removeWhere(func(o *orphan) bool { return sameAttempt(o.id, id) })
}

// agentUp cancels the orphans at an agent that reconnected, and removes those that its newer incarnation proves
// over.
func (t *orphanTable) agentUp(s *Scheduler, a *agent) {
	t.removeWhere(func(o *orphan) bool { return o.agent == a.name && o.incarnation < a.incarnation })
	for i := range t.items {
		o := &t.items[i]
		if o.agent == a.name {
			s.send(a, cancelMessage(o.id, o.server, wire.CancelCause_CANCEL_CAUSE_DEADLINE))
		}
	}
}

func (t *orphanTable) expire(now time.Time) {
	for len(t.items) > 0 && !now.Before(t.items[0].until) {
		t.items = t.items[1:]
	}
}

func (t *orphanTable) removeWhere(match func(*orphan) bool) {
	kept := t.items[:0]
	for i := range t.items {
		if !match(&t.items[i]) {
			kept = append(kept, t.items[i])
		}
	}
	clear(t.items[len(kept):])
	t.items = kept
}

func sameAttempt(a, b *wire.AttemptID) bool {
	return a.GetRequest() == b.GetRequest() && a.GetNumber() == b.GetNumber()
}
