// Package logging writes one line of key=value pairs for each event.
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

// renamed goes before a field whose name is one that each line has.
const renamed = "field_"

// New returns a logger that writes events of at least that level to w.
func New(level log.Level, w io.Writer) *log.Logger {
	return &log.Logger{Handler: NewHandler(w), Level: level}
}

// Handler writes entries as lines. Any number of goroutines may use it.
type Handler struct {
	mu  sync.Mutex
	w   io.Writer
	buf []byte
}

// NewHandler returns a handler that writes to w, one call of Write for each line.
func NewHandler(w io.Writer) *Handler {
	return &Handler{w: w}
}

// HandleLog writes one line. It returns the error of the writer.
func (h *Handler) HandleLog(e *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.buf = appendLine(h.buf[:0], e)
	_, err := h.w.Write(h.buf)
	return err
}

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

// fieldKey returns the name with each byte that would break the line's form replaced.
func fieldKey(name string) string {
	switch name {
	case "time", "level", "event":
		return renamed + name
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

// appendValue quotes a value that would break the line's form.
//
// A caller's header or an engine's error text may hold a line break. Written as it is, it would add lines of the
// caller's making to the log, which then says what never happened; quoted, it stays inside its own value.
func appendValue(buf []byte, value string) []byte {
	if value == "" || strings.ContainsFunc(value, needsQuotes) {
		return strconv.AppendQuote(buf, value)
	}
	return append(buf, value...)
}

func needsQuotes(r rune) bool {
	return r <= ' ' || r == '=' || r == '"' || r == '\\' || !strconv.IsPrint(r) || r == '\uFFFD'
}
