package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/apex/log"
)

// requestPhase is how far a connection has got with a request.
type requestPhase int

// The phases of a request. A connection between two requests, or before its first one, is idle.
const (
	phaseIdle   requestPhase = iota
	phaseHead                // a byte of the head was read
	phaseCall                // the handler runs: admission, queue, attempts, answer
	phaseBody                // the handler reads the body
	phaseAnswer              // the handler has returned, and the end of its answer is being written
	requestPhases
)

// String implements fmt.Stringer.
func (p requestPhase) String() string {
	return [requestPhases]string{"idle", "head", "call", "body", "answer"}[p]
}

// openRequests are the requests that this process has read a byte of, and whose answers it hasn't written to the end.
type openRequests struct {
	log log.Interface

	mu    sync.Mutex
	count [requestPhases]int // connections
}

func newOpenRequests(logger log.Interface) *openRequests { return &openRequests{log: logger} }

// listen returns a listener whose connections are counted. They have to be what the HTTP server sees, since TLS reads bytes
// that belong to no request.
func (o *openRequests) listen(listener net.Listener) net.Listener {
	return requestListener{Listener: listener, requests: o}
}

type requestListener struct {
	net.Listener
	requests *openRequests
}

// Accept implements net.Listener.
func (l requestListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &requestConn{Conn: conn, requests: l.requests}
	l.requests.mu.Lock()
	defer l.requests.mu.Unlock()
	l.requests.count[phaseIdle]++
	return c, nil
}

// requestConn is a caller's connection. Its fields are guarded by the lock of its openRequests.
type requestConn struct {
	net.Conn
	requests *openRequests
	phase    requestPhase
	head     int   // bytes read of the request's head, perhaps with the beginning of its body
	body     int64 // bytes read of the request's body
	closed   bool
}

// NetConn returns the connection that is counted.
func (c *requestConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. The first byte that is read of a connection at rest begins a request.
func (c *requestConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.requests.mu.Lock()
		defer c.requests.mu.Unlock()
		if c.phase == phaseIdle {
			c.enter(phaseHead)
			c.head = 0
		}
		if c.phase == phaseHead {
			c.head += n
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *requestConn) Close() error {
	if phase, head := c.end(); phase == phaseHead {
		c.requests.log.WithField("peer", c.RemoteAddr().String()).WithField("bytes", head).Info("request_head_incomplete")
	}
	return c.Conn.Close()
}

// end ends the counting of the connection. It returns its phase, phaseIdle if it had ended before, and the bytes of the head.
func (c *requestConn) end() (requestPhase, int) {
	c.requests.mu.Lock()
	defer c.requests.mu.Unlock()
	if c.closed {
		return phaseIdle, 0
	}
	c.closed = true
	c.requests.count[c.phase]--
	return c.phase, c.head
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

// stateChanged is the hook of the HTTP server for the states of its connections.
func (o *openRequests) stateChanged(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*requestConn); ok && state == http.StateIdle {
		c.move(phaseIdle)
	}
}

// track follows the requests of a handler.
func (o *openRequests) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := requestConnOf(r.Context())
		c.move(phaseCall)
		defer c.move(phaseAnswer)
		if c != nil {
			c.beginBody()
			r.Body = &followedBody{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

// beginBody notes that nothing of the current request's body has been read.
func (c *requestConn) beginBody() {
	c.requests.mu.Lock()
	defer c.requests.mu.Unlock()
	c.body = 0
}

// followedBody is the body of a request, whose reading is a phase of its own.
type followedBody struct {
	io.ReadCloser
	conn *requestConn
}

// Read implements io.Reader.
func (b *followedBody) Read(p []byte) (int, error) {
	b.conn.move(phaseBody)
	n, err := b.ReadCloser.Read(p)
	b.conn.requests.mu.Lock()
	defer b.conn.requests.mu.Unlock()
	b.conn.body += int64(n)
	if err != nil {
		b.conn.enter(phaseCall)
	}
	return n, err
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

// inPhase returns the number of connections in a phase.
func (o *openRequests) inPhase(phase requestPhase) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count[phase]
}

// fields returns the number of connections in each phase, for logs.
func (o *openRequests) fields() log.Fields {
	o.mu.Lock()
	defer o.mu.Unlock()
	fields := log.Fields{}
	for phase := phaseIdle; phase < requestPhases; phase++ {
		fields["open_"+phase.String()] = o.count[phase]
	}
	return fields
}
