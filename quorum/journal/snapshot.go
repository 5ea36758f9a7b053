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

func snapshotName(meta *quorumpb.SnapshotMeta) string {
	return fmt.Sprintf("%016x-%016x%s", meta.GetIndex(), meta.GetTerm(), snapshotSuffix)
}

// SaveSnapshot makes a snapshot durable and removes the older ones. One that is
// older than the newest on disk is left out. Errors are those of Save.
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

// replaceFile writes a file under a temporary name and renames it when it is
// on disk, so that the name never stands for a part of it.
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
	// Without this a crash could lose the name although its content is synced.
	if err := j.fs.SyncDir(j.dir); err != nil {
		return ioError(err, "sync folder")
	}
	j.syncs.Add(2)
	j.bytes.Add(uint64(len(data)))
	return nil
}

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

// ReadSnapshot returns the newest snapshot, nil if there is none. It fails with
// result.SnapshotDamaged.
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

// decodeSnapshot checks a snapshot file. It got its name after it was synced,
// so whatever is wrong with it is damage; an older snapshot would not reach
// the log's first entry.
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
