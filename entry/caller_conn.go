package entry

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/network"
)

// maxWriteBytes bounds one write to a caller's connection, so that the bytes accepted so far show progress.
const maxWriteBytes = 16 << 10

// callerConn is the connection of a caller whose reading is observed. A write deadline bounds the time without progress:
// a caller that reads slowly but steadily is never cut off by it.
type callerConn struct {
	net.Conn

	accepted atomic.Int64 // bytes accepted by the network
	writes   atomic.Int64 // in progress

	mu      sync.Mutex
	timeout time.Duration // of a write without progress, 0 for none
	final   bool          // the deadline in force is the last one
}

// NetConn returns the connection that is observed.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// readerProgress is compared with an earlier one: if they differ, the caller has read in between.
type readerProgress struct {
	accepted int64
	unsent   int // bytes that the peer has not acknowledged, 0 if unknown
}

// progress returns the state of the connection. Bytes accepted alone are not enough: a network buffer takes new bytes
// only once a good part of it is free.
func (c *callerConn) progress() readerProgress {
	if c == nil {
		return readerProgress{}
	}
	return readerProgress{accepted: c.accepted.Load(), unsent: network.Unacknowledged(c.Conn)}
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	defer c.writes.Add(-1)
	written := 0
	for written < len(b) {
		n, err := c.writePart(b[written:min(len(b), written+maxWriteBytes)])
		written += n
		if err != nil {
			return written, err
		}
		if written < len(b) {
			_ = c.extendDeadline() // false if none is in force, or the last one is
		}
	}
	return written, nil
}

// writePart writes a part of a message. It goes on after the deadline as long as there is progress.
func (c *callerConn) writePart(b []byte) (int, error) {
	written := 0
	for {
		before := c.progress()
		n, err := c.Conn.Write(b[written:])
		written += n
		c.accepted.Add(int64(n))
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || c.progress() == before || !c.extendDeadline() {
			return written, err
		}
	}
}

// extendDeadline gives a write that made progress the same time again. It returns false after finishWithin.
func (c *callerConn) extendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.final || c.timeout <= 0 {
		return false
	}
	return c.Conn.SetWriteDeadline(time.Now().Add(c.timeout)) == nil
}

// SetWriteDeadline implements net.Conn.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.final {
		return nil
	}
	c.timeout = 0
	if !t.IsZero() {
		c.timeout = time.Until(t)
	}
	return c.Conn.SetWriteDeadline(t)
}

// endWrites fails a write in progress at once. Without one, what is still written has to be read within the time given. It
// does nothing if the request that it is meant for is over, since the next one may use the connection by then. isOver is
// called with the lock held, so a request that ends later is followed by resumeWrites.
func (c *callerConn) endWrites(within time.Duration, isOver func() bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if isOver() {
		return
	}
	if c.writes.Load() > 0 {
		within = 0
	}
	c.final = true
	_ = c.Conn.SetWriteDeadline(time.Now().Add(within))
}

// resumeWrites lets a connection be used for the next request after a call on it was ended.
func (c *callerConn) resumeWrites() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.final {
		c.final, c.timeout = false, 0
		_ = c.Conn.SetWriteDeadline(time.Time{})
	}
}

// callerListener makes the connections of a listener callerConns. bufferBytes bounds what the network buffers to send on
// each, since that counts towards the memory of the process as well.
type callerListener struct {
	net.Listener
	bufferBytes int
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if buffered, ok := conn.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = buffered.SetWriteBuffer(l.bufferBytes)
	}
	return &callerConn{Conn: conn}, nil
}

type (
	callerConnKey struct{} // of the callerConn
	rawConnKey    struct{} // of the connection as the HTTP server has it
)

// withCallerConn adds a connection to the context of its requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	ctx = context.WithValue(ctx, rawConnKey{}, conn)
	for {
		if observed, ok := conn.(*callerConn); ok {
			return context.WithValue(ctx, callerConnKey{}, observed)
		}
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return ctx
		}
		conn = outer.NetConn()
	}
}

// callerConnOf returns the connection of a request, nil if there is none.
func callerConnOf(ctx context.Context) *callerConn {
	conn, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return conn
}

// SetResetOnClose sets whether the caller of the request with the given context sees an error instead of an ordinary end when its
// connection is closed, also by the end of this process.
func SetResetOnClose(ctx context.Context, reset bool) {
	if conn, ok := ctx.Value(rawConnKey{}).(net.Conn); ok {
		network.SetResetOnClose(conn, reset)
	}
}
