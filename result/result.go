// Package result holds the numbered result codes of carawaypitch and the error type that carries one.
//
// Every refusal and failure that leaves a process, and every one that is counted, is an *Error. Its Code says
// what happened, its Ran says truthfully whether the work was begun. The codes stand in one table (table.go),
// from which docs/CODES.md and the codes subcommand are printed.
//
// To add a code: add a constant to codes.go and a row to table.go, then run the test of this package with
// -update, which rewrites docs/CODES.md. A number is never reused for another meaning.
package result

import (
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Code is the number of a result. The hundreds give its group, see Markdown.
type Code uint16

// Info describes one code.
type Info struct {
	// Code is the number described.
	Code Code
	// Name is the code's stable name in snake_case.
	Name string
	// Status is the HTTP status that a reply with this code carries.
	Status int
	// Ran holds the values of Ran that the code may carry.
	Ran RanSet
	// Message is the default message.
	Message string
	// Advice says what the caller or operator can do.
	Advice string
}

// Info returns the row of the table for c. A number that isn't in the table, which a newer peer may send, gives
// a row named "unknown_code" with status 500 that may carry only RanUnknown.
func (c Code) Info() Info {
	if info, ok := byCode[c]; ok {
		return info
	}
	return Info{
		Code:    c,
		Name:    "unknown_code",
		Status:  http.StatusInternalServerError,
		Ran:     onlyUnknown,
		Message: "the result code is not known to this version",
		Advice:  "Look the number up in the docs of the version that sent it.",
	}
}

// String returns the code's name.
func (c Code) String() string {
	return c.Info().Name
}

// Error is a result that isn't a success.
type Error struct {
	// Code is the numbered result code.
	Code Code
	// Ran says whether an engine or service began the work.
	Ran Ran
	// Message is for people. It never holds a key or a part of a body.
	Message string
	// RetryAfter is how long the caller should wait before it tries again; 0 when there is no advice.
	RetryAfter time.Duration

	cause error
}

// New returns an error with the code and a message made from format and args. With an empty format the
// message is the code's default. Ran is what the code alone proves: the only value it may carry, else
// RanUnknown. Use WithRan to say more.
func New(code Code, format string, args ...any) *Error {
	info := code.Info()
	message := info.Message
	if format != "" {
		message = fmt.Sprintf(format, args...)
	}
	return &Error{Code: code, Ran: info.Ran.implied(), Message: message}
}

// Wrap is New with a cause, which Unwrap returns. The cause appears in Error for logs, and never in the JSON
// form, since it may name addresses inside the deployment.
func Wrap(cause error, code Code, format string, args ...any) *Error {
	e := New(code, format, args...)
	e.cause = cause
	return e
}

// WithRan returns a copy of e that carries ran. A code may carry RanNo or RanYes only where its row allows it;
// a value that it doesn't allow becomes RanUnknown.
//
// Without this, a code path that reuses an error could promise "no" for work that an engine may have begun. The
// caller would send it again and it would run twice. RanUnknown is always true, so it is the value to fall to.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.Ran = ran
	if !e.Code.Info().Ran.Has(ran) {
		c.Ran = RanUnknown
	}
	return &c
}

// WithRetryAfter returns a copy of e that advises to wait for d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the name, number, message and cause, for logs.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%d): %s", e.Code, uint16(e.Code), e.Message)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error {
	return e.cause
}

// Status returns the HTTP status of the code.
func (e *Error) Status() int {
	return e.Code.Info().Status
}

// From returns the first *Error in err's chain. Any other error becomes an Internal one that wraps it and
// carries RanUnknown. From(nil) is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "")
}

// CodeOf returns the code of the first *Error in err's chain, Internal for any other error, and 0 for nil.
func CodeOf(err error) Code {
	if err == nil {
		return 0
	}
	return From(err).Code
}

// Is tells whether err carries the code.
func Is(err error, code Code) bool {
	return err != nil && CodeOf(err) == code
}
