package sched

import (
	"time"

	"github.com/carawaypitch/carawaypitch/poison"
)

// Trace summarises what happened to a request, for the log line at its end: what was decided, and based on which
// information.
type Trace struct {
	// Tier is the request's tier, 1 for the highest.
	Tier uint32
	// Fingerprint identifies the request across its repeats.
	Fingerprint poison.Fingerprint
	// Server is the server of the last attempt, empty without one.
	Server string
	// Version is the software version of the server that began the answer, empty before that or if it didn't say.
	Version string
	// Attempts counts the attempts sent; Refusals those of them, and the reservations, that were proved never
	// started.
	Attempts, Refusals int
	// BrokenOff counts the attempts whose answers servers broke off.
	BrokenOff int
	// Runs are the runs that contributed events to the answer, in order, at most maxTracedRuns of them. RunsLeftOut counts the
	// others.
	Runs        []RunTrace
	RunsLeftOut int
	// SentAfter is the time from the arrival to the last attempt, 0 without one.
	SentAfter time.Duration
	// FirstEventAfter is the time from the arrival to the first event of the answer, 0 without one.
	FirstEventAfter time.Duration
	// LongestPause is the longest time between two events of the answer as they arrived here, 0 with fewer than
	// two.
	LongestPause time.Duration
	// DueAfter is the time from the arrival until the answer or its first event was due.
	DueAfter time.Duration
	// Overdue reports whether the caller had retried after its objective.
	Overdue bool
	// Ahead is the estimated number of queued requests of the pool that go first, as of the end.
	Ahead int
	// ReadyServers and ServersWithRoom count the servers of the pool that may have new work, and those of them with
	// room, as of the end.
	ReadyServers, ServersWithRoom int
	// RoomAge is the age of the oldest Room report of a ready server of the pool, as of the end.
	RoomAge time.Duration
	// PoolDispatchRate is the rate, per second, at which this entry dispatches requests of the pool, as of the end.
	PoolDispatchRate float64
	// ForecastWait is the last forecast of the time until the request begins, 0 without one.
	ForecastWait time.Duration
	// ForecastView says which view of the demand the forecast used, and ForecastViewAge how old it was; empty without
	// Options.FleetDemand.
	ForecastView    string
	ForecastViewAge time.Duration
	// Excess reports whether the request went behind those of others, since its organisation held more than its share.
	Excess bool
	// Rank is the position of the request's class within its tier, 1 for the first; 0 for a class ordered by its targets.
	Rank uint32
	// HeldFor is how long the request was queued as one that would begin late.
	HeldFor time.Duration
	// Placement is why the last attempt went to its server, empty unless requests are placed by length. The others state
	// what that was based on: the expected and the upper length in tokens, the expected run time, and the time from the end
	// of the upper length to the deadline.
	Placement                      string
	ExpectedTokens, UpperTokens    uint32
	ExpectedRunTime, DeadlineSlack time.Duration
}

// trace returns the Trace of a request as of the current time.
func (s *Scheduler) trace(r *request) Trace {
	t := Trace{
		Tier:        uint32(r.tier) + 1,
		Fingerprint: r.fingerprint,
		Version:     r.version,

		Attempts:        len(r.attempts),
		Refusals:        r.refusals,
		BrokenOff:       r.brokenOff,
		DueAfter:        r.dueAt().Sub(r.Arrived),
		Overdue:         r.Overdue,
		Ahead:           s.requestsAhead(r),
		ReadyServers:    r.pool.ready,
		ServersWithRoom: r.pool.withRoom,
		RoomAge:         s.roomAge(r.pool),

		LongestPause:     r.longestPause,
		PoolDispatchRate: r.pool.dispatchRate.value(s.now),

		ForecastWait: r.forecastWait,

		ForecastView:    r.forecastView,
		ForecastViewAge: r.viewAge,
		Excess:          r.arrivedInExcess > 0,

		Rank:    r.class.spec.GetPrecedence(),
		HeldFor: r.heldFor(s.now),

		Placement:       r.placement.reason,
		ExpectedTokens:  r.estimatedOutput,
		UpperTokens:     r.upperOutput,
		ExpectedRunTime: r.placement.finish,
		DeadlineSlack:   r.placement.slack,
	}
	t.Runs, t.RunsLeftOut = r.tracedRuns()
	if len(r.attempts) > 0 {
		t.Server = r.currentRecord().server
		t.SentAfter = r.currentRecord().sent.Sub(r.Arrived)
	}
	if !r.firstEventAt.IsZero() {
		t.FirstEventAfter = r.firstEventAt.Sub(r.Arrived)
	}
	return t
}

// roomAge returns the age of the oldest Room report of the pool's ready servers.
func (s *Scheduler) roomAge(p *pool) time.Duration {
	var oldest time.Duration
	for _, v := range p.servers {
		if v.ready {
			oldest = max(oldest, s.now.Sub(v.roomAt))
		}
	}
	return oldest
}
