package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/carawaypitch/carawaypitch/inbound"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/pause"
)

// acceptRetryDelay is the wait after a temporary failure of Accept, such as a lack of file descriptors.
const acceptRetryDelay = 100 * time.Millisecond

type (
	stoppingKey struct{}
	abortKey    struct{}
	admitKey    struct{}
)

// Admit ends the counting of a stream's connection by the budget of its listener, given by the stream's context. Handlers call it once
// the peer has identified itself by its first message.
func Admit(ctx context.Context) {
	if conn, ok := ctx.Value(admitKey{}).(*inbound.Conn); ok {
		conn.Admit()
	}
}

// Stopping returns a channel that is closed when the Serve call that made ctx, the context of a stream, is stopping.
// A handler then sends its remaining messages and returns; its stream stays usable for DefaultFlushTimeout. For any
// other context the channel is ctx.Done().
func Stopping(ctx context.Context) <-chan struct{} {
	if stop, ok := ctx.Value(stoppingKey{}).(<-chan struct{}); ok {
		return stop
	}
	return ctx.Done()
}

// Abort closes the connection of a stream that Serve made, given by the stream's context. Calls that block on the stream
// return. It does nothing for other contexts.
func Abort(ctx context.Context) {
	if abort, ok := ctx.Value(abortKey{}).(context.CancelFunc); ok {
		abort()
	}
}

// RefusalHook is called with the address of a peer whose TLS handshake failed, and the error. It may be called by several
// goroutines at the same time.
type RefusalHook func(peer net.Addr, err error)

// Serve is ServeWithRefusalHook with a hook that does nothing.
func Serve(ctx context.Context, listener net.Listener, config *tls.Config, register func(*drpcmux.Mux) error) error {
	return ServeWithRefusalHook(ctx, listener, config, register, func(net.Addr, error) {})
}

// ServeWithRefusalHook accepts connections on listener and serves what register adds to the mux, until ctx ends or
// listener fails. At the end of ctx it closes the listener, notifies the handlers (see Stopping), closes the remaining
// connections after DefaultFlushTimeout, and returns nil.
//
// With a TLS configuration a peer without a valid certificate is refused before any call is read, and onRefusal is
// called; otherwise a process with a wrong or expired certificate would be missing without any sign of the reason. It
// returns ErrNoClientAuth if the configuration does not require and verify client certificates, because anyone who can
// reach the port could then run work as any entry.
func ServeWithRefusalHook(
	ctx context.Context, listener net.Listener, config *tls.Config, register func(*drpcmux.Mux) error, onRefusal RefusalHook,
) error {
	if config != nil && !requiresClientCert(config) {
		return ErrNoClientAuth
	}
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		return errors.Wrap(err, "link: register")
	}
	s := &server{
		tls:       config,
		onRefusal: onRefusal,
		drpc:      drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()}),
	}
	return s.run(ctx, listener)
}

// requiresClientCert reports whether the configuration requires a client certificate and verifies it, by default or by a
// callback.
func requiresClientCert(config *tls.Config) bool {
	switch config.ClientAuth {
	case tls.RequireAndVerifyClientCert:
		return true
	case tls.RequireAnyClientCert:
		return config.VerifyConnection != nil || config.VerifyPeerCertificate != nil
	default:
		return false
	}
}

type server struct {
	tls       *tls.Config
	onRefusal RefusalHook
	drpc      *drpcserver.Server
	wg        sync.WaitGroup
}

func (s *server) run(ctx context.Context, listener net.Listener) error {
	// Connections outlive ctx so that handlers can send their remaining messages.
	conns, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer s.wg.Wait()
	defer cancel()
	conns = context.WithValue(conns, stoppingKey{}, ctx.Done())

	closed := make(chan struct{})
	closeListener := context.AfterFunc(ctx, func() {
		defer close(closed)
		listener.Close()
	})
	// The address is free once run returns. The context may have ended without having begun to close the listener.
	defer func() {
		if closeListener() {
			listener.Close()
			return
		}
		<-closed
	}()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			s.drain()
			return nil
		}
		if isTemporary(err) {
			pause.For(ctx, acceptRetryDelay)
			continue
		}
		if err != nil {
			return errors.Wrap(err, "link: accept")
		}
		s.wg.Go(func() { s.serveConn(conns, conn) })
	}
}

// drain waits until all handlers have returned, at most DefaultFlushTimeout.
func (s *server) drain() {
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	timer := time.NewTimer(DefaultFlushTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

func (s *server) serveConn(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	ctx, abort := context.WithCancel(ctx)
	defer abort()
	ctx = context.WithValue(ctx, abortKey{}, abort)
	counted := inbound.Of(conn)
	defer counted.Release()
	ctx = context.WithValue(ctx, admitKey{}, counted)
	// An idle connection has no stream that ends with ctx.
	stopIdle := context.AfterFunc(ctx, func() { conn.Close() })
	defer stopIdle()

	if s.tls != nil {
		secure := tls.Server(conn, s.tls)
		if err := serverHandshake(ctx, secure); err != nil {
			s.onRefusal(conn.RemoteAddr(), err)
			return
		}
		counted.Admit()
		conn = secure
	}
	// The error says only that the peer closed or was aborted; handlers report their own errors.
	_ = s.drpc.ServeOne(ctx, conn)
}

func serverHandshake(ctx context.Context, conn *tls.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, network.DialTimeout)
	defer cancel()
	return conn.HandshakeContext(ctx)
}

func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary()
}
