package framing

import (
	"bytes"
	"strconv"

	"github.com/go-faster/errors"
)

// Sequence follows the event IDs of a stream, or of the part of it that one run contributed.
type Sequence struct {
	// Events is the number of events, Unnamed the number of those without an ID. Comments and empty lines are no events.
	Events, Unnamed int
	// First and Last are the IDs of the first and the last event that has one, empty without any.
	First, Last string
	// Gaps counts the events whose ID is not the previous one plus one. IDs that are not numbers aren't compared.
	Gaps int

	last  uint64
	known bool   // last is the number of the last event, or of the one before the first
	due   bool   // the first event must have the ID last plus one
	after string // ID of the event that a stream continues after, empty once its first event has come
}

// minConsecutive is the number of events from which the step between IDs is known.
const minConsecutive = 2

// After returns the sequence of a stream that continues after the event with the given ID, empty for a new stream. consecutive reports
// whether the IDs up to that one are consecutive numbers, so that the next one is known.
func After(id string, consecutive bool) Sequence {
	last, err := strconv.ParseUint(id, 10, 64)
	return Sequence{last: last, known: err == nil, due: consecutive && err == nil, after: id}
}

// Consecutive reports whether the IDs of all events are consecutive numbers, those before the first one included.
func (s *Sequence) Consecutive() bool {
	return s.known && s.Gaps == 0 && s.Unnamed == 0 && (s.due || s.Events >= minConsecutive)
}

// Check returns an error that matches ErrIncomplete for an event whose ID doesn't follow the previous one: a server that continues a
// stream at or before an event that its caller has would have it delivered twice, and one that begins after the event that is due
// would leave a piece out. IDs that are not numbers aren't compared, but a stream continues only with an event that is known not to
// be the last one again.
func (s *Sequence) Check(part []byte) error {
	if !IsEvent(part) {
		return nil
	}
	id := EventID(part)
	number, err := strconv.ParseUint(id, 10, 64)
	if s.after != "" && (id == s.after || id != "" && err != nil && s.known || id == "" && hasData(part)) {
		return errors.Wrapf(ErrIncomplete, "event %q continues the stream after %q", id, s.after)
	}
	if err == nil && s.known && number <= s.last {
		return errors.Wrapf(ErrIncomplete, "event %d after %d", number, s.last)
	}
	if err == nil && s.due && s.First == "" && number != s.last+1 {
		return errors.Wrapf(ErrIncomplete, "event %d where %d is due", number, s.last+1)
	}
	return nil
}

// Add adds a part of the stream, with its line endings.
func (s *Sequence) Add(part []byte) {
	if !IsEvent(part) {
		return
	}
	s.Events++
	id := EventID(part)
	if id != "" {
		s.after = ""
	}
	if id == "" {
		s.Unnamed++
		return
	}
	if s.First == "" {
		s.First = id
	}
	s.Last = id
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return
	}
	if s.known && number != s.last+1 {
		s.Gaps++
	}
	s.last, s.known = number, true
}

// IsEvent reports whether a part of a stream is an event: neither a comment nor an empty line.
func IsEvent(part []byte) bool {
	line := bytes.TrimRight(part[:min(len(part), len("\r\n"))], "\r\n")
	return len(line) > 0 && part[0] != ':'
}

// hasData reports whether an event has a data field. One without changes only how its stream is read.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if _, ok := field(line, "data:"); ok {
			return true
		}
	}
	return false
}
