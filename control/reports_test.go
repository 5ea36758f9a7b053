package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// testTime returns the time a number of seconds after the start of a test.
func testTime(seconds int) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(seconds) * time.Second)
}

func newEntryReport(good, late, lost, refused uint64) *wire.EntryReport {
	return &wire.EntryReport{Classes: []*wire.ClassReport{{
		Name: "a", Good: good, Late: late, Lost: lost, Refusals: []*wire.RefusalReport{{Group: 1200, Count: refused}},
	}}}
}

// Guards against counts that cover more than the window, and samples that accumulate without bound.
func TestReportsCoverSlidingWindow(t *testing.T) {
	r := newReports()
	from := incarnation{"entry-1", 1}
	for second := 0; second <= 300; second += 2 {
		r.record(from, newEntryReport(uint64(10*second), uint64(second), 0, 0), testTime(second))
	}
	sum := r.summarize(testTime(300))
	require.Equal(t, 1, sum.entries)
	require.Equal(t, uint64(3000), sum.total["a"].good)
	require.InDelta(t, 600, sum.window["a"].good, 60)
	require.InDelta(t, 60, sum.window["a"].late, 6)
	require.LessOrEqual(t, len(r.entries[from].samples), int(reportWindow/reportSampleInterval)+2, "the number of samples is bounded")
}

// Guards against counts that are subtracted across incarnations when an entry restarts, which hides losses. It also
// guards against taking the first report for recent events: a restarted control instance may receive it from an entry
// that has run for days.
func TestReportsOfRestartedProcesses(t *testing.T) {
	r := newReports()
	r.record(incarnation{"entry-1", 1}, newEntryReport(1_000_000, 0, 500, 500), testTime(0))
	require.Zero(t, r.summarize(testTime(0)).window["a"].lost, "the first report may count old events")
	r.record(incarnation{"entry-1", 1}, newEntryReport(1_000_000, 0, 503, 504), testTime(2))
	r.record(incarnation{"entry-1", 2}, newEntryReport(0, 0, 0, 0), testTime(4))
	r.record(incarnation{"entry-1", 2}, newEntryReport(7, 0, 1, 2), testTime(6))
	sum := r.summarize(testTime(6)).window["a"]
	require.Equal(t, uint64(7), sum.good)
	require.Equal(t, uint64(4), sum.lost)
	require.Equal(t, uint64(6), sum.refusals[1200])
	r.summarize(testTime(200))
	require.Empty(t, r.entries, "reports of silent entries are removed")
}

// Guards against queues that are still shown after their entry has failed.
func TestQueuesOfASilentEntryAreDropped(t *testing.T) {
	r := newReports()
	queue := &wire.EntryReport{Targets: []*wire.TargetReport{{Name: "m", Kind: "model", QueuedByTier: []uint32{1, 0, 4}, OldestWaitMs: 900}}}
	r.record(incarnation{"entry-1", 1}, queue, testTime(0))
	r.record(incarnation{"entry-2", 1}, queue, testTime(18))
	key := targetKey{"model", "m"}
	require.Equal(t, targetCount{[tiers]uint32{2, 0, 8}, 900}, r.summarize(testTime(18)).targets[key])
	require.Equal(t, targetCount{[tiers]uint32{1, 0, 4}, 900}, r.summarize(testTime(30)).targets[key])
	require.Equal(t, 1, r.summarize(testTime(30)).entries)
}

// Guards against counting an entry and its queue twice after a quick restart, when the report of the earlier
// incarnation is still recent.
func TestOnlyNewestIncarnationHasQueue(t *testing.T) {
	r := newReports()
	old := newEntryReport(10, 0, 0, 0)
	old.Targets = []*wire.TargetReport{{Name: "m", Kind: "model", QueuedByTier: []uint32{0, 0, 4}, OldestWaitMs: 900}}
	r.record(incarnation{"entry-1", 1}, old, testTime(0))
	r.record(incarnation{"entry-1", 2}, newEntryReport(1, 0, 0, 0), testTime(2))
	sum := r.summarize(testTime(3))
	require.Equal(t, 1, sum.entries)
	require.Empty(t, sum.targets)
	require.Equal(t, uint64(1), sum.total["a"].good)
}

// Guards against shares with a wrong denominator, and a class that fails its targets exactly at the bounds.
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

// Guards against a shortage that is reported for an ordinary queue, or with the wrong reason.
func TestShortageReason(t *testing.T) {
	cases := []struct {
		servers  map[string]int
		queued   uint32
		oldestMS uint64
		because  string
	}{
		{map[string]int{"ready": 2}, 0, 0, ""},
		{map[string]int{"ready": 2}, 5, shortageWaitMS - 1, ""},
		{map[string]int{"ready": 2}, 5, shortageWaitMS, "all backend servers are ready and full"},
		{map[string]int{"ready": 1, "suspect": 2, "draining": 1}, 5, 1000, "ready backend servers are full, and others aren't ready: 1 draining, 2 suspect"},
		{map[string]int{"gone": 1}, 0, 0, "no backend server is ready: 1 gone"},
		{map[string]int{}, 1, 10, "no backend server has it"},
	}
	for _, c := range cases {
		got := targetStatus(targetKey{"model", "m"}, c.servers, targetCount{[tiers]uint32{0, c.queued, 0}, c.oldestMS})
		require.Equal(t, c.because, got.ShortBecause)
	}
}
