package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/engine"
)

// model handles the calls of a model engine.
type model struct {
	*Server
	batch *batch
}

func (m *model) routes(routes *echo.Echo) {
	routes.POST("/v1/chat/completions", m.complete)
	routes.POST("/v1/completions", m.complete)
	routes.GET("/v1/streams", m.streams)
	routes.POST("/v1/streams/:id/cancel", m.cancel)
	routes.POST("/v1/streams/:id/resume", m.resume)
	routes.POST("/v1/streams/:id/suspend", m.suspend)
	routes.DELETE("/v1/suspended/:id", m.discard)
	routes.GET("/v1/kv/:id", m.exportKV)
	routes.PUT("/v1/kv/:id", m.importKV)
	routes.GET("/v1/load", m.load)
	routes.GET("/v1/cache/events", m.cacheEvents)
	routes.POST("/v1/orders", m.order)
}

// complete runs a completion, with or without streaming.
func (m *model) complete(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return refuse(c, errors.Wrap(errInvalid, err.Error()))
	}
	id := engine.AttemptID(c.Request().Header.Get(engine.HeaderRequestID))
	if id == "" {
		id = engine.AttemptID("anonymous-" + strconv.FormatUint(m.anonymous.Add(1), 10))
	}
	m.counters.add(func(stats *Stats) { stats.Requests++ })
	if m.refusesRuns(c) {
		return m.refuse(c, errNotReady)
	}
	spec, err := m.batch.parse(body)
	if err != nil {
		return m.refuse(c, err)
	}
	if handle := c.Request().Header.Get(engine.HeaderSuspension); handle != "" {
		return m.resumeSuspended(c, id, handle)
	}
	injected := m.faults.draw(string(id), m.options.Ledger.started(id)+1)
	if injected.loseBefore {
		return abort()
	}
	if injected.failBefore {
		return respondInternalError(c)
	}
	s, err := m.batch.submit(id, spec)
	if err != nil {
		return m.refuse(c, err)
	}
	injected.downTime, injected.crash = m.faults.crashesOn(body)
	injected.applyToAnswer(c)
	return m.deliver(c, s, 0, injected, parseStreamOptions(body).Stream)
}

// resume continues a stream from a token number.
func (m *model) resume(c echo.Context) error {
	if !m.options.Capabilities.Resume {
		return echo.ErrNotFound
	}
	from, err := strconv.Atoi(c.QueryParam("from"))
	if err != nil || from < 0 {
		return m.refuse(c, errors.Wrap(errInvalid, "from"))
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return m.refuse(c, errors.Wrap(errInvalid, err.Error()))
	}
	s, err := m.batch.resume(pathID(c), from, body)
	if err != nil {
		return m.refuse(c, err)
	}
	var injected runFaults
	injected.downTime, injected.crash = m.faults.crashesOn(body)
	return m.deliver(c, s, from, injected, true)
}

// deliver sends a stream's answer starting at token number from.
func (m *model) deliver(c echo.Context, s *stream, from int, injected runFaults, streamed bool) error {
	d := &delivery{
		model:    m,
		c:        c,
		s:        s,
		reader:   m.batch.attach(s),
		next:     from,
		injected: injected,
	}
	defer m.batch.detach(s, d.reader)
	if !streamed || injected.loseAnswer {
		return d.writeCompletion()
	}
	return d.stream()
}

func (m *model) streams(c echo.Context) error {
	return c.JSON(http.StatusOK, engine.StreamsAnswer{Streams: m.batch.list()})
}

func (m *model) cancel(c echo.Context) error {
	id := pathID(c)
	state, err := m.batch.cancel(id)
	if err != nil {
		return m.refuse(c, err)
	}
	status := http.StatusOK
	if state == engine.CancelStateRunning {
		status = http.StatusAccepted
	}
	return c.JSON(status, engine.CancelAnswer{
		ID:    id,
		State: state,
	})
}

func (m *model) exportKV(c echo.Context) error {
	if !m.options.Capabilities.KV {
		return echo.ErrNotFound
	}
	kv, err := m.batch.exportKV(pathID(c))
	if err != nil {
		return m.refuse(c, err)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, kv)
}

func (m *model) importKV(c echo.Context) error {
	if !m.options.Capabilities.KV {
		return echo.ErrNotFound
	}
	kv, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return m.refuse(c, errors.Wrap(errInvalid, err.Error()))
	}
	if err := m.batch.importKV(pathID(c), kv); err != nil {
		return m.refuse(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}

func (m *model) load(c echo.Context) error {
	return c.JSON(http.StatusOK, m.batch.load())
}

func (m *model) cacheEvents(c echo.Context) error {
	after := uint64(0)
	if text := c.QueryParam("after"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return m.refuse(c, errors.Wrap(errInvalid, "after"))
		}
		after = parsed
	}
	return c.JSON(http.StatusOK, engine.CacheEventsAnswer{Events: m.batch.cacheEvents(after)})
}

func (m *model) order(c echo.Context) error {
	var order engine.Order
	if err := json.NewDecoder(c.Request().Body).Decode(&order); err != nil {
		return m.refuse(c, errors.Wrap(errInvalid, err.Error()))
	}
	result := m.batch.order(order)
	return c.JSON(orderStatus[result.State], result)
}

var orderStatus = map[engine.OrderState]int{
	engine.OrderDone:    http.StatusOK,
	engine.OrderRunning: http.StatusAccepted,
	engine.OrderStale:   http.StatusConflict,
	engine.OrderBusy:    http.StatusConflict,
	engine.OrderRefused: http.StatusBadRequest,
}

// refuse counts a refusal and responds with it.
func (m *model) refuse(c echo.Context, err error) error {
	m.counters.add(func(stats *Stats) { stats.Refused++ })
	return refuse(c, err)
}

func unixNow() int64 { return time.Now().Unix() }
