package engine

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/carawaypitch/carawaypitch/backpressure"
)

// Observer receives the backpressure observation of each response of a backend server, before
// the response is passed on. It may be called concurrently and must not block for long.
type Observer func(backpressure.Observation)

// Observable is a [Client] that reports the backpressure observations of its responses.
type Observable interface {
	// Observe sets the observer for all later responses.
	Observe(Observer)
}

// ObserverHolder holds the observer of an adapter. The zero value has no observer.
type ObserverHolder struct{ observer atomic.Pointer[Observer] }

// Observe implements [Observable].
func (o *ObserverHolder) Observe(observer Observer) { o.observer.Store(&observer) }

// Notify passes an observation to the observer, if one is set.
func (o *ObserverHolder) Notify(observation backpressure.Observation) {
	if observer := o.observer.Load(); observer != nil {
		(*observer)(observation)
	}
}

// observe reports the backpressure headers of a response to a call.
func (h *HTTP) observe(c call, sentAt time.Time, response *http.Response) {
	now := time.Now()
	advice, malformed := backpressureHeaders.Read(response.StatusCode, response.Header, now)
	h.Notify(backpressure.Observation{
		Advice:     advice,
		Malformed:  malformed,
		Route:      c.route(),
		Request:    string(c.id),
		SentAt:     sentAt,
		ReceivedAt: now,
		Refused:    response.StatusCode >= http.StatusBadRequest,
	})
}

func (c call) route() backpressure.Route {
	switch c.name {
	case "run", "resume":
		return backpressure.RouteRun
	case "load":
		return backpressure.RouteReport
	default:
		return backpressure.RouteCall
	}
}
