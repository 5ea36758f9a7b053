package journal

import (
	"io"
	"path/filepath"
	"sync"
	"sync/atomic"

	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
)

// formatVersion is written into the identity file and into the header of each
// segment. Open refuses files with a higher version.
const formatVersion = 1

// DefaultSegmentBytes is the default of Options.SegmentBytes.
const DefaultSegmentBytes = 16 << 20

// ErrClosed is returned by methods that write after Close was called.
var ErrClosed = errors.New("journal: closed")

// Options configures a journal. The zero value selects the defaults.
type Options struct {
	// FS is the file system; nil means OS().
	FS FS
	// SegmentBytes is the size at which a new segment is started, in bytes;
	// zero means DefaultSegmentBytes.
	SegmentBytes int64
}

// State is the state recovered from disk.
type State struct {
	// HardState is nil if none was saved.
	HardState *quorumpb.HardState
	// Snapshot is the newest snapshot, or nil if there is none.
	Snapshot *quorumpb.Snapshot
	// Entries are the log entries after the snapshot, in the order of their
	// indexes.
	Entries []*quorumpb.Entry
	// TornBytes is the number of bytes of a torn record that were truncated
	// from the end of the log.
	TornBytes int64
}

// Stats holds counters of one journal since it was opened.
type Stats struct {
	// Syncs counts the syncs of files and directories.
	Syncs uint64
	// Bytes counts the bytes written.
	Bytes uint64
	// Records counts the records written to segments.
	Records uint64
	// Segments is the number of segments on disk.
	Segments uint64
}

// segment describes a segment file on disk.
type segment struct {
	sequence uint64
	// lastIndex is the highest index of an entry in the segment; zero if it
	// holds no entry.
	lastIndex uint64
}

// Journal is the durable storage of one replica. Save, Reset, Release and Close
// must not be called concurrently with each other. SaveSnapshot and
// ReadSnapshot may run concurrently with them; Stats and Disk may be called
// from any goroutine.
type Journal struct {
	fs           FS
	dir          string
	diskID       string
	segmentBytes int64
	lock         io.Closer

	segments []segment
	file     File
	seed     uint32
	size     int64
	buf      []byte
	// hardState is the newest hard state. It is repeated in the header of each
	// segment, so that older segments can be removed.
	hardState *quorumpb.HardState

	// snapshotMu serializes saving and reading of snapshots, which happen in
	// different goroutines.
	snapshotMu     sync.Mutex
	newestSnapshot string

	// firstErr holds the first write error, or ErrClosed after Close. Once it
	// is set, nothing is written.
	firstErr atomic.Pointer[error]

	syncs, bytes, records, segmentCount atomic.Uint64
}

// Disk returns the identity of the disk: a UUID created with the directory.
func (j *Journal) Disk() string { return j.diskID }

// Stats returns the counters since the journal was opened.
func (j *Journal) Stats() Stats {
	return Stats{
		Syncs:    j.syncs.Load(),
		Bytes:    j.bytes.Load(),
		Records:  j.records.Load(),
		Segments: j.segmentCount.Load(),
	}
}

// Save writes the hard state and the entries as one record and syncs it. The
// entries replace all entries on disk from the index of the first one on. A nil
// hardState leaves the saved one in effect; without hard state and entries Save
// does nothing. Errors carry result.DiskFull, result.SyncFailed or
// result.EntryTooLarge; after an error all later writes fail with it. After
// Close, Save returns ErrClosed.
func (j *Journal) Save(hardState *quorumpb.HardState, entries []*quorumpb.Entry) error {
	if hardState == nil && len(entries) == 0 {
		return nil
	}
	return j.write(&quorumpb.Record{HardState: hardState, Entries: entries})
}

// Reset records that a snapshot replaced the log. The snapshot must have been
// saved with SaveSnapshot before. Errors are those of Save.
func (j *Journal) Reset(meta *quorumpb.SnapshotMeta) error {
	return j.write(&quorumpb.Record{ReplacedBy: meta})
}

// Close closes the journal and releases its lock. It writes a final record, so
// that the next Open does not take damage to the record before it for a torn
// write.
func (j *Journal) Close() error {
	var err error
	if j.err() == nil {
		err = j.write(&quorumpb.Record{Closed: true})
		j.failWith(ErrClosed)
	}
	if j.file != nil {
		err = errors.Join(err, j.file.Close())
	}
	return errors.Join(err, j.lock.Close())
}

// err returns the first write error, ErrClosed after Close, or nil.
func (j *Journal) err() error {
	if p := j.firstErr.Load(); p != nil {
		return *p
	}
	return nil
}

