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

// lateContext is a context that, when it ends, hasn't yet called what is to be called at its end.
type lateContext struct{ context.Context }

// AfterFunc is what context.AfterFunc calls.
func (lateContext) AfterFunc(func()) (stop func() bool) { return func() bool { return true } }

// Value hides the inner context, which context.AfterFunc would use instead.
func (lateContext) Value(any) any { return nil }

// Guards against a process that is started again at once and finds its address in use: a connection came in when the context of the
// server had ended and before the listener began to close, so that it was never closed.
func TestServeClosesItsListenerIfAConnectionComesInAtItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := &lateListener{ctx: ctx}
		done := make(chan error, 1)
		go func() { done <- Serve(lateContext{ctx}, l, nil, func(*drpcmux.Mux) error { return nil }) }()
		synctest.Wait()
		cancel()
		require.NoError(t, <-done)
		require.True(t, l.closed.Load())
	})
}
