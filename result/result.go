// Package result defines the numbered result codes of carawaypitch and the error type that carries one.
//
// Every rejection and failure that a process sends to another process or a caller, and every one that a metric counts,
// is an *Error. Its Code identifies the result; its Ran states whether the work was begun, as far as that is proved.
// The codes are listed in one table, from which docs/CODES.md and the output of the codes subcommand are generated.
//
// To add a code, add a constant to codes.go and a row to table.go, then run the tests of this package with -update,
// which rewrites docs/CODES.md. A number is never reused for another meaning.
package result

import (
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Code is the number of a result. A code divided by 100 is its group; [Markdown] prints the title of each group. Zero
// is not a valid code.
type Code uint16

// Info is the table row of a code.
type Info struct {
	// Code is the number of the result.
	Code Code
	// Name is the code's stable name in snake_case.
	Name string
	// Status is the HTTP status that a reply with this code carries.
	Status int
	// Ran holds the values of Ran that the code may carry.
	Ran RanSet
	// Message is the default message of an Error with this code.
	Message string
	// Advice is what the caller or operator can do about the result.
	Advice string
}

// Info returns the table row of c. For a number that isn't in the table, which a peer of a newer version may send, it
// returns a row named "unknown_code" with status 500, which allows only RanUnknown.
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

// String returns the code's name, or "unknown_code" for a number that isn't in the table.
func (c Code) String() string {
	return c.Info().Name
}

// Error is an unsuccessful result.
type Error struct {
	// Code is the numbered result code.
	Code Code
	// Ran states whether an engine or service began the work.
	Ran Ran
	// Message is human-readable. It never contains a key or a part of a body.
	Message string
	// RetryAfter is the time to wait before a retry; 0 means that none is advised.
	RetryAfter time.Duration

	cause error
}

// New returns an error with the code and a message formatted from format and args. An empty format selects the code's
// default message. Ran is set to what the code alone proves: RanNo if the code allows no other value, otherwise
// RanUnknown. Use WithRan where more is proved.
func New(code Code, format string, args ...any) *Error {
	info := code.Info()
	message := info.Message
	if format != "" {
		message = fmt.Sprintf(format, args...)
	}
	return &Error{Code: code, Ran: info.Ran.implied(), Message: message}
}

// Wrap returns an error like New with a cause, which Unwrap returns. The cause is part of the text of Error, for logs,
// and never of the JSON form, since it may contain internal addresses of the deployment.
func Wrap(cause error, code Code, format string, args ...any) *Error {
	e := New(code, format, args...)
	e.cause = cause
	return e
}

// WithRan returns a copy of e with Ran set to ran, or to RanUnknown if the code's table row doesn't allow ran.
//
// Without this check, a code path that reuses an error could guarantee "no" for work that an engine may have begun.
// The caller would send the work again and it would run twice. RanUnknown is the fallback since it is always correct.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.Ran = ran
	if !e.Code.Info().Ran.Has(ran) {
		c.Ran = RanUnknown
	}
	return &c
}

// WithRetryAfter returns a copy of e with RetryAfter set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the code's name and number, the message, and the cause if there is one, for logs.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%d): %s", e.Code, uint16(e.Code), e.Message)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil if there is none.
func (e *Error) Unwrap() error {
	return e.cause
}

// Status returns the HTTP status of the code.
func (e *Error) Status() int {
	return e.Code.Info().Status
}

// From returns the first *Error in err's chain. If there is none, it returns an Internal error that wraps err, with
// RanUnknown. From(nil) returns nil.
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

// CodeOf returns the code of the first *Error in err's chain, Internal if there is none, and 0 if err is nil.
func CodeOf(err error) Code {
	if err == nil {
		return 0
	}
	return From(err).Code
}

// Is reports whether code is that of the first *Error in err's chain, or is Internal and there is none. It reports false
// if err is nil.
func Is(err error, code Code) bool {
	return err != nil && CodeOf(err) == code
}
