// Package backpressure tracks the limits that backend servers impose on their senders, and decides when a sender may
// send.
//
// A server states its limits in the headers of its responses. An adapter parses them with [HeaderNames], which returns
// typed values; the header names of a protocol are defined in the adapter. The package is pure: it uses only the times
// passed in by the caller.
package backpressure
