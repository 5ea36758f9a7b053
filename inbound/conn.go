package inbound

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/network"
)

// phase is how far a connection has got with a request.
type phase int32

const (
	phaseIdle      phase = iota // before a request
	phaseHead                   // a byte of the head was read
	phaseServing                // the request is handled
	phaseBody                   // its body is being read
	phaseFinishing              // it was handled, and the rest of its body may be read and dropped
	phaseHandshake              // of a link: its first message is being read
)

// evictionReason is the reason under which the eviction of a connection in this phase is counted.
func (p phase) evictionReason() reason {
	return [...]reason{reasonIdle, reasonHead, reasonRequest, reasonBody, reasonRequest, reasonHandshake}[p]
}

// errNotSupported is the error of a connection without an operation of TCP.
var errNotSupported = errors.New("inbound: not supported by the connection")

// Conn is a connection whose use of a Budget is counted.
type Conn struct {
	net.Conn
	budget *Budget

	own   int64 // bytes of the connection itself
	extra int64 // bytes held beyond them; guarded by the lock of the budget
	kept  *Kept // of the request that is handled; used by its handler only

	phase    atomic.Int32
	progress atomic.Int64 // when bytes were read or the phase changed, in nanoseconds since the budget was made
	head     atomic.Int64 // bytes read of the head, or of the first message of a link
	covered  atomic.Int64 // bytes of it that are reserved
	evicted  atomic.Bool
	admitted atomic.Bool // nothing is counted any more

	handshakeEnd time.Time // of a link: until when it has to be admitted

	mu sync.Mutex // of changes of the deadline for reading
}

// NetConn returns the connection that is counted.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if system, ok := c.Conn.(syscall.Conn); ok {
		return system.SyscallConn()
	}
	return nil, errNotSupported
}

// SetWriteBuffer sets the size of the buffer for sending, in bytes.
func (c *Conn) SetWriteBuffer(bytes int) error {
	if buffered, ok := c.Conn.(interface{ SetWriteBuffer(bytes int) error }); ok {
		return buffered.SetWriteBuffer(bytes)
	}
	return errNotSupported
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if c.admitted.Load() {
		return c.Conn.Read(b)
	}
	if err := c.cover(len(b)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.noteRead(n)
	}
	return n, err
}

// headFactor is how many bytes a byte of a head takes: as it was read, and as it was parsed. A link's first message is read into a
// buffer that doubles.
const headFactor = 2

// cover reserves room for n more bytes of a head or a first message. A head that there is no room for ends its connection.
func (c *Conn) cover(n int) error {
	var until time.Time
	switch c.currentPhase() {
	case phaseHandshake:
		until = c.handshakeEnd
	case phaseIdle, phaseHead:
		until = time.Now().Add(stallTimeout)
	default:
		return nil
	}
	const inConnection = 8 << 10 // of a head, which connectionBytes covers
	missing := c.head.Load() + int64(n) - inConnection - c.covered.Load()
	if missing <= 0 {
		return nil
	}
	if c.budget.reserve(c, headFactor*missing, until) != nil {
		c.budget.giveUp(c)
		return os.ErrDeadlineExceeded // an HTTP server answers other errors by itself
	}
	c.covered.Add(missing)
	return nil
}

func (c *Conn) noteRead(n int) {
	c.noteProgress()
	switch c.currentPhase() {
	case phaseIdle:
		c.head.Store(int64(n))
		c.phase.CompareAndSwap(int32(phaseIdle), int32(phaseHead))
	case phaseHead, phaseHandshake:
		c.head.Add(int64(n))
	}
}

func (c *Conn) currentPhase() phase { return phase(c.phase.Load()) }

func (c *Conn) enter(p phase) {
	c.noteProgress()
	c.phase.Store(int32(p))
}

func (c *Conn) noteProgress() { c.progress.Store(int64(time.Since(c.budget.made))) }

// stalledFor returns the time without progress.
func (c *Conn) stalledFor(now time.Time) time.Duration {
	return now.Sub(c.budget.made) - time.Duration(c.progress.Load())
}

// isEvictable reports whether the connection may be closed to make room: nothing is lost that was read whole.
func (c *Conn) isEvictable(now time.Time) bool {
	switch c.currentPhase() {
	case phaseServing:
		return false
	case phaseIdle:
		return !c.evicted.Load()
	default:
		return !c.evicted.Load() && c.stalledFor(now) >= stallTimeout
	}
}

// stopReading ends the reading of the connection, whose owner closes it.
func (c *Conn) stopReading() {
	c.evicted.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// WasEvicted reports whether the connection was closed to make room for others.
func (c *Conn) WasEvicted() bool { return c != nil && c.evicted.Load() }

// SetReadDeadline implements net.Conn. An evicted connection reads nothing more.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted.Load() {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// ResumeReading lets what is left of an evicted connection be read and dropped, behind a refusal.
func (c *Conn) ResumeReading(until time.Time) {
	if !c.WasEvicted() {
		return
	}
	c.enter(phaseFinishing)
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(until)
}

// Close implements net.Conn. It frees all that the connection holds, unless it is a link's, which Release frees.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	if c.currentPhase() != phaseHandshake {
		c.budget.remove(c)
	}
	return err
}

// Release frees what a link holds. Its server calls it when it has ended the link: the buffers that the link's first message was read
// into are still used when the connection is closed.
func (c *Conn) Release() {
	if c != nil {
		c.budget.remove(c)
	}
}

// Admit ends the counting of a link whose peer has been identified.
func (c *Conn) Admit() {
	if c == nil || c.admitted.Load() || !c.budget.admit(c) {
		return
	}
	c.admitted.Store(true)
	network.ClampReceiveWindow(c.Conn, unlimitedWindow)
	_ = c.SetReadDeadline(time.Time{})
}

type connKey struct{}

// ConnContext adds a connection to the context of its requests, see http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c := Of(conn); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// ConnOf returns the connection of a request, nil if it is not counted.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Of returns the counted connection inside all wrappers, nil if there is none.
func Of(conn net.Conn) *Conn {
	for {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = outer.NetConn()
	}
}
