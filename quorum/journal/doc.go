// Package journal stores a replica's log, hard state and snapshots durably in
// one directory, together with a random identity of the disk.
//
// Files:
//
//	identity            a random UUID, created with the directory
//	log-SEQUENCE.seg    segments of the log, numbered from 1
//	INDEX-TERM.snap     the newest snapshot
//	*.tmp               incomplete files, removed when the journal is opened
//
// A segment is a sequence of records, each consisting of a magic number, the
// payload length, a CRC32C and a protobuf quorumpb.Record. The checksum also
// covers the disk identity, the segment's number and the record's offset, so
// that a copy of a record at another place, such as in the payload of an entry,
// does not pass as a record.
//
// Save writes one record and syncs it before it returns; all entries of one
// call share one sync. A crash can therefore leave only the last record
// incomplete (torn). Open truncates a torn record. An invalid record followed
// by a valid one had been synced before, so it is damage: votes or acknowledged
// entries may be lost, and Open fails with result.JournalDamaged.
//
// Limitation: if the journal was not closed with Close, damage to its last
// record cannot be distinguished from a torn write, and the record is
// truncated. The leader of the same term detects the loss (quorum.ErrLostLog);
// the leader of another term does not.
//
// After any failed write or sync the journal accepts no further writes. After a
// failed fsync the kernel may have dropped the dirty pages and marked them
// clean, so a later sync would succeed without the data (Rebello et al., "Can
// Applications Recover from fsync Failures?", 2020).
package journal
