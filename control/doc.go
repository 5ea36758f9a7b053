// Package control is the control daemon as a library: a replica of the state, the sessions of entries and agents, and
// the operators' HTTP interface.
//
// Its duties, one goroutine each, run under oklog/run: the replica, the links server, a link to each peer replica, read
// rounds, pushes to sessions, the leader's work, the operators' HTTP server, and the stop in order.
package control
