package entry

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/carawaypitch/carawaypitch/inbound"
	"github.com/carawaypitch/carawaypitch/network"
)

// Reading and writing around a refusal of a request that was not read whole.
const (
	// lingerTimeout bounds reading the rest of the request.
	lingerTimeout = 500 * time.Millisecond
	// refusalTimeout bounds writing refusalOfHead, for which there is room unless the caller has not read earlier answers.
	refusalTimeout = 50 * time.Millisecond
	// refusalOfHead answers a request whose head has not been read whole.
	refusalOfHead = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0\r\nConnection: close\r\n\r\n"
)

// requestConn is a caller's connection. Its fields are guarded by the lock of its openRequests.
type requestConn struct {
	net.Conn
	requests *openRequests
	phase    requestPhase
	head     int       // bytes read of the request's head, perhaps with the beginning of its body
	body     int64     // bytes read of the request's body
	deadline time.Time // for reading, as the HTTP server set it
	used     bool      // it carried a request before
	refused  bool      // nothing more is read of the request, which is or has to be refused
	ended    bool      // the end of the connection is the end of an answer
	answered bool      // with refusalOfHead; the HTTP server writes nothing more
	closed   bool
}

// NetConn returns the connection that is counted.
func (c *requestConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. The first byte that is read of a connection at rest begins a request.
func (c *requestConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.observeRead(n)
	}
	return n, err
}

func (c *requestConn) observeRead(n int) {
	c.requests.mu.Lock()
	defer c.requests.mu.Unlock()
	if c.phase == phaseIdle {
		c.enter(phaseHead)
		c.head = 0
		_ = c.applyDeadline()
	}
	if c.phase == phaseHead {
		c.head += n
	}
}

// Write implements net.Conn.
func (c *requestConn) Write(b []byte) (int, error) {
	if c.isAnswered() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *requestConn) isAnswered() bool {
	c.requests.mu.Lock()
	defer c.requests.mu.Unlock()
	return c.answered
}

// SetReadDeadline implements net.Conn.
func (c *requestConn) SetReadDeadline(t time.Time) error {
	c.requests.mu.Lock()
	defer c.requests.mu.Unlock()
	c.deadline = t
	return c.applyDeadline()
}

