package engine

import (
	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/engine/framing"
)

// Headers of the protocol.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderSuspension is the handle of a suspended run, set in the request that resumes it.
	HeaderSuspension = "Carawaypitch-Suspension"
	// HeaderResumeFrom is set beside it: the number of tokens that were received before.
	HeaderResumeFrom = "Carawaypitch-Resume-From"
	// HeaderRateLimit is set in every response of a server with a rate limit: the number of
	// requests per second, as a decimal number, that it accepts from all senders together.
	HeaderRateLimit = "Carawaypitch-Rate-Limit"
	// HeaderBackoff is set in a refusal: the number of seconds for which the sender is to send
	// nothing.
	HeaderBackoff = "Retry-After"
	// HeaderDraining is 1 in every response of a server that is leaving.
	HeaderDraining = "Carawaypitch-Draining"
)

// backpressureHeaders are the headers in which a server reports its own state.
var backpressureHeaders = backpressure.HeaderNames{RateLimit: HeaderRateLimit, Backoff: HeaderBackoff, Draining: HeaderDraining}

// Content types of the protocol.
const (
	ContentTypeJSON   = "application/json"
	ContentTypeStream = framing.ContentTypeStream
)

// StreamDone is the payload that ends a complete stream.
const StreamDone = "[DONE]"

// Types of an [ErrorDetail].
const (
	// TypeDuplicate means an attempt with this ID is already running.
	TypeDuplicate = "duplicate_request_id"
	// TypeUnknownStream means there is no stream with this ID.
	TypeUnknownStream = "unknown_stream"
	// TypeSuspending means the stream can't be suspended now; it continues.
	TypeSuspending = "suspension_in_progress"
	// TypeNoRoom means no target accepted a copy of the stream's memory; the stream continues.
	TypeNoRoom = "no_room_at_target"
	// TypeCancelled ends a stream that was cancelled.
	TypeCancelled = "cancelled"
	// TypeInvalid means the call is malformed.
	TypeInvalid = "invalid_request"
	// TypeNotReady means the model is not loaded, or the call does not fit.
	TypeNotReady = "not_ready"
	// TypeInternal means the engine failed.
	TypeInternal = "internal_error"
)

// ErrorDetail is an engine's error, as the value of "error" in a JSON response or in the
// payload that ends a stream.
type ErrorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	// Started is false if the engine states that it did not start the work and will not start
	// it; nil if it makes no statement.
	Started *bool `json:"started,omitempty"`
}

// ErrorBody is the JSON object that contains an [ErrorDetail].
type ErrorBody struct {
	Error *ErrorDetail `json:"error"`
}

// States of a [CancelAnswer].
const (
	CancelStateCancelled = "cancelled"
	CancelStateFinished  = "finished"
	CancelStateRunning   = "running"
)

// CancelAnswer is an engine's response to a cancel call.
type CancelAnswer struct {
	ID    AttemptID `json:"id"`
	State string    `json:"state"`
}

// SuspendOrder is the body of a suspend call.
type SuspendOrder struct {
	// Targets are addresses, as IP:port, of other servers that may take a copy of the memory.
	Targets []string `json:"targets"`
}

// SuspendAnswer is an engine's response to a suspend call. It is also the value of "suspended" in
// the last event of the stopped stream.
type SuspendAnswer struct {
	Handle string `json:"handle"`
	// Events is the number of tokens that the run had generated.
	Events int `json:"events"`
}

// SuspendedEvent is the last event of a stream that was suspended.
type SuspendedEvent struct {
	Suspended *SuspendAnswer `json:"suspended"`
}

// StreamsAnswer is an engine's list of streams.
type StreamsAnswer struct {
	Streams []StreamInfo `json:"streams"`
}

// CacheEventsAnswer is a range of an engine's cache events.
type CacheEventsAnswer struct {
	Events []CacheEvent `json:"events"`
}

// Usage is the token count in the last chunk of a stream.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails are the parts of a prompt's tokens.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}
