package entry

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// contentTypeMetrics is the text format of Prometheus.
const contentTypeMetrics = "text/plain; version=0.0.4; charset=utf-8"

// statusAnswer is the answer of a process that is alive or ready.
type statusAnswer struct {
	Status string `json:"status"`
}

// getHealth serves GET /healthz: the process is alive.
func (e *Entry) getHealth(c echo.Context) error {
	return c.JSON(http.StatusOK, statusAnswer{Status: "ok"})
}

// getReady serves GET /readyz: the process may receive work. Otherwise the answer gives the reason as a code.
func (e *Entry) getReady(c echo.Context) error {
	if err := e.notReady(); err != nil {
		e.replyError(c, err)
		return nil
	}
	return c.JSON(http.StatusOK, statusAnswer{Status: "ready"})
}

// getMetrics serves GET /metrics.
func (e *Entry) getMetrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, contentTypeMetrics)
	c.Response().WriteHeader(http.StatusOK)
	e.meter.set.WritePrometheus(c.Response())
	return nil
}
