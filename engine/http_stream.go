package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine/framing"
)

// Bounds on reading what follows the last event of a stream.
const (
	// drainBytes and drainTimeout bound the reading of data after the last event of a stream.
	drainBytes   = 4 << 10
	drainTimeout = 100 * time.Millisecond
)

// payload holds the fields that the adapter reads from a stream event. It covers both
// completion formats.
type payload struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
		Delta        struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage     *Usage         `json:"usage"`
	Error     *ErrorDetail   `json:"error"`
	Suspended *SuspendAnswer `json:"suspended"`
}

// tokens counts a payload with text as one token. An engine that sends several tokens in one
// payload needs a different adapter.
func (p *payload) tokens() int {
	for _, choice := range p.Choices {
		if choice.Text != "" || choice.Delta.Content != "" {
			return 1
		}
	}
	return 0
}

// streamReader passes the events of one stream to a sink.
type streamReader struct {
	call    call
	sink    Sink
	outcome Outcome
	usage   *Usage
}

// read reads a stream until the engine ends it.
func (s *streamReader) read(response *http.Response, options HTTPOptions) error {
	s.outcome.Body = options.Budget.ReadStream(response, framing.MarkedEvents, options.MaxEventBytes, framing.Sequence{}, func(part framing.Part) error {
		if !part.HasData {
			return nil
		}
		if err := s.handleEvent(part.Data); err != nil {
			return err
		}
		if s.outcome.End != EndUnknown {
			return framing.ErrStop
		}
		return nil
	})
	if err := s.outcome.Body.Err(); err != nil {
		return s.call.fail(ErrOutcomeUnknown, err)
	}
	return nil
}

func (s *streamReader) handleEvent(data []byte) error {
	if string(data) == StreamDone {
		return s.finish()
	}
	var parsed payload
	if err := json.Unmarshal(data, &parsed); err != nil {
		return errors.Wrap(err, "decode stream payload")
	}
	if parsed.Error != nil {
		s.endWithError(*parsed.Error)
		return nil
	}
	if parsed.Suspended != nil {
		s.outcome.End = EndSuspended
		s.outcome.Suspension = parsed.Suspended.suspension()
		return nil
	}
	s.recordMetadata(&parsed)
	chunk := Chunk{
		Index:     s.outcome.Tokens,
		Tokens:    parsed.tokens(),
		UsageOnly: parsed.Usage != nil && len(parsed.Choices) == 0,
		Data:      data,
	}
	s.outcome.Tokens += chunk.Tokens
	if err := s.sink.Chunk(chunk); err != nil {
		return errors.Wrap(err, "sink")
	}
	return nil
}

func (s *streamReader) recordMetadata(parsed *payload) {
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

// finish handles the end marker. It compares the engine's own token count with the number of
// tokens received: a difference means that the answer is incomplete.
func (s *streamReader) finish() error {
	if s.usage != nil && s.usage.CompletionTokens != s.outcome.Tokens {
		cause := errors.Errorf("received %d of %d tokens", s.outcome.Tokens, s.usage.CompletionTokens)
		return errors.Join(ErrIncomplete, cause)
	}
	s.outcome.End = EndCompleted
	return nil
}

func (s *streamReader) endWithError(detail ErrorDetail) {
	s.outcome.End = EndFailed
	if detail.Type == TypeCancelled {
		s.outcome.End = EndCancelled
	}
	s.outcome.NotStarted = detail.notStarted()
}

func (d ErrorDetail) notStarted() bool { return d.Started != nil && !*d.Started }

// closeBody closes a response body. It first reads a small remainder, because a connection with
// unread bytes cannot be reused, and stops after drainTimeout if the engine does not end its
// response.
func closeBody(response *http.Response) {
	timer := time.AfterFunc(drainTimeout, func() { _ = response.Body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, response.Body, drainBytes)
	_ = response.Body.Close()
}
