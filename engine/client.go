package engine

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/carawaypitch/carawaypitch/engine/framing"
)

// AttemptID identifies one attempt of a request as "REQUEST.NUMBER". It is sent in the
// X-Request-Id header and in the paths of the stream calls.
type AttemptID string

// Request returns the ID of the logical request: the part of id before its last dot. An ID
// without a dot is returned unchanged.
func (id AttemptID) Request() string {
	if dot := strings.LastIndexByte(string(id), '.'); dot >= 0 {
		return string(id[:dot])
	}
	return string(id)
}

// Kind is the kind of a backend server: a model engine or a plain service.
type Kind string

// The kinds of backend server.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// Request describes one attempt to run on a backend server.
type Request struct {
	ID   AttemptID
	Kind Kind
	// Method is the HTTP method; empty means POST.
	Method string
	// Path is the path on the backend server, such as "/v1/chat/completions", including the
	// query if there is one.
	Path string
	// Body is the caller's body. For a model the adapter sets "stream" to true and asks for the
	// usage chunk, and keeps every other field unchanged.
	Body []byte
	// IdempotencyKey is sent as the Idempotency-Key header unless empty.
	IdempotencyKey string
	// Header holds the caller's headers to forward. Headers that the adapter sets itself are
	// ignored here.
	Header http.Header
	// Verbatim is set for a request that is forwarded byte for byte as the caller wrote it. Its
	// response is delivered through [Sink.Chunk] only: first the encoded wire.AnswerHead, then
	// the parts of the body. Nil means the adapter builds the request.
	Verbatim *Verbatim
	// Resume is set for a run that the same engine has suspended; nil for a run from the start. The run's first event
	// is then the one after Verbatim.LastEvent. A suspension that the engine no longer holds gives an error that
	// matches ErrNeverSent and ErrUnknownStream.
	Resume *Suspension
	// ResumeTokens is the number of tokens received before the suspension. An engine whose events have no IDs continues
	// after them. It is used with Resume only.
	ResumeTokens int
}

// Verbatim holds the additional fields of a request that is forwarded unchanged.
type Verbatim struct {
	// Host is the caller's Host header. If Verbatim is set, Request.Path is the complete
	// request target, and Request.Header holds all caller headers to forward.
	Host string
	// Organisation is the organisation that the request belongs to; empty where callers need no
	// key.
	Organisation string
	// Server is the name of the intended backend server. A different server that has since
	// taken over its address must not run the request.
	Server string
	// Remaining is how much longer the response is useful to the caller.
	Remaining time.Duration
	// Repeatable reports whether the request may run again after a failed attempt.
	Repeatable bool
	// LastEvent is the last stream event that the caller has received, for an attempt that
	// resumes after it; empty for an attempt from the start.
	LastEvent []byte
	// Consecutive reports whether the IDs of the events before are consecutive numbers, so that
	// the next one is known.
	Consecutive bool
	// SkipHead is set if the caller has already received the response head.
	SkipHead bool
}

// Chunk is one server-sent event of a model's stream.
type Chunk struct {
	// Index is the position, in the complete answer, of the first token in this payload; for a
	// payload without tokens, the position of the next token.
	Index int
	// Tokens is the number of tokens in the payload: 0 or 1.
	Tokens int
	// UsageOnly marks the last payload, which carries the usage and no choice. The engine sends
	// it because the adapter requests it; it must not be forwarded to a caller that did not
	// request it.
	UsageOnly bool
	// Data is the JSON after "data: ". It is valid only during the call.
	Data []byte
}

// Answer is the complete response of a plain service, or a response of a model engine that is
// not a stream, such as a refusal.
type Answer struct {
	Status      int
	ContentType string
	// Body is always complete: a truncated body is not delivered.
	Body []byte
}

// Sink receives the output of an attempt, in order and from one goroutine. An error from it
// closes the attempt's connection, and the attempt fails with [ErrOutcomeUnknown], because the
// engine may continue it.
type Sink interface {
	// Chunk receives one payload of a stream, except the final "[DONE]".
	Chunk(Chunk) error
	// Answer receives a response that is not a stream. It is called at most once.
	Answer(Answer) error
}

// End is the way in which an attempt ended.
type End uint8

// The ends of an attempt. All except EndUnknown are reported by the engine.
const (
	// EndUnknown is the zero value: there is no proof that the attempt ended.
	EndUnknown End = iota
	// EndCompleted means the complete response has arrived.
	EndCompleted
	// EndFailed means the engine ended the attempt with an error event, or a model engine
	// responded with a status other than 200. The engine may have started the work, unless
	// Outcome.NotStarted is set.
	EndFailed
	// EndCancelled means the stream ended because of a cancel call.
	EndCancelled
	// EndSuspended means the engine stopped the stream and keeps its memory, see [Suspender]. The attempt isn't over.
	EndSuspended
)

