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

// Symptom: a replica does not start after a power cut, or starts without
// entries that it had acknowledged.
// Sequence: power is lost while a record is written; any number of its bytes
// reached the disk.
// Cause: the end of the newest segment is a part of a record.
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
			// The cut is durable, and the journal goes on.
			torn.Crash(func(int) int { return 0 })
			reopened, state := openJournal(t, torn)
			require.Zero(t, state.TornBytes)
			require.NoError(t, reopened.Save(hardState(2), logEntries(3, 3, 2)))
		}
	}
}

// Symptom: a replica votes twice or lacks entries that it had acknowledged.
// Sequence: a byte of a synced record changes on disk.
// Cause: it is taken for a torn write, and the log is cut there.
func TestOpenRefusesDamage(t *testing.T) {
	for _, segmentBytes := range []int64{512, 1 << 20} {
		t.Run(fmt.Sprint(segmentBytes), func(t *testing.T) { testDamageRefused(t, segmentBytes) })
	}
}

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
			// The last record only says that the journal was closed.
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
			require.Equal(t, data, fs.Content(path), "a damaged file was changed")
		}
		fs.SetContent(path, original)
	}
	_, state := openJournal(t, fs)
	require.Len(t, state.Entries, 28)
}

// closeRecordBytes is the size of the record that Close leaves, in bytes.
const closeRecordBytes = 12 + 2

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
	// Without a readable header it is damage, not a segment that was never
	// begun: it is longer than a header.
	data := fs.Content(path)
	for i := range data {
		data[i] ^= 0x55
	}
	fs.SetContent(path, data)
	_, _, err = journal.Open(dir, journal.Options{FS: fs})
	requireCode(t, result.JournalDamaged, err)
}
