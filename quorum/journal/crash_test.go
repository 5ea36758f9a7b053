package journal_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/quorum/journal"
	"github.com/carawaypitch/carawaypitch/quorum/journal/journaltest"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
)

// model is what a journal must hold after the calls that returned.
type model struct {
	hard     *quorumpb.HardState
	snapshot uint64
	entries  map[uint64]uint64
	last     uint64
}

func (m *model) save(h *quorumpb.HardState, entries []*quorumpb.Entry) {
	if h != nil {
		m.hard = h
	}
	for _, e := range entries {
		m.entries[e.GetIndex()] = e.GetTerm()
		m.last = e.GetIndex()
	}
}

// scenario writes until a call fails. pending is the call that failed.
func scenario(j *journal.Journal, m *model) (pending func(*model), err error) {
	save := func(h *quorumpb.HardState, entries []*quorumpb.Entry) bool {
		pending = func(m *model) { m.save(h, entries) }
		if err = j.Save(h, entries); err == nil {
			pending(m)
		}
		return err == nil
	}
	snapshot := func(index, term uint64) bool {
		pending = func(m *model) { m.snapshot = index }
		if err = j.SaveSnapshot(snapshotAt(index, term)); err == nil {
			pending(m)
		}
		return err == nil
	}
	reset := func(index, term uint64) bool {
		pending = func(m *model) { m.last = index }
		if err = j.Reset(snapshotAt(index, term).GetMeta()); err == nil {
			pending(m)
		}
		return err == nil
	}
	release := func(index uint64) bool {
		pending = func(*model) {}
		err = j.Release(index)
		return err == nil
	}
	// One by one, so that a release removes several segments.
	each := func(first, last, term uint64) bool {
		for i := first; i <= last; i++ {
			if !save(nil, log(i, i, term)) {
				return false
			}
		}
		return true
	}
	_ = save(hard(1), log(1, 6, 1)) &&
		save(nil, log(7, 9, 1)) &&
		save(hard(2), log(8, 12, 2)) &&
		save(nil, log(13, 20, 2)) &&
		snapshot(10, 2) && release(10) &&
		save(hard(3), nil) &&
		each(21, 60, 3) &&
		snapshot(58, 3) && release(58) &&
		save(nil, log(61, 64, 3)) &&
		snapshot(90, 4) && reset(90, 4) &&
		save(hard(4), log(91, 96, 4)) &&
		release(90)
	return pending, err
}

func newModel() *model { return &model{entries: map[uint64]uint64{}} }

func scenarioSteps(t *testing.T) int {
	fs := journaltest.New()
	j, _ := open(t, fs)
	_, err := scenario(j, newModel())
	require.NoError(t, err)
	return fs.Steps()
}

// crashAt loses power at a step, opens the journal, and compares it with what
// the calls that returned had promised. The call that failed may have had its
// effect.
func crashAt(t *testing.T, step, keep int, seed uint64) {
	t.Helper()
	fs := journaltest.New()
	fs.StopAt(step, keep)
	done := newModel()
	j, _, err := journal.Open(dir, journal.Options{FS: fs, SegmentBytes: 512})
	var pending func(*model)
	if err == nil {
		pending, _ = scenario(j, done)
	}
	fs.CrashRandom(rand.New(rand.NewPCG(seed, uint64(step))))
	_, state := open(t, fs)
	possible := []*model{done}
	if pending != nil {
		after := newModel()
		after.hard, after.snapshot, after.last = done.hard, done.snapshot, done.last
		for i, term := range done.entries {
			after.entries[i] = term
		}
		pending(after)
		possible = append(possible, after)
	}
	for _, m := range possible {
		if m.equals(state) {
			return
		}
	}
	require.Fail(t, "wrong state", "step %d, keep %d, seed %d: %v", step, keep, seed, state)
}

func (m *model) equals(s journal.State) bool {
	if m.hard.GetTerm() != s.HardState.GetTerm() || m.snapshot != s.Snapshot.GetMeta().GetIndex() {
		return false
	}
	last := max(m.last, m.snapshot)
	if s.Snapshot.GetMeta().GetIndex()+uint64(len(s.Entries)) != last {
		return false
	}
	for i, e := range s.Entries {
		if e.GetIndex() != m.snapshot+1+uint64(i) || e.GetTerm() != m.entries[e.GetIndex()] {
			return false
		}
	}
	return true
}

// FuzzOpen opens a folder whose newest segment holds anything. It must refuse
// or start, and after a start go on and start again with the same log.
func FuzzOpen(f *testing.F) {
	fs := journaltest.New()
	j, _, err := journal.Open(dir, journal.Options{FS: fs})
	require.NoError(f, err)
	require.NoError(f, j.Save(hard(1), log(1, 3, 1)))
	require.NoError(f, j.Save(hard(2), log(2, 4, 2)))
	path := "/data/log-0000000000000001.seg"
	whole := fs.Content(path)
	identity := fs.Content("/data/identity")
	f.Add(whole)
	f.Add(whole[:len(whole)-5])
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
		require.NoError(t, j.Save(hard(9), log(next, next, 9)))
		fs.Crash(func(int) int { return 0 })
		_, again, err := journal.Open(dir, journal.Options{FS: fs})
		require.NoError(t, err)
		requireLog(t, append(state.Entries, log(next, next, 9)...), again.Entries)
	})
}
