// Package story reconstructs the course of one request from the log lines of several processes, and summarises the requests
// that were refused, failed or late.
package story

import (
	"strconv"
	"strings"
	"time"
)

// Line is a parsed log line.
type Line struct {
	// Process is the last word before the first key=value pair, as log collectors add it, or the name given to Parse if
	// there is none.
	Process string
	// At is the time by the clock of the process that wrote the line. Clocks of different processes may differ.
	At time.Time
	// Event is the name of the event, such as request_failed.
	Event string
	// Text is the line as written, without any prefix before the first pair.
	Text string

	fields map[string]string
}

// Field returns the value of the field of that name, or an empty string if there is none.
func (l Line) Field(name string) string { return l.fields[name] }

// Parse parses a line of key=value pairs. A prefix before the first pair, such as that of a log collector, gives the
// line's Process; without one, it is process. Parse reports whether text is a log line of this system, with a valid time
// and an event.
func Parse(process, text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	if before := strings.Fields(text[:start]); len(before) > 0 {
		process = before[len(before)-1]
	}
	line := Line{Process: process, Text: strings.TrimSpace(text[start:]), fields: make(map[string]string)}
	for rest := line.Text; rest != ""; {
		var key, value string
		key, value, rest = nextPair(rest)
		line.fields[key] = value
	}
	at, err := time.Parse(time.RFC3339, line.fields["time"])
	if err != nil || line.fields["event"] == "" {
		return Line{}, false
	}
	line.At, line.Event = at, line.fields["event"]
	return line, true
}

// nextPair splits the first key=value pair off text. The value may be quoted.
func nextPair(text string) (key, value, rest string) {
	key, rest, _ = strings.Cut(text, "=")
	if quoted, err := strconv.QuotedPrefix(rest); err == nil {
		value, _ = strconv.Unquote(quoted)
		return key, value, strings.TrimLeft(rest[len(quoted):], " ")
	}
	value, rest, _ = strings.Cut(rest, " ")
	return key, value, rest
}
