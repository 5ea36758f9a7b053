package journal_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/quorum/journal"
	"github.com/carawaypitch/carawaypitch/quorum/journal/journaltest"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/carawaypitch/carawaypitch/result"
)

const dir = "/data"

func openJournal(t *testing.T, fs journal.FS) (*journal.Journal, journal.State) {
	t.Helper()
	j, state, err := journal.Open(dir, journal.Options{FS: fs, SegmentBytes: 512})
	require.NoError(t, err)
	return j, state
}

func requireCode(t *testing.T, code result.Code, err error) {
	t.Helper()
	var r *result.Error
	require.ErrorAs(t, err, &r)
	require.Equal(t, code, r.Code, "%v", err)
}

func entry(index, term uint64) *quorumpb.Entry {
	return &quorumpb.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

func logEntries(first, last, term uint64) []*quorumpb.Entry {
	var entries []*quorumpb.Entry
	for i := first; i <= last; i++ {
		entries = append(entries, entry(i, term))
	}
	return entries
}

func hardState(term uint64) *quorumpb.HardState { return &quorumpb.HardState{Term: term, Vote: "a/1"} }

func snapshotAt(index, term uint64) *quorumpb.Snapshot {
	return &quorumpb.Snapshot{
		Meta: &quorumpb.SnapshotMeta{Index: index, Term: term, Membership: &quorumpb.Membership{Group: "g"}},
		Data: fmt.Appendf(nil, "state at %d", index),
	}
}

func requireLog(t *testing.T, want, got []*quorumpb.Entry) {
	t.Helper()
	require.Len(t, got, len(want))
	for i := range want {
		require.True(t, proto.Equal(want[i], got[i]), "want %v, got %v", want[i], got[i])
	}
}

// newestSegment returns the path of the segment with the highest sequence
// number.
func newestSegment(t *testing.T, fs *journaltest.FS) string {
	t.Helper()
	names, err := fs.ReadDir(dir)
	require.NoError(t, err)
	newest := ""
	for _, name := range names {
		if strings.HasSuffix(name, ".seg") {
			newest = max(newest, name)
		}
	}
	return filepath.Join(dir, newest)
}

// Guards against a journal that recovers another state than was saved: a
// sequence of saves, snapshots and resets is followed by a crash and two starts.
func TestReopen(t *testing.T) {
	cases := []struct {
		name  string
		write func(t *testing.T, j *journal.Journal)
		want  journal.State
	}{
		{"empty", func(*testing.T, *journal.Journal) {}, journal.State{}},
		{"entries", func(t *testing.T, j *journal.Journal) {
			require.NoError(t, j.Save(hardState(1), logEntries(1, 3, 1)))
			require.NoError(t, j.Save(nil, logEntries(4, 4, 1)))
		}, journal.State{HardState: hardState(1), Entries: logEntries(1, 4, 1)}},
		{"end replaced", func(t *testing.T, j *journal.Journal) {
			require.NoError(t, j.Save(hardState(1), logEntries(1, 9, 1)))
			require.NoError(t, j.Save(hardState(2), logEntries(4, 5, 2)))
		}, journal.State{HardState: hardState(2), Entries: append(logEntries(1, 3, 1), logEntries(4, 5, 2)...)}},
		{"all replaced", func(t *testing.T, j *journal.Journal) {
			require.NoError(t, j.Save(hardState(1), logEntries(1, 9, 1)))
			require.NoError(t, j.Save(hardState(2), logEntries(1, 2, 2)))
		}, journal.State{HardState: hardState(2), Entries: logEntries(1, 2, 2)}},
		{"many segments", func(t *testing.T, j *journal.Journal) {
			for i := range uint64(50) {
				require.NoError(t, j.Save(hardState(i+1), logEntries(i+1, i+1, i+1)))
			}
			require.Greater(t, j.Stats().Segments, uint64(3))
		}, journal.State{HardState: hardState(50), Entries: func() (entries []*quorumpb.Entry) {
			for i := range uint64(50) {
				entries = append(entries, entry(i+1, i+1))
			}
			return entries
		}()}},
		{"own snapshot", func(t *testing.T, j *journal.Journal) {
			require.NoError(t, j.Save(hardState(1), nil))
			for i := range uint64(50) {
				require.NoError(t, j.Save(nil, logEntries(i+1, i+1, 1)))
			}
			before := j.Stats().Segments
			require.NoError(t, j.SaveSnapshot(snapshotAt(20, 1)))
			require.NoError(t, j.SaveSnapshot(snapshotAt(40, 1)))
			require.NoError(t, j.SaveSnapshot(snapshotAt(30, 1)))
			require.NoError(t, j.Release(40))
			require.Less(t, j.Stats().Segments, before)
		}, journal.State{HardState: hardState(1), Snapshot: snapshotAt(40, 1), Entries: logEntries(41, 50, 1)}},
		{"received snapshot", func(t *testing.T, j *journal.Journal) {
			require.NoError(t, j.Save(hardState(1), logEntries(1, 5, 1)))
			require.NoError(t, j.SaveSnapshot(snapshotAt(40, 2)))
			require.NoError(t, j.Reset(snapshotAt(40, 2).GetMeta()))
			require.NoError(t, j.Save(hardState(3), logEntries(41, 42, 3)))
		}, journal.State{HardState: hardState(3), Snapshot: snapshotAt(40, 2), Entries: logEntries(41, 42, 3)}},
		{"received snapshot, crash before the reset", func(t *testing.T, j *journal.Journal) {
			require.NoError(t, j.Save(hardState(1), logEntries(1, 5, 1)))
			require.NoError(t, j.SaveSnapshot(snapshotAt(40, 2)))
		}, journal.State{HardState: hardState(1), Snapshot: snapshotAt(40, 2)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fs := journaltest.New()
			j, _ := openJournal(t, fs)
			disk := j.Disk()
			c.write(t, j)
			// Open twice: the second time reads what the first one wrote.
			for range 2 {
				fs.Crash(func(int) int { return 0 })
				next, state := openJournal(t, fs)
				require.Equal(t, disk, next.Disk())
				require.True(t, proto.Equal(c.want.HardState, state.HardState), "%v", state.HardState)
				require.True(t, proto.Equal(c.want.Snapshot, state.Snapshot), "%v", state.Snapshot)
				requireLog(t, c.want.Entries, state.Entries)
			}
			// The journal accepts writes after a restart.
			fs.Kill()
			next, state := openJournal(t, fs)
			last := state.Snapshot.GetMeta().GetIndex() + uint64(len(state.Entries))
			require.NoError(t, next.Save(hardState(60), logEntries(last+1, last+1, 60)))
			require.NoError(t, next.Close())
			_, state = openJournal(t, fs)
			require.Len(t, state.Entries, len(c.want.Entries)+1)
		})
	}
}

// Guards against a journal that does not open after a power failure, loses synced
// data or recovers part of a batch. This happens if a file under its final name
// is incomplete, or if syncs, renames and removals are in the wrong order. Power
// fails at each step; unsynced bytes and directory changes survive in part.
func TestCrashAtEveryStep(t *testing.T) {
	steps := workloadSteps(t)
	require.Greater(t, steps, 40)
	for step := 1; step <= steps; step++ {
		for _, keep := range []int{0, 1, 13, 1 << 20} {
			for seed := range uint64(3) {
				crashAt(t, step, keep, seed)
			}
		}
	}
}

// Guards against the loss of a vote or an entry that was recovered after a
// restart. A process that is killed between write and sync recovers the record
// from the page cache; unless Open syncs it, a power failure then loses it.
func TestRecoveredRecordsAreSynced(t *testing.T) {
	fs := journaltest.New()
	j, _ := openJournal(t, fs)
	require.NoError(t, j.Save(hardState(1), logEntries(1, 1, 1)))
	fs.SetFault(func(op, _ string) error {
		if op == "sync" {
			return journaltest.ErrCrashed
		}
		return nil
	})
	require.Error(t, j.Save(hardState(2), logEntries(2, 2, 2)))
	fs.SetFault(nil)
	fs.Kill()
	_, state := openJournal(t, fs)
	require.Len(t, state.Entries, 2)
	fs.Crash(func(int) int { return 0 })
	_, state = openJournal(t, fs)
	require.Len(t, state.Entries, 2)
}

// Guards against acknowledging entries that are not on disk. A write or sync
// fails once and the next one succeeds, but after the failed sync the kernel may
// have dropped the dirty pages.
func TestJournalStopsAfterIOError(t *testing.T) {
	cases := []struct {
		op   string
		err  error
		code result.Code
	}{
		{"write", syscall.ENOSPC, result.DiskFull},
		{"write", syscall.EDQUOT, result.DiskFull},
		{"write", syscall.EIO, result.SyncFailed},
		{"sync", syscall.EIO, result.SyncFailed},
		{"sync", syscall.ENOSPC, result.DiskFull},
		{"create", syscall.ENOSPC, result.DiskFull},
		{"syncdir", syscall.EIO, result.SyncFailed},
		{"rename", syscall.EIO, result.SyncFailed},
	}
	for _, c := range cases {
		t.Run(c.op+" "+c.err.Error(), func(t *testing.T) {
			fs := journaltest.New()
			j, _ := openJournal(t, fs)
			require.NoError(t, j.Save(hardState(1), logEntries(1, 1, 1)))
			fs.SetFault(func(op, name string) error {
				if op == c.op {
					return errors.Wrap(c.err, name)
				}
				return nil
			})
			var err error
			if c.op == "rename" || c.op == "syncdir" {
				err = j.SaveSnapshot(snapshotAt(1, 1))
			}
			for i := uint64(2); err == nil && i < 50; i++ {
				err = j.Save(nil, logEntries(i, i, 1))
			}
			requireCode(t, c.code, err)
			fs.SetFault(nil)
			require.Equal(t, err, j.Save(nil, logEntries(2, 2, 1)), "the journal accepted a write after an error")
			require.Equal(t, err, j.SaveSnapshot(snapshotAt(1, 1)))
			require.Equal(t, err, j.Release(1))
		})
	}
}

// Guards against two processes that write to one journal, and against a lock
// that outlives Close.
func TestLockAndClose(t *testing.T) {
	fs := journaltest.New()
	j, _ := openJournal(t, fs)
	_, _, err := journal.Open(dir, journal.Options{FS: fs})
	requireCode(t, result.JournalLocked, err)
	require.NoError(t, j.Close())
	require.ErrorIs(t, j.Save(hardState(1), nil), journal.ErrClosed)
	openJournal(t, fs)
}

// Guards against a replica with a replaced disk that votes under its old
// identity, although its earlier votes and entries are lost.
func TestWipedDiskGetsNewIdentity(t *testing.T) {
	fs := journaltest.New()
	j, _ := openJournal(t, fs)
	fs.Wipe()
	next, state := openJournal(t, fs)
	require.NotEqual(t, j.Disk(), next.Disk())
	require.Equal(t, journal.State{}, state)
}

// Guards against differences between the simulated file system and that of the
// operating system: directories, locking, segments, snapshots and removal.
func TestOSFileSystem(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a", "b")
	j, _, err := journal.Open(path, journal.Options{SegmentBytes: 256})
	require.NoError(t, err)
	_, _, err = journal.Open(path, journal.Options{})
	requireCode(t, result.JournalLocked, err)
	for i := range uint64(20) {
		require.NoError(t, j.Save(hardState(1), logEntries(i+1, i+1, 1)))
	}
	require.NoError(t, j.SaveSnapshot(snapshotAt(10, 1)))
	require.NoError(t, j.Release(10))
	require.NoError(t, j.Close())
	next, state, err := journal.Open(path, journal.Options{})
	require.NoError(t, err)
	require.Equal(t, j.Disk(), next.Disk())
	requireLog(t, logEntries(11, 20, 1), state.Entries)
	require.NoError(t, next.Close())
}
