// Package story reads the log lines of processes and tells what became of one request.
package story

import (
	"strconv"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	// Process is what stands before the line's first pair, as collectors put it, or else the file that the line is from.
	Process string
	// At is its time by its process's own clock. Clocks of different processes need not agree.
	At time.Time
	// Event is its name, such as request_failed.
	Event string
	// Text is the line as it was written, without what stands before its fields.
	Text string

	fields map[string]string
}

// Field returns the value of a field, empty if the line has none of that name.
func (l Line) Field(name string) string { return l.fields[name] }

// Parse reads a line of key=value pairs. What stands before the first pair, such as the prefix of a collector, is left
// out. False means that it is no line of this system.
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

// nextPair takes the first pair off a text.
func nextPair(text string) (key, value, rest string) {
	key, rest, _ = strings.Cut(text, "=")
	if quoted, err := strconv.QuotedPrefix(rest); err == nil {
		value, _ = strconv.Unquote(quoted)
		return key, value, strings.TrimLeft(rest[len(quoted):], " ")
	}
	value, rest, _ = strings.Cut(rest, " ")
	return key, value, rest
}
