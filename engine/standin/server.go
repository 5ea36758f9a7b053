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

// Server is a stand-in of a backend server. Handler can be used alone in an existing HTTP
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
	// runCtx is cancelled by cancelRun at a crash and then replaced.
	runCtx    context.Context
	cancelRun context.CancelFunc
	downUntil time.Time
	closed    bool
	killed    chan struct{} // closed by Kill
	listener  *refusingListener
	ready     chan struct{}
}

// New returns a stand-in that is not running. Run checks that options are valid, see
// [Options.Validate].
func New(options Options) *Server {
	options = options.withDefaults()
	s := &Server{
		options: options,
		faults:  &faultSet{seed: options.Seed},
		routes:  echo.New(),
		killed:  make(chan struct{}),
		ready:   make(chan struct{}),
	}
	s.runCtx, s.cancelRun = context.WithCancel(context.Background())
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
	s.routes.Use(s.reportArrival, s.abortWhileDown, s.delayWhileFrozen, s.limitBody, s.setBackpressureHeaders,
		s.applyVersionFault())
	s.routes.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	s.routes.GET(pathStats, func(c echo.Context) error { return c.JSON(http.StatusOK, s.Stats()) })
	s.routes.GET(pathFaults, func(c echo.Context) error { return c.JSON(http.StatusOK, s.faults.get()) })
	s.routes.POST(pathFaults, s.postFaults)
}

// Paths that are served even while the stand-in is frozen or down.
const (
	pathStats  = "/v1/stats"
	pathFaults = "/v1/faults"
	pathRuns   = "/v1/runs"
)

func isControlPath(path string) bool {
	return path == pathStats || path == pathFaults || path == pathRuns
}

// reportArrival is middleware that reports each run whose request was read, also of a stand-in that is down or frozen by a fault.
func (s *Server) reportArrival(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		request := c.Request()
		if s.options.OnArrival != nil && (s.isRun(request) || strings.HasSuffix(request.URL.Path, "/resume")) {
			s.options.OnArrival(engine.AttemptID(request.Header.Get(engine.HeaderRequestID)))
		}
		return next(c)
	}
}

// abortWhileDown is middleware that closes the connection of a call to a crashed stand-in.
func (s *Server) abortWhileDown(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.down() && !isControlPath(c.Request().URL.Path) {
			return abort()
		}
		return next(c)
	}
}

// delayWhileFrozen is middleware that delays calls while the stand-in is frozen.
func (s *Server) delayWhileFrozen(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if isControlPath(c.Request().URL.Path) {
			return next(c)
		}
		ctx, stop := s.untilCrash()
		defer stop()
		if s.faults.waitWhileFrozen(ctx) != nil {
			return abort()
		}
		return next(c)
	}
}

// setBackpressureHeaders is middleware that adds the configured backpressure headers to a
// response.
func (s *Server) setBackpressureHeaders(next echo.HandlerFunc) echo.HandlerFunc {
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

// limitBody is middleware that makes reading a body longer than MaxBodyBytes fail.
func (s *Server) limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		request := c.Request()
		request.Body = http.MaxBytesReader(c.Response(), request.Body, s.options.MaxBodyBytes)
		return next(c)
	}
}

// answerError responds to the errors that handlers return, including echo's own.
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

// postFaults changes the switches that are present in the body.
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

// SetFaults replaces the fault switches. It fails if they are invalid.
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
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		listener.refuse(duration)
	}
}

// Faults returns the active switches.
func (s *Server) Faults() Faults { return s.faults.get() }

// Handler returns the HTTP handler of all calls. Refusing connections requires Run; with the
// handler alone, RefuseMs has no effect.
func (s *Server) Handler() http.Handler { return s.routes }

// Stats returns the counters.
func (s *Server) Stats() Stats { return s.counters.snapshot(s.options.Ledger) }

// Runs returns the number of runs of each Idempotency-Key on a plain service; nil for a model
// engine.
func (s *Server) Runs() map[string]int {
	if s.service == nil {
		return nil
	}
	return s.service.Runs()
}

// Crash discards everything that is running or held, as killing the process would, and stays
// down for the given duration: new connections are refused, and calls on existing connections
// are closed.
func (s *Server) Crash(down time.Duration) {
	s.counters.add(func(stats *Stats) { stats.Crashes++ })
	s.reset(down)
	if down > 0 {
		s.refuse(down)
	}
}

// reset ends everything that is running and discards everything that is held.
func (s *Server) reset(down time.Duration) {
	s.mu.Lock()
	s.cancelRun()
	s.runCtx, s.cancelRun = context.WithCancel(context.Background())
	s.downUntil = time.Now().Add(down)
	s.mu.Unlock()
	if s.model != nil {
		s.model.batch.crash()
	}
}

// Close permanently ends everything that is running and waits for the engine's goroutine. Run
// calls it before it returns; it is needed only if Handler is used alone.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.reset(0)
	if s.model != nil {
		s.model.batch.close()
	}
}

// Kill ends the stand-in as killing the process would: everything that is running ends, and Run
// returns without leaving the agent. Only the first call has an effect.
func (s *Server) Kill() {
	s.mu.Lock()
	first := !s.closed
	s.closed = true
	s.mu.Unlock()
	if first {
		close(s.killed)
	}
}

func (s *Server) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || time.Now().Before(s.downUntil)
}

// untilCrash returns a context that is cancelled at a crash.
func (s *Server) untilCrash() (context.Context, context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return context.WithCancel(s.runCtx)
}

// Ready returns a channel that is closed once Run listens.
func (s *Server) Ready() <-chan struct{} { return s.ready }

// URL returns the base URL on which Run listens, empty until it is ready.
func (s *Server) URL() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return "http://" + s.listener.address
}

// listen opens the listener and closes ready.
func (s *Server) listen() (net.Listener, error) {
	listener, err := newRefusingListener(s.options.Network, s.options.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	close(s.ready)
	return listener, nil
}
