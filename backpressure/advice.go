package backpressure

import "time"

// Advice is the flow-control information that a backend server puts into the headers of one response.
type Advice struct {
	Rate Rate
	// Backoff is how long the sender that received the response is asked to send nothing, counted from the arrival of
	// the response. 0 means that the server did not ask for it.
	Backoff time.Duration
	// Draining is set if the server is about to leave and accepts no new work from any sender.
	Draining bool
}

// IsZero reports whether the response carried no advice.
func (a Advice) IsZero() bool { return a == Advice{} }

// Rate is the number of requests per second that a server accepts from all senders together. The zero value means no
// limit.
type Rate struct {
	Limited bool
	// PerSecond is finite and not negative. Zero is a valid limit.
	PerSecond float64
}

// Route is the kind of call whose response carried the advice.
type Route string

// The routes.
const (
	RouteRun    Route = "run"    // an attempt to run a request
	RouteReport Route = "report" // a load report
	RouteCall   Route = "call"   // any other call, such as a cancellation

	// RouteDirectory marks advice that another sender received and that was distributed through the directory.
	RouteDirectory Route = "directory"
)

// Observation is one response of a server, reduced to what it says about the server itself.
type Observation struct {
	Advice
	Malformed []MalformedHeader
	Route     Route
	// Request is the ID of the attempt that was answered. It is empty for a call that belongs to no attempt.
	Request string
	// SentAt is when the call was sent, ReceivedAt when the head of its response arrived.
	SentAt, ReceivedAt time.Time
	// Refused is set if the server states that the call did not run, Mismatched if the response belongs to another call
	// on the same connection.
	Refused, Mismatched bool
}

// IsEmpty reports whether the response carried neither advice nor a malformed advice header.
func (o Observation) IsEmpty() bool { return o.Advice.IsZero() && len(o.Malformed) == 0 }
