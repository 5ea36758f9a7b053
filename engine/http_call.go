package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/network"
)

// call is one HTTP request to the backend server.
type call struct {
	name   string
	id     AttemptID
	method string
	path   string
	body   []byte
	header http.Header
}

func (c call) fail(class, cause error) error {
	return &CallError{
		Call:  c.name,
		ID:    c.id,
		Class: class,
		Err:   cause,
	}
}

// readError wraps an error that occurred while a response was read. The call may have run.
func (c call) readError(cause error) error {
	if errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF) {
		cause = errors.Join(ErrIncomplete, cause)
	}
	return c.fail(ErrOutcomeUnknown, cause)
}

// send sends the call once and returns the response with its body unread. The error matches
// ErrNeverSent only if the call was never given a connection; with a connection, bytes may
// still be in transit after send returns.
func (h *HTTP) send(ctx context.Context, c call) (*http.Response, error) {
	request, err := h.newRequest(c)
	if err != nil {
		return nil, c.fail(ErrNeverSent, errors.Join(ErrInvalid, err))
	}
	var connected atomic.Bool
	var sent sentBytes
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			sent.begin(info.Conn)
			connected.Store(true)
		},
	}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	// The transport is used directly because an http.Client follows redirects, which would run
	// the call in a second place.
	sentAt := time.Now()
	response, err := h.transport.RoundTrip(request)
	if err == nil {
		h.observe(c, sentAt, response)
		return response, nil
	}
	if !connected.Load() {
		if ctx.Err() == nil {
			err = errors.Join(ErrUnreachable, err)
		}
		return nil, c.fail(ErrNeverSent, err)
	}
	if sent.isNothing(err) {
		return nil, c.fail(ErrNeverSent, err)
	}
	return nil, c.readError(err)
}

// sentBytes determines whether any byte of a call was sent on its connection.
type sentBytes struct {
	conn   atomic.Pointer[network.BoundedConn]
	before atomic.Int64
}

// begin records the connection of the call before anything is sent.
func (s *sentBytes) begin(conn net.Conn) {
	if bounded, ok := network.Inside(conn).(*network.BoundedConn); ok {
		s.before.Store(bounded.Accepted())
		s.conn.Store(bounded)
	}
}

// isNothing reports whether the error proves that nothing of the call was sent, nor will be. Only a stalled write does:
// it has returned, and its connection is closed. After any other error a write may still be in progress.
func (s *sentBytes) isNothing(err error) bool {
	conn := s.conn.Load()
	return conn != nil && errors.Is(err, network.ErrWriteStalled) && conn.Accepted() == s.before.Load()
}

func (h *HTTP) newRequest(c call) (*http.Request, error) {
	target, err := h.target(c.path)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequest(c.method, target.String(), nil)
	if err != nil {
		return nil, err
	}
	request.Header = c.header
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	if len(c.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(c.body))
		request.ContentLength = int64(len(c.body))
	}
	return request, nil
}

// target joins a path to the base URL. Part of a service's path is chosen by the caller: a path
// that names another host, or leaves its prefix through dot segments, could reach calls that
// callers may not make, such as cancel.
func (h *HTTP) target(path string) (*url.URL, error) {
	reference, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, err
	}
	if reference.Scheme != "" || reference.Host != "" || !strings.HasPrefix(reference.Path, "/") {
		return nil, errors.Errorf("path %q is not absolute", path)
	}
	segments := strings.Split(reference.Path, "/")
	if slices.Contains(segments, "..") || slices.Contains(segments, ".") {
		return nil, errors.Errorf("path %q has dot segments", path)
	}
	target := *h.base
	target.Path = strings.TrimSuffix(h.base.Path, "/") + reference.Path
	target.RawPath = strings.TrimSuffix(h.base.EscapedPath(), "/") + reference.EscapedPath()
	target.RawQuery = reference.RawQuery
	return &target, nil
}

// readWhole reads a response in one piece, which the service interface and all calls answer with JSON. The end is returned
// with any error.
func (h *HTTP) readWhole(c call, response *http.Response, limit int64) ([]byte, framing.End, error) {
	body, end := h.options.Budget.ReadWhole(response, framing.JSON, limit)
	if err := end.Err(); err != nil {
		return nil, end, c.fail(ErrOutcomeUnknown, err)
	}
	return body, end, nil
}

// exchange makes a call whose response is not a stream, and returns the body of a status 200 or
// 204.
func (h *HTTP) exchange(ctx context.Context, c call, limit int64) ([]byte, error) {
	response, err := h.send(ctx, c)
	if err != nil {
		return nil, err
	}
	defer closeBody(response)
	body, _, err := h.readWhole(c, response, limit)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNoContent {
		return body, nil
	}
	return nil, c.statusError(response.StatusCode, body)
}

// exchangeJSON makes a call whose response is JSON and decodes it into answer.
func (h *HTTP) exchangeJSON(ctx context.Context, c call, answer any) error {
	body, err := h.exchange(ctx, c, h.options.MaxAnswerBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return c.fail(ErrOutcomeUnknown, errors.Wrap(err, "decode engine response"))
	}
	return nil
}

// statusError returns the error for an unsuccessful status. A plain 404 means a missing call,
// not a missing stream: treating it as a missing stream would report an end that the engine did
// not confirm.
func (c call) statusError(status int, body []byte) error {
	detail := parseError(body)
	cause := errors.Errorf("status %d %s: %s", status, detail.Type, detail.Message)
	switch {
	case detail.Type == TypeUnknownStream:
		return c.fail(ErrUnknownStream, nil)
	case detail.Type == TypeDuplicate:
		return c.fail(ErrDuplicate, nil)
	case detail.Type == TypeSuspending:
		return c.fail(ErrBusy, nil)
	case detail.Type == TypeNoRoom:
		return c.fail(ErrNoRoom, nil)
	case status == http.StatusNotFound, status == http.StatusMethodNotAllowed, status == http.StatusNotImplemented:
		return c.fail(ErrUnsupported, cause)
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return c.fail(ErrRefused, cause)
	default:
		return c.fail(ErrOutcomeUnknown, cause)
	}
}

// parseError decodes an error body. It returns the zero value if body is not one.
func parseError(body []byte) ErrorDetail {
	var parsed ErrorBody
	if json.Unmarshal(body, &parsed) != nil || parsed.Error == nil {
		return ErrorDetail{}
	}
	return *parsed.Error
}

// mustMarshal returns the JSON encoding of a value. It panics if the value has none.
func mustMarshal(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}
