package engine

import "github.com/carawaypitch/carawaypitch/backpressure"

// Headers of the protocol.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRateLimit is in all answers of a server that takes only so many requests a second, a decimal number, from all senders
	// together.
	HeaderRateLimit = "Carawaypitch-Rate-Limit"
	// HeaderBackoff is in a refusal of a server that wants nothing for so many seconds from whom it answers.
	HeaderBackoff = "Retry-After"
	// HeaderDraining is 1 in all answers of a server that leaves.
	HeaderDraining = "Carawaypitch-Draining"
)

// backpressureNames are the headers by which a server speaks of itself.
var backpressureNames = backpressure.HeaderNames{RateLimit: HeaderRateLimit, Backoff: HeaderBackoff, Draining: HeaderDraining}

// Content types of the protocol.
const (
	ContentTypeJSON   = "application/json"
	ContentTypeStream = "text/event-stream"
)

// StreamDone is the payload that ends a whole stream.
const StreamDone = "[DONE]"

// Types of an [ErrorDetail].
const (
	// TypeDuplicate: an attempt of this identity runs already.
	TypeDuplicate = "duplicate_request_id"
	// TypeUnknownStream: there is no stream of this identity.
	TypeUnknownStream = "unknown_stream"
	// TypeCancelled ends a stream that was cancelled.
	TypeCancelled = "cancelled"
	// TypeInvalid: the call can't be understood.
	TypeInvalid = "invalid_request"
	// TypeNotReady: the model isn't loaded, or the call doesn't fit.
	TypeNotReady = "not_ready"
	// TypeInternal: the engine failed.
	TypeInternal = "internal_error"
)

// ErrorDetail is an engine's error, as the value of "error" in a JSON answer
// or in the payload that ends a stream.
type ErrorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	// Started is false if the engine says that it did not begin the work
	// and won't; nil if it says nothing.
	Started *bool `json:"started,omitempty"`
}

// ErrorBody is the JSON round an [ErrorDetail].
type ErrorBody struct {
	Error *ErrorDetail `json:"error"`
}

// States of a [CancelAnswer].
const (
	CancelStateCancelled = "cancelled"
	CancelStateFinished  = "finished"
	CancelStateRunning   = "running"
)

// CancelAnswer is an engine's answer to a cancel call.
type CancelAnswer struct {
	ID    AttemptID `json:"id"`
	State string    `json:"state"`
}

// StreamsAnswer is an engine's list of streams.
type StreamsAnswer struct {
	Streams []StreamInfo `json:"streams"`
}

// CacheEventsAnswer is a part of an engine's cache events.
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
