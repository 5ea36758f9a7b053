package link

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
)

// lateListener accepts a connection at the moment at which its context ends, and takes a minute to close.
type lateListener struct {
	ctx    context.Context
	closed atomic.Bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.ctx.Done()
	conn, _ := net.Pipe()
	return conn, nil
}

func (l *lateListener) Close() error {
	time.Sleep(time.Minute)
	l.closed.Store(true)
	return nil
}

func (*lateListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a process that is started again at once and finds its address in use: the server returned before its listener was
// closed, since a connection came in at the moment of its end.
func TestServeReturnsAfterItsListenerIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := &lateListener{ctx: ctx}
		done := make(chan error, 1)
		go func() { done <- Serve(ctx, l, nil, func(*drpcmux.Mux) error { return nil }) }()
		cancel()
		require.NoError(t, <-done)
		require.True(t, l.closed.Load())
	})
}
