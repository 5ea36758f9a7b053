package entry

import (
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

// turnsAway reports whether new connections are closed without being read: this entry is congested, and there are others.
// Callers that connect again probably reach another one; a request that was read here would be late.
func (e *Entry) turnsAway() bool {
	return e.congestion.isCongested(time.Now()) && len(e.control.View().Entries) > 1
}

// turnedAwayLogInterval is the shortest time between two log lines about connections that were turned away.
const turnedAwayLogInterval = time.Second

// turnedAwayLog counts the connections that were turned away since the last log line. Only the accepting goroutine uses it.
type turnedAwayLog struct {
	at    time.Time
	count int
}

// noteTurnedAway counts a connection that was turned away, and logs how many there were.
func (e *Entry) noteTurnedAway(since *turnedAwayLog) {
	e.meter.add(metricTurnedAway, 1)
	since.count++
	if now := time.Now(); now.Sub(since.at) >= turnedAwayLogInterval {
		e.log.WithField("connections", since.count).WithField("running", e.inFlight.Load()).WithField("active", e.active.Load()).Warn("connections_turned_away")
		*since = turnedAwayLog{at: now}
	}
}

// turningListener closes connections unread while turnsAway reports true. turnedAway is called for each.
type turningListener struct {
	net.Listener
	turnsAway  func() bool
	turnedAway func()
}

// Accept implements net.Listener.
func (l turningListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || !l.turnsAway() {
			return conn, err
		}
		conn.Close()
		l.turnedAway()
	}
}

// readListener calls began once for each connection, with the time from its acceptance until it is first read. While the
// processor is short, that is how long the goroutine of a new connection waits to run.
type readListener struct {
	net.Listener
	began func(waited time.Duration)
}

// Accept implements net.Listener.
func (l readListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &readConn{Conn: conn, began: l.began, acceptedAt: time.Now()}, nil
}

// readConn is a connection of a readListener. Only one goroutine reads from a connection at a time.
type readConn struct {
	net.Conn
	began      func(waited time.Duration)
	acceptedAt time.Time
	isRead     bool
}

// NetConn returns the connection that is observed.
func (c *readConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *readConn) Read(b []byte) (int, error) {
	if !c.isRead {
		c.isRead = true
		c.began(time.Since(c.acceptedAt))
	}
	return c.Conn.Read(b)
}
