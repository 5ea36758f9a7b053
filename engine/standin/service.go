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

// service answers the calls of a plain service. It does nothing against a
// second run of the same key.
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

// reserved are the paths of model engines. A call to them must not count as a
// run.
var reserved = []string{"/v1/streams", "/v1/streams/*", "/v1/kv/*", "/v1/load", "/v1/cache/*", "/v1/orders"}

func (s *service) routes(routes *echo.Echo) {
	for _, path := range reserved {
		routes.Any(path, func(echo.Context) error { return echo.ErrNotFound })
	}
	routes.GET("/v1/runs", s.getRuns)
	routes.POST("/*", s.call)
}

// ServiceAnswer is a service's answer.
type ServiceAnswer struct {
	Server string `json:"server"`
	Path   string `json:"path"`
	// Key is the Idempotency-Key, and Run how often it has run, this run
	// included.
	Key string `json:"key"`
	Run int    `json:"run"`
	// RequestID is the attempt.
	RequestID engine.AttemptID `json:"request_id"`
	// Received is the call's body, as a string if it is no JSON.
	Received json.RawMessage `json:"received"`
}

func (s *service) getRuns(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Runs())
}

// Runs gives how often each Idempotency-Key ran.
func (s *service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// call runs a service call.
func (s *service) call(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return refuse(c, errors.Wrap(errInvalid, err.Error()))
	}
	s.counters.add(func(stats *Stats) { stats.Requests++ })
	if s.turnsAway(c) {
		return refuse(c, errNotReady)
	}
	id := engine.AttemptID(c.Request().Header.Get(engine.HeaderRequestID))
	start := s.options.Ledger.begin(id)
	defer s.options.Ledger.end(id)
	fate := s.fate(c, id, start)
	if fate.loseBefore {
		return abort()
	}
	if fate.failBefore {
		return fail(c)
	}
	if down, kills := s.faults.kills(body); kills {
		s.Crash(down)
		return abort()
	}
	run, err := s.run(c, id)
	if err != nil || fate.loseAnswer {
		return abort()
	}
	if fate.failAfter {
		return fail(c)
	}
	return sendWhole(c, s.answer(c, id, run, body), fate.cut)
}

// fate decides by the attempt, or for a call without one by its key or number.
func (s *service) fate(c echo.Context, id engine.AttemptID, start int) fate {
	if id != "" {
		return s.faults.fate(string(id), start)
	}
	number := int(s.anonymous.Add(1))
	return s.faults.fate(c.Request().Header.Get(engine.HeaderIdempotencyKey), number)
}

// run waits for a slot, counts the run and takes its time. The count is the
// effect: it comes first, so that a run whose connection or process is lost on
// the way has run.
func (s *service) run(c echo.Context, id engine.AttemptID) (int, error) {
	ctx, stop := s.callContext(c)
	defer stop()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return 0, errConnection
	}
	defer func() { <-s.slots }()
	// A slot and the end of ctx may come together, and select takes either.
	if ctx.Err() != nil {
		return 0, errConnection
	}
	run := s.count(c.Request().Header.Get(engine.HeaderIdempotencyKey))
	duration := s.faults.jittered(s.options.ServiceTime, s.options.ServiceJitter, string(id), uint64(run))
	if err := pause(ctx, s.faults.slowed(duration)); err != nil {
		return run, err
	}
	s.counters.add(func(stats *Stats) { stats.Finished++ })
	return run, nil
}

// callContext ends with the process, and with the connection only if the
// service cancels then.
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

// pause waits for a duration or until ctx ends.
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

// sendWhole sends a JSON body of known length, or only half of it.
func sendWhole(c echo.Context, answer any, cut bool) error {
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
