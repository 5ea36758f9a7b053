package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// call is one HTTP request to the backend server.
type call struct {
	name   string
	id     AttemptID
	method string
	path   string
	body   []byte
	header http.Header
	// repeatable marks a report: reading it twice does no harm.
	repeatable bool
}

func (c call) fail(class, cause error) error {
	return &CallError{
		Call:  c.name,
		ID:    c.id,
		Class: class,
		Err:   cause,
	}
}

// unread marks what the adapter could not read to its end: it may have run.
func (c call) unread(cause error) error {
	if errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF) {
		cause = errors.Join(ErrIncomplete, cause)
	}
	return c.fail(ErrOutcomeUnknown, cause)
}

// singleBody gives a request body that can be sent once only. net/http sends a
// request again on another connection, without a word, if an idle connection
// turns out to be closed and the request counts as idempotent: which any POST
// does that has an Idempotency-Key header and either no body or one that
// GetBody gives again. A server that closed the connection after it read the
// call would then run it twice. A body that is not nil, empty or not, without
// GetBody prevents that. It has a type that net/http knows to be in memory:
// else headers and body would go out in two writes.
func singleBody(body []byte) io.ReadCloser {
	return io.NopCloser(bytes.NewReader(body))
}

// send sends the call once and gives the answer's head. Its error is
// ErrNeverSent only if no connection was ever given to the call; with a
// connection the bytes may be on their way, also after this returns.
func (h *HTTP) send(ctx context.Context, c call) (*http.Response, error) {
	request, err := h.newRequest(c)
	if err != nil {
		return nil, c.fail(ErrNeverSent, errors.Join(ErrInvalid, err))
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	// The transport and not http.Client: a client follows redirects, which
	// would run the call at a second place.
	asked := time.Now()
	response, err := h.transport.RoundTrip(request)
	if err == nil {
		h.observe(c, asked, response)
		return response, nil
	}
	if !connected.Load() {
		if ctx.Err() == nil {
			err = errors.Join(ErrUnreachable, err)
		}
		return nil, c.fail(ErrNeverSent, err)
	}
	return nil, c.unread(err)
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
	if !c.repeatable {
		request.Body = singleBody(c.body)
		request.ContentLength = int64(len(c.body))
	}
	return request, nil
}

// target joins a path to the base URL. Part of a service's path is its
// caller's: one that names another host, or climbs out of its place with dot
// segments, would reach calls that are not for callers, such as cancel.
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

// readWhole reads an answer to its end. A body that ends with its connection
// has no mark of its end, so a cut one looks whole: it counts only as a JSON
// value that shows its own end.
func (c call) readWhole(response *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, c.unread(err)
	}
	if int64(len(body)) > limit {
		return nil, c.fail(ErrOutcomeUnknown, ErrTooLarge)
	}
	endless := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	if endless && !showsEnd(body) {
		return nil, c.fail(ErrOutcomeUnknown, ErrIncomplete)
	}
	return body, nil
}

// showsEnd says whether body is a JSON object, array or string.
func showsEnd(body []byte) bool {
	trimmed := bytes.TrimSpace(body)
	if len(trimmed) == 0 || !strings.ContainsRune(`{["`, rune(trimmed[0])) {
		return false
	}
	return json.Valid(trimmed)
}

// exchange makes a call whose answer is whole, and gives the body of a status
// 200 or 204.
func (h *HTTP) exchange(ctx context.Context, c call, limit int64) ([]byte, error) {
	response, err := h.send(ctx, c)
	if err != nil {
		return nil, err
	}
	defer closeBody(response)
	body, err := c.readWhole(response, limit)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNoContent {
		return body, nil
	}
	return nil, c.refusal(response.StatusCode, body)
}

// exchangeJSON makes a call whose answer is JSON.
func (h *HTTP) exchangeJSON(ctx context.Context, c call, answer any) error {
	body, err := h.exchange(ctx, c, h.options.MaxAnswerBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return c.fail(ErrOutcomeUnknown, errors.Wrap(err, "engine answer"))
	}
	return nil
}

// refusal gives the error of a status other than 200. A bare 404 is a missing
// call and not a missing stream: taking it for one would prove an end that
// nobody vouched for.
func (c call) refusal(status int, body []byte) error {
	detail := parseError(body)
	cause := errors.Errorf("status %d %s: %s", status, detail.Type, detail.Message)
	switch {
	case detail.Type == TypeUnknownStream:
		return c.fail(ErrUnknownStream, nil)
	case detail.Type == TypeDuplicate:
		return c.fail(ErrDuplicate, nil)
	case status == http.StatusNotFound, status == http.StatusMethodNotAllowed, status == http.StatusNotImplemented:
		return c.fail(ErrUnsupported, cause)
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return c.fail(ErrRefused, cause)
	default:
		return c.fail(ErrOutcomeUnknown, cause)
	}
}

// parseError reads an error body; it is empty if body is none.
func parseError(body []byte) ErrorDetail {
	var parsed ErrorBody
	if json.Unmarshal(body, &parsed) != nil || parsed.Error == nil {
		return ErrorDetail{}
	}
	return *parsed.Error
}

// marshal gives the JSON of a value that can't fail to have one.
func marshal(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}
