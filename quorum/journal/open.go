package journal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
)

const (
	identityName  = "identity"
	segmentPrefix = "log-"
	segmentSuffix = ".seg"
)

// segmentName returns the file name of a segment.
func segmentName(sequence uint64) string {
	return fmt.Sprintf("%s%016x%s", segmentPrefix, sequence, segmentSuffix)
}

// Open opens the journal in dir and returns the state recovered from it. If dir
// is missing or empty, Open creates the journal with a new disk identity.
// Errors carry one of the codes
//
//   - result.JournalLocked: the directory could not be locked, usually because
//     another process uses it;
//   - result.JournalDamaged, result.SnapshotDamaged: synced data is missing or
//     has changed; Open has not modified the damaged file;
//   - result.WrongDisk: a segment was written under another disk identity;
//   - result.JournalVersion: the files were written by a newer version;
//   - result.DiskFull, result.SyncFailed: a file operation failed.
func Open(dir string, o Options) (*Journal, State, error) {
	if o.FS == nil {
		o.FS = OS()
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if err := o.FS.MkdirAll(dir); err != nil {
		return nil, State{}, ioError(err, "create folder")
	}
	lock, err := o.FS.Lock(dir)
	if err != nil {
		return nil, State{}, result.Wrap(err, result.JournalLocked, "journal: %s", dir)
	}
	j := &Journal{fs: o.FS, dir: dir, segmentBytes: o.SegmentBytes, lock: lock}
	state, err := j.recoverState()
	if err != nil {
		return nil, State{}, errors.Join(err, lock.Close())
	}
	return j, state, nil
}

// recoverState reads the files, truncates a torn record and starts a new
// segment. Segments of earlier runs are never appended to, so that a torn
// record can only be at the end of a file.
func (j *Journal) recoverState() (State, error) {
	names, err := j.fs.ReadDir(j.dir)
	if err != nil {
		return State{}, ioError(err, "read folder")
	}
	if err := j.removeTemporary(names); err != nil {
		return State{}, err
	}
	if err := j.openIdentity(names); err != nil {
		return State{}, err
	}
	snapshot, err := j.ReadSnapshot()
	if err != nil {
		return State{}, err
	}
	r := replay{state: State{Snapshot: snapshot}}
	if err := j.readSegments(names, &r); err != nil {
		return State{}, err
	}
	reset, err := r.joinSnapshot()
	if err != nil {
		return State{}, err
	}
	j.hardState = r.state.HardState
	if err := j.startSegment(); err != nil {
		return State{}, err
	}
	if reset {
		// The process crashed between SaveSnapshot of a received snapshot and
		// the Reset for it.
		if err := j.Reset(snapshot.GetMeta()); err != nil {
			return State{}, err
		}
	}
	return r.state, nil
}

// removeTemporary removes files that replaceFile did not complete.
func (j *Journal) removeTemporary(names []string) error {
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := j.fs.Remove(filepath.Join(j.dir, name)); err != nil {
			return ioError(err, "remove "+name)
		}
	}
	return nil
}

// openIdentity reads the identity of the disk, or creates one if the directory
// holds neither segments nor snapshots.
func (j *Journal) openIdentity(names []string) error {
	if slices.Contains(names, identityName) {
		return j.readIdentity()
	}
	for _, name := range names {
		if strings.HasSuffix(name, segmentSuffix) || strings.HasSuffix(name, snapshotSuffix) {
			// With a new identity the replica would vote as a new member on the
			// basis of this log, while a copy of the disk could vote as the old
			// member.
			return damagedError("%s without the disk's identity", name)
		}
	}
	j.diskID = uuid.NewString()
	buf, err := appendRecord(nil, checksumSeed("", identityName), 0, &quorumpb.SegmentHeader{
		Version: formatVersion,
		Disk:    j.diskID,
	})
	if err != nil {
		return err
	}
	return j.replaceFile(identityName, buf)
}

// readIdentity reads and verifies the identity file.
func (j *Journal) readIdentity() error {
	data, err := j.fs.ReadFile(filepath.Join(j.dir, identityName))
	if err != nil {
		return ioError(err, "read identity")
	}
	payload, ok := payloadAt(data, checksumSeed("", identityName), 0)
	header := &quorumpb.SegmentHeader{}
	if !ok || proto.Unmarshal(payload, header) != nil || header.GetDisk() == "" {
		return damagedError("identity of the disk")
	}
	if header.GetVersion() > formatVersion {
		return result.New(result.JournalVersion, "journal: version %d", header.GetVersion())
	}
	j.diskID = header.GetDisk()
	return nil
}

