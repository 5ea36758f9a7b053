package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/carawaypitch/carawaypitch/sched"
)

// lingerConn records at each write whether closing its connection would reset it.
type lingerConn struct {
	*net.TCPConn
	writes *[]lingerWrite
	mu     *sync.Mutex
}

type lingerWrite struct {
	text   string
	resets bool
}

// NetConn returns the connection that is recorded.
func (c lingerConn) NetConn() net.Conn { return c.TCPConn }

// Write implements net.Conn.
func (c lingerConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	*c.writes = append(*c.writes, lingerWrite{string(b), resetsOnClose(c.TCPConn)})
	c.mu.Unlock()
	return c.TCPConn.Write(b)
}

func resetsOnClose(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	resets := false
	_ = raw.Control(func(fd uintptr) {
		linger, err := unix.GetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER)
		resets = err == nil && linger.Onoff != 0 && linger.Linger == 0
	})
	return resets
}

type lingerListener struct {
	net.Listener
	accepted chan lingerConn
}

// Accept implements net.Listener.
func (l lingerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	recorded := lingerConn{conn.(*net.TCPConn), new([]lingerWrite), new(sync.Mutex)}
	l.accepted <- recorded
	return recorded, nil
}

// Guards against a part of a stream's head that ends in the ordinary way because the entry's process ended while it wrote the head, and
// against a whole stream that is lost by a reset.
func TestConnectionResetsOnlyWhileTheHeadOfAStreamIsWritten(t *testing.T) {
	replies := map[string]func(*reply){
		"stream": func(w *reply) {
			_ = w.writeEvents([][]byte{[]byte("a")})
			_ = w.writeEvents([][]byte{[]byte("b")})
			w.finish(new(outcome))
		},
		"stream in one piece":   func(w *reply) { w.replay(&outcome{body: []byte("data: a\n\n")}) },
		"stream without events": func(w *reply) { w.finish(new(outcome)) },
	}
	for name, answer := range replies {
		t.Run(name, func(t *testing.T) {
			answered := make(chan struct{})
			router := echo.New()
			router.GET("/", func(c echo.Context) error {
				w := newReply(c, &sched.Request{Stream: true})
				defer w.breakOffUnlessEnded()
				answer(w)
				close(answered)
				return nil
			})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			accepted := make(chan lingerConn, 1)
			server := &http.Server{Handler: router, ConnContext: withCallerConn}
			defer server.Close()
			go func() { _ = server.Serve(lingerListener{listener, accepted}) }()
			transport := new(http.Transport)
			defer transport.CloseIdleConnections()
			response, err := (&http.Client{Transport: transport}).Get("http://" + listener.Addr().String())
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			response.Body.Close()
			<-answered
			conn := <-accepted
			conn.mu.Lock()
			defer conn.mu.Unlock()
			writes := *conn.writes
			require.True(t, strings.HasPrefix(writes[0].text, "HTTP/1.1 "))
			require.True(t, writes[0].resets, "the head's write")
			for _, w := range writes[1:] {
				require.False(t, w.resets, "after the head")
			}
			require.False(t, resetsOnClose(conn.TCPConn), "after the answer")
		})
	}
}
