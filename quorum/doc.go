// Package quorum is a replicated log after Raft, as pure logic: events and
// ticks go in, a Batch of actions comes out.
//
// It holds no goroutine, clock, file, socket or global random source; the
// caller injects a seeded source for election timeouts. Replica in the
// subpackage replica drives it.
//
// The rules are those of Ongaro, "Consensus: Bridging Theory and Practice"
// (2014), cited in comments as "thesis" with the section:
//
//   - elections and replication (3.4 to 3.6), commit only in the own term
//     (3.6.2), leadership transfer (3.10);
//   - membership changes of one replica at a time, in force from the moment
//     they are appended (4.1), learners before voters (4.2.1);
//   - log compaction and snapshots to followers (5);
//   - reads confirmed by a quorum (6.4), and a leader that hears from no
//     quorum steps down within an election timeout (6.2);
//   - pre-vote (9.6), and votes refused while a leader is heard (4.2.3);
//   - a leader's own write in parallel with its followers' (10.2.1).
//
// What it adds is the identity of a replica, see ID.
//
// The caller runs a loop:
//
//	for {
//		// feed Tick, Step, Propose, ReadIndex, then:
//		for batch, ok := node.Ready(); ok; batch, ok = node.Ready() {
//			// send batch.Early
//			// make batch.Snapshot, batch.HardState and batch.Entries durable
//			// send batch.Messages
//			node.Advance(batch)
//			// apply batch.Committed, then node.AppliedTo(index)
//		}
//	}
//
// While a batch with something to persist is being written, Ready hands out
// only what depends on no disk, so the loop can go on.
package quorum
