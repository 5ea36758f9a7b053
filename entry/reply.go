package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/process"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
)

const headerRetryAfter = "Retry-After"

// reply writes one response to a caller.
type reply struct {
	c       echo.Context
	stream  bool
	started bool // the status and part of a stream were sent
	flushed bool // the head of a stream was sent
	ended   bool // the end of the response was sent, or it was left to net/http to send a whole one
	control *http.ResponseController
	written written
}

func newReply(c echo.Context, r *sched.Request) *reply {
	return &reply{
		c: c, stream: r.Stream, control: http.NewResponseController(c.Response()), written: written{protocol: c.Request().Proto},
	}
}

// writeEvents sends events of a stream. An error means that the caller is unreachable.
func (w *reply) writeEvents(events [][]byte) error {
	if len(events) == 0 {
		return nil
	}
	w.startStream()
	for _, event := range events {
		if err := w.write(eventPrefix, string(event), eventEnd); err != nil {
			return err
		}
		w.written.sequence.Events++
	}
	return w.flush()
}

// flush sends what was written of a stream.
func (w *reply) flush() error {
	if err := w.control.Flush(); err != nil {
		return err
	}
	if !w.flushed {
		w.flushed = true
		SetResetOnClose(w.c.Request().Context(), false)
	}
	return nil
}

func (w *reply) startStream() {
	// Without a deadline, a caller that reads nothing would block this goroutine indefinitely.
	_ = w.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if w.started {
		return
	}
	w.started = true
	w.written.framing = framingToCaller(w.c.Request())
	// Some callers take the end of a connection for the end of a head.
	SetResetOnClose(w.c.Request().Context(), true)
	w.c.Response().Header().Set(echo.HeaderContentType, engine.ContentTypeStream)
	w.c.Response().Header().Set(echo.HeaderCacheControl, "no-cache")
	w.c.Response().WriteHeader(http.StatusOK)
}

func (w *reply) write(parts ...string) error {
	for _, part := range parts {
		if _, err := w.c.Response().Write([]byte(part)); err != nil {
			w.written.err = err
			return err
		}
		w.written.bytes += len(part)
	}
	return nil
}

// finish ends the reply. Only a complete answer gets the end marker of a stream, or a body with its length.
func (w *reply) finish(out *outcome) {
	w.ended = out.err == nil || !w.started
	switch {
	case out.err != nil && w.started:
		w.writeErrorEvent(out.err)
	case out.err != nil:
		replyError(w.c, out.err)
	case w.stream:
		w.startStream()
		w.written.complete = w.write(streamEnd) == nil
		_ = w.flush()
		if w.written.framing == framing.Connection {
			EndWithConnection(w.c.Request().Context())
		}
	default:
		_ = w.control.SetWriteDeadline(time.Now().Add(writeTimeout))
		w.written.framing, w.written.bytes, w.written.complete = framing.Length, len(out.body), true
		writeResponse(w.c, out.status, out.contentType, out.body)
	}
}

// breakOffUnlessEnded ends a response of which only a part was sent, or nothing because the caller has disconnected, so
// that it doesn't look complete. It is called last, since it may end the handler.
func (w *reply) breakOffUnlessEnded() {
	if !w.ended {
		process.BreakOff(w.control, !w.c.Request().ProtoAtLeast(1, 1))
	}
}

// replay sends a stored answer in one piece.
func (w *reply) replay(out *outcome) {
	if out.err == nil && w.stream && !w.started {
		w.startStream()
		_ = w.write(string(out.body))
	}
	w.finish(out)
}

// writeErrorEvent reports, in a stream that may have begun, why the answer is incomplete.
func (w *reply) writeErrorEvent(err *result.Error) {
	data, marshalErr := json.Marshal(err)
	if marshalErr != nil {
		return
	}
	w.startStream()
	_ = w.write(eventPrefix, string(data), eventEnd)
	_ = w.flush()
}

func writeResponse(c echo.Context, status int, contentType string, body []byte) {
	header := c.Response().Header()
	if contentType != "" {
		header.Set(echo.HeaderContentType, contentType)
	}
	header.Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	c.Response().WriteHeader(status)
	_, _ = c.Response().Write(body)
}

func (e *Entry) replyError(c echo.Context, err *result.Error) {
	e.discardBody(c)
	replyError(c, err)
}

// replyError writes an error as JSON with a Content-Length.
func replyError(c echo.Context, err *result.Error) {
	if c.Response().Committed {
		return
	}
	body, marshalErr := json.Marshal(err)
	if marshalErr != nil {
		body = nil
	}
	if err.RetryAfter > 0 {
		seconds := (err.RetryAfter + time.Second - 1) / time.Second
		c.Response().Header().Set(headerRetryAfter, strconv.Itoa(int(seconds)))
	}
	writeResponse(c, err.Status(), engine.ContentTypeJSON, append(body, '\n'))
}
