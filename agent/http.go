package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/inbound"
	"github.com/carawaypitch/carawaypitch/process"
	"github.com/carawaypitch/carawaypitch/result"
)

// Timeouts of HTTP connections.
const (
	httpHeaderTimeout = 5 * time.Second
	httpReadTimeout   = 10 * time.Second
	httpWriteTimeout  = 20 * time.Second
	httpIdleTimeout   = time.Minute
	// bodyRoomTimeout bounds the wait for room for a body.
	bodyRoomTimeout = time.Second
	// httpShutdownTimeout bounds the calls in progress when the agent ends.
	httpShutdownTimeout = time.Second
)

// serveHTTP serves HTTP until ctx ends and the calls in progress have their answers, for httpShutdownTimeout at most.
func (a *Agent) serveHTTP(ctx context.Context, listener net.Listener) error {
	server := a.inbound.NewServer(a.routes(), inbound.Timeouts{
		Header: httpHeaderTimeout, Read: httpReadTimeout, Write: httpWriteTimeout, Idle: httpIdleTimeout,
	})
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), httpShutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	})
	err := server.Serve(listener)
	if !stop() {
		<-stopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "agent: http")
}

func (a *Agent) routes() *echo.Echo {
	e := process.NewRouter(process.Probes{Ready: a.readinessError, WriteMetrics: a.meter.write}, a.handleError)
	e.POST("/v1/announce", a.postAnnounce)
	e.POST("/v1/leave", a.postLeave)
	e.GET("/v1/leave/:server", a.getLeave)
	return e
}

// handleError answers with the result code of an error, logs and counts it.
func (a *Agent) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	refusal := process.ResultFrom(err)
	a.meter.refused(refusal.Code, 0)
	a.log.WithField("path", c.Request().URL.Path).
		WithField("code", uint16(refusal.Code)).
		WithField("reason", refusal.Message).
		Warn("call_refused")
	_ = c.JSON(refusal.Status(), refusal)
}

// readJSON decodes a JSON body of at most maxAnnouncementBytes. Errors have the code malformed_body or body_too_large.
func readJSON(c echo.Context, into any) error {
	body, err := process.ReadBody(c, maxAnnouncementBytes, time.Now().Add(bodyRoomTimeout))
	if result.Is(err, result.OverMemoryShare) {
		return err
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.Wrap(err, result.BodyTooLarge, "want at most %d bytes", maxAnnouncementBytes)
	}
	if err != nil {
		return result.Wrap(err, result.MalformedBody, "the body can't be read to its end")
	}
	if err := json.Unmarshal(body, into); err != nil {
		return result.Wrap(err, result.MalformedBody, "the body is not the JSON that is expected: %s", err)
	}
	return nil
}
