// Package backpressure holds what backend servers ask of their senders, and decides when a sender may send.
//
// A server speaks of itself in the heads of its answers. An adapter reads them with [HeaderNames], which gives typed values; the words of
// a protocol stay in the adapter. The package is pure: times go in, decisions come out.
package backpressure
