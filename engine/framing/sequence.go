package framing

import (
	"bytes"
	"strconv"
)

// Sequence follows the event IDs of a stream, or of the part of it that one run contributed.
type Sequence struct {
	// Events is the number of events, Unnamed the number of those without an ID. Comments and empty lines are no events.
	Events, Unnamed int
	// First and Last are the IDs of the first and the last event that has one, empty without any.
	First, Last string
	// Gaps counts the events whose ID is not the previous one plus one. IDs that are not numbers aren't compared.
	Gaps int

	last uint64 // 0 if unknown
}

// After returns the sequence of a stream that continues after the event with the given ID, empty for a new stream.
func After(id string) Sequence {
	last, _ := strconv.ParseUint(id, 10, 64)
	return Sequence{last: last}
}

// Add adds a part of the stream, with its line endings.
func (s *Sequence) Add(part []byte) {
	if !IsEvent(part) {
		return
	}
	s.Events++
	id := EventID(part)
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
		s.last = 0
		return
	}
	if s.last > 0 && number != s.last+1 {
		s.Gaps++
	}
	s.last = number
}

// IsEvent reports whether a part of a stream is an event: neither a comment nor an empty line.
func IsEvent(part []byte) bool {
	line := bytes.TrimRight(part[:min(len(part), len("\r\n"))], "\r\n")
	return len(line) > 0 && part[0] != ':'
}
