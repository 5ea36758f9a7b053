package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
)

const headerRetryAfter = "Retry-After"

// reply writes one answer to a caller.
type reply struct {
	c       echo.Context
	stream  bool
	begun   bool // the status and a part of a stream were sent
	control *http.ResponseController
}

func newReply(c echo.Context, r *sched.Request) *reply {
	return &reply{c: c, stream: r.Stream, control: http.NewResponseController(c.Response())}
}

// events sends events of a stream. An error means that the caller can't be reached.
func (w *reply) events(events [][]byte) error {
	if len(events) == 0 {
		return nil
	}
	w.begin()
	for _, event := range events {
		if err := w.write(eventPrefix, string(event), eventEnd); err != nil {
			return err
		}
	}
	return w.control.Flush()
}

func (w *reply) begin() {
	// A caller that reads nothing would hold this goroutine for ever.
	_ = w.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if w.begun {
		return
	}
	w.begun = true
	w.c.Response().Header().Set(echo.HeaderContentType, engine.ContentTypeStream)
	w.c.Response().Header().Set(echo.HeaderCacheControl, "no-cache")
	w.c.Response().WriteHeader(http.StatusOK)
}

func (w *reply) write(parts ...string) error {
	for _, part := range parts {
		if _, err := w.c.Response().Write([]byte(part)); err != nil {
			return err
		}
	}
	return nil
}

// finish ends the reply. Only a whole answer gets the end mark of a stream or a body with its length.
func (w *reply) finish(out *outcome) {
	switch {
	case out.err != nil && w.begun:
		w.errorEvent(out.err)
	case out.err != nil:
		replyError(w.c, out.err)
	case w.stream:
		w.begin()
		_ = w.write(streamEnd)
		_ = w.control.Flush()
	default:
		_ = w.control.SetWriteDeadline(time.Now().Add(writeTimeout))
		writeWhole(w.c, out.status, out.contentType, out.body)
	}
}

// replay sends an answer that was kept, all at once.
func (w *reply) replay(out *outcome) {
	if out.err == nil && w.stream && !w.begun {
		w.begin()
		_ = w.write(string(out.body))
	}
	w.finish(out)
}

// errorEvent says in a stream that has begun why there is no whole answer.
func (w *reply) errorEvent(err *result.Error) {
	data, marshalErr := json.Marshal(err)
	if marshalErr != nil {
		return
	}
	w.begin()
	_ = w.write(eventPrefix, string(data), eventEnd)
	_ = w.control.Flush()
}

func writeWhole(c echo.Context, status int, contentType string, body []byte) {
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

// replyError writes an error as JSON with its length.
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
	writeWhole(c, err.Status(), engine.ContentTypeJSON, append(body, '\n'))
}
