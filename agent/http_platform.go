package agent

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/result"
)

// contentTypeMetrics is the text format of Prometheus.
const contentTypeMetrics = "text/plain; version=0.0.4; charset=utf-8"

// statusAnswer is the answer of a process that is alive or ready.
type statusAnswer struct {
	Status string `json:"status"`
}

// getHealth serves GET /healthz: the process is alive.
func (a *Agent) getHealth(c echo.Context) error {
	return c.JSON(http.StatusOK, statusAnswer{Status: "ok"})
}

// getReady serves GET /readyz: the process may receive work. Otherwise the answer gives the reason as a code.
func (a *Agent) getReady(c echo.Context) error {
	if err := a.notReady(); err != nil {
		return c.JSON(err.Status(), err)
	}
	return c.JSON(http.StatusOK, statusAnswer{Status: "ready"})
}

// notReady returns why the agent may not receive work, nil if it may.
func (a *Agent) notReady() *result.Error {
	if a.ready.isStopping() {
		return result.New(result.Stopping, "")
	}
	working := false
	for _, s := range a.servers.all() {
		view := s.view.Load()
		switch {
		case !view.announced() || view.gone() || view.leaving:
		case !view.recovered:
			return result.New(result.Starting, "backend server %s: streams of an earlier incarnation are being cancelled", s.name)
		default:
			working = true
		}
	}
	if !working {
		return result.New(result.NoServer, "no backend server announces itself, or all are leaving")
	}
	if err := a.session.Ready(); err != nil {
		return result.From(err)
	}
	return nil
}

// getMetrics serves GET /metrics.
func (a *Agent) getMetrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, contentTypeMetrics)
	c.Response().WriteHeader(http.StatusOK)
	a.meter.write(c.Response())
	return nil
}