// SetDeadline implements net.Conn.
func (c *requestConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// applyDeadline sets the deadline for reading: that of the HTTP server, or one in the past if nothing more is to be read.
// A read that fails by it has read nothing, so that the caller can tell by the end of its connection that a request on it
// was not read. The lock must be held.
func (c *requestConn) applyDeadline() error {
	if c.refused || c.phase == phaseIdle && c.readsNoMore() {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

// readsNoMore reports whether no further request is read on a connection. A stopping entry still refuses the requests of new
// connections, while the callers of kept ones do better to connect elsewhere. The lock must be held.
func (c *requestConn) readsNoMore() bool {
	return c.requests.closing || c.used && c.requests.stopping.Load()
}

// Close implements net.Conn. Behind a refusal, or an answer that ends with its connection, the rest of what the caller sends is read
// for a while first: closing a connection with unread bytes resets it, and the caller may lose the refusal, or can't know that the
// answer was whole.
func (c *requestConn) Close() error {
	phase, head, lingers := c.beginClose()
	if phase == phaseHead {
		c.requests.log.WithField("peer", c.RemoteAddr().String()).WithField("bytes", head).WithField("refused", lingers).Info("request_head_incomplete")
	}
	if !lingers {
		c.uncount()
		return c.Conn.Close()
	}
	go func() {
		defer c.Conn.Close()
		defer c.uncount()
		network.CloseWrite(c.Conn)
		end := time.Now().Add(lingerTimeout)
		_ = c.Conn.SetReadDeadline(end)
		inbound.Of(c.Conn).ResumeReading(end)
		_, _ = io.Copy(io.Discard, c.Conn)
	}()
	return nil
}

// beginClose returns the phase of the connection, the bytes of the head and whether the rest of what the caller sends is to be
// read. From the second call on it returns phaseIdle and false.
func (c *requestConn) beginClose() (phase requestPhase, head int, lingers bool) {
	c.requests.mu.Lock()
	defer c.requests.mu.Unlock()
	if c.closed {
		return phaseIdle, 0, false
	}
	phase = c.phase
	if phase == phaseHead && !c.refused && inbound.Of(c.Conn).WasEvicted() {
		c.refused = true
		c.refuseHead()
	}
	c.enter(phaseAnswer)
	c.closed = true
	return phase, c.head, c.refused || c.ended
}

// uncount ends the counting of the connection.
func (c *requestConn) uncount() {
	c.requests.mu.Lock()
	defer c.requests.mu.Unlock()
	if _, counted := c.requests.conns[c]; counted {
		delete(c.requests.conns, c)
		c.requests.count[c.phase]--
	}
}

// enter moves the connection to another phase. The lock must be held.
func (c *requestConn) enter(phase requestPhase) {
	if c.closed {
		return
	}
	c.requests.count[c.phase]--
	c.requests.count[phase]++
	c.phase = phase
}

// move moves a connection to another phase. It does nothing for nil.
func (c *requestConn) move(phase requestPhase) {
	if c == nil {
		return
	}
	c.requests.mu.Lock()
	defer c.requests.mu.Unlock()
	c.enter(phase)
}

// begin begins the handling of a request. It returns false for one that was refused while its head was read.
func (c *requestConn) begin() bool {
	c.requests.mu.Lock()
	defer c.requests.mu.Unlock()
	if c.refused {
		return false
	}
	c.body = 0
	if c.requests.stopping.Load() {
		c.enter(phaseLate)
	} else {
		c.enter(phaseCall)
	}
	return true
}

// followedBody is the body of a request, whose reading is a phase of its own.
type followedBody struct {
	io.ReadCloser
	conn *requestConn
}

// Read implements io.Reader.
func (b *followedBody) Read(p []byte) (int, error) {
	b.conn.beginRead()
	n, err := b.ReadCloser.Read(p)
	b.conn.endRead(n, err != nil)
	return n, err
}

func (c *requestConn) beginRead() {
	c.requests.mu.Lock()
	defer c.requests.mu.Unlock()
	if c.phase == phaseCall {
		c.enter(phaseBody)
	}
}

func (c *requestConn) endRead(n int, ended bool) {
	c.requests.mu.Lock()
	defer c.requests.mu.Unlock()
	c.body += int64(n)
	if ended && c.phase == phaseBody {
		c.enter(phaseCall)
	}
}

// EndWithConnection says that the answer to the request with the given context is whole, and that the end of its connection shows it.
func EndWithConnection(ctx context.Context) {
	SetResetOnClose(ctx, false)
	c := requestConnOf(ctx)
	if c == nil {
		return
	}
	c.requests.mu.Lock()
	defer c.requests.mu.Unlock()
	c.ended = true
}

// requestConnOf returns the connection of a request, nil if it is none of this entry's.
func requestConnOf(ctx context.Context) *requestConn {
	conn, _ := ctx.Value(rawConnKey{}).(*requestConn)
	return conn
}

// bodyRead returns the bytes read of the body of the request with the given context.
func bodyRead(ctx context.Context) int64 {
	c := requestConnOf(ctx)
	if c == nil {
		return 0
	}
	c.requests.mu.Lock()
	defer c.requests.mu.Unlock()
	return c.body
}

// wasRefusedUnread reports whether the entry stopped reading the request with the given context, since it is stopping itself.
// Such a request has to be refused, also if it happens to be whole: its connection reads nothing more.
func wasRefusedUnread(ctx context.Context) bool {
	c := requestConnOf(ctx)
	if c == nil {
		return false
	}
	c.requests.mu.Lock()
	defer c.requests.mu.Unlock()
	return c.refused
}

// stopReading ends the reading of the request with the given context, which is refused.
func stopReading(ctx context.Context) {
	c := requestConnOf(ctx)
	if c == nil {
		return
	}
	c.requests.mu.Lock()
	defer c.requests.mu.Unlock()
	c.refused = true
	_ = c.applyDeadline()
}

// refuseHead answers a request whose head has not been read whole. The lock must be held.
func (c *requestConn) refuseHead() {
	c.answered = true
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, refusalOfHead)
}
