package framing

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

// frame returns a response whose body of the given text is cut after n bytes, followed by the ordinary end of the
// connection. A chunked body that isn't cut has its last chunk.
func frame(t testing.TB, f Framing, text string, n int) *http.Response {
	t.Helper()
	var raw strings.Builder
	raw.WriteString("HTTP/1.1 200 OK\r\n")
	switch f {
	case Length:
		fmt.Fprintf(&raw, "Content-Length: %d\r\n\r\n%s", len(text), text[:n])
	case Chunked:
		raw.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if n > 0 {
			fmt.Fprintf(&raw, "%x\r\n%s\r\n", n, text[:n])
		}
		if n == len(text) {
			raw.WriteString("0\r\n\r\n")
		}
	default:
		raw.WriteString("Connection: close\r\n\r\n" + text[:n])
	}
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw.String())), nil)
	require.NoError(t, err)
	require.Equal(t, f, Of(response))
	return response
}

// Guards against a cut answer in one piece that is taken for whole. Only where the end of the connection vouches for the
// body does a cut one look like a whole one.
func TestCutAnswerInOnePieceIsNotWhole(t *testing.T) {
	const text = `{"a": [1, 2]}`
	for _, f := range []Framing{Length, Chunked, Connection} {
		for _, content := range []Content{Opaque, JSON} {
			for n := range len(text) + 1 {
				body, end := ReadWhole(frame(t, f, text, n), content, 64)
				require.Equal(t, text[:n], string(body))
				require.EqualValues(t, n, end.Bytes)
				if n == len(text) || f == Connection && content == Opaque {
					require.Equal(t, Whole, end.Outcome)
					require.NoError(t, end.Err())
					continue
				}
				require.Equal(t, BrokenOff, end.Outcome, "framing %s, content %d, cut at %d", f, content, n)
				require.ErrorIs(t, end.Err(), ErrIncomplete)
			}
		}
	}
}

// Guards against a marked stream that is taken for whole without its end marker, in any framing.
func TestMarkedStreamIsWholeByItsMarkerOnly(t *testing.T) {
	const marker = "data: end\n\n"
	const text = "data: a\n\n: comment\n\ndata: b\n\n" + marker + ": after\n"
	const whole = len(text) - len(": after\n")
	for _, f := range []Framing{Length, Chunked, Connection} {
		for n := range len(text) + 1 {
			end := ReadStream(frame(t, f, text, n), MarkedEvents, 64, Sequence{}, func(part Part) error {
				if string(part.Raw) == marker {
					return ErrStop
				}
				return nil
			})
			want := BrokenOff
			if n >= whole {
				want = Whole
			}
			require.Equal(t, want, end.Outcome, "framing %s, cut at %d: %+v", f, n, end)
		}
	}
}

// Guards against calls that this process ended itself, and those beyond a limit, being counted against the server.
func TestEndsOfOurOwnAreUnknown(t *testing.T) {
	handle := func(Part) error { return nil }
	for _, err := range []error{context.Canceled, context.DeadlineExceeded} {
		response := frame(t, Connection, "data: a\n\n", 0)
		response.Body = io.NopCloser(iotest.ErrReader(err))
		end := ReadStream(response, Events, 64, Sequence{}, handle)
		require.Equal(t, Unknown, end.Outcome)
		require.Equal(t, EndedHere, end.Cause)
		require.ErrorIs(t, end.Err(), err)
		require.NotErrorIs(t, end.Err(), ErrIncomplete)
	}
	refused := errors.New("refused")
	end := ReadStream(frame(t, Chunked, "data: a\n\n", 9), Events, 64, Sequence{}, func(Part) error { return refused })
	require.Equal(t, Unknown, end.Outcome)
	require.ErrorIs(t, end.Err(), refused)
	long := "data: " + strings.Repeat("x", 65) + "\n\n"
	end = ReadStream(frame(t, Chunked, long, len(long)), Events, 64, Sequence{}, handle)
	require.Equal(t, TooLarge, end.Cause)
	_, end = ReadWhole(frame(t, Length, long, len(long)), Opaque, 64)
	require.Equal(t, TooLarge, end.Cause)
	require.ErrorIs(t, end.Err(), ErrTooLarge)
}

// endsBetweenParts reports whether a stream ends between two parts, and whether there is an event among them. It is written
// without the reader on purpose.
func endsBetweenParts(text string) (between, hasEvent bool) {
	inEvent := false
	for len(text) > 0 {
		line, rest, found := strings.Cut(text, "\n")
		if !found {
			return false, hasEvent
		}
		text = rest
		switch line = strings.TrimSuffix(line, "\r"); {
		case line == "":
			hasEvent = hasEvent || inEvent
			inEvent = false
		case !strings.HasPrefix(line, ":"):
			inEvent = true
		}
	}
	return !inEvent, hasEvent
}

// FuzzStreamEnd checks that a stream which may be taken for whole is whole, that a whole one is never broken off, and that the
// parts passed on are its beginning, byte for byte.
func FuzzStreamEnd(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n: c\nid: 2\r\ndata: b\r\n\r\n", 20, uint8(Connection))
	f.Add("\n\ndata:\n\n", 9, uint8(Chunked))
	f.Fuzz(func(t *testing.T, text string, cut int, kind uint8) {
		if cut < 0 || cut > len(text) || len(text) > 64 {
			return
		}
		framing := []Framing{Length, Chunked, Connection}[kind%3]
		var passed bytes.Buffer
		end := ReadStream(frame(t, framing, text, cut), Events, 64, Sequence{}, func(part Part) error {
			passed.Write(part.Raw)
			return nil
		})
		require.Equal(t, text[:cut], passed.String()+text[passed.Len():cut])
		require.EqualValues(t, passed.Len(), end.Bytes)
		require.Equal(t, cut, passed.Len()+end.Partial)
		between, hasEvent := endsBetweenParts(text[:cut])
		vouched := framing == Connection && hasEvent || framing != Connection && cut == len(text)
		want := BrokenOff
		if between && vouched {
			want = Whole
		}
		require.Equal(t, want, end.Outcome, "%+v", end)
	})
}
