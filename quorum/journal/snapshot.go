package journal

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/carawaypitch/carawaypitch/result"
	"google.golang.org/protobuf/proto"
)

const (
	snapshotSuffix  = ".snap"
	temporarySuffix = ".tmp"
)

// snapshotName returns the file name of a snapshot. Names sort by index, then by
// term.
func snapshotName(meta *quorumpb.SnapshotMeta) string {
	return fmt.Sprintf("%016x-%016x%s", meta.GetIndex(), meta.GetTerm(), snapshotSuffix)
}

// SaveSnapshot makes a snapshot durable and removes older ones. It does nothing
// if a newer snapshot was saved since the journal was opened. Errors are those
// of Save.
func (j *Journal) SaveSnapshot(s *quorumpb.Snapshot) error {
	j.snapshotMu.Lock()
	defer j.snapshotMu.Unlock()
	if err := j.err(); err != nil {
		return err
	}
	name := snapshotName(s.GetMeta())
	if name < j.newestSnapshot {
		return nil
	}
	buf, err := appendRecord(nil, checksumSeed(j.diskID, name), 0, s)
	if err != nil {
		return j.failWith(result.Wrap(err, result.EntryTooLarge, "journal: snapshot"))
	}
	if err := j.replaceFile(name, buf); err != nil {
		return j.failWith(err)
	}
	j.newestSnapshot = name
	return j.removeSnapshotsBefore(name)
}

// replaceFile writes a file under a temporary name, syncs it and renames it, so
// that a file with the final name is always complete.
func (j *Journal) replaceFile(name string, data []byte) error {
	path := filepath.Join(j.dir, name)
	temporary := path + temporarySuffix
	f, err := j.fs.Create(temporary)
	if err != nil {
		return ioError(err, "create "+name)
	}
	if _, err := f.Write(data); err != nil {
		return ioError(err, "write "+name)
	}
	if err := f.Sync(); err != nil {
		return ioError(err, "sync "+name)
	}
	if err := f.Close(); err != nil {
		return ioError(err, "close "+name)
	}
	if err := j.fs.Rename(temporary, path); err != nil {
		return ioError(err, "rename "+name)
	}
	// Without this a crash could undo the rename although the content is synced.
	if err := j.fs.SyncDir(j.dir); err != nil {
		return ioError(err, "sync folder")
	}
	j.syncs.Add(2)
	j.bytes.Add(uint64(len(data)))
	return nil
}

// removeSnapshotsBefore removes all snapshots older than the one with the file
// name newest.
func (j *Journal) removeSnapshotsBefore(newest string) error {
	names, err := j.fs.ReadDir(j.dir)
	if err != nil {
		return j.failWith(ioError(err, "read folder"))
	}
	for _, name := range names {
		if !strings.HasSuffix(name, snapshotSuffix) || name >= newest {
			continue
		}
		if err := j.fs.Remove(filepath.Join(j.dir, name)); err != nil {
			return j.failWith(ioError(err, "remove snapshot"))
		}
	}
	return nil
}

// ReadSnapshot returns the newest snapshot on disk, or nil if there is none.
// Errors carry result.SnapshotDamaged if the snapshot is not valid, and
// result.DiskFull or result.SyncFailed if reading failed.
func (j *Journal) ReadSnapshot() (*quorumpb.Snapshot, error) {
	j.snapshotMu.Lock()
	defer j.snapshotMu.Unlock()
	names, err := j.fs.ReadDir(j.dir)
	if err != nil {
		return nil, ioError(err, "read folder")
	}
	newest := ""
	for _, name := range names {
		if strings.HasSuffix(name, snapshotSuffix) {
			newest = max(newest, name)
		}
	}
	if newest == "" {
		return nil, nil
	}
	data, err := j.fs.ReadFile(filepath.Join(j.dir, newest))
	if err != nil {
		return nil, ioError(err, "read snapshot")
	}
	return decodeSnapshot(data, j.diskID, newest)
}

// decodeSnapshot verifies and decodes a snapshot file. The file received its
// name after it was synced, so any fault in it is damage. An older snapshot is
// no replacement, since the log may begin after it.
func decodeSnapshot(data []byte, diskID, name string) (*quorumpb.Snapshot, error) {
	payload, ok := payloadAt(data, checksumSeed(diskID, name), 0)
	s := &quorumpb.Snapshot{}
	if !ok || len(payload)+recordHeaderSize != len(data) || proto.Unmarshal(payload, s) != nil {
		return nil, result.New(result.SnapshotDamaged, "journal: snapshot %s", name)
	}
	if snapshotName(s.GetMeta()) != name {
		return nil, result.New(result.SnapshotDamaged, "journal: snapshot %s is of another index", name)
	}
	return s, nil
}
