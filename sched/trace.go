package sched

import (
	"time"

	"github.com/carawaypitch/carawaypitch/poison"
)

// Trace says what a request went through, for the log line about its end: what was decided, and by which evidence.
type Trace struct {
	// Tier is the request's, 1 for the highest.
	Tier uint32
	// Fingerprint identifies it over its repeats.
	Fingerprint poison.Fingerprint
	// Server is where its last attempt went, empty if it had none.
	Server string
	// Attempts were sent; Refusals of them, or of reservations, never started.
	Attempts, Refusals int
	// SentAfter is the time from its arrival to its last attempt, 0 without one.
	SentAfter time.Duration
	// FirstEventAfter is the time from its arrival to the first event of its answer, 0 without one.
	FirstEventAfter time.Duration
	// LongestPause is the longest time between two events of its answer as they came here, 0 with fewer than two.
	LongestPause time.Duration
	// DueAfter is the time from its arrival by which the answer or its first event was due.
	DueAfter time.Duration
	// Overdue says that its caller had come back after its objective.
	Overdue bool
	// Ahead is how many queued requests of its pool go first, as of its end.
	Ahead int
	// ReadyServers and ServersWithRoom are how many servers of its pool may have new work, and have room for it, as of its end.
	ReadyServers, ServersWithRoom int
	// RoomAge is how old the oldest word of a ready server about its room is, as of its end.
	RoomAge time.Duration
	// PoolDispatchRate is how many requests of the pool this entry dispatches a second, as of its end.
	PoolDispatchRate float64
}

// trace sums up a request that ends now.
func (s *Scheduler) trace(r *request) Trace {
	t := Trace{
		Tier:        uint32(r.tier) + 1,
		Fingerprint: r.fingerprint,

		Attempts:        len(r.attempts),
		Refusals:        r.refusals,
		DueAfter:        r.due().Sub(r.Arrived),
		Overdue:         r.Overdue,
		Ahead:           s.aheadOf(r),
		ReadyServers:    r.pool.ready,
		ServersWithRoom: r.pool.roomy,
		RoomAge:         s.roomAge(r.pool),

		LongestPause:     r.longestPause,
		PoolDispatchRate: r.pool.drain.value(s.now),
	}
	if len(r.attempts) > 0 {
		t.Server = r.record().server
		t.SentAfter = r.record().sent.Sub(r.Arrived)
	}
	if !r.firstEventAt.IsZero() {
		t.FirstEventAfter = r.firstEventAt.Sub(r.Arrived)
	}
	return t
}

// roomAge is how long ago the ready server that was silent longest spoke of its room.
func (s *Scheduler) roomAge(p *pool) time.Duration {
	var oldest time.Duration
	for _, v := range p.servers {
		if v.ready {
			oldest = max(oldest, s.now.Sub(v.roomAt))
		}
	}
	return oldest
}
