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

// formatVersion is written into each segment and snapshot.
const formatVersion = 1

// DefaultSegmentBytes is the size after which a new segment is begun.
const DefaultSegmentBytes = 16 << 20

// ErrClosed is returned after Close.
var ErrClosed = errors.New("journal: closed")

// Options of a journal.
type Options struct {
	// FS is the file system; the default is OS().
	FS FS
	// SegmentBytes is the size after which a new segment is begun, in bytes.
	SegmentBytes int64
}

// State is what the disk holds.
type State struct {
	// HardState is nil on a disk that holds no log.
	HardState *quorumpb.HardState
	// Snapshot is the newest one; nil if there is none.
	Snapshot *quorumpb.Snapshot
	// Entries after the snapshot.
	Entries []*quorumpb.Entry
	// TornBytes were cut off the end of the log, in bytes.
	TornBytes int64
}

// Stats count since the journal was opened.
type Stats struct {
	// Syncs of files and folders.
	Syncs uint64
	// Bytes written.
	Bytes uint64
	// Records written.
	Records uint64
	// Segments now on disk.
	Segments uint64
}

// segment is a segment on disk.
type segment struct {
	sequence uint64
	// lastIndex is the highest index of an entry in it.
	lastIndex uint64
}

// Journal is one replica's disk. Save, Reset, Release and Close are for one
// goroutine; SaveSnapshot and ReadSnapshot may be called by another one; Stats
// and Disk by any.
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
	// hardState is the newest hardState state, repeated at the head of each segment so
	// that older ones can be removed.
	hardState *quorumpb.HardState

	// snapshotMu orders the saving and reading of snapshots, which two
	// goroutines do.
	snapshotMu     sync.Mutex
	newestSnapshot string

	// firstErr holds the first error of a write; nothing is written after it.
	firstErr atomic.Pointer[error]

	syncs, bytes, records, segmentCount atomic.Uint64
}

// Disk returns the identity of the disk.
func (j *Journal) Disk() string { return j.diskID }

// Stats returns the counters.
func (j *Journal) Stats() Stats {
	return Stats{
		Syncs:    j.syncs.Load(),
		Bytes:    j.bytes.Load(),
		Records:  j.records.Load(),
		Segments: j.segmentCount.Load(),
	}
}

// Save writes hard state and entries as one record and syncs it. Entries
// replace those on disk from the index of the first one on. A nil hard state
// keeps the one before. Errors carry result.DiskFull or result.SyncFailed and
// end the journal.
func (j *Journal) Save(hardState *quorumpb.HardState, entries []*quorumpb.Entry) error {
	if hardState == nil && len(entries) == 0 {
		return nil
	}
	return j.write(&quorumpb.Record{HardState: hardState, Entries: entries})
}

// Reset records that the log was replaced by a snapshot, which must have been
// saved before. Errors are those of Save.
func (j *Journal) Reset(meta *quorumpb.SnapshotMeta) error {
	return j.write(&quorumpb.Record{ReplacedBy: meta})
}

// Close ends the journal in order. It leaves a last record, so that damage to
// the one before is not taken for a torn write when the journal is opened.
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

func (j *Journal) err() error {
	if p := j.firstErr.Load(); p != nil {
		return *p
	}
	return nil
}

// failWith makes err the answer of all later calls and returns it.
func (j *Journal) failWith(err error) error {
	j.firstErr.CompareAndSwap(nil, &err)
	return err
}

// write appends one record and syncs it.
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

// append writes one record to the open segment and syncs it. One write and one
// sync for each record, in this order, is what lets Open tell a torn record
// from damage.
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

// maxRetainedBufferBytes is the largest write buffer that is kept for the next write.
const maxRetainedBufferBytes = 1 << 20

// startSegment begins a new segment.
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

func segmentHeader(diskID string, sequence uint64, hardState *quorumpb.HardState) *quorumpb.Record {
	return &quorumpb.Record{
		Header:    &quorumpb.SegmentHeader{Version: formatVersion, Disk: diskID, Sequence: sequence},
		HardState: hardState,
	}
}

func (j *Journal) syncDir() error {
	if err := j.fs.SyncDir(j.dir); err != nil {
		return j.failWith(ioError(err, "sync folder"))
	}
	j.syncs.Add(1)
	return nil
}

// Release removes the segments that hold only entries up to index, which a
// snapshot on disk must contain. The newest segment stays.
func (j *Journal) Release(index uint64) error {
	if err := j.err(); err != nil {
		return err
	}
	removed := false
	// Oldest first: a gap in the numbers would look like damage.
	for len(j.segments) > 1 && j.segments[0].lastIndex <= index {
		name := segmentName(j.segments[0].sequence)
		if err := j.fs.Remove(filepath.Join(j.dir, name)); err != nil {
			return j.failWith(ioError(err, "remove segment"))
		}
		// Each removal is made durable by itself: without this a crash could
		// undo the first of two and leave a gap.
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
