// Package control implements the control daemon as a library: a replica of the replicated state, the sessions of
// entries and agents, and the operators' HTTP interface.
//
// The daemon runs as a group of actors under oklog/run, one goroutine each: the replica, the links server, the links to
// peer replicas, the loop that confirms reads, the loop that pushes updates to sessions, the leader's loops, the
// batching of announcements, the usage file, the operators' HTTP server, and the orderly shutdown.
package control
