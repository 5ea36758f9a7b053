package inbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// MaxHeaderBytes bounds the head of a request.
const MaxHeaderBytes = 64 << 10

// Handler returns a handler whose requests hold what is read of them until the handler returns.
func (b *Budget) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := ConnOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.enter(phaseServing)
		defer c.endRequest()
		next.ServeHTTP(w, r)
	})
}

func (c *Conn) endRequest() {
	c.enter(phaseFinishing)
	c.covered.Store(0)
	c.head.Store(0)
	c.budget.releaseAll(c)
	c.kept.Release()
	c.kept = nil
}

// ConnState is the hook of an HTTP server for the states of its connections.
func ConnState(conn net.Conn, state http.ConnState) {
	if c := Of(conn); c != nil && state == http.StateIdle {
		c.enter(phaseIdle)
	}
}

// NewServer returns an HTTP server for listeners that Listen returned, with the timeouts given.
func (b *Budget) NewServer(handler http.Handler, timeouts Timeouts) *http.Server {
	return &http.Server{
		Handler:           b.Handler(handler),
		ReadHeaderTimeout: timeouts.Header,
		ReadTimeout:       timeouts.Read,
		WriteTimeout:      timeouts.Write,
		IdleTimeout:       timeouts.Idle,
		MaxHeaderBytes:    MaxHeaderBytes,
		ConnContext:       ConnContext,
		ConnState:         ConnState,
	}
}

// Timeouts are those of an HTTP server. Zero means none.
type Timeouts struct {
	Header time.Duration // of the head of a request
	Read   time.Duration // of a whole request
	Write  time.Duration // from the head of a request to the end of its answer
	Idle   time.Duration // between two requests
}

const (
	firstBufferBytes = 1 << 10 // of a body of unknown length
	bufferGrowth     = 2
)

// ReadBody reads the whole body of the request with the given context. announced is its length, negative if unknown, and most the
// largest length allowed, 0 if there is none; body has to end with an error beyond it. Room is reserved before a buffer is made, and
// waited for until a time. Errors are those of body, ErrNoRoom and ErrEvicted. The room is held until the request has been handled.
func ReadBody(ctx context.Context, body io.Reader, announced, most int64, until time.Time) ([]byte, error) {
	if announced == 0 {
		return nil, nil
	}
	c := ConnOf(ctx)
	if c != nil {
		c.enter(phaseBody)
		defer c.enter(phaseServing)
	}
	r := bodyReader{conn: c, body: body, announced: announced, most: most, until: until}
	data, err := r.read()
	if err != nil && c.WasEvicted() {
		return nil, ErrEvicted
	}
	return data, err
}

// bodyReader reads a body into a buffer that grows with what has arrived, not with what was announced.
type bodyReader struct {
	conn      *Conn // nil if nothing is counted
	body      io.Reader
	announced int64
	most      int64
	until     time.Time
	buffer    []byte
}

func (r *bodyReader) read() ([]byte, error) {
	for {
		if len(r.buffer) == cap(r.buffer) {
			if ended, err := r.extend(); ended || err != nil {
				return r.buffer, err
			}
		}
		n, err := r.body.Read(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+n]
		switch {
		case int64(len(r.buffer)) == r.announced:
			return r.buffer, nil
		case err == io.EOF && r.announced < 0:
			return r.buffer, nil
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// extend replaces a full buffer by a larger one, unless the body has ended with it. Of a body of unknown length one more byte is read
// first.
func (r *bodyReader) extend() (ended bool, err error) {
	if r.announced >= 0 || len(r.buffer) == 0 {
		return false, r.grow()
	}
	var next [1]byte
	for {
		n, err := r.body.Read(next[:])
		switch {
		case n > 0 && r.most > 0 && int64(len(r.buffer)) >= r.most:
			return false, &http.MaxBytesError{Limit: r.most}
		case n > 0:
			if err := r.grow(); err != nil {
				return false, err
			}
			r.buffer = append(r.buffer, next[0])
			return err == io.EOF, nil
		case err == io.EOF:
			return true, nil
		case err != nil:
			return false, err
		}
	}
}

// grow replaces the buffer by a larger one.
func (r *bodyReader) grow() error {
	size := r.nextSize()
	if r.conn != nil {
		if err := r.conn.budget.reserve(r.conn, size, r.until); err != nil {
			return err
		}
	}
	larger := make([]byte, len(r.buffer), size)
	copy(larger, r.buffer)
	if r.conn != nil {
		r.conn.budget.release(r.conn, int64(cap(r.buffer)))
	}
	r.buffer = larger
	return nil
}

// nextSize returns the size of the next buffer. A small body that was announced has one buffer, a large one gets its whole buffer
// when smallBytes of it have come.
func (r *bodyReader) nextSize() int64 {
	size := max(firstBufferBytes, bufferGrowth*int64(cap(r.buffer)))
	switch {
	case r.announced > 0 && (cap(r.buffer) > 0 || r.announced <= smallBytes):
		return r.announced
	case r.announced > 0:
		return smallBytes
	case r.most > 0:
		return min(size, r.most)
	}
	return size
}
