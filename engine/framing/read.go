package framing

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// ReadWhole reads an answer with a nil [Budget].
func ReadWhole(response *http.Response, content Content, limit int64) ([]byte, End) {
	return (*Budget)(nil).ReadWhole(response, content, limit)
}

// ReadWhole reads an answer in one piece, of at most limit bytes. The body is complete only if the outcome is [Whole].
func (b *Budget) ReadWhole(response *http.Response, content Content, limit int64) ([]byte, End) {
	end := End{Framing: Of(response)}
	reservation := b.open(response)
	defer reservation.close()
	body, err := readAll(io.LimitReader(response.Body, limit+1), reservation)
	end.Bytes = int64(len(body))
	switch {
	case err != nil:
	case end.Bytes > limit:
		err = ErrTooLarge
	case content == JSON && end.Framing == Connection && selfDelimiting(body):
		// Complete by its content, so err stays nil.
	default:
		err = io.EOF
	}
	return body, end.judge(content, err).checkTrailer(response.Trailer)
}

// firstRead is the size of the first buffer for an answer, in bytes.
const firstRead = 1 << 10

// growthFactor is what a buffer takes while it grows, relative to its size before: the old one lives until it has been copied
// into one of twice the size.
const growthFactor = 3

// readAll reads until io.EOF, for which it returns no error. It reserves its buffers before it allocates them.
func readAll(source io.Reader, r *reservation) ([]byte, error) {
	body := make([]byte, 0, firstRead)
	for {
		if len(body) == cap(body) {
			if err := r.resize(growthFactor * int64(cap(body))); err != nil {
				return body, err
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			if ended := r.err(); ended != nil {
				err = ended
			}
			return body, err
		}
	}
}

// selfDelimiting reports whether body is a JSON object, array or string.
func selfDelimiting(body []byte) bool {
	trimmed := bytes.TrimSpace(body)
	if len(trimmed) == 0 || !strings.ContainsRune(`{["`, rune(trimmed[0])) {
		return false
	}
	return json.Valid(trimmed)
}

// ErrStop is returned by the handler of [ReadStream] for the part that marks the end of the stream.
var ErrStop = errors.New("framing: the end marker of the stream")

// ReadStream reads a stream with a nil [Budget].
func ReadStream(response *http.Response, content Content, limit int, after Sequence, handle func(Part) error) End {
	return (*Budget)(nil).ReadStream(response, content, limit, after, handle)
}

// ReadStream passes the parts of a stream to handle until the stream ends. limit bounds the data of an event in bytes. after is the
// sequence that the stream continues, the zero value for a new one. A part that is not whole is not passed on, and an event whose
// ID doesn't follow the previous one ends the reading as broken off. An error of handle ends the reading: [ErrStop] as whole, one that matches
// [ErrIncomplete] as broken off, any other as unknown.
func (b *Budget) ReadStream(response *http.Response, content Content, limit int, after Sequence, handle func(Part) error) End {
	end := End{Framing: Of(response)}
	reader := NewPartReader(response.Body, limit)
	reader.reservation = b.open(response)
	defer reader.reservation.close()
	for {
		part, err := reader.Next()
		if err != nil {
			if ended := reader.reservation.err(); ended != nil {
				err = ended
			}
			end.Partial = reader.Partial()
			return end.judge(content, err).checkTrailer(response.Trailer)
		}
		if part.IsEvent {
			end.Events++
		}
		end.Bytes += int64(len(part.Raw))
		if err := after.Check(part.Raw); err != nil {
			return end.stopped(err)
		}
		after.Add(part.Raw)
		if err := handle(part); err != nil {
			return end.stopped(err)
		}
	}
}

// stopped completes the description of a stream whose reading its handler ended.
func (e End) stopped(err error) End {
	switch {
	case errors.Is(err, ErrStop):
		return e.judge(MarkedEvents, nil)
	case errors.Is(err, ErrIncomplete):
		e.Outcome, e.Cause, e.err = BrokenOff, ContentFailed, err
	default:
		e.Outcome, e.Cause, e.err = Unknown, EndedHere, err
	}
	return e
}
