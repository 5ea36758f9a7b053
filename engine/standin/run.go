package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
)

// readHeaderTimeout limits the time to read the header of a request.
const readHeaderTimeout = 10 * time.Second

// Run listens and announces until ctx ends. Then it leaves its agent, waits until the agent
// reports it as drained, waits for running calls to finish and returns nil; LeaveTimeout limits
// each of the two waits. After Kill it returns at once. It fails if the options are invalid, if it cannot listen, or if calls
// are still running at the end.
func (s *Server) Run(ctx context.Context) error {
	if err := s.options.Validate(); err != nil {
		return errors.Wrap(err, "stand-in")
	}
	defer s.Close()
	listener, err := s.listen()
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           s.routes,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	stopAnnouncing := s.announce()
	select {
	case err := <-served:
		stopAnnouncing(context.Background(), false)
		return errors.Wrap(err, "serve")
	case <-s.killed:
		stopAnnouncing(context.Background(), false)
		s.Close()
		return server.Close()
	case <-ctx.Done():
	}
	return s.shutdown(server, stopAnnouncing)
}

// shutdown leaves the agent before it closes the listener: until the agent reports the server
// as drained, work that the agent has admitted may still arrive.
func (s *Server) shutdown(server *http.Server, stopAnnouncing func(context.Context, bool)) error {
	leaving, stop := context.WithTimeout(context.Background(), s.options.LeaveTimeout)
	defer stop()
	stopAnnouncing(leaving, true)
	finishing, stopFinishing := context.WithTimeout(context.Background(), s.options.LeaveTimeout)
	defer stopFinishing()
	if err := server.Shutdown(finishing); err != nil {
		_ = server.Close()
		return errors.Wrap(err, "shut down")
	}
	return nil
}

// announce starts the announcements and returns a function that stops them, with or without a
// graceful leave.
func (s *Server) announce() func(ctx context.Context, graceful bool) {
	if s.options.Agent == "" {
		return func(context.Context, bool) {}
	}
	announcer := NewAnnouncer(s.options.Agent, s.options.Network, s.Announcement)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		announcer.Run(ctx)
	}()
	return func(ctx context.Context, graceful bool) {
		stop()
		<-done
		if graceful {
			_ = announcer.Leave(ctx, s.options.Server)
		}
		announcer.Close()
	}
}

// Announcement returns the announcement of the present state.
func (s *Server) Announcement() engine.Announcement {
	models := s.options.Models
	if s.model != nil {
		models = s.model.batch.ready()
	}
	return engine.Announcement{
		Server:       s.options.Server,
		Kind:         s.options.Kind,
		Address:      s.URL(),
		Models:       models,
		Slots:        s.options.Slots,
		Capabilities: s.options.Capabilities,
		Version:      s.options.Version,
		SuspendedMs:  s.suspendedMs(),
	}
}

// suspendedMs returns how long a suspended run is kept, 0 for a service.
func (s *Server) suspendedMs() int64 {
	if s.model == nil {
		return 0
	}
	return s.options.HandleTTL.Milliseconds()
}

// decodeStrict decodes one JSON value and rejects unknown fields.
func decodeStrict(source io.Reader, value any) error {
	decoder := json.NewDecoder(source)
	decoder.DisallowUnknownFields()
	return decoder.Decode(value)
}
