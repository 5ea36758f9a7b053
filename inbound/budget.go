package inbound

import (
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// receiveBufferBytes is the receive buffer of a connection, which the kernel may fill with bytes that are not read yet. Linux
	// lets it grow to megabytes otherwise.
	receiveBufferBytes = 64 << 10
	// connectionBytes is what a connection takes: its receive buffer, goroutine, reader, writer and a small head.
	connectionBytes = receiveBufferBytes + 16<<10
	// tlsBytes is what TLS takes in addition: keys and records.
	tlsBytes = 64 << 10
	// smallBytes is what a connection may hold beyond that without using the part of large bodies.
	smallBytes = 64 << 10
	// largeShare is the part of the budget for what connections hold beyond smallBytes.
	largeShare = 0.3

	// stallTimeout is the time without progress from which a connection may be closed to make room for others.
	stallTimeout = 500 * time.Millisecond
	// recheckInterval is how often a waiting reservation looks for stalled connections.
	recheckInterval = 50 * time.Millisecond
	// maxLeaving bounds the connections that have been told to close and have not yet, beyond the limit on connections.
	maxLeaving = 64
)

// Errors of reservations. Nothing has been done with the request that they end.
var (
	// ErrNoRoom means that there was no room in time.
	ErrNoRoom = errors.New("inbound: no room for what the client sends")
	// ErrEvicted means that the connection was closed to make room for others.
	ErrEvicted = errors.New("inbound: closed to make room for other clients")
)

// IsRefusal reports whether an error is ErrNoRoom or ErrEvicted.
func IsRefusal(err error) bool { return errors.Is(err, ErrNoRoom) || errors.Is(err, ErrEvicted) }

// Limits bound what all connections of a process hold together.
type Limits struct {
	Bytes       int64 // connectionBytes for each connection, and what is read from it
	Connections int
}

// Budget counts what the connections of a process hold. It is safe for concurrent use.
type Budget struct {
	limits     Limits
	largeLimit int64
	observer   *observer
	made       time.Time

	mu      sync.Mutex
	conns   map[*Conn]struct{}
	held    amount // by all connections
	leaving amount // by those that have been evicted
	evicted int    // connections
	waiters []*waiter
}

// amount is a number of bytes, and how many of them are in the part of large bodies.
type amount struct{ bytes, large int64 }

func (a *amount) add(b amount) {
	a.bytes += b.bytes
	a.large += b.large
}

func (a *amount) subtract(b amount) {
	a.bytes -= b.bytes
	a.large -= b.large
}

// with returns the amount of a connection that holds the given number of bytes beyond its own.
func (c *Conn) with(extra int64) amount {
	return amount{bytes: c.own + extra, large: max(0, extra-smallBytes)}
}

// amount returns what the connection holds. The lock of the budget must be held.
func (c *Conn) amount() amount { return c.with(c.extra) }

// waiter is a reservation for which there is no room yet.
type waiter struct {
	conn  *Conn
	bytes int64
	wake  chan struct{}
}

// New returns a budget with the given limits.
func New(limits Limits, options Options) *Budget {
	b := &Budget{limits: limits, largeLimit: int64(largeShare * float64(limits.Bytes)), conns: make(map[*Conn]struct{}), made: time.Now()}
	b.observer = newObserver(b, options)
	return b
}

// LargestBody returns the size of the largest body, in bytes, that a budget of the given size has room for.
func LargestBody(budgetBytes int64) int64 {
	// A buffer of unknown length is there together with the one of half its size that it replaces.
	return int64(largeShare*float64(budgetBytes)) * bufferGrowth / (bufferGrowth + 1)
}

// deficit returns by how much an additional reservation of a connection exceeds the limits; it fits if neither is positive.
func (b *Budget) deficit(c *Conn, n int64) amount {
	before, after := c.amount(), c.with(c.extra+n)
	missing := amount{bytes: b.held.bytes + n - b.limits.Bytes}
	if after.large > before.large {
		missing.large = b.held.large + after.large - before.large - b.largeLimit
	}
	return missing
}

// add opens the account of a connection. It returns false if there is neither room for it nor a connection that can be closed instead.
func (b *Budget) add(c *Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	over := len(b.conns)-b.evicted >= b.limits.Connections || b.held.bytes-b.leaving.bytes+c.own > b.limits.Bytes
	tooLate := b.evicted >= maxLeaving || b.held.bytes > b.limits.Bytes+maxLeaving*connectionBytes
	if over && (tooLate || !b.evictOne(time.Now())) {
		b.observer.count(reasonConnection)
		return false
	}
	b.conns[c] = struct{}{}
	b.held.add(c.amount())
	return true
}

// remove closes the account of a connection.
func (b *Budget) remove(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.conns[c]; !open {
		return
	}
	delete(b.conns, c)
	b.held.subtract(c.amount())
	if c.evicted.Load() {
		b.evicted--
		b.leaving.subtract(c.amount())
	}
	c.extra = 0
	b.wakeAll()
}

