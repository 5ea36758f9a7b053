package process

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/inbound"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/settings"
)

// NewBudget returns the budget of all listeners of a process.
func NewBudget(s settings.Inbound, logger log.Interface, set *metrics.Set) *inbound.Budget {
	limits := inbound.Limits{Bytes: int64(s.Bytes), Connections: s.Connections}
	if limits.Connections == 0 {
		limits.Connections = inbound.ConnectionsFor(0)
	}
	return inbound.New(limits, inbound.Options{Log: logger, Metrics: set})
}

// ReadBody reads the whole body of a call, of at most the given number of bytes, and waits for room for it until a time. A body above
// the limit gives an *http.MaxBytesError, one without room the refusal of the call.
func ReadBody(c echo.Context, most int64, until time.Time) ([]byte, error) {
	request := c.Request()
	if request.ContentLength > most {
		return nil, &http.MaxBytesError{Limit: most}
	}
	body := http.MaxBytesReader(c.Response(), request.Body, most)
	data, err := inbound.ReadBody(request.Context(), body, request.ContentLength, most, until)
	if inbound.IsRefusal(err) {
		return nil, RefusalOfBody(err)
	}
	return data, err
}

// roomRetryAfter is the advice to a client whose request found no room: by then requests that stand still have made some.
const roomRetryAfter = time.Second

// RefusalOfBody returns the refusal of a request whose body found no room.
func RefusalOfBody(err error) *result.Error {
	return result.Wrap(err, result.OverMemoryShare, "").WithRetryAfter(roomRetryAfter)
}
