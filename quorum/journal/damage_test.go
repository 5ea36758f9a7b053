package journal_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/quorum/journal"
	"github.com/carawaypitch/carawaypitch/quorum/journal/journaltest"
	"github.com/carawaypitch/carawaypitch/result"
)

// Guards against a replica that does not start after a power failure, or starts
// without entries that it had acknowledged. Power fails while a record is
// written, so that the newest segment ends with any part of the record.
func TestTornTailAtEveryByte(t *testing.T) {
	fs := journaltest.New()
	j, _ := openJournal(t, fs)
	require.NoError(t, j.Save(hardState(1), logEntries(1, 2, 1)))
	synced := len(fs.Content(newestSegment(t, fs)))
	require.NoError(t, j.Save(hardState(2), logEntries(3, 3, 2)))
	path := newestSegment(t, fs)
	original := fs.Content(path)
	for size := synced; size <= len(original); size++ {
		for _, corrupted := range []bool{false, true} {
			data := append([]byte(nil), original[:size]...)
			if corrupted && size > synced {
				data[size-1] ^= 0x40
			}
			torn := journaltest.New()
			for _, name := range []string{"identity"} {
				torn.SetContent(filepath.Join(dir, name), fs.Content(filepath.Join(dir, name)))
			}
			torn.SetContent(path, data)
			_, state := openJournal(t, torn)
			if size == len(original) && !corrupted {
				requireLog(t, append(logEntries(1, 2, 1), logEntries(3, 3, 2)...), state.Entries)
				require.Zero(t, state.TornBytes)
				continue
			}
			requireLog(t, logEntries(1, 2, 1), state.Entries)
			require.True(t, proto.Equal(hardState(1), state.HardState))
			require.Equal(t, int64(size-synced), state.TornBytes)
			// The truncation is durable, and the journal accepts writes.
			torn.Crash(func(int) int { return 0 })
			reopened, state := openJournal(t, torn)
			require.Zero(t, state.TornBytes)
			require.NoError(t, reopened.Save(hardState(2), logEntries(3, 3, 2)))
		}
	}
}

// Guards against a replica that votes twice or lacks acknowledged entries. A
// byte of a synced record changes on disk, and the journal takes it for a torn
// write and truncates the log there.
func TestOpenRefusesDamage(t *testing.T) {
	for _, segmentBytes := range []int64{512, 1 << 20} {
		t.Run(fmt.Sprint(segmentBytes), func(t *testing.T) { testDamageRefused(t, segmentBytes) })
	}
}

// testDamageRefused changes each byte of each file in turn and requires that
// Open fails and leaves the file as it is.
func testDamageRefused(t *testing.T, segmentBytes int64) {
	fs := journaltest.New()
	j, _, err := journal.Open(dir, journal.Options{FS: fs, SegmentBytes: segmentBytes})
	require.NoError(t, err)
	for i := range uint64(30) {
		require.NoError(t, j.Save(hardState(1), logEntries(i+1, i+1, 1)))
	}
	require.NoError(t, j.SaveSnapshot(snapshotAt(2, 1)))
	require.NoError(t, j.Close())
	names, err := fs.ReadDir(dir)
	require.NoError(t, err)
	for _, name := range names {
		path := filepath.Join(dir, name)
		original := fs.Content(path)
		end := len(original)
		if path == newestSegment(t, fs) {
			// The last record only marks that the journal was closed.
			end -= closeRecordBytes
		}
		for offset := range end {
			data := append([]byte(nil), original...)
			data[offset] ^= 0x10
			fs.SetContent(path, data)
			_, _, err := journal.Open(dir, journal.Options{FS: fs})
			code := result.JournalDamaged
			if strings.HasSuffix(name, ".snap") {
				code = result.SnapshotDamaged
			}
			requireCode(t, code, err)
			require.Equal(t, data, fs.Content(path), "Open changed a damaged file")
		}
		fs.SetContent(path, original)
	}
	_, state := openJournal(t, fs)
	require.Len(t, state.Entries, 28)
}

// closeRecordBytes is the size of the record that Close writes, in bytes:
// header and payload.
const closeRecordBytes = 12 + 2

// Guards against a replica that starts with an incomplete log or with a new
// identity after a file of the journal was removed.
func TestOpenRefusesMissingFile(t *testing.T) {
	for _, missing := range []string{"identity", "log-0000000000000001.seg", "log-0000000000000003.seg"} {
		fs := journaltest.New()
		j, _ := openJournal(t, fs)
		for i := range uint64(40) {
			require.NoError(t, j.Save(hardState(1), logEntries(i+1, i+1, 1)))
		}
		require.NoError(t, j.Close())
		fs.SetContent(filepath.Join(dir, missing), nil)
		_, _, err := journal.Open(dir, journal.Options{FS: fs})
		requireCode(t, result.JournalDamaged, err)
	}
}

// Guards against a replica that starts with the log of another disk, or reports
// such a log as damage. A segment is copied from one disk to another.
func TestOpenRefusesSegmentOfAnotherDisk(t *testing.T) {
	fs, other := journaltest.New(), journaltest.New()
	for _, f := range []*journaltest.FS{fs, other} {
		j, _ := openJournal(t, f)
		require.NoError(t, j.Save(hardState(1), logEntries(1, 3, 1)))
		require.NoError(t, j.Close())
	}
	path := newestSegment(t, fs)
	fs.SetContent(path, other.Content(path))
	_, _, err := journal.Open(dir, journal.Options{FS: fs})
	requireCode(t, result.WrongDisk, err)
	// Without a readable header the file is damage, not an unfinished segment,
	// because it is longer than a header.
	data := fs.Content(path)
	for i := range data {
		data[i] ^= 0x55
	}
	fs.SetContent(path, data)
	_, _, err = journal.Open(dir, journal.Options{FS: fs})
	requireCode(t, result.JournalDamaged, err)
}
