package backpressure

import "time"

// Advice is what a server says of itself in one answer.
type Advice struct {
	Rate Rate
	// Backoff is for how long, from the arrival of the answer, the server wants nothing from the sender that it answered; 0 for no such
	// wish.
	Backoff time.Duration
	// Draining: the server leaves and wants nothing new from anybody.
	Draining bool
}

// IsZero tells whether the answer said nothing.
func (a Advice) IsZero() bool { return a == Advice{} }

// Rate is how many requests a second a server takes from all senders together. The zero value is no limit.
type Rate struct {
	Limited bool
	// PerSecond is finite and not negative. Zero is a limit as well.
	PerSecond float64
}

// Route is the kind of call whose answer carried an advice.
type Route string

// The routes.
const (
	RouteRun    Route = "run"    // an attempt of a request
	RouteReport Route = "report" // a load report
	RouteCall   Route = "call"   // any other call, such as a cancel

	// RouteDirectory is no call: another sender heard the word, and the directory has it.
	RouteDirectory Route = "directory"
)

// Observation is one answer of a server, as far as it speaks of the server.
type Observation struct {
	Advice
	Malformed []MalformedHeader
	Route     Route
	// Request is the attempt that was answered, empty for a call without one.
	Request string
	// SentAt is when the call was sent, ReceivedAt when the head of its answer arrived.
	SentAt, ReceivedAt time.Time
	// Refused: the server says that the call didn't run. Mismatched: the answer is to another call on the connection.
	Refused, Mismatched bool
}

// IsEmpty tells whether the answer said nothing, not even something that can't be read.
func (o Observation) IsEmpty() bool { return o.Advice.IsZero() && len(o.Malformed) == 0 }
