package entry

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
)

// Bounds of what is read only to be thrown away.
const (
	// discardBodies bounds it in bytes, as a multiple of the largest body that is accepted.
	discardBodies = 4
	// discardTimeout bounds it in time.
	discardTimeout = 5 * time.Second
)

// discardBody reads the rest of a refused request's body, before the refusal is written.
//
// A connection that is closed while the caller still sends is reset, and the reset takes the refusal with it: the
// caller sees a broken connection in place of a code, and can't know that its request was not run. Whoever sends more
// than the bounds is cut off all the same, or a few callers could keep the entry reading for ever.
func (e *Entry) discardBody(c echo.Context) {
	request := c.Request()
	if isAwaitingContinue(request) {
		return
	}
	control := http.NewResponseController(c.Response())
	if control.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, request.Body, discardBodies*int64(e.settings.Limits.MaxBody))
}

// isAwaitingContinue tells whether the caller sends its body only after it is asked to, which a read would do.
func isAwaitingContinue(request *http.Request) bool {
	return strings.EqualFold(request.Header.Get("Expect"), "100-continue")
}