// readSegments replays all segments in order and truncates a torn record at the
// end of the newest one.
func (j *Journal) readSegments(names []string, r *replay) error {
	sequences, err := segmentSequences(names)
	if err != nil {
		return err
	}
	for i, sequence := range sequences {
		if i > 0 && sequence != sequences[i-1]+1 {
			return damagedError("segment %d is missing", sequences[i-1]+1)
		}
		if err := j.readSegment(sequence, i == len(sequences)-1, r); err != nil {
			return err
		}
	}
	return nil
}

// segmentSequences returns the sorted sequence numbers of the segments among
// the file names.
func segmentSequences(names []string) ([]uint64, error) {
	var sequences []uint64
	for _, name := range names {
		if !strings.HasSuffix(name, segmentSuffix) {
			continue
		}
		digits := strings.TrimSuffix(strings.TrimPrefix(name, segmentPrefix), segmentSuffix)
		sequence, err := strconv.ParseUint(digits, 16, 64)
		if err != nil || segmentName(sequence) != name {
			return nil, damagedError("file name %q", name)
		}
		sequences = append(sequences, sequence)
	}
	slices.Sort(sequences)
	return sequences, nil
}

// readSegment verifies and replays one segment and records it in j.segments.
// In the newest segment it truncates a torn record, or removes the file if its
// header is incomplete.
func (j *Journal) readSegment(sequence uint64, newest bool, r *replay) error {
	name := segmentName(sequence)
	path := filepath.Join(j.dir, name)
	data, err := j.fs.ReadFile(path)
	if err != nil {
		return ioError(err, "read "+name)
	}
	if disk := segmentDiskID(data, name); disk != "" && disk != j.diskID {
		return result.New(result.WrongDisk, "journal: %s is of disk %s, this one is %s", name, disk, j.diskID)
	}
	records, end, damaged := readRecords(data, checksumSeed(j.diskID, name))
	torn := int64(len(data)) - end
	// Only the newest segment can end with a torn record: every other segment
	// was complete before its successor was created.
	if damaged || torn > 0 && !newest {
		return damagedError("%s at offset %d", name, end)
	}
	r.state.TornBytes += torn
	if len(records) == 0 {
		if !newest {
			return damagedError("%s is empty", name)
		}
		header, err := encodeSegmentHeader(j.diskID, sequence, r.state.HardState)
		if err != nil {
			return err
		}
		if len(data) > len(header) {
			return damagedError("%s at offset 0", name)
		}
		// The process crashed while it created the segment, before any Save.
		return j.removeUnfinishedSegment(path)
	}
	lastIndex, err := j.replaySegment(sequence, records, r)
	if err != nil {
		return err
	}
	j.segments = append(j.segments, segment{sequence: sequence, lastIndex: lastIndex})
	if !newest {
		return nil
	}
	// Truncate also syncs, so call it without a torn record too: a process that
	// was killed between write and sync leaves a record that is readable but not
	// durable. The replica treats it as acknowledged after this start, and a
	// power failure would lose it.
	if err := j.fs.Truncate(path, end); err != nil {
		return ioError(err, "cut "+name)
	}
	return nil
}

// removeUnfinishedSegment removes a segment without a complete header.
func (j *Journal) removeUnfinishedSegment(path string) error {
	if err := j.fs.Remove(path); err != nil {
		return ioError(err, "remove unfinished segment")
	}
	return j.syncDir()
}

// replaySegment checks the header of a segment and applies its records to r. It
// returns the highest index of an entry in the segment, zero if it has none.
func (j *Journal) replaySegment(sequence uint64, records []*quorumpb.Record, r *replay) (lastIndex uint64, err error) {
	header := records[0].GetHeader()
	switch {
	case header == nil || header.GetSequence() != sequence:
		return 0, damagedError("segment %d has no header", sequence)
	case header.GetVersion() > formatVersion:
		return 0, result.New(result.JournalVersion, "journal: version %d", header.GetVersion())
	}
	for _, record := range records {
		if err := r.apply(record); err != nil {
			return 0, err
		}
		if n := len(record.GetEntries()); n > 0 {
			lastIndex = max(lastIndex, record.GetEntries()[n-1].GetIndex())
		}
	}
	return lastIndex, nil
}
