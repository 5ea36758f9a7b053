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

	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/pause"
)

// acceptPause is the wait after a failed Accept, such as for want of file descriptors.
const acceptPause = 100 * time.Millisecond

type (
	stoppingKey struct{}
	abortKey    struct{}
)

// Stopping returns a channel that is closed when the Serve which made ctx, the context of a stream, should end.
// A handler then sends what it still has and returns; its stream stays usable for DefaultFlush. For any other
// context the channel is that of ctx itself.
func Stopping(ctx context.Context) <-chan struct{} {
	if stop, ok := ctx.Value(stoppingKey{}).(<-chan struct{}); ok {
		return stop
	}
	return ctx.Done()
}

// Abort closes the connection of a stream that Serve made, given by the stream's context. Calls that are blocked on
// it return. It does nothing for other contexts.
func Abort(ctx context.Context) {
	if abort, ok := ctx.Value(abortKey{}).(context.CancelFunc); ok {
		abort()
	}
}

// RefusalHook is told of a peer whose TLS handshake failed, with its address. It may be called by several goroutines.
type RefusalHook func(peer net.Addr, err error)

// Serve is ServeAndTell for a server that tells nobody of the strangers it refuses.
func Serve(ctx context.Context, listener net.Listener, config *tls.Config, register func(*drpcmux.Mux) error) error {
	return ServeWithRefusalHook(ctx, listener, config, register, func(net.Addr, error) {})
}

// ServeWithRefusalHook accepts connections on listener and serves what register adds to the mux, until ctx ends or listener fails.
// At the end of ctx it closes the listener, tells the handlers (see Stopping), and closes after DefaultFlush the
// connections that are left. It returns nil then.
//
// With a TLS configuration a stranger without the right certificate is refused before any call is read, and refused is
// told: a process with a wrong or expired certificate would otherwise be missing with nobody knowing why. It fails with
// ErrNoClientAuth if the configuration doesn't require and check one: who can reach the port could otherwise run work as
// any entry.
func ServeWithRefusalHook(
	ctx context.Context, listener net.Listener, config *tls.Config, register func(*drpcmux.Mux) error, refused RefusalHook,
) error {
	if config != nil && !refusesStrangers(config) {
		return ErrNoClientAuth
	}
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		return errors.Wrap(err, "link: register")
	}
	s := &server{
		tls:     config,
		refused: refused,
		drpc:    drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()}),
	}
	return s.run(ctx, listener)
}

// refusesStrangers tells whether the configuration requires a certificate of clients, and checks it by itself or by a
// function of its own.
func refusesStrangers(config *tls.Config) bool {
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
	tls     *tls.Config
	refused RefusalHook
	drpc    *drpcserver.Server
	wg      sync.WaitGroup
}

func (s *server) run(ctx context.Context, listener net.Listener) error {
	// Connections outlive ctx for a moment, so that handlers can send what they have.
	conns, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer s.wg.Wait()
	defer cancel()
	conns = context.WithValue(conns, stoppingKey{}, ctx.Done())

	closeListener := context.AfterFunc(ctx, func() { listener.Close() })
	defer closeListener()
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
			pause.For(ctx, acceptPause)
			continue
		}
		if err != nil {
			return errors.Wrap(err, "link: accept")
		}
		s.wg.Go(func() { s.serveConn(conns, conn) })
	}
}

// drain waits until all handlers have returned, DefaultFlush at most.
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
	// An idle connection has no stream that would end with ctx.
	stopIdle := context.AfterFunc(ctx, func() { conn.Close() })
	defer stopIdle()

	if s.tls != nil {
		secure := tls.Server(conn, s.tls)
		if err := serverHandshake(ctx, secure); err != nil {
			s.refused(conn.RemoteAddr(), err)
			return
		}
		conn = secure
	}
	// The error says only that the peer left or was aborted; handlers report their own.
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