// failWith stores err as the result of all later writes, unless an error is
// already stored, and returns err.
func (j *Journal) failWith(err error) error {
	j.firstErr.CompareAndSwap(nil, &err)
	return err
}

// write appends one record and syncs it. It starts a new segment first if the
// open one has reached its maximum size.
func (j *Journal) write(r *quorumpb.Record) error {
	if err := j.err(); err != nil {
		return err
	}
	if j.size >= j.segmentBytes {
		if err := j.startSegment(); err != nil {
			return err
		}
	}
	if err := j.append(r); err != nil {
		return err
	}
	if r.GetHardState() != nil {
		j.hardState = proto.Clone(r.GetHardState()).(*quorumpb.HardState)
	}
	if n := len(r.GetEntries()); n > 0 {
		s := &j.segments[len(j.segments)-1]
		s.lastIndex = max(s.lastIndex, r.GetEntries()[n-1].GetIndex())
	}
	return nil
}

// append writes one record to the open segment and syncs it. Each record is
// written and synced before the next one is written, which allows Open to
// distinguish a torn record from damage.
func (j *Journal) append(r *quorumpb.Record) error {
	buf, err := appendRecord(j.buf[:0], j.seed, j.size, r)
	if err != nil {
		return j.failWith(result.Wrap(err, result.EntryTooLarge, "journal: record"))
	}
	j.buf = buf
	if cap(j.buf) > maxRetainedBufferBytes {
		j.buf = nil
	}
	if _, err := j.file.Write(buf); err != nil {
		return j.failWith(ioError(err, "write"))
	}
	if err := j.file.Sync(); err != nil {
		return j.failWith(ioError(err, "sync"))
	}
	j.size += int64(len(buf))
	j.syncs.Add(1)
	j.records.Add(1)
	j.bytes.Add(uint64(len(buf)))
	return nil
}

// maxRetainedBufferBytes is the capacity of the largest write buffer that is
// reused for the next write, in bytes.
const maxRetainedBufferBytes = 1 << 20

// startSegment closes the open segment, if any, and creates the next one with
// its header.
func (j *Journal) startSegment() error {
	if j.file != nil {
		if err := j.file.Close(); err != nil {
			return j.failWith(ioError(err, "close segment"))
		}
	}
	sequence := uint64(1)
	if n := len(j.segments); n > 0 {
		sequence = j.segments[n-1].sequence + 1
	}
	name := segmentName(sequence)
	file, err := j.fs.Create(filepath.Join(j.dir, name))
	if err != nil {
		return j.failWith(ioError(err, "create segment"))
	}
	j.file, j.seed, j.size = file, checksumSeed(j.diskID, name), 0
	if err := j.append(segmentHeader(j.diskID, sequence, j.hardState)); err != nil {
		return err
	}
	if err := j.syncDir(); err != nil {
		return err
	}
	j.segments = append(j.segments, segment{sequence: sequence})
	j.segmentCount.Store(uint64(len(j.segments)))
	return nil
}

// segmentHeader returns the first record of a segment.
func segmentHeader(diskID string, sequence uint64, hardState *quorumpb.HardState) *quorumpb.Record {
	return &quorumpb.Record{
		Header:    &quorumpb.SegmentHeader{Version: formatVersion, Disk: diskID, Sequence: sequence},
		HardState: hardState,
	}
}

// syncDir makes creations and removals of files in the directory durable.
func (j *Journal) syncDir() error {
	if err := j.fs.SyncDir(j.dir); err != nil {
		return j.failWith(ioError(err, "sync folder"))
	}
	j.syncs.Add(1)
	return nil
}

// Release removes the segments that hold only entries up to index. A snapshot
// on disk must cover these entries. The newest segment is never removed. Errors
// are those of Save.
func (j *Journal) Release(index uint64) error {
	if err := j.err(); err != nil {
		return err
	}
	removed := false
	// Remove the oldest segment first: Open takes a gap in the sequence
	// numbers for damage.
	for len(j.segments) > 1 && j.segments[0].lastIndex <= index {
		name := segmentName(j.segments[0].sequence)
		if err := j.fs.Remove(filepath.Join(j.dir, name)); err != nil {
			return j.failWith(ioError(err, "remove segment"))
		}
		// Sync after each removal: otherwise a crash could undo the first of two
		// removals and leave a gap.
		if err := j.syncDir(); err != nil {
			return err
		}
		j.segments = j.segments[1:]
		removed = true
	}
	if removed {
		j.segmentCount.Store(uint64(len(j.segments)))
	}
	return nil
}