// reserve adds n bytes to what a connection holds. It waits for room until a time.
func (b *Budget) reserve(c *Conn, n int64, until time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &waiter{conn: c, bytes: n, wake: make(chan struct{}, 1)}
	for isQueued := false; ; isQueued = true {
		missing := b.deficit(c, n)
		var err error
		switch _, isOpen := b.conns[c]; {
		case !isOpen: // a link that was admitted meanwhile
		case c.evicted.Load():
			err = ErrEvicted
		case missing.bytes <= 0 && missing.large <= 0 && b.isNext(w):
			b.change(c, n)
		case c.own+c.extra+n > b.limits.Bytes || c.extra+n-smallBytes > b.largeLimit, isQueued && !time.Now().Before(until):
			b.observer.count(reasonNoRoom)
			err = ErrNoRoom
		default:
			if !isQueued {
				b.waiters = append(b.waiters, w)
			}
			b.makeRoom(missing)
			b.await(w, until)
			continue
		}
		b.waiters = slices.DeleteFunc(b.waiters, func(other *waiter) bool { return other == w })
		b.wakeAll()
		return err
	}
}

// await waits until something was released or until it is time to look for stalled connections again. The lock is not held meanwhile.
func (b *Budget) await(w *waiter, until time.Time) {
	b.mu.Unlock()
	defer b.mu.Lock()
	timer := time.NewTimer(min(recheckInterval, max(0, time.Until(until))))
	defer timer.Stop()
	select {
	case <-w.wake:
	case <-timer.C:
	}
}

// isNext reports whether no other reservation in the part of large bodies goes before this one. The connection that holds most goes
// first, since it is nearest to its end.
func (b *Budget) isNext(w *waiter) bool {
	if w.conn.extra+w.bytes <= smallBytes {
		return true
	}
	isBehind := true // of those that hold the same the first goes first
	for _, other := range b.waiters {
		switch {
		case other == w:
			isBehind = false
		case other.conn.extra+other.bytes <= smallBytes:
		case other.conn.extra > w.conn.extra, other.conn.extra == w.conn.extra && isBehind:
			return false
		}
	}
	return true
}

// release subtracts n bytes from what a connection holds.
func (b *Budget) release(c *Conn, n int64) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.change(c, -n)
	b.wakeAll()
}

// releaseAll subtracts what a connection holds beyond its own.
func (b *Budget) releaseAll(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.extra > 0 {
		b.change(c, -c.extra)
		b.wakeAll()
	}
}

// change adds n bytes to what a connection holds, if its account is open.
func (b *Budget) change(c *Conn, n int64) {
	if _, open := b.conns[c]; !open {
		return
	}
	before := c.amount()
	c.extra += n
	after := c.amount()
	b.held.subtract(before)
	b.held.add(after)
	if c.evicted.Load() {
		b.leaving.subtract(before)
		b.leaving.add(after)
	}
}

func (b *Budget) wakeAll() {
	for _, w := range b.waiters {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// makeRoom evicts stalled connections until what they hold covers what is missing, or none is left.
func (b *Budget) makeRoom(missing amount) {
	now := time.Now()
	for missing.bytes > b.leaving.bytes || missing.large > b.leaving.large {
		if !b.evictLargest(now, missing.bytes <= b.leaving.bytes) {
			return
		}
	}
}

// evictOne evicts the connection that holds most for longest.
func (b *Budget) evictOne(now time.Time) bool { return b.evictLargest(now, false) }

// evictLargest evicts the connection that holds most for longest without progress, among those in the part of large bodies if
// onlyLarge is set. It returns false if no connection may be evicted.
func (b *Budget) evictLargest(now time.Time, onlyLarge bool) bool {
	var victim *Conn
	var most float64
	for c := range b.conns {
		held := c.amount()
		if onlyLarge && held.large == 0 || !c.isEvictable(now) {
			continue
		}
		if score := float64(held.bytes) * c.stalledFor(now).Seconds(); victim == nil || score > most {
			victim, most = c, score
		}
	}
	if victim == nil {
		return false
	}
	b.evict(victim)
	return true
}

// evict makes the owner of a connection close it.
func (b *Budget) evict(c *Conn) {
	b.observer.count(c.currentPhase().evictionReason())
	b.evicted++
	b.leaving.add(c.amount())
	c.stopReading()
	b.wakeAll() // it may be waiting itself
}

// giveUp evicts a connection that found no room itself.
func (b *Budget) giveUp(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.conns[c]; open && !c.evicted.Load() {
		b.evict(c)
	}
}

// admit ends the counting of a connection. It returns false if the connection was evicted before.
func (b *Budget) admit(c *Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.evicted.Load() {
		return false
	}
	if _, open := b.conns[c]; open {
		delete(b.conns, c)
		b.held.subtract(c.amount())
		c.extra = 0
		b.wakeAll()
	}
	return true
}

// Usage returns what all connections hold, in bytes, and their number.
func (b *Budget) Usage() (bytes int64, connections int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held.bytes, len(b.conns)
}
