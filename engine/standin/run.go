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

// readHeaderTimeout bounds the reading of a request's head.
const readHeaderTimeout = 10 * time.Second

// Run listens and announces until ctx ends. Then it leaves its agent, waits
// until the agent says that it is drained, finishes what runs and returns nil;
// LeaveTimeout bounds each of both waits. It fails if the options aren't valid,
// if it can't listen, or if calls still ran at the end.
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
	case <-ctx.Done():
	}
	return s.shutdown(server, stopAnnouncing)
}

// shutdown leaves the agent before it closes the listener: until the agent
// says drained, work that it has admitted may still be on its way here.
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

// announce starts to announce, and gives the function that ends it, with a
// graceful leave or without.
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

// Announcement is what the stand-in announces now.
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
	}
}

// decodeStrict reads one JSON value and refuses unknown fields.
func decodeStrict(source io.Reader, value any) error {
	decoder := json.NewDecoder(source)
	decoder.DisallowUnknownFields()
	return decoder.Decode(value)
}
