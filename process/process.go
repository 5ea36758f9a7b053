// Package process is the part of the daemons' HTTP interface that is the same everywhere: what the platform asks of
// each process, bearer keys, and the numbered code of an error that the router made.
package process

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/result"
)

// contentTypeMetrics is the text format of Prometheus.
const contentTypeMetrics = "text/plain; version=0.0.4; charset=utf-8"

// bearer is the scheme of the Authorization header, compared without regard to case (RFC 9110, section 11.1).
const bearer = "Bearer "

// Probes is what a daemon tells the platform.
type Probes struct {
	// Ready returns nil when the process may receive work, and otherwise the reason with its code.
	Ready func() error
	// WriteMetrics writes all metrics in the text format of Prometheus.
	WriteMetrics func(io.Writer)
}

// status is the answer of a process that is alive or ready.
type status struct {
	Status string `json:"status"`
}

// NewRouter returns a router that serves GET /healthz, /readyz and /metrics, and hands errors to onError.
func NewRouter(p Probes, onError echo.HTTPErrorHandler) *echo.Echo {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	router.HTTPErrorHandler = onError
	router.GET("/healthz", getHealth)
	router.GET("/readyz", p.getReady)
	router.GET("/metrics", p.getMetrics)
	return router
}

// getHealth serves GET /healthz: the process is alive.
func getHealth(c echo.Context) error {
	return c.JSON(http.StatusOK, status{Status: "ok"})
}

// getReady serves GET /readyz. A process that isn't ready refuses nobody, so its reason is no error for onError, which
// counts refusals.
func (p Probes) getReady(c echo.Context) error {
	if err := p.Ready(); err != nil {
		reason := result.From(err)
		return c.JSON(reason.Status(), reason)
	}
	return c.JSON(http.StatusOK, status{Status: "ready"})
}

// getMetrics serves GET /metrics. The text is whole before the answer begins, so that a slow reader holds no lock of
// the metrics.
func (p Probes) getMetrics(c echo.Context) error {
	var text bytes.Buffer
	p.WriteMetrics(&text)
	return c.Blob(http.StatusOK, contentTypeMetrics, text.Bytes())
}

// ResultFrom gives the numbered code of an error, also of one that the router made.
func ResultFrom(err error) *result.Error {
	var routed *echo.HTTPError
	if !errors.As(err, &routed) {
		return result.From(err)
	}
	switch routed.Code {
	case http.StatusNotFound:
		return result.New(result.NotFound, "")
	case http.StatusMethodNotAllowed:
		return result.New(result.MethodNotAllowed, "")
	default:
		return result.Wrap(err, result.Internal, "")
	}
}

// BearerKey returns the key of an Authorization header; false without one.
func BearerKey(request *http.Request) (string, bool) {
	header := request.Header.Get(echo.HeaderAuthorization)
	if len(header) < len(bearer) || !strings.EqualFold(header[:len(bearer)], bearer) {
		return "", false
	}
	return header[len(bearer):], true
}
