package control

import (
	"bytes"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/result"
)

// getHealth serves GET /healthz: the process is alive.
func (c *Control) getHealth(call echo.Context) error {
	return call.String(http.StatusOK, "ok\n")
}

// getReady serves GET /readyz: 503 with the reason unless operators and sessions are well served here.
func (c *Control) getReady(call echo.Context) error {
	if err := c.Ready(); err != nil {
		return err
	}
	return call.String(http.StatusOK, "ok\n")
}

// Ready returns nil when this instance may receive work. Errors have code result.Stopping, or result.ControlUnavailable
// while no quorum has confirmed the state lately.
func (c *Control) Ready() error {
	if c.stopping.Load() {
		return result.New(result.Stopping, "")
	}
	if !c.reads.isRecent() {
		return result.New(result.ControlUnavailable, "no quorum has confirmed the state lately").WithRan(result.RanNo)
	}
	return nil
}

// getMetrics serves GET /metrics.
func (c *Control) getMetrics(call echo.Context) error {
	var out bytes.Buffer
	c.options.Metrics.WritePrometheus(&out)
	return call.Blob(http.StatusOK, "text/plain; version=0.0.4; charset=utf-8", out.Bytes())
}
