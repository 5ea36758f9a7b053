package framing

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// Part is a part of a stream of server-sent events between whose parts the stream may end: an event with the empty line
// after it, or a comment or empty line between two events. Its fields are valid until the next part is read.
type Part struct {
	// Raw holds the bytes as received.
	Raw []byte
	// IsEvent is set unless the part is a comment or an empty line.
	IsEvent bool
	// HasData reports whether the event has a data field.
	HasData bool
	// Data holds the values of the data fields, joined by line feeds.
	Data []byte
}

// fieldOverhead bounds the bytes of an event besides its data, as a multiple of the limit on the data.
const fieldOverhead = 2

// PartReader reads the parts of a stream. Lines end with a line feed, before which there may be a carriage return.
type PartReader struct {
	reader *bufio.Reader
	limit  int
	raw    []byte
	data   []byte

	reservation *reservation // nil if nothing is counted
}

// NewPartReader returns a reader. limit bounds each line and the data of an event, in bytes.
func NewPartReader(source io.Reader, limit int) *PartReader {
	return &PartReader{reader: bufio.NewReader(source), limit: limit}
}

// Next returns the next part. Without one it returns the error of the source, which is io.EOF also if the source ends inside
// a part, or ErrTooLarge.
func (r *PartReader) Next() (Part, error) {
	r.raw, r.data = r.raw[:0], r.data[:0]
	part := Part{}
	for {
		start := len(r.raw)
		if err := r.readLine(); err != nil {
			return Part{}, err
		}
		line := bytes.TrimSuffix(bytes.TrimSuffix(r.raw[start:], []byte("\n")), []byte("\r"))
		if len(line) == 0 || line[0] == ':' && !part.IsEvent {
			part.Raw, part.Data = r.raw, r.data
			return part, nil
		}
		part.IsEvent = true
		value, ok := field(line, "data:")
		if !ok {
			continue
		}
		if part.HasData {
			r.data = append(r.data, '\n')
		}
		if len(r.data)+len(value) > r.limit {
			return Part{}, ErrTooLarge
		}
		r.data = append(r.data, value...)
		part.HasData = true
	}
}

// Partial returns the number of bytes that were read of a part that is not whole, after an error of Next.
func (r *PartReader) Partial() int { return len(r.raw) }

// readLine appends the next line, with its line ending, to r.raw.
func (r *PartReader) readLine() error {
	start := len(r.raw)
	for {
		piece, err := r.reader.ReadSlice('\n')
		r.raw = append(r.raw, piece...)
		switch {
		case len(r.raw)-start > r.limit+len("data: \r\n"), len(r.raw) > fieldOverhead*r.limit+len("data: \r\n"):
			return ErrTooLarge
		case r.reservation.resize(growthFactor*int64(cap(r.raw)+cap(r.data))) != nil:
			return ErrTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		default:
			return err
		}
	}
}

// field returns the value of a field and reports whether line is one of that name, which includes the colon.
func field(line []byte, name string) ([]byte, bool) {
	value, ok := bytes.CutPrefix(line, []byte(name))
	if !ok {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}

// EventID returns the ID of an event, "" if it has none.
func EventID(raw []byte) string {
	for line := range bytes.Lines(raw) {
		if id, ok := field(line, "id:"); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
