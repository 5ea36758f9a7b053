// Package quorum implements a replicated log with the Raft algorithm, without
// I/O: a Node takes ticks, messages and requests, and returns the actions that
// the caller must perform as a Batch.
//
// A Node uses no goroutine, clock, file, socket or global random source; the
// caller supplies a seeded random source for election timeouts. Type Replica of
// package replica runs a Node.
//
// The algorithm follows Ongaro, "Consensus: Bridging Theory and Practice"
// (2014), cited in comments as "thesis" with the section number:
//
//   - elections and replication (3.4 to 3.6), commit by counting replicas only
//     for entries of the current term (3.6.2), leadership transfer (3.10);
//   - membership changes of one replica at a time, in force as soon as they
//     are appended (4.1); a replica is a learner before it is a voter (4.2.1);
//   - log compaction, and snapshots sent to followers (5);
//   - reads confirmed by a quorum (6.4); a leader that receives no messages
//     from a quorum steps down within an election timeout (6.2);
//   - pre-vote (9.6); votes are refused while a leader is active (4.2.3);
//   - the leader writes to its disk in parallel with its followers (10.2.1).
//
// In addition, the identity of a replica includes the identity of its disk; see
// ID.
//
// The caller runs a loop:
//
//	for {
//		// call Tick, Step, Propose, ReadIndex, then:
//		for batch, ok := node.Ready(); ok; batch, ok = node.Ready() {
//			// send batch.Early
//			// make batch.Snapshot, batch.HardState and batch.Entries durable
//			// send batch.Messages
//			node.Advance(batch)
//			// apply batch.Committed, then node.AppliedTo(index)
//		}
//	}
//
// While a batch with a persistent part is being written, Ready returns batches
// without one, so the loop need not wait for the disk.
package quorum
