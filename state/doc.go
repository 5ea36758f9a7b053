// Package state is the replicated state of the control instances: classes, the directory of agents and entries, the
// records of keyed requests, and orders to engines.
//
// It is a deterministic state machine. Commands come from the replicated log, and every replica that applies the same
// commands holds the same state and returns the same results. The package reads no clock: the time is that of the
// leader that proposed a command, and never goes back. A refusal is a result like any other, see
// [wire.CommandResult].
//
// Records returned by the accessors are never modified afterwards; a change replaces a record by a new one. A State
// is not safe for concurrent use.
package state
