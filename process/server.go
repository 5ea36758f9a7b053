package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/inbound"
	"github.com/carawaypitch/carawaypitch/network"
)

// idleTimeout bounds the time between two requests of a connection.
const idleTimeout = time.Minute

// Server serves HTTP beside a daemon, such as its readiness and its metrics.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// NewServer listens at an address. What its clients make the process hold is counted by the budget, and timeout bounds each step of a
// request. Run must be called afterwards; it closes the listener.
func NewServer(n network.Network, address string, budget *inbound.Budget, handler http.Handler, timeout time.Duration) (*Server, error) {
	listener, err := n.Listen(address)
	if err != nil {
		return nil, errors.Wrap(err, "process: listen")
	}
	timeouts := inbound.Timeouts{Header: timeout, Read: timeout, Write: 2 * timeout, Idle: idleTimeout}
	return &Server{listener: budget.Listen(listener), http: budget.NewServer(handler, timeouts)}, nil
}

// Run serves until ctx ends, and returns nil once the listener and all connections are closed.
func (s *Server) Run(ctx context.Context) error {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		s.http.Close()
	})
	err := s.http.Serve(s.listener)
	if !stop() {
		<-closed
		return nil
	}
	s.http.Close()
	return errors.Wrap(err, "process: http")
}
