package engine

import (
	"context"
	"net/http"
	"strings"
	"time"
)

// AttemptID names one attempt of a request: "REQUEST.NUMBER". It is written in
// the X-Request-Id header and in the paths of the stream calls.
type AttemptID string

// Request gives the logical request: the identity up to its last dot. An
// identity without a dot is its own request.
func (id AttemptID) Request() string {
	if dot := strings.LastIndexByte(string(id), '.'); dot >= 0 {
		return string(id[:dot])
	}
	return string(id)
}

// Kind is the kind of a backend server.
type Kind string

// The kinds of backend server.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// Request is one attempt to run on a backend server.
type Request struct {
	ID   AttemptID
	Kind Kind
	// Method is the HTTP method; empty means POST.
	Method string
	// Path is the path at the backend server, such as
	// "/v1/chat/completions", with a query where there is one.
	Path string
	// Body is the caller's body. For a model the adapter adds
	// "stream": true and keeps every other field as it is.
	Body []byte
	// IdempotencyKey goes out as the Idempotency-Key header, if not empty.
	IdempotencyKey string
	// Header holds the few caller headers to pass on. Headers which the
	// adapter sets itself are ignored here.
	Header http.Header
	// Verbatim is set for a request that goes out byte for byte as its caller
	// wrote it. Its answer comes back through [Sink.Chunk] only: first the
	// encoded wire.AnswerHead, then the parts of the body.
	Verbatim *Verbatim
}

// Verbatim is what a request needs that is passed on as it is.
type Verbatim struct {
	// Host is the caller's Host header. Path is then the whole request
	// target, and Header holds all headers of the caller to pass on.
	Host string
	// Organisation is whose work it is; empty where callers need no key.
	Organisation string
	// Server is the backend server that is meant. Another one that has taken
	// over its address must not run the request.
	Server string
	// Remaining is how long the answer is of use.
	Remaining time.Duration
	// Repeatable work may run again after an attempt that failed.
	Repeatable bool
	// LastEvent is the last event of a stream that the caller has, for a run
	// that goes on after it; empty for a run from the beginning.
	LastEvent []byte
	// SkipHead is set where the caller has the head of the answer already.
	SkipHead bool
}

// Chunk is one server-sent event of a model's stream.
type Chunk struct {
	// Index is the position, in the whole answer, of the first token that
	// this payload carries; for a payload without tokens it is the position
	// of the next one.
	Index int
	// Tokens is how many tokens the payload carries: 0 or 1.
	Tokens int
	// UsageOnly marks the last payload, which carries the usage and no
	// choice. It is there because the adapter asked for it; a caller that
	// didn't ask must not see it.
	UsageOnly bool
	// Data is the JSON after "data: ". It is valid during the call only.
	Data []byte
}

// Answer is the whole answer of a plain service, or a model engine's answer
// that is not a stream, such as a refusal.
type Answer struct {
	Status      int
	ContentType string
	// Body is whole: a body that was cut is never handed over.
	Body []byte
}

// Sink receives what an attempt produces, in order and from one goroutine. An
// error from it ends the attempt's connection, and the attempt ends with
// [ErrOutcomeUnknown]: the engine may go on.
type Sink interface {
	// Chunk receives one payload of a stream; "[DONE]" is not handed over.
	Chunk(Chunk) error
	// Answer receives an answer that is not a stream, once.
	Answer(Answer) error
}

// End says how an attempt ended.
type End uint8

// The ends of an attempt. All but EndUnknown are the engine's own word.
const (
	// EndUnknown is the zero value: nothing proves that the attempt ended.
	EndUnknown End = iota
	// EndCompleted: the whole answer has arrived.
	EndCompleted
	// EndFailed: the engine ended the attempt with an error event, or a
	// model engine answered with a status other than 200. The engine may
	// have begun the work, unless Outcome.NotStarted is set.
	EndFailed
	// EndCancelled: the stream ended because of a cancel call.
	EndCancelled
)

// String gives the end's name in a log line.
func (e End) String() string {
	switch e {
	case EndCompleted:
		return "completed"
	case EndFailed:
		return "failed"
	case EndCancelled:
		return "cancelled"
	default:
		return "unproved"
	}
}

// Outcome is what is known of an attempt when its call returns. With an error
// it holds what had arrived until then, and End is EndUnknown.
type Outcome struct {
	End End
	// NotStarted is set with EndFailed if the engine said in so many words
	// that it did not start the work and won't.
	NotStarted bool
	// Status is the HTTP status, 0 if none arrived. A plain service's
	// status of any value is its answer, so its end is EndCompleted.
	Status int
	// Tokens is the position after the last token that arrived, counted
	// from the start of the whole answer also for a resumed stream.
	Tokens int
	// PromptTokens, CachedPromptTokens and FinishReason are the engine's.
	PromptTokens       int
	CachedPromptTokens int
	FinishReason       string
}

// CancelResult is what an engine says to a cancel call.
type CancelResult uint8

// The results of a cancel call. An error instead of one is no proof at all.
const (
	// CancelNone is the zero value, returned with an error.
	CancelNone CancelResult = iota
	// CancelConfirmed: the engine says that the stream is ended, by this
	// call or before it.
	CancelConfirmed
	// CancelUnknownID: the engine says it has no such stream. That proves
	// an end only if the dispatch can't arrive after the cancel call: the
	// agent's own Run has returned and its connection is closed, or it was
	// never called.
	CancelUnknownID
)

// String gives the result's name in a log line.
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

// Client is a backend server as its agent sees it. Each method may be called
// from any goroutine; none repeats a call on its own.
//
// Besides the errors named at each method, all return errors that match
// [ErrNeverSent] or [ErrOutcomeUnknown], and [ErrUnsupported] from a backend server
// without that call.
type Client interface {
	// Run runs an attempt until its end. A nil error means that the engine
	// ended it: see Outcome.End. It fails with ErrNeverSent, ErrOutcomeUnknown or
	// ErrDuplicate. Ending ctx drops the connection, which cancels the
	// attempt on some engines and doesn't on others.
	Run(ctx context.Context, request Request, sink Sink) (Outcome, error)
	// Cancel ends a stream. A nil error comes with CancelConfirmed or
	// CancelUnknownID.
	Cancel(ctx context.Context, id AttemptID) (CancelResult, error)
	// Streams lists the streams that the engine holds, by identity.
	Streams(ctx context.Context) ([]StreamInfo, error)
	// Resume goes on with a stream from token number from, counted from 0.
	// An engine that holds neither the stream nor its imported KV cache
	// begins anew from body, the original request; without a body it fails
	// with ErrUnknownStream. Else as Run.
	Resume(ctx context.Context, id AttemptID, from int, body []byte, sink Sink) (Outcome, error)
	// ExportKV gives the KV cache of a stream, in the engine's own format.
	// It fails with ErrUnknownStream.
	ExportKV(ctx context.Context, id AttemptID) ([]byte, error)
	// ImportKV gives an engine the KV cache for a later Resume of id.
	ImportKV(ctx context.Context, id AttemptID, kv []byte) error
	// Load gives the engine's own report, which is late.
	Load(ctx context.Context) (Load, error)
	// CacheEvents gives the published cache events with numbers above
	// after, in order. They are late, and missing numbers are lost events.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order gives an order of the control leader. An engine that checks
	// fence numbers answers an old one with OrderStale, not with an error.
	Order(ctx context.Context, order Order) (OrderResult, error)
}

// Prober is a [Client] that can tell, with a connection alone, whether a
// process listens at its server's address. The error wraps
// syscall.ECONNREFUSED if none does.
type Prober interface {
	Probe(ctx context.Context) error
}
