// Package state is the replicated state of the control instances: classes, the directory of agents and entries, the
// records of keyed requests, and orders to engines.
//
// It is pure. Commands come out of the replicated log, and every replica that applies the same commands holds the
// same state and gives the same results. Nothing here reads a clock: time is that of the leader which proposed a
// command, and never goes back. A refusal is a result like any other, see wire.CommandResult.
//
// Records handed out by the accessors are never changed afterwards; a change puts a new record in the place of the
// old one. A State itself isn't safe for concurrent use.
package state
