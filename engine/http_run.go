package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"mime"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"
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
	body, err := streamBody(request.Body)
	if err != nil {
		return Outcome{}, c.fail(ErrNeverSent, errors.Join(ErrInvalid, err))
	}
	c.body = body
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
		shaped, err := streamBody(body)
		if err != nil {
			return Outcome{Tokens: from}, c.fail(ErrNeverSent, errors.Join(ErrInvalid, err))
		}
		c.body = shaped
	}
	return h.runModel(ctx, c, from, sink)
}

// attemptHeader copies the caller's headers and sets the adapter's own.
func attemptHeader(request Request) http.Header {
	header := request.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	for _, name := range []string{
		"Connection", "Content-Length", "Host", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"X-Idempotency-Key", HeaderIdempotencyKey,
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

// streamBody puts "stream" and the wish for a usage count in a completion body
// and keeps all other fields. Streams can be resumed, whole answers can't.
func streamBody(body []byte) ([]byte, error) {
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
		return nil, errors.New("body is no JSON object")
	}
	return fields, nil
}

// marshalFields writes the fields in the order of their names, so that equal
// bodies stay equal. It leaves the characters of HTML as they are.
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
	if err := h.handAnswer(c, response, sink); err != nil {
		return outcome, err
	}
	outcome.End = EndCompleted
	return outcome, nil
}

// handAnswer reads an answer to its end before it hands it over.
func (h *HTTP) handAnswer(c call, response *http.Response, sink Sink) error {
	body, err := c.readWhole(response, h.options.MaxAnswerBytes)
	if err != nil {
		return err
	}
	return c.hand(response, body, sink)
}

func (c call) hand(response *http.Response, body []byte, sink Sink) error {
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
		return h.modelRefusal(c, response, outcome, sink)
	}
	if !isStream(response) {
		if err := h.handAnswer(c, response, sink); err != nil {
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
	if err := stream.read(response.Body, h.options.MaxEventBytes); err != nil {
		// At once: some engines cancel at a lost connection, and every
		// moment until then is computed for nobody.
		_ = response.Body.Close()
		return stream.outcome, err
	}
	return stream.outcome, nil
}

// modelRefusal takes a status other than 200. Only a duplicate leaves the
// attempt running; a stream that the engine doesn't know is the resume's own
// error; everything else is an end.
func (h *HTTP) modelRefusal(c call, response *http.Response, outcome Outcome, sink Sink) (Outcome, error) {
	body, err := c.readWhole(response, h.options.MaxAnswerBytes)
	if err != nil {
		return outcome, err
	}
	detail := parseError(body)
	if detail.Type == TypeDuplicate || detail.Type == TypeUnknownStream {
		return outcome, c.refusal(response.StatusCode, body)
	}
	if err := c.hand(response, body, sink); err != nil {
		return outcome, err
	}
	outcome.End = EndFailed
	outcome.NotStarted = detail.notStarted()
	return outcome, nil
}

func isStream(response *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == ContentTypeStream
}

func streamPath(id AttemptID, action string) string {
	return "/v1/streams/" + url.PathEscape(string(id)) + "/" + action
}
