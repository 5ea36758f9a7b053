package engine

import (
	"github.com/go-faster/errors"
)

// Errors of a [Client], to be matched with errors.Is.
var (
	// ErrNeverSent: no connection was made, so no byte of the call left
	// this process. The engine never saw it.
	ErrNeverSent = errors.New("never sent")
	// ErrUnreachable: no connection could be made though the call had time
	// for it. It comes together with ErrNeverSent.
	ErrUnreachable = errors.New("unreachable")
	// ErrOutcomeUnknown: the call failed after a connection was given to it. The
	// engine may have seen it, may have run it and may be running it still.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrDuplicate: the engine refused the call because an attempt of the
	// same identity runs there already.
	ErrDuplicate = errors.New("duplicate attempt")
	// ErrUnknownStream: the engine says that it holds no such stream.
	ErrUnknownStream = errors.New("unknown stream")
	// ErrUnsupported: the backend server doesn't have this call.
	ErrUnsupported = errors.New("call not supported")
	// ErrRefused: the engine refused the call, other than a run.
	ErrRefused = errors.New("refused")
	// ErrTooLarge: what the engine sent exceeds a limit of the adapter. It
	// comes together with ErrOutcomeUnknown.
	ErrTooLarge = errors.New("over the size limit")
	// ErrIncomplete: what the engine sent stopped before its end, such as a
	// stream without "[DONE]". It comes together with ErrOutcomeUnknown.
	ErrIncomplete = errors.New("ended before its end")
	// ErrReplaced: another backend server has the address and refused the
	// request that was meant for its predecessor. It comes together with
	// ErrNeverSent.
	ErrReplaced = errors.New("another server has the address")
	// ErrInvalid: the request can't be sent as it is, such as a model body
	// that is no JSON object. It comes together with ErrNeverSent.
	ErrInvalid = errors.New("invalid request")
)

// CallError is a failed call. It matches both its Class, one of the errors
// above, and its cause.
type CallError struct {
	// Call is the method's name in lower case.
	Call string
	// ID is the attempt, empty for calls without one.
	ID AttemptID
	// Class is ErrNeverSent, ErrOutcomeUnknown, ErrDuplicate, ErrUnknownStream,
	// ErrRefused or ErrUnsupported.
	Class error
	// Err is the cause; nil if the class says it all.
	Err error
}

// Error implements error.
func (e *CallError) Error() string {
	text := "engine: " + e.Call
	if e.ID != "" {
		text += " " + string(e.ID)
	}
	text += ": " + e.Class.Error()
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap gives the class and the cause.
func (e *CallError) Unwrap() []error {
	if e.Err == nil {
		return []error{e.Class}
	}
	return []error{e.Class, e.Err}
}
