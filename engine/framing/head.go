package framing

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead means that bytes where an answer was expected are no head of one (RFC 9112, sections 4 and 5).
var ErrMalformedHead = errors.New("framing: malformed head of an answer")

// maxHeadBytes bounds the heads of one answer, with those of interim answers. Transports have lower bounds of their own.
const maxHeadBytes = 1 << 20

// statusDigits is the length of a status code, and firstStatus the lowest one.
const (
	statusDigits = 3
	firstStatus  = "100"
)

// switchingProtocols is the status of an interim answer that no other head follows.
const switchingProtocols = "101"

// headReader checks the bytes of an answer's heads as they arrive: those of interim answers and of the final one. The zero value
// waits for a status line.
type headReader struct {
	line  []byte // bytes of a line without its end so far
	size  int
	lines int // whole lines of this head

	minor            byte // of the HTTP version, '0' or later
	isInterim        bool
	transferEncoding bool
	done             bool // the final head has ended; what follows isn't checked
}

// feed checks further bytes. The error matches [ErrMalformedHead].
func (r *headReader) feed(b []byte) error {
	for len(b) > 0 && !r.done {
		end := bytes.IndexByte(b, '\n')
		part := b
		if end >= 0 {
			part = b[:end]
		}
		r.size += len(part)
		if r.size > maxHeadBytes {
			return errors.Wrap(ErrMalformedHead, "too long")
		}
		r.line = append(r.line, part...)
		if end < 0 {
			return nil
		}
		b = b[end+1:]
		line := bytes.TrimSuffix(r.line, []byte("\r"))
		if err := r.endLine(line); err != nil {
			return err
		}
		r.line = r.line[:0]
	}
	return nil
}

// endLine checks a line without its line end.
func (r *headReader) endLine(line []byte) error {
	r.lines++
	switch {
	case r.lines == 1:
		return r.statusLine(line)
	case len(line) == 0:
		return r.endHead()
	case line[0] == ' ' || line[0] == '\t':
		// A continuation of the field before it (section 5.2).
		if r.lines == 2 || !isFieldValue(line) {
			return errors.Wrap(ErrMalformedHead, "continued line")
		}
		return nil
	default:
		return r.fieldLine(line)
	}
}

func (r *headReader) statusLine(line []byte) error {
	version, rest, _ := strings.Cut(string(line), " ")
	status, reason, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	minor, isHTTP1 := strings.CutPrefix(version, "HTTP/1.")
	if !isHTTP1 || !isDigits(minor, 1) || !isDigits(status, statusDigits) || status < firstStatus || !isFieldValue([]byte(reason)) {
		return errors.Wrapf(ErrMalformedHead, "status line %.40q", line)
	}
	r.minor = minor[0]
	r.isInterim = status[0] == '1' && status != switchingProtocols
	return nil
}

func (r *headReader) fieldLine(line []byte) error {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon || !httpguts.ValidHeaderFieldName(string(name)) || !isFieldValue(value) {
		return errors.Wrapf(ErrMalformedHead, "field %.40q", line)
	}
	if strings.EqualFold(string(name), "Transfer-Encoding") {
		r.transferEncoding = true
	}
	return nil
}

// endHead ends one head. A recipient of HTTP/1.0 that knows no transfer codings would take the chunks' own lines for the body
// (section 6.1).
func (r *headReader) endHead() error {
	if r.transferEncoding && r.minor == '0' {
		return errors.Wrap(ErrMalformedHead, "transfer coding in HTTP/1.0")
	}
	if !r.isInterim {
		r.done = true
		return nil
	}
	r.lines, r.transferEncoding = 0, false
	return nil
}

func isDigits(s string, length int) bool {
	return len(s) == length && strings.Trim(s, "0123456789") == ""
}

// isFieldValue reports whether b has no control bytes but tabs.
func isFieldValue(b []byte) bool {
	const firstPrintable, deleteByte = ' ', 0x7f
	return !bytes.ContainsFunc(b, func(c rune) bool { return c < firstPrintable && c != '\t' || c == deleteByte })
}

// checkNames returns an error if a field has a name that is none, which net/http takes as it is.
func checkNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformedHead, "field %.40q", name)
		}
	}
	return nil
}
