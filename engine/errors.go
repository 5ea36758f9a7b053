package engine

import (
	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine/framing"
)

// Errors of a [Client], to be matched with errors.Is.
var (
	// ErrNeverSent means that no connection was made, so no byte of the call left this process
	// and the engine never received it.
	ErrNeverSent = errors.New("never sent")
	// ErrUnreachable means that no connection could be made although the context of the call
	// had not ended. The error also matches ErrNeverSent.
	ErrUnreachable = errors.New("unreachable")
	// ErrOutcomeUnknown means that the call failed after it was given a connection. The engine
	// may have received it, may have run it, and may still be running it.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrDuplicate means that the engine refused the call because it is already running an
	// attempt with the same ID.
	ErrDuplicate = errors.New("duplicate attempt")
	// ErrUnknownStream means that the engine reports that it holds no such stream.
	ErrUnknownStream = errors.New("unknown stream")
	// ErrBusy means that the engine is already handling a suspension of the run.
	ErrBusy = errors.New("suspension in progress")
	// ErrNoRoom means that no other server accepted a copy of the run's memory.
	ErrNoRoom = errors.New("no room at a target")
	// ErrUnsupported means that the backend server does not offer this call.
	ErrUnsupported = errors.New("call not supported")
	// ErrRefused means that the engine refused a call other than a run.
	ErrRefused = errors.New("refused")
	// ErrTooLarge means that a response exceeds a limit of the adapter. The error also matches
	// ErrOutcomeUnknown.
	ErrTooLarge = framing.ErrTooLarge
	// ErrIncomplete means that a response was truncated, such as a stream without "[DONE]". The
	// error also matches ErrOutcomeUnknown.
	ErrIncomplete = framing.ErrIncomplete
	// ErrReplaced means that a different backend server has taken over the address and refused
	// the request that was meant for its predecessor. The error also matches ErrNeverSent.
	ErrReplaced = errors.New("address taken over by another server")
	// ErrInvalid means that the request cannot be sent, such as a model body that is not a JSON
	// object. The error also matches ErrNeverSent.
	ErrInvalid = errors.New("invalid request")
)

// CallError is a failed call. It matches both its Class, one of the errors above, and its
// cause.
type CallError struct {
	// Call is the method's name in lower case.
	Call string
	// ID identifies the attempt; empty for calls without one.
	ID AttemptID
	// Class is ErrNeverSent, ErrOutcomeUnknown, ErrDuplicate, ErrUnknownStream, ErrBusy,
	// ErrNoRoom, ErrRefused or ErrUnsupported.
	Class error
	// Err is the cause; nil if Class is sufficient.
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

// Unwrap returns the class and the cause.
func (e *CallError) Unwrap() []error {
	if e.Err == nil {
		return []error{e.Class}
	}
	return []error{e.Class, e.Err}
}
