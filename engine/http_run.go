package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine/framing"
)

// Run implements [Client].
func (h *HTTP) Run(ctx context.Context, request Request, sink Sink) (Outcome, error) {
	c := call{
		name:   "run",
		id:     request.ID,
		method: request.Method,
		path:   request.Path,
		body:   request.Body,
		header: attemptHeader(request),
	}
	if c.method == "" {
		c.method = http.MethodPost
	}
	if request.Kind == KindService {
		return h.runService(ctx, c, sink)
	}
	body, err := streamingBody(request.Body)
	if err != nil {
		return Outcome{}, c.fail(ErrNeverSent, errors.Join(ErrInvalid, err))
	}
	c.body = body
	if request.Resume != nil {
		return h.resumeSuspended(ctx, c, request, sink)
	}
	return h.runModel(ctx, c, 0, sink)
}

// Resume implements [Client].
func (h *HTTP) Resume(ctx context.Context, id AttemptID, from int, body []byte, sink Sink) (Outcome, error) {
	c := call{
		name:   "resume",
		id:     id,
		method: http.MethodPost,
		path:   streamPath(id, "resume") + "?from=" + strconv.Itoa(from),
		header: attemptHeader(Request{ID: id}),
	}
	if len(body) > 0 {
		streaming, err := streamingBody(body)
		if err != nil {
			return Outcome{Tokens: from}, c.fail(ErrNeverSent, errors.Join(ErrInvalid, err))
		}
		c.body = streaming
	}
	return h.runModel(ctx, c, from, sink)
}

// attemptHeader returns the caller's headers to forward, with the adapter's own headers set.
func attemptHeader(request Request) http.Header {
	header := request.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	for _, name := range []string{
		"Connection", "Content-Length", "Host", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"X-Idempotency-Key", HeaderIdempotencyKey, HeaderSuspension, HeaderResumeFrom,
	} {
		header.Del(name)
	}
	header.Set(HeaderRequestID, string(request.ID))
	if request.IdempotencyKey != "" {
		header.Set(HeaderIdempotencyKey, request.IdempotencyKey)
	}
	if header.Get("Content-Type") == "" {
		header.Set("Content-Type", ContentTypeJSON)
	}
	return header
}

// streamingBody sets "stream" and requests a usage count in a completion body, and keeps all
// other fields. A stream can be resumed; a response in one piece cannot.
func streamingBody(body []byte) ([]byte, error) {
	fields, err := objectFields(body)
	if err != nil {
		return nil, err
	}
	options, err := objectFields(fields["stream_options"])
	if err != nil {
		options = make(map[string]json.RawMessage)
	}
	options["include_usage"] = json.RawMessage("true")
	fields["stream"] = json.RawMessage("true")
	if fields["stream_options"], err = marshalFields(options); err != nil {
		return nil, err
	}
	return marshalFields(fields)
}

func objectFields(body []byte) (map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.Wrap(err, "body")
	}
	if fields == nil {
		return nil, errors.New("body is not a JSON object")
	}
	return fields, nil
}

// marshalFields encodes the fields sorted by name, so that equal bodies have equal encodings.
// It does not escape HTML characters.
func marshalFields(fields map[string]json.RawMessage) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(fields); err != nil {
		return nil, errors.Wrap(err, "body")
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n")), nil
}

func (h *HTTP) runService(ctx context.Context, c call, sink Sink) (Outcome, error) {
	response, err := h.send(ctx, c)
	if err != nil {
		return Outcome{}, err
	}
	defer closeBody(response)
	outcome := Outcome{Status: response.StatusCode}
	if outcome.Body, err = h.readAndDeliver(c, response, sink); err != nil {
		return outcome, err
	}
	outcome.End = EndCompleted
	return outcome, nil
}

// readAndDeliver reads a response to its end and then passes it to the sink.
func (h *HTTP) readAndDeliver(c call, response *http.Response, sink Sink) (framing.End, error) {
	body, end, err := h.readWhole(c, response, h.options.MaxAnswerBytes)
	if err != nil {
		return end, err
	}
	return end, c.deliver(response, body, sink)
}

func (c call) deliver(response *http.Response, body []byte, sink Sink) error {
	answer := Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}
	if err := sink.Answer(answer); err != nil {
		return c.fail(ErrOutcomeUnknown, errors.Wrap(err, "sink"))
	}
	return nil
}

func (h *HTTP) runModel(ctx context.Context, c call, from int, sink Sink) (Outcome, error) {
	response, err := h.send(ctx, c)
	if err != nil {
		return Outcome{Tokens: from}, err
	}
	defer closeBody(response)
	outcome := Outcome{
		Status: response.StatusCode,
		Tokens: from,
	}
	if response.StatusCode != http.StatusOK {
		return h.deliverRefusal(c, response, outcome, sink)
	}
	contentType := response.Header.Get("Content-Type")
	if from > 0 {
		if err := framing.CheckContinuation(response.StatusCode, contentType); err != nil {
			return outcome, c.fail(ErrOutcomeUnknown, err)
		}
	}
	if !framing.IsStream(contentType) {
		if outcome.Body, err = h.readAndDeliver(c, response, sink); err != nil {
			return outcome, err
		}
		outcome.End = EndCompleted
		return outcome, nil
	}
	stream := streamReader{
		call:    c,
		sink:    sink,
		outcome: outcome,
	}
	if err := stream.read(response, h.options); err != nil {
		// Close immediately: some engines cancel on disconnect, and until then they compute
		// output that is discarded.
		_ = response.Body.Close()
		return stream.outcome, err
	}
	return stream.outcome, nil
}

// deliverRefusal handles a status other than 200. After a duplicate the attempt is still
// running; a stream unknown to the engine is reported as the error of Resume; any other status
// ends the attempt.
func (h *HTTP) deliverRefusal(c call, response *http.Response, outcome Outcome, sink Sink) (Outcome, error) {
	body, end, err := h.readWhole(c, response, h.options.MaxAnswerBytes)
	outcome.Body = end
	if err != nil {
		return outcome, err
	}
	detail := parseError(body)
	if detail.Type == TypeDuplicate || detail.Type == TypeUnknownStream {
		return outcome, c.statusError(response.StatusCode, body)
	}
	if err := c.deliver(response, body, sink); err != nil {
		return outcome, err
	}
	outcome.End = EndFailed
	outcome.NotStarted = detail.notStarted()
	return outcome, nil
}

func streamPath(id AttemptID, action string) string {
	return "/v1/streams/" + url.PathEscape(string(id)) + "/" + action
}