// String returns the name used in log lines.
func (e End) String() string {
	switch e {
	case EndCompleted:
		return "completed"
	case EndFailed:
		return "failed"
	case EndCancelled:
		return "cancelled"
	case EndSuspended:
		return "suspended"
	default:
		return "unproved"
	}
}

// Outcome holds what is known of an attempt when its call returns. If the call returns an
// error, it holds what had arrived until then, and End is EndUnknown.
type Outcome struct {
	End End
	// NotStarted is set with EndFailed if the engine stated explicitly that it did not start
	// the work and will not start it.
	NotStarted bool
	// Status is the HTTP status, 0 if none arrived. Any status of a plain service is a complete
	// response, so End is EndCompleted.
	Status int
	// Tokens is the position after the last token received, counted from the start of the
	// complete answer, also for a resumed stream.
	Tokens int
	// PromptTokens, CachedPromptTokens and FinishReason are as reported by the engine.
	PromptTokens       int
	CachedPromptTokens int
	FinishReason       string
	// Suspension is set with EndSuspended.
	Suspension Suspension
	// Body describes how the answer's body ended and how much of it arrived.
	Body framing.End
}

// CancelResult is an engine's response to a cancel call. If the call returns an error, nothing
// is known about the stream.
type CancelResult uint8

// The results of a cancel call.
const (
	// CancelNone is the zero value, returned with an error.
	CancelNone CancelResult = iota
	// CancelConfirmed means the engine reports that the stream has ended, by this call or
	// before it.
	CancelConfirmed
	// CancelUnknownID means the engine reports that it has no such stream. This proves the end
	// of the attempt only if its dispatch cannot arrive after the cancel call: the agent's own
	// Run has returned and its connection is closed, or Run was never called.
	CancelUnknownID
)

// String returns the name used in log lines.
func (r CancelResult) String() string {
	switch r {
	case CancelConfirmed:
		return "confirmed"
	case CancelUnknownID:
		return "unknown_id"
	default:
		return "none"
	}
}

// Client is an agent's connection to a backend server. Its methods are safe for concurrent use
// and never retry a call.
//
// Besides the errors named at each method, every method returns errors that match
// [ErrNeverSent] or [ErrOutcomeUnknown], and [ErrUnsupported] if the backend server does not
// offer the call.
type Client interface {
	// Run runs an attempt until it ends. A nil error means that the engine ended it;
	// Outcome.End states how. Run fails with ErrNeverSent, ErrOutcomeUnknown or ErrDuplicate.
	// Cancelling ctx closes the connection, which cancels the attempt on some engines but not
	// on others.
	Run(ctx context.Context, request Request, sink Sink) (Outcome, error)
	// Cancel ends a stream. It returns CancelConfirmed or CancelUnknownID with a nil error, and
	// CancelNone with any other.
	Cancel(ctx context.Context, id AttemptID) (CancelResult, error)
	// Streams lists the streams that the engine holds.
	Streams(ctx context.Context) ([]StreamInfo, error)
	// Resume continues a stream from token number from, counted from 0. An engine that holds
	// neither the stream nor its imported KV cache recomputes it from body, the original
	// request, and fails with ErrUnknownStream if body is empty. Otherwise it behaves as Run.
	Resume(ctx context.Context, id AttemptID, from int, body []byte, sink Sink) (Outcome, error)
	// ExportKV returns the KV cache of a stream in the engine's own format. It fails with
	// ErrUnknownStream if the engine does not hold the stream.
	ExportKV(ctx context.Context, id AttemptID) ([]byte, error)
	// ImportKV passes a KV cache to the engine for a later Resume of id.
	ImportKV(ctx context.Context, id AttemptID, kv []byte) error
	// Load returns the engine's own load report, which lags behind its present state.
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns the published cache events with sequence numbers above after, in
	// order. Events are published with a delay, and a gap in the numbers means lost events.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order sends an order of the control leader. An engine that checks fence numbers responds
	// to a stale one with OrderStale, not with an error.
	Order(ctx context.Context, order Order) (OrderResult, error)
}

// Prober is a [Client] that can check whether a process listens at its server's address.
type Prober interface {
	// Probe opens a connection without sending a call. Its error wraps syscall.ECONNREFUSED if
	// no process listens.
	Probe(ctx context.Context) error
}
