package sched

import (
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Bounds of attempts that are cleaned up after their request has its final answer.
const (
	maxLingers   = 4096
	lingerPeriod = 10 * time.Minute
)

// linger is an attempt that wasn't proved over when its request ended. Nobody waits for it; it is only cancelled
// again when its agent comes back, so that the engine doesn't work for nobody.
type linger struct {
	id          *wire.AttemptID
	server      string
	agent       string
	incarnation uint64
	until       time.Time
}

// lingerTable holds them in the order of their end. Its size is bounded: the oldest is forgotten first.
type lingerTable struct {
	items []linger
}

func newLingerTable() *lingerTable {
	return &lingerTable{}
}

// linger keeps the present attempt of a request that ends, unless it is proved over.
func (s *Scheduler) linger(r *request) {
	if r.record().proved {
		return
	}
	a := r.attempt
	if len(s.lingers.items) >= maxLingers {
		s.lingers.items = s.lingers.items[1:]
	}
	s.lingers.items = append(s.lingers.items, linger{
		id: a.id, server: a.server.name, agent: a.agent.name, incarnation: a.incarnation, until: s.now.Add(lingerPeriod),
	})
}

// over forgets an attempt that is proved over.
func (t *lingerTable) over(a *agent, id *wire.AttemptID) {
	t.drop(func(l *linger) bool { return l.agent == a.name && same(l.id, id) })
}

func (t *lingerTable) proved(id *wire.AttemptID) {
	t.drop(func(l *linger) bool { return same(l.id, id) })
}

// up cancels what is left at an agent that is back, and forgets what its newer incarnation proves over.
func (t *lingerTable) up(s *Scheduler, a *agent) {
	t.drop(func(l *linger) bool { return l.agent == a.name && l.incarnation < a.incarnation })
	for i := range t.items {
		l := &t.items[i]
		if l.agent == a.name {
			s.send(a, cancelMessage(l.id, l.server, wire.CancelCause_CANCEL_CAUSE_DEADLINE))
		}
	}
}

func (t *lingerTable) expire(now time.Time) {
	for len(t.items) > 0 && !now.Before(t.items[0].until) {
		t.items = t.items[1:]
	}
}

func (t *lingerTable) drop(over func(*linger) bool) {
	kept := t.items[:0]
	for i := range t.items {
		if !over(&t.items[i]) {
			kept = append(kept, t.items[i])
		}
	}
	clear(t.items[len(kept):])
	t.items = kept
}

func same(a, b *wire.AttemptID) bool {
	return a.GetRequest() == b.GetRequest() && a.GetNumber() == b.GetNumber()
}
