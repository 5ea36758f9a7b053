package standin

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/engine"
)

// Server is a stand-in. Handler alone makes it usable in a process's own HTTP
// server; Run listens, announces and stops gracefully.
type Server struct {
	options   Options
	faults    *faultSet
	counters  counters
	anonymous atomic.Uint64
	routes    *echo.Echo
	model     *model
	service   *service

	mu sync.Mutex
	// life ends at a crash, by kill, and is replaced.
	life      context.Context
	kill      context.CancelFunc
	downUntil time.Time
	closed    bool
	gate      *gateListener
	ready     chan struct{}
}

// New makes a stand-in; nothing runs yet. Options should be valid, see
// [Options.Validate]; Run checks them.
func New(options Options) *Server {
	options = options.withDefaults()
	s := &Server{
		options: options,
		faults:  &faultSet{seed: options.Seed},
		routes:  echo.New(),
		ready:   make(chan struct{}),
	}
	s.life, s.kill = context.WithCancel(context.Background())
	s.faults.set(options.Faults)
	s.commonRoutes()
	if options.Kind == engine.KindService {
		s.service = newService(s)
		s.service.routes(s.routes)
		return s
	}
	s.model = &model{
		Server: s,
		batch:  newBatch(options, s.faults, &s.counters),
	}
	s.model.routes(s.routes)
	return s
}

func (s *Server) commonRoutes() {
	s.routes.HTTPErrorHandler = answerError
	s.routes.Use(s.whileUp, s.whileThawed, s.limitBody, s.advise)
	s.routes.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	s.routes.GET(pathStats, func(c echo.Context) error { return c.JSON(http.StatusOK, s.Stats()) })
	s.routes.GET(pathFaults, func(c echo.Context) error { return c.JSON(http.StatusOK, s.faults.get()) })
	s.routes.POST(pathFaults, s.postFaults)
}

// Paths that answer also while the stand-in is frozen or down.
const (
	pathStats  = "/v1/stats"
	pathFaults = "/v1/faults"
	pathRuns   = "/v1/runs"
)

func isControlPath(path string) bool {
	return path == pathStats || path == pathFaults || path == pathRuns
}

// whileUp closes the connection of a call that reaches a crashed stand-in.
func (s *Server) whileUp(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.down() && !isControlPath(c.Request().URL.Path) {
			return abort()
		}
		return next(c)
	}
}

// whileThawed makes calls wait while the stand-in is frozen.
func (s *Server) whileThawed(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if isControlPath(c.Request().URL.Path) {
			return next(c)
		}
		ctx, stop := s.untilCrash()
		defer stop()
		if s.faults.waitFrozen(ctx) != nil {
			return abort()
		}
		return next(c)
	}
}

// advise puts what the stand-in asks of its senders into an answer.
func (s *Server) advise(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if isControlPath(c.Request().URL.Path) {
			return next(c)
		}
		faults := s.faults.get()
		header := c.Response().Header()
		if faults.RateLimit != "" {
			header.Set(engine.HeaderRateLimit, faults.RateLimit)
		}
		if faults.Draining {
			header.Set(engine.HeaderDraining, "1")
		}
		return next(c)
	}
}

// limitBody makes the reading of a longer body fail.
func (s *Server) limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		request := c.Request()
		request.Body = http.MaxBytesReader(c.Response(), request.Body, s.options.MaxBodyBytes)
		return next(c)
	}
}

// answerError answers what the handlers refuse with echo's own errors.
func answerError(err error, c echo.Context) {
	status := http.StatusInternalServerError
	message := err.Error()
	var refusal *echo.HTTPError
	if errors.As(err, &refusal) {
		status = refusal.Code
		message = http.StatusText(status)
	}
	if c.Response().Committed {
		return
	}
	_ = c.JSON(status, engine.ErrorBody{Error: &engine.ErrorDetail{
		Type:    strings.ReplaceAll(strings.ToLower(http.StatusText(status)), " ", "_"),
		Message: message,
	}})
}

// postFaults changes the switches that the body names.
func (s *Server) postFaults(c echo.Context) error {
	faults := s.faults.get()
	if err := decodeStrict(c.Request().Body, &faults); err != nil {
		return refuse(c, errors.Wrap(errInvalid, err.Error()))
	}
	if err := s.SetFaults(faults); err != nil {
		return refuse(c, errors.Wrap(errInvalid, err.Error()))
	}
	return c.JSON(http.StatusOK, s.faults.get())
}

// SetFaults replaces the fault switches. It fails if they aren't valid.
func (s *Server) SetFaults(faults Faults) error {
	if err := faults.Validate(); err != nil {
		return err
	}
	s.faults.set(faults)
	if faults.RefuseMs > 0 {
		s.refuse(time.Duration(faults.RefuseMs) * time.Millisecond)
	}
	return nil
}

func (s *Server) refuse(duration time.Duration) {
	s.mu.Lock()
	gate := s.gate
	s.mu.Unlock()
	if gate != nil {
		gate.refuse(duration)
	}
}

// Faults gives the switches in force.
func (s *Server) Faults() Faults { return s.faults.get() }

// Handler gives the HTTP handler of all calls. Refusing connections needs Run;
// to a handler alone that switch does nothing.
func (s *Server) Handler() http.Handler { return s.routes }

// Stats gives the counters.
func (s *Server) Stats() Stats { return s.counters.snapshot(s.options.Ledger) }

// Runs gives how often each Idempotency-Key ran at a plain service; nil for a
// model engine.
func (s *Server) Runs() map[string]int {
	if s.service == nil {
		return nil
	}
	return s.service.Runs()
}

// Crash loses everything that runs or is held, as a killed process would, and
// stays down for a while: new connections are refused, and calls on old ones
// get theirs closed.
func (s *Server) Crash(down time.Duration) {
	s.counters.add(func(stats *Stats) { stats.Crashes++ })
	s.lose(down)
	if down > 0 {
		s.refuse(down)
	}
}

// lose ends all that runs and forgets all that is held.
func (s *Server) lose(down time.Duration) {
	s.mu.Lock()
	s.kill()
	s.life, s.kill = context.WithCancel(context.Background())
	s.downUntil = time.Now().Add(down)
	s.mu.Unlock()
	if s.model != nil {
		s.model.batch.crash()
	}
}

// Close ends everything that runs, for good, and waits for the engine's
// goroutine. Run does it at its end; only a user of Handler alone needs it.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.lose(0)
	if s.model != nil {
		s.model.batch.close()
	}
}

func (s *Server) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || time.Now().Before(s.downUntil)
}

// untilCrash gives a context that ends at a crash.
func (s *Server) untilCrash() (context.Context, context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return context.WithCancel(s.life)
}

// Ready is closed once Run listens.
func (s *Server) Ready() <-chan struct{} { return s.ready }

// URL gives the base URL that Run listens at, empty until it is ready.
func (s *Server) URL() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gate == nil {
		return ""
	}
	return "http://" + s.gate.address
}

// listen opens the listener.
func (s *Server) listen() (net.Listener, error) {
	gate, err := newGateListener(s.options.Network, s.options.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s.mu.Lock()
	s.gate = gate
	s.mu.Unlock()
	close(s.ready)
	return gate, nil
}
