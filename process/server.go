package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/network"
)

// Server serves HTTP beside a daemon, such as its readiness and its metrics.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// NewServer listens at an address. Run must be called afterwards; it closes the listener.
func NewServer(n network.Network, address string, handler http.Handler, headerTimeout time.Duration) (*Server, error) {
	listener, err := n.Listen(address)
	if err != nil {
		return nil, errors.Wrap(err, "process: listen")
	}
	return &Server{listener: listener, http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}, nil
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
