// Package logging writes log entries as one line of key=value pairs each.
//
//	time=2026-01-02T15:04:05.678Z level=info event=request_answered code=0 request=7f3a
//
// The message of an apex/log entry is the event's name; the fields follow in alphabetical order.
package logging

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"

	"github.com/apex/log"
)

// timeFormat is RFC 3339 in UTC, with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z"

// reservedPrefix is put before a field name that is the key of a fixed part of the line: time, level or event.
const reservedPrefix = "field_"

// New returns a logger that writes entries of at least the given level to w, synchronously.
func New(level log.Level, w io.Writer) *log.Logger {
	return &log.Logger{Handler: NewHandler(w), Level: level}
}

// Handler is a log.Handler that writes each entry as a line. Any number of goroutines may use it.
type Handler struct {
	mu  sync.Mutex
	w   io.Writer
	buf []byte
}

// NewHandler returns a handler that writes to w, with one call of Write per line.
func NewHandler(w io.Writer) *Handler {
	return &Handler{w: w}
}

// HandleLog implements log.Handler. It returns the error of the writer.
func (h *Handler) HandleLog(e *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.buf = appendLine(h.buf[:0], e)
	_, err := h.w.Write(h.buf)
	return err
}

// appendLine appends the line for e to buf, with its line break.
func appendLine(buf []byte, e *log.Entry) []byte {
	buf = append(buf, "time="...)
	buf = e.Timestamp.UTC().AppendFormat(buf, timeFormat)
	buf = append(buf, " level="...)
	buf = append(buf, e.Level.String()...)
	buf = append(buf, " event="...)
	buf = appendValue(buf, e.Message)
	for _, name := range e.Fields.Names() {
		buf = append(buf, ' ')
		buf = append(buf, fieldKey(name)...)
		buf = append(buf, '=')
		buf = appendValue(buf, fmt.Sprint(e.Fields[name]))
	}
	return append(buf, '\n')
}

// fieldKey returns name with each character that would break the key=value syntax replaced by an underscore, and with
// reservedPrefix if it is a reserved name.
func fieldKey(name string) string {
	switch name {
	case "time", "level", "event":
		return reservedPrefix + name
	case "":
		return "_"
	}
	return strings.Map(keyRune, name)
}

func keyRune(r rune) rune {
	if needsQuotes(r) {
		return '_'
	}
	return r
}

// appendValue appends value, quoted if it would break the key=value syntax.
//
// A caller's header or an engine's error text may contain a line break. Unquoted, it would let the caller forge log
// lines for events that never happened.
func appendValue(buf []byte, value string) []byte {
	if value == "" || strings.ContainsFunc(value, needsQuotes) {
		return strconv.AppendQuote(buf, value)
	}
	return append(buf, value...)
}

// needsQuotes reports whether r would break the key=value syntax or isn't printable.
func needsQuotes(r rune) bool {
	return r <= ' ' || r == '=' || r == '"' || r == '\\' || !strconv.IsPrint(r) || r == '\uFFFD'
}
