package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// after is a moment of a test, in seconds after its start.
func after(seconds int) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(seconds) * time.Second)
}

func counted(good, late, lost, refused uint64) *wire.EntryReport {
	return &wire.EntryReport{Classes: []*wire.ClassReport{{
		Name: "a", Good: good, Late: late, Lost: lost, Refusals: []*wire.RefusalReport{{Group: 1200, Count: refused}},
	}}}
}

func TestReportsSlideOverTheWindow(t *testing.T) {
	r := newReports()
	from := incarnation{"entry-1", 1}
	for second := 0; second <= 300; second += 2 {
		r.take(from, counted(uint64(10*second), uint64(second), 0, 0), after(second))
	}
	sum := r.sum(after(300))
	require.Equal(t, 1, sum.entries)
	require.Equal(t, uint64(3000), sum.total["a"].good)
	require.InDelta(t, 600, sum.window["a"].good, 60)
	require.InDelta(t, 60, sum.window["a"].late, 6)
	require.LessOrEqual(t, len(r.entries[from].kept), int(reportWindow/reportStep)+2, "bounded")
}

// Symptom: a class that lost work is shown without loss, or with a loss of days. Sequence: an entry restarts, or a
// control instance does and hears an entry that has run for long. Cause: counts of two incarnations are subtracted,
// or the first report is taken for what has just happened.
func TestReportsOfRestartedProcesses(t *testing.T) {
	r := newReports()
	r.take(incarnation{"entry-1", 1}, counted(1_000_000, 0, 500, 500), after(0))
	require.Zero(t, r.sum(after(0)).window["a"].lost, "it may be days old")
	r.take(incarnation{"entry-1", 1}, counted(1_000_000, 0, 503, 504), after(2))
	r.take(incarnation{"entry-1", 2}, counted(0, 0, 0, 0), after(4))
	r.take(incarnation{"entry-1", 2}, counted(7, 0, 1, 2), after(6))
	sum := r.sum(after(6)).window["a"]
	require.Equal(t, uint64(7), sum.good)
	require.Equal(t, uint64(4), sum.lost)
	require.Equal(t, uint64(6), sum.refusals[1200])
	r.sum(after(200))
	require.Empty(t, r.entries, "nothing is kept of those not heard any more")
}

// Symptom: requests that no longer exist are shown as waiting. Sequence: an entry dies with a queue.
// Cause: its last report is shown on.
func TestQueuesOfASilentEntryAreDropped(t *testing.T) {
	r := newReports()
	queue := &wire.EntryReport{Targets: []*wire.TargetReport{{Name: "m", Kind: "model", QueuedByTier: []uint32{1, 0, 4}, OldestWaitMs: 900}}}
	r.take(incarnation{"entry-1", 1}, queue, after(0))
	r.take(incarnation{"entry-2", 1}, queue, after(18))
	key := targetKey{"model", "m"}
	require.Equal(t, targetCount{[tiers]uint32{2, 0, 8}, 900}, r.sum(after(18)).targets[key])
	require.Equal(t, targetCount{[tiers]uint32{1, 0, 4}, 900}, r.sum(after(30)).targets[key])
	require.Equal(t, 1, r.sum(after(30)).entries)
}

// Symptom: status tells of three entries where there are two, and of requests that no longer wait. Sequence: an entry
// with a queue restarts at once. Cause: its last incarnation isn't silent for long enough yet to be left out.
func TestOnlyTheNewestIncarnationHasAQueue(t *testing.T) {
	r := newReports()
	old := counted(10, 0, 0, 0)
	old.Targets = []*wire.TargetReport{{Name: "m", Kind: "model", QueuedByTier: []uint32{0, 0, 4}, OldestWaitMs: 900}}
	r.take(incarnation{"entry-1", 1}, old, after(0))
	r.take(incarnation{"entry-1", 2}, counted(1, 0, 0, 0), after(2))
	sum := r.sum(after(3))
	require.Equal(t, 1, sum.entries)
	require.Empty(t, sum.targets)
	require.Equal(t, uint64(1), sum.total["a"].good)
}

func TestClassMeetsItsTargets(t *testing.T) {
	class := &wire.Class{Name: "a", Tier: 1, LateMax: 0.1, LostMax: 0.05}
	cases := []struct {
		name  string
		count classCount
		late  float64
		lost  float64
		meets bool
	}{
		{"no work", classCount{}, 0, 0, true},
		{"at the bounds", classCount{good: 171, late: 19, lost: 10}, 0.1, 0.05, true},
		{"too late", classCount{good: 8, late: 2}, 0.2, 0, false},
		{"too many lost", classCount{good: 9, lost: 1}, 0, 0.1, false},
		{"all lost", classCount{lost: 3}, 0, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := classStatus(class, c.count, c.count)
			require.InDelta(t, c.late, got.LateShare, 1e-9)
			require.InDelta(t, c.lost, got.LostShare, 1e-9)
			require.Equal(t, c.meets, got.Meets)
		})
	}
}

func TestShortBecause(t *testing.T) {
	cases := []struct {
		servers  map[string]int
		queued   uint32
		oldestMS uint64
		because  string
	}{
		{map[string]int{"ready": 2}, 0, 0, ""},
		{map[string]int{"ready": 2}, 5, shortWaitMS - 1, ""},
		{map[string]int{"ready": 2}, 5, shortWaitMS, "all backend servers are ready and full"},
		{map[string]int{"ready": 1, "suspect": 2, "draining": 1}, 5, 1000, "ready backend servers are full, and others aren't ready: 1 draining, 2 suspect"},
		{map[string]int{"gone": 1}, 0, 0, "no backend server is ready: 1 gone"},
		{map[string]int{}, 1, 10, "no backend server has it"},
	}
	for _, c := range cases {
		got := targetStatus(targetKey{"model", "m"}, c.servers, targetCount{[tiers]uint32{0, c.queued, 0}, c.oldestMS})
		require.Equal(t, c.because, got.ShortBecause)
	}
}
