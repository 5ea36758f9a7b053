package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Bounds on reading what follows the last event of a stream.
const (
	drainBytes   = 4 << 10
	drainTimeout = 100 * time.Millisecond
)

// payload is what the adapter reads of a stream's events. Both completion
// formats fit in.
type payload struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
		Delta        struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *Usage       `json:"usage"`
	Error *ErrorDetail `json:"error"`
}

// tokens counts a payload with text as one token. An engine that packs several
// tokens in a payload needs another adapter.
func (p *payload) tokens() int {
	for _, choice := range p.Choices {
		if choice.Text != "" || choice.Delta.Content != "" {
			return 1
		}
	}
	return 0
}

// streamReader hands one stream over to a sink.
type streamReader struct {
	call    call
	sink    Sink
	outcome Outcome
	usage   *Usage
}

// read reads a stream until the engine ends it.
func (s *streamReader) read(source io.Reader, limit int) error {
	events := newEventReader(source, limit)
	for s.outcome.End == EndUnknown {
		data, err := events.next()
		if err != nil {
			return s.call.unread(err)
		}
		if err := s.event(data); err != nil {
			return err
		}
	}
	return nil
}

func (s *streamReader) event(data []byte) error {
	if string(data) == StreamDone {
		return s.done()
	}
	var parsed payload
	if err := json.Unmarshal(data, &parsed); err != nil {
		return s.call.fail(ErrOutcomeUnknown, errors.Wrap(err, "stream payload"))
	}
	if parsed.Error != nil {
		s.engineError(*parsed.Error)
		return nil
	}
	s.note(&parsed)
	chunk := Chunk{
		Index:     s.outcome.Tokens,
		Tokens:    parsed.tokens(),
		UsageOnly: parsed.Usage != nil && len(parsed.Choices) == 0,
		Data:      data,
	}
	s.outcome.Tokens += chunk.Tokens
	if err := s.sink.Chunk(chunk); err != nil {
		return s.call.fail(ErrOutcomeUnknown, errors.Wrap(err, "sink"))
	}
	return nil
}

func (s *streamReader) note(parsed *payload) {
	for _, choice := range parsed.Choices {
		if choice.FinishReason != nil {
			s.outcome.FinishReason = *choice.FinishReason
		}
	}
	if parsed.Usage == nil {
		return
	}
	s.usage = parsed.Usage
	s.outcome.PromptTokens = parsed.Usage.PromptTokens
	s.outcome.CachedPromptTokens = parsed.Usage.PromptDetails.CachedTokens
}

// done takes the end mark. The engine's own count of tokens is compared with
// what arrived: a difference means that the answer isn't whole.
func (s *streamReader) done() error {
	if s.usage != nil && s.usage.CompletionTokens != s.outcome.Tokens {
		cause := errors.Errorf("%d tokens arrived of %d", s.outcome.Tokens, s.usage.CompletionTokens)
		return s.call.fail(ErrOutcomeUnknown, errors.Join(ErrIncomplete, cause))
	}
	s.outcome.End = EndCompleted
	return nil
}

func (s *streamReader) engineError(detail ErrorDetail) {
	s.outcome.End = EndFailed
	if detail.Type == TypeCancelled {
		s.outcome.End = EndCancelled
	}
	s.outcome.NotStarted = detail.notStarted()
}

func (d ErrorDetail) notStarted() bool { return d.Started != nil && !*d.Started }

// closeBody closes an answer. It reads the little that may be left first, since
// a connection with unread bytes can't be used again, and gives up after a
// moment on an engine that doesn't end its answer.
func closeBody(response *http.Response) {
	timer := time.AfterFunc(drainTimeout, func() { _ = response.Body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, response.Body, drainBytes)
	_ = response.Body.Close()
}
