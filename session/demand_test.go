package session

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// demandOf returns the demand reports that a fake control instance has received.
func demandOf(c *fakeControl) (reports []*wire.DemandReport) {
	c.update(func(c *fakeControl) { reports = c.demand })
	return reports
}

// Guards against demand that is reported to instances which don't hear from all entries, too rarely for a view to be used, or more
// often than it changes; and against a lost summary or one with the wrong age.
func TestDemandIsReportedToTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var report atomic.Pointer[wire.DemandReport]
		var mu sync.Mutex
		var summaries []*wire.DemandSummary
		var ages []time.Duration
		f := newFakeClusterWith(t, 3, func(c *Config) {
			c.Demand = report.Load
			c.OnDemand = func(s *wire.DemandSummary, sent time.Time) {
				mu.Lock()
				defer mu.Unlock()
				summaries, ages = append(summaries, s), append(ages, time.Since(sent))
			}
		}, func(c *fakeControl) { c.leader = "control-2" })
		f.awaitReady()
		time.Sleep(5 * time.Second)
		for _, c := range f.controls {
			require.Empty(t, demandOf(c), "nothing to report")
		}

		report.Store(&wire.DemandReport{Pools: []*wire.PoolDemand{{Pool: "model/m"}}})
		time.Sleep(10 * time.Second)
		require.Empty(t, demandOf(f.controls[0]))
		require.Empty(t, demandOf(f.controls[2]))
		require.InDelta(t, 11, len(demandOf(f.controls[1])), 2, "unchanged demand comes with the regular polls")

		before := len(demandOf(f.controls[1]))
		for range 100 {
			report.Store(&wire.DemandReport{Pools: []*wire.PoolDemand{{Pool: "model/m"}}})
			time.Sleep(100 * time.Millisecond)
		}
		require.InDelta(t, 25, len(demandOf(f.controls[1]))-before, 7, "twice a second besides the regular polls")
		require.InDelta(t, 20, len(demandOf(f.controls[1]))-before, 2, "each 500 ms, regular polls included")
		last := uint64(0)
		for _, r := range demandOf(f.controls[1]) {
			require.Greater(t, r.GetSequence(), last)
			last = r.GetSequence()
			require.Equal(t, "model/m", r.GetPools()[0].GetPool())
		}
		mu.Lock()
		require.Len(t, summaries, len(demandOf(f.controls[1])))
		require.Equal(t, uint32(7), summaries[0].GetEntriesHeard())
		mu.Unlock()

		f.controls[1].update(func(c *fakeControl) { c.ignoresPolls = true })
		time.Sleep(time.Second)
		mu.Lock()
		received := len(summaries)
		mu.Unlock()
		time.Sleep(3 * time.Second)
		mu.Lock()
		require.Len(t, summaries, received, "no summary without an answer")
		for _, age := range ages {
			require.Less(t, age, time.Second)
		}
		mu.Unlock()
	})
}

// Guards against reports that follow each other in less than the interval, as when a regular poll comes between two others.
func TestReportsAreAnIntervalApart(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	r := demandReporter{source: func() *wire.DemandReport { return new(wire.DemandReport) }}
	var sent []time.Duration
	for i := range 51 {
		after := time.Duration(i) * 20 * time.Millisecond
		if r.next(start.Add(after), uint64(i), true) != nil {
			sent = append(sent, after)
		}
	}
	require.Equal(t, []time.Duration{0, demandInterval, 2 * demandInterval}, sent)
}

// Guards against a session without demand, of an old entry, that sends any.
func TestNoDemandWithoutASource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster(t, 1, wire.Role_ROLE_ENTRY, func(c *fakeControl) { c.leader = "control-1" })
		f.awaitReady()
		time.Sleep(5 * time.Second)
		require.Empty(t, demandOf(f.controls[0]))
	})
}
