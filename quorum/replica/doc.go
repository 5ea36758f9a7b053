// Package replica runs a quorum.Node together with its journal, transport and
// state machine.
//
// A replica consists of four goroutines connected by bounded channels:
//
//	event loop  owns the Node: handles ticks, messages, proposals and reads
//	journal     writes batches; during a sync the event loop collects the next one
//	apply       calls the state machine
//	snapshot    saves local snapshots and reads them for followers
//
// The event loop never waits for another goroutine. A request is refused and
// counted if its queue is full. A message is dropped and counted if the queue of
// messages is full; the protocol sends it again.
//
// The initial voters of a group call Bootstrap once, with the same list. Every
// other replica starts with an empty disk; the leader adds it with AddLearner
// and then Promote. After the loss of a disk the instance's replica has a new ID:
// call Remove for the old ID, then AddLearner and Promote for the new one.
package replica
