// Package replica runs a quorum.Node with its journal, transport and state machine.
package replica
