// Package journal keeps a replica's log, hard state and snapshots in one
// folder, and the identity of the disk.
//
// Files:
//
//	identity            a random UUID, made with the folder
//	log-SEQUENCE.seg    segments of the log, numbered from 1
//	INDEX-TERM.snap     the newest snapshot
//	*.tmp               unfinished files, removed when the journal is opened
//
// A segment is a row of records: magic number, length, CRC32C and a protobuf
// quorumpb.Record. The checksum also covers the disk identity, the segment's
// number and the record's offset, so that a copy of a record elsewhere, as in
// the payload of an entry, is no record.
//
// Save writes one record and syncs it before it returns; many entries share
// one sync. So a crash can only tear the last record. Open cuts a torn record
// off. A bad record that a good one follows was once synced: that is damage,
// votes or acknowledged entries may be gone, and Open refuses with
// result.JournalDamaged.
//
// Limit: where the journal was not closed in order, damage to its very last
// record cannot be told from a torn write and is cut off. The leader of the
// same term notices, see quorum.ErrLostLog; another leader does not.
//
// After any error of a write or sync the journal stops for good. After a
// failed fsync the kernel may have dropped the dirty pages and marked them
// clean, so a later sync would succeed without the data (Rebello et al., "Can
// Applications Recover from fsync Failures?", 2020).
package journal
