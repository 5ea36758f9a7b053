package journal_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/quorum/journal"
	"github.com/carawaypitch/carawaypitch/quorum/journal/journaltest"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
)

// expectedState is the state that a journal must recover after the calls that
// returned without an error.
type expectedState struct {
	hardState *quorumpb.HardState
	snapshot  uint64
	terms     map[uint64]uint64
	lastIndex uint64
}

func (m *expectedState) save(hard *quorumpb.HardState, entries []*quorumpb.Entry) {
	if hard != nil {
		m.hardState = hard
	}
	for _, e := range entries {
		m.terms[e.GetIndex()] = e.GetTerm()
		m.lastIndex = e.GetIndex()
	}
}

// runWorkload writes to j until a call fails, and records the completed calls
// in m. pending applies the effect of the last call, which is the failed one if
// err is not nil.
func runWorkload(j *journal.Journal, m *expectedState) (pending func(*expectedState), err error) {
	save := func(h *quorumpb.HardState, entries []*quorumpb.Entry) bool {
		pending = func(m *expectedState) { m.save(h, entries) }
		if err = j.Save(h, entries); err == nil {
			pending(m)
		}
		return err == nil
	}
	snapshot := func(index, term uint64) bool {
		pending = func(m *expectedState) { m.snapshot = index }
		if err = j.SaveSnapshot(snapshotAt(index, term)); err == nil {
			pending(m)
		}
		return err == nil
	}
	reset := func(index, term uint64) bool {
		pending = func(m *expectedState) { m.lastIndex = index }
		if err = j.Reset(snapshotAt(index, term).GetMeta()); err == nil {
			pending(m)
		}
		return err == nil
	}
	release := func(index uint64) bool {
		pending = func(*expectedState) {}
		err = j.Release(index)
		return err == nil
	}
	// Saves entries one at a time, to fill several segments that a release can
	// remove.
	saveEach := func(first, last, term uint64) bool {
		for i := first; i <= last; i++ {
			if !save(nil, logEntries(i, i, term)) {
				return false
			}
		}
		return true
	}
	_ = save(hardState(1), logEntries(1, 6, 1)) &&
		save(nil, logEntries(7, 9, 1)) &&
		save(hardState(2), logEntries(8, 12, 2)) &&
		save(nil, logEntries(13, 20, 2)) &&
		snapshot(10, 2) && release(10) &&
		save(hardState(3), nil) &&
		saveEach(21, 60, 3) &&
		snapshot(58, 3) && release(58) &&
		save(nil, logEntries(61, 64, 3)) &&
		snapshot(90, 4) && reset(90, 4) &&
		save(hardState(4), logEntries(91, 96, 4)) &&
		release(90)
	return pending, err
}

// newExpectedState returns the state of an empty journal.
func newExpectedState() *expectedState { return &expectedState{terms: map[uint64]uint64{}} }

// workloadSteps returns the number of file system changes of a complete
// workload.
func workloadSteps(t *testing.T) int {
	fs := journaltest.New()
	j, _ := openJournal(t, fs)
	_, err := runWorkload(j, newExpectedState())
	require.NoError(t, err)
	return fs.Steps()
}

// crashAt simulates a power failure at a file system change, reopens the journal
// and compares its state with the effects of the completed calls. The call that
// failed may or may not have taken effect.
func crashAt(t *testing.T, step, keptBytes int, seed uint64) {
	t.Helper()
	fs := journaltest.New()
	fs.StopAt(step, keptBytes)
	completed := newExpectedState()
	j, _, err := journal.Open(dir, journal.Options{FS: fs, SegmentBytes: 512})
	var pending func(*expectedState)
	if err == nil {
		pending, _ = runWorkload(j, completed)
	}
	fs.CrashRandom(rand.New(rand.NewPCG(seed, uint64(step))))
	_, state := openJournal(t, fs)
	candidates := []*expectedState{completed}
	if pending != nil {
		withPending := newExpectedState()
		withPending.hardState, withPending.snapshot, withPending.lastIndex = completed.hardState, completed.snapshot, completed.lastIndex
		for i, term := range completed.terms {
			withPending.terms[i] = term
		}
		pending(withPending)
		candidates = append(candidates, withPending)
	}
	for _, m := range candidates {
		if m.equals(state) {
			return
		}
	}
	require.Fail(t, "recovered state differs from the completed calls", "step %d, keep %d, seed %d: %v", step, keptBytes, seed, state)
}

// equals reports whether a recovered state matches m.
func (m *expectedState) equals(s journal.State) bool {
	if m.hardState.GetTerm() != s.HardState.GetTerm() || m.snapshot != s.Snapshot.GetMeta().GetIndex() {
		return false
	}
	last := max(m.lastIndex, m.snapshot)
	if s.Snapshot.GetMeta().GetIndex()+uint64(len(s.Entries)) != last {
		return false
	}
	for i, e := range s.Entries {
		if e.GetIndex() != m.snapshot+1+uint64(i) || e.GetTerm() != m.terms[e.GetIndex()] {
			return false
		}
	}
	return true
}

// FuzzOpen opens a journal whose newest segment holds arbitrary bytes. Open must
// either fail, or return a journal that accepts a write and recovers the same
// log with that write after a crash.
func FuzzOpen(f *testing.F) {
	fs := journaltest.New()
	j, _, err := journal.Open(dir, journal.Options{FS: fs})
	require.NoError(f, err)
	require.NoError(f, j.Save(hardState(1), logEntries(1, 3, 1)))
	require.NoError(f, j.Save(hardState(2), logEntries(2, 4, 2)))
	path := "/data/log-0000000000000001.seg"
	segment := fs.Content(path)
	identity := fs.Content("/data/identity")
	f.Add(segment)
	f.Add(segment[:len(segment)-5])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		fs := journaltest.New()
		fs.SetContent("/data/identity", identity)
		fs.SetContent(path, data)
		j, state, err := journal.Open(dir, journal.Options{FS: fs})
		if err != nil {
			return
		}
		next := uint64(len(state.Entries)) + 1
		require.NoError(t, j.Save(hardState(9), logEntries(next, next, 9)))
		fs.Crash(func(int) int { return 0 })
		_, reopened, err := journal.Open(dir, journal.Options{FS: fs})
		require.NoError(t, err)
		requireLog(t, append(state.Entries, logEntries(next, next, 9)...), reopened.Entries)
	})
}
