package framing

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/network"
)

// ErrUnfinishedRequest means that a connection ended while a request was still being written, and that nothing shows whether its peer
// ended it in the ordinary way.
var ErrUnfinishedRequest = errors.New("framing: the connection ended before the request was written")

// writeWait is how long the end of an answer waits for the writes in progress.
const writeWait = time.Second

// Transport sends each request at most once and judges the heads of answers before net/http reads them, which accepts more than
// RFC 9112 allows and then may find another body than the sender meant.
type Transport struct{ network.SingleSend }

// NewTransport returns a Transport with the settings of an http.Transport, which it changes. Requests use HTTP/1.1.
func NewTransport(settings *http.Transport) Transport {
	dial := settings.DialContext
	if dial == nil {
		dial = (&net.Dialer{Timeout: network.DialTimeout}).DialContext
	}
	settings.DialContext = func(ctx context.Context, name, address string) (net.Conn, error) {
		return wrap(dial(ctx, name, address))
	}
	settings.DialTLSContext = func(ctx context.Context, name, address string) (net.Conn, error) {
		return wrap(dialTLS(ctx, settings, dial, name, address))
	}
	return Transport{network.SingleSend{Transport: settings}}
}

// dialTLS opens a connection below which the bytes are encrypted, so that those above it can be judged.
func dialTLS(ctx context.Context, settings *http.Transport, dial func(context.Context, string, string) (net.Conn, error), name, address string) (net.Conn, error) {
	conn, err := dial(ctx, name, address)
	if err != nil {
		return nil, err
	}
	config := settings.TLSClientConfig.Clone()
	if config == nil {
		config = new(tls.Config)
	}
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	if settings.TLSHandshakeTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, settings.TLSHandshakeTimeout)
		defer cancel()
	}
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secured, nil
}

// RoundTrip implements http.RoundTripper. An answer with a malformed head is an error that matches [ErrMalformedHead].
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*answerConn); ok {
			conn.expectHead()
		}
	}})
	response, err := t.SingleSend.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkNames(response.Header); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	response.Request = request
	return response, nil
}

// answerConn is a connection that checks the heads of the answers that are read from it.
type answerConn struct {
	net.Conn

	mu       sync.Mutex
	changed  sync.Cond // of the fields below
	head     headReader
	readErr  error // of a malformed head; nothing is read after it
	writing  int   // writes in progress
	writeErr error
	closed   bool
}

func wrap(conn net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	c := &answerConn{Conn: conn, head: headReader{done: true}}
	c.changed.L = &c.mu
	return c, nil
}

// NetConn returns the connection inside.
func (c *answerConn) NetConn() net.Conn { return c.Conn }

// expectHead makes the next bytes the head of an answer.
func (c *answerConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headReader{}
}

// Read implements net.Conn.
func (c *answerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readErr == nil {
		c.readErr = c.head.feed(b[:n])
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	if errors.Is(err, io.EOF) {
		err = c.endOfInput()
	}
	return n, err
}

// endOfInput returns io.EOF if the peer ended the connection in the ordinary way. A reset is reported to one call only: if that is a
// write, the next read finds what looks like an ordinary end. c.mu must be held.
func (c *answerConn) endOfInput() error {
	if c.writing == 0 && c.writeErr == nil {
		return io.EOF
	}
	isOver := false
	timer := time.AfterFunc(writeWait, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		isOver = true
		c.changed.Broadcast()
	})
	defer timer.Stop()
	for c.writing > 0 && c.writeErr == nil && !c.closed && !isOver {
		c.changed.Wait()
	}
	switch {
	case c.writeErr != nil:
		return errors.Wrap(c.writeErr, "framing: the connection was reset")
	case c.writing > 0:
		return ErrUnfinishedRequest
	default:
		return io.EOF
	}
}

// Write implements net.Conn.
func (c *answerConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if err != nil {
		c.writeErr = err
	}
	c.changed.Broadcast()
	return n, err
}

// Close implements net.Conn.
func (c *answerConn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Broadcast()
	return err
}
