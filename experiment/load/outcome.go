package load

import "time"

// Fate says how a request ended.
type Fate string

// The fates.
const (
	// Whole: the whole answer came.
	Whole Fate = "whole"
	// Refused: the system said that the request was not run.
	Refused Fate = "refused"
	// Failed: the system said that it ran, or that this isn't known.
	Failed Fate = "failed"
	// Cut: a stream ended without its end mark, or a body before its length.
	Cut Fate = "cut"
	// Lost: the connection ended without an answer, or none could be opened.
	Lost Fate = "lost"
	// Unanswered: no answer came before the end of the run.
	Unanswered Fate = "unanswered"
	// Wrong: the answer was whole but not the one to this request. This must never be.
	Wrong Fate = "wrong"
)

// Outcome is what became of a request.
type Outcome struct {
	Arrival *Arrival
	Fate    Fate
	// Code, Name and Ran are from a refusal or failure.
	Code int
	Name string
	Ran  string
	// Detail says what was wrong, for people.
	Detail string
	// Lateness is how much after its time the generator sent it.
	Lateness time.Duration
	// FirstByte and End are times after Arrival.At; FirstByte is zero if nothing came.
	FirstByte, End time.Duration
	// RequestID is the system's name of the request.
	RequestID string
	// Order is how the events of a stream followed each other.
	Order Order
	// Resent counts the tries beyond the first.
	Resent int
}

// Good tells whether the whole answer came within the class's deadline, network is the callers' own round trip, which
// the deadline doesn't count.
func (o *Outcome) Good(network time.Duration) bool {
	return o.Fate == Whole && o.End <= o.Arrival.Deadline()+network
}
