// Package replica runs a quorum.Node with its journal, transport and state
// machine.
//
// Four duties, one goroutine each, are joined by bounded channels:
//
//	core      the only one that touches the Node: ticks, messages, proposals
//	journal   writes batches; while it syncs, the core gathers the next one
//	apply     calls the state machine
//	snapshot  saves own snapshots and reads them for followers
//
// The core never waits for another duty. A request that finds its queue full
// is refused and counted, a message is dropped and counted: the protocol
// repeats it.
//
// The first replica of a group calls Bootstrap once. Every other one starts
// with an empty disk and waits until the leader adds it with AddLearner, then
// Promote. After a disk was lost, the instance's replica has a new ID: call
// Remove for the old ID, AddLearner and Promote for the new one.
package replica
