package engine

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/carawaypitch/carawaypitch/backpressure"
)

// Observer hears what each answer of a backend server says of the server, before the answer is handed on. It is called from
// any goroutine and must not wait long.
type Observer func(backpressure.Observation)

// Observable is a [Client] that tells an observer what answers say of the server.
type Observable interface {
	// Observe sets the observer of all later answers.
	Observe(Observer)
}

// ObserverHolder holds the observer of an adapter. The zero value tells nobody.
type ObserverHolder struct{ observer atomic.Pointer[Observer] }

// Observe implements [Observable].
func (o *ObserverHolder) Observe(observer Observer) { o.observer.Store(&observer) }

// Notify passes an observation on.
func (o *ObserverHolder) Notify(observation backpressure.Observation) {
	if observer := o.observer.Load(); observer != nil {
		(*observer)(observation)
	}
}

// observe tells what the head of an answer to a call says.
func (h *HTTP) observe(c call, asked time.Time, response *http.Response) {
	now := time.Now()
	advice, malformed := backpressureNames.Read(response.StatusCode, response.Header, now)
	h.Notify(backpressure.Observation{
		Advice:     advice,
		Malformed:  malformed,
		Route:      c.route(),
		Request:    string(c.id),
		SentAt:     asked,
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
