// Package process holds what all daemons share: the HTTP endpoints for health, readiness and metrics, bearer keys, the
// result codes of errors that the HTTP router returns, and starting with retries.
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

// contentTypeMetrics is the content type of the Prometheus text format.
const contentTypeMetrics = "text/plain; version=0.0.4; charset=utf-8"

// bearerPrefix is the scheme of the Authorization header, with the space after it. Schemes are compared without regard to
// case (RFC 9110, section 11.1).
const bearerPrefix = "Bearer "

// Probes holds the callbacks of a daemon behind /readyz and /metrics. Both must be set.
type Probes struct {
	// Ready returns nil if the process can receive work, and otherwise the reason with its result code.
	Ready func() error
	// WriteMetrics writes all metrics in the Prometheus text format.
	WriteMetrics func(io.Writer)
}

// probeStatus is the body of a successful health or readiness response.
type probeStatus struct {
	Status string `json:"status"`
}

// NewRouter returns a router that serves GET /healthz, /readyz and /metrics, and passes errors of handlers to onError.
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

// getHealth serves GET /healthz. It always succeeds: a process that answers is alive.
func getHealth(c echo.Context) error {
	return c.JSON(http.StatusOK, probeStatus{Status: "ok"})
}

// getReady serves GET /readyz. The reason for not being ready is written here rather than returned as an error: onError
// counts errors as refused requests, and a failed readiness probe is not one.
func (p Probes) getReady(c echo.Context) error {
	if err := p.Ready(); err != nil {
		reason := result.From(err)
		return c.JSON(reason.Status(), reason)
	}
	return c.JSON(http.StatusOK, probeStatus{Status: "ready"})
}

// getMetrics serves GET /metrics. The text is buffered before it is sent, so that a slow client doesn't hold the locks
// of the metrics.
func (p Probes) getMetrics(c echo.Context) error {
	var text bytes.Buffer
	p.WriteMetrics(&text)
	return c.Blob(http.StatusOK, contentTypeMetrics, text.Bytes())
}

// ResultFrom returns err as a result error. For errors of the HTTP router, "not found" and "method not allowed" have result
// codes of their own; the others are internal errors.
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

// BearerKey returns the key of the request's Authorization header, and reports whether the header is there with the bearer
// scheme.
func BearerKey(request *http.Request) (string, bool) {
	header := request.Header.Get(echo.HeaderAuthorization)
	if len(header) < len(bearerPrefix) || !strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return "", false
	}
	return header[len(bearerPrefix):], true
}
