package entry

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// Bounds by which an entry counts as congested: inputs of the scheduler have waited for it all through a window. A burst, or
// a process that stood still, makes inputs wait for a moment only.
const (
	congestionWindow  = 300 * time.Millisecond
	congestionLag     = 50 * time.Millisecond
	congestionSamples = 8 // fewest inputs in a window
)

// congestion observes how long inputs wait for the scheduler goroutine. observe is for that goroutine alone.
type congestion struct {
	windowEnd time.Time
	shortest  time.Duration // wait in the window
	samples   int

	until atomic.Int64 // Unix time in nanoseconds until which the entry counts as congested
}

// observe notes that an input was taken at a time, and how long it had waited.
func (c *congestion) observe(now time.Time, waited time.Duration) {
	if now.After(c.windowEnd) {
		if c.samples >= congestionSamples && c.shortest >= congestionLag && now.Sub(c.windowEnd) < congestionWindow {
			c.until.Store(now.Add(congestionWindow).UnixNano())
		}
		c.windowEnd, c.shortest, c.samples = now.Add(congestionWindow), waited, 0
	}
	c.shortest = min(c.shortest, waited)
	c.samples++
}

// isCongested reports whether the entry has more work than its processor does.
func (c *congestion) isCongested(now time.Time) bool { return now.UnixNano() < c.until.Load() }

// turnAwayReason is why a new connection is closed unread, empty if it is read.
type turnAwayReason string

const (
	turnAwayScheduler turnAwayReason = "scheduler" // inputs of the scheduler wait
	turnAwayProcessor turnAwayReason = "processor" // new connections wait for the processor
)

// turnsAway returns why a connection that was just accepted is closed without being read. Callers that connect again
// probably reach another entry; a request that was read here would be late. The only entry reads what its scheduler takes.
func (e *Entry) turnsAway() turnAwayReason {
	now := time.Now()
	switch {
	case e.congestion.isCongested(now) && len(e.control.View().Entries) > 1:
		return turnAwayScheduler
	case !e.intake.admits(now): // last, since what it admits has to be read
		return turnAwayProcessor
	default:
		return ""
	}
}

// turnedAwayLogInterval is the shortest time between two log lines about connections that were turned away.
const turnedAwayLogInterval = time.Second

// turnedAwayLog counts the connections that were turned away since the last log line. Only the accepting goroutine uses it.
type turnedAwayLog struct {
	at    time.Time
	count int
}

// noteTurnedAway counts a connection that was turned away, and logs how many there were.
func (e *Entry) noteTurnedAway(since *turnedAwayLog, reason turnAwayReason) {
	e.meter.add(fmt.Sprintf("%s{reason=%q}", metricTurnedAway, reason), 1)
	since.count++
	if now := time.Now(); now.Sub(since.at) >= turnedAwayLogInterval {
		e.log.WithField("connections", since.count).WithField("reason", reason).WithField("limit_per_s", int(e.intake.inForce())).
			WithField("running", e.inFlight.Load()).WithField("active", e.active.Load()).Warn("connections_turned_away")
		*since = turnedAwayLog{at: now}
	}
}

// turningListener closes connections unread for which turnsAway returns a reason. turnedAway is called for each.
type turningListener struct {
	net.Listener
	turnsAway  func() turnAwayReason
	turnedAway func(turnAwayReason)
}

// Accept implements net.Listener.
func (l turningListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		reason := l.turnsAway()
		if reason == "" {
			return conn, nil
		}
		conn.Close()
		l.turnedAway(reason)
	}
}
