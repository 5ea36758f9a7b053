package entry

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the limit on new connections.
const (
	intakeWindow = 100 * time.Millisecond // of one judgement
	// intakeLag is the average wait of new connections for their goroutine to run from which the processor counts as short.
	// A request waits as long at each of its steps, and callers expect the answers of plain services within some 100 ms.
	intakeLag = 30 * time.Millisecond
	// intakeSamples is the fewest connections by which a window is judged.
	intakeSamples = 4
	// intakeShort is the number of windows in a row, all of them short of the processor, after which connections are limited.
	// A process that stood still shows one.
	intakeShort = 2
	// intakeSettle is the number of windows after a decrease in which the connections read before it may still be waiting.
	intakeSettle = 3
	// intakeFree is the number of windows in a row without a connection turned away after which there is no limit any more.
	intakeFree     = 10
	intakeDecrease = 0.7
	intakeIncrease = 1.07
	// leastIntake is the number of connections per second that are read however short the processor is.
	leastIntake = 20
)

// intake limits how many new connections are read while the processor is short: to less than it was, and then to more
// until the processor is short again. An entry that reads all of them works on each at the pace of those that have
// been given up: goroutines wait for each other at every step, offers of servers lapse, and no request ends in time.
type intake struct {
	mu     sync.Mutex
	window intakeCounts
	ends   time.Time // of the window
	short  int       // windows in a row that were short of the processor
	free   int       // windows in a row in which no connection was turned away
	settle int       // windows until the next decrease

	unread int       // connections that were admitted and not read yet
	oldest time.Time // when about the first of them was accepted

	limit  float64 // connections per second, 0 for no limit
	tokens float64
	filled time.Time // when tokens were added
}

// intakeCounts are the connections of a window.
type intakeCounts struct {
	admitted, turnedAway, samples int
	waited                        time.Duration // sum over the samples
}

// admits reports whether a connection that has just been accepted is read. observe must follow for each that is.
func (i *intake) admits(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.judge(now)
	if i.limit > 0 && !i.takeToken(now) {
		i.window.turnedAway++
		return false
	}
	i.window.admitted++
	if i.unread == 0 {
		i.oldest = now
	}
	i.unread++
	return true
}

func (i *intake) takeToken(now time.Time) bool {
	i.tokens = min(i.tokens+i.limit*now.Sub(i.filled).Seconds(), max(i.limit*intakeWindow.Seconds(), 1))
	i.filled = now
	if i.tokens < 1 {
		return false
	}
	i.tokens--
	return true
}

// observe notes how long a connection waited from its acceptance until it was read.
func (i *intake) observe(now time.Time, waited time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.judge(now)
	i.window.waited += min(waited, 10*intakeLag) // one connection doesn't decide
	i.window.samples++
	i.unread--
	i.oldest = now.Add(-waited)
}

// judge adapts the limit if a window has ended.
func (i *intake) judge(now time.Time) {
	if now.Before(i.ends) {
		return
	}
	w, took := i.window, now.Sub(i.ends)+intakeWindow
	i.window, i.ends = intakeCounts{}, now.Add(intakeWindow)
	isShort := w.samples >= intakeSamples && w.waited >= time.Duration(w.samples)*intakeLag ||
		w.samples < intakeSamples && i.unread >= intakeSamples && now.Sub(i.oldest) >= intakeLag
	i.short = countIf(isShort, i.short)
	i.free = countIf(w.turnedAway == 0, i.free)
	i.settle = max(i.settle-1, 0)
	switch {
	case isShort && i.settle == 0 && (i.limit > 0 || i.short >= intakeShort):
		i.decrease(float64(w.samples)/took.Seconds(), now)
	case i.limit > 0 && i.free >= intakeFree:
		i.limit = 0
	case i.limit > 0 && !isShort && w.turnedAway > 0:
		i.limit *= intakeIncrease
	}
}

// decrease lowers the limit to less than the rate at which the processor came to connections, so that those which wait go first.
func (i *intake) decrease(rate float64, now time.Time) {
	if i.limit == 0 {
		i.limit, i.filled = rate, now
	}
	i.limit = max(min(i.limit, rate)*intakeDecrease, leastIntake)
	i.settle = intakeSettle
}

// inForce returns the limit in connections per second, 0 for none.
func (i *intake) inForce() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.limit
}

// countIf returns one more than a count if the condition holds, and 0 otherwise.
func countIf(holds bool, count int) int {
	if !holds {
		return 0
	}
	return count + 1
}

// intakeListener calls began once for each connection, with the time from its acceptance until it is first read. While the
// processor is short, that is how long the goroutine of a new connection waits to run.
type intakeListener struct {
	net.Listener
	began func(waited time.Duration)
}

// Accept implements net.Listener.
func (l intakeListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &intakeConn{Conn: conn, began: l.began, acceptedAt: time.Now()}, nil
}

// intakeConn is a connection of an intakeListener.
type intakeConn struct {
	net.Conn
	began      func(waited time.Duration)
	acceptedAt time.Time
	hasBegun   atomic.Bool
}

// NetConn returns the connection that is observed.
func (c *intakeConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *intakeConn) Read(b []byte) (int, error) {
	c.begin()
	return c.Conn.Read(b)
}

// Close implements net.Conn.
func (c *intakeConn) Close() error {
	c.begin()
	return c.Conn.Close()
}

func (c *intakeConn) begin() {
	if c.hasBegun.CompareAndSwap(false, true) {
		c.began(time.Since(c.acceptedAt))
	}
}
