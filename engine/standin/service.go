package standin

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/engine"
)

// service handles the calls of a plain service. It does not prevent a second run of the same
// key.
type service struct {
	*Server
	slots chan struct{}

	mu   sync.Mutex
	runs map[string]int
}

func newService(server *Server) *service {
	return &service{
		Server: server,
		slots:  make(chan struct{}, server.options.Slots),
		runs:   make(map[string]int),
	}
}

// reservedPaths are paths of model engines. Calls to them must not count as runs.
var reservedPaths = []string{"/v1/streams", "/v1/streams/*", "/v1/kv/*", "/v1/load", "/v1/cache/*", "/v1/orders"}

func (s *service) routes(routes *echo.Echo) {
	for _, path := range reservedPaths {
		routes.Any(path, func(echo.Context) error { return echo.ErrNotFound })
	}
	routes.GET("/v1/runs", s.getRuns)
	routes.POST("/*", s.call)
}

// ServiceAnswer is the response of a service.
type ServiceAnswer struct {
	Server string `json:"server"`
	Path   string `json:"path"`
	// Key is the Idempotency-Key, and Run is how often it has run, including this run.
	Key string `json:"key"`
	Run int    `json:"run"`
	// RequestID is the ID of the attempt.
	RequestID engine.AttemptID `json:"request_id"`
	// Received is the body of the call, as a string if it is not JSON.
	Received json.RawMessage `json:"received"`
}

func (s *service) getRuns(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Runs())
}

// Runs returns the number of runs of each Idempotency-Key.
func (s *service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// call handles a service call.
func (s *service) call(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return refuse(c, errors.Wrap(errInvalid, err.Error()))
	}
	s.counters.add(func(stats *Stats) { stats.Requests++ })
	if s.refusesRuns(c) {
		return refuse(c, errNotReady)
	}
	id := engine.AttemptID(c.Request().Header.Get(engine.HeaderRequestID))
	start := s.options.Ledger.begin(id)
	defer s.options.Ledger.end(id)
	injected := s.drawFaults(c, id, start)
	if injected.loseBefore {
		return abort()
	}
	if injected.failBefore {
		return respondInternalError(c)
	}
	if down, crash := s.faults.crashesOn(body); crash {
		s.Crash(down)
		return abort()
	}
	run, err := s.run(c, id)
	if err != nil || injected.loseAnswer {
		return abort()
	}
	if injected.failAfter {
		return respondInternalError(c)
	}
	injected.applyToAnswer(c)
	return sendJSON(c, s.answer(c, id, run, body), injected.cutAnswer)
}

// drawFaults decides the faults of a call by its attempt ID, or for a call without one by its
// key and its sequence number.
func (s *service) drawFaults(c echo.Context, id engine.AttemptID, start int) runFaults {
	if id != "" {
		return s.faults.draw(string(id), start)
	}
	number := int(s.anonymous.Add(1))
	return s.faults.draw(c.Request().Header.Get(engine.HeaderIdempotencyKey), number)
}

// run waits for a slot, counts the run and then waits for the service time. The count
// represents the effect of the call. It comes first, so that a run counts even if its
// connection or process is lost before it responds.
func (s *service) run(c echo.Context, id engine.AttemptID) (int, error) {
	ctx, stop := s.callContext(c)
	defer stop()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return 0, errConnectionLost
	}
	defer func() { <-s.slots }()
	// If a slot is free and ctx has ended, select may choose either case.
	if ctx.Err() != nil {
		return 0, errConnectionLost
	}
	run := s.count(c.Request().Header.Get(engine.HeaderIdempotencyKey))
	duration := s.faults.withJitter(s.options.ServiceTime, s.options.ServiceJitter, string(id), uint64(run))
	if err := pause(ctx, s.faults.scaled(duration)); err != nil {
		return run, err
	}
	s.counters.add(func(stats *Stats) { stats.Finished++ })
	return run, nil
}

// callContext returns a context that is cancelled at a crash, and at the loss of the connection
// only if the service cancels on disconnect.
func (s *service) callContext(c echo.Context) (context.Context, context.CancelFunc) {
	ctx, stop := s.untilCrash()
	if s.options.Capabilities.OnDisconnect == engine.DisconnectCancels {
		context.AfterFunc(c.Request().Context(), stop)
	}
	return ctx, stop
}

func (s *service) count(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.runs[key]; !known && len(s.runs) >= s.options.MaxTracked {
		return 1
	}
	s.runs[key]++
	return s.runs[key]
}

func (s *service) answer(c echo.Context, id engine.AttemptID, run int, body []byte) ServiceAnswer {
	received := json.RawMessage(body)
	if !json.Valid(body) {
		received = json.RawMessage(quote(string(body)))
	}
	return ServiceAnswer{
		Server:    s.options.Server,
		Path:      c.Request().URL.Path,
		Key:       c.Request().Header.Get(engine.HeaderIdempotencyKey),
		Run:       run,
		RequestID: id,
		Received:  received,
	}
}

// pause waits for the duration. It returns the error of ctx if ctx ends first.
func pause(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sendJSON sends a JSON body with its Content-Length, but only the first half if cut is set.
func sendJSON(c echo.Context, answer any, cut bool) error {
	body, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	header := c.Response().Header()
	header.Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	if !cut {
		return c.Blob(http.StatusOK, engine.ContentTypeJSON, body)
	}
	header.Set(echo.HeaderContentType, engine.ContentTypeJSON)
	c.Response().WriteHeader(http.StatusOK)
	_, _ = c.Response().Write(body[:len(body)/2])
	c.Response().Flush()
	return abort()
}
