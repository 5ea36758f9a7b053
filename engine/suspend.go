package engine

import "context"

// Suspension identifies a stopped run whose memory its engine keeps.
type Suspension struct {
	// Handle is the engine's name of the stopped run. It can be used once.
	Handle string
	// Events is the number of events that the run had generated when it stopped. Some of them may not have been
	// delivered.
	Events int
}

// Suspender is a [Client] whose server can stop a run, keep its memory and resume it.
type Suspender interface {
	// Suspend stops a stream. targets are addresses, as IP:port, of other servers of the same kind, tried in order, at
	// which the engine places a copy of the run's memory briefly. After a confirmed Suspend, the Run call of the stream
	// returns EndSuspended.
	//
	// It fails with ErrUnknownStream if the run has ended, ErrBusy if a call for it is in progress or the engine can't
	// stop it at present, ErrNoRoom if no target accepted the copy and the run continues, and ErrOutcomeUnknown if the
	// run may have been stopped.
	Suspend(ctx context.Context, id AttemptID, targets []string) (Suspension, error)
	// Discard frees the memory of a stopped run. It fails with ErrUnknownStream if the engine doesn't hold it.
	Discard(ctx context.Context, s Suspension) error
}
