package entry

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
)

// Limits on reading the rest of a refused body.
const (
	// discardBodyFactor bounds the bytes, as a multiple of the largest body accepted.
	discardBodyFactor = 4
	// discardTimeout bounds the time.
	discardTimeout = 5 * time.Second
)

// discardBody reads the rest of a refused request's body before the refusal is written.
//
// Closing a connection while the caller is still sending resets it, and the reset discards the refusal: the caller sees
// a connection error instead of a code, and can't know that its request did not run. A caller that exceeds the limits
// is disconnected anyway, since otherwise a few callers could keep the entry reading indefinitely.
func (e *Entry) discardBody(c echo.Context) {
	request := c.Request()
	if isAwaitingContinue(request) {
		return
	}
	control := http.NewResponseController(c.Response())
	if control.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, request.Body, discardBodyFactor*int64(e.settings.Limits.MaxBody))
}

// isAwaitingContinue reports whether the caller sends its body only after a 100 Continue response, which reading the
// body would trigger.
func isAwaitingContinue(request *http.Request) bool {
	return strings.EqualFold(request.Header.Get("Expect"), "100-continue")
}
