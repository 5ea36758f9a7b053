package control_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

type reportAnswer struct {
	Role         string `json:"role"`
	EntriesHeard int    `json:"entries_heard"`
	Classes      []struct {
		Name      string  `json:"name"`
		Good      uint64  `json:"good"`
		Late      uint64  `json:"late"`
		LateShare float64 `json:"late_share"`
		LateMax   float64 `json:"late_max"`
		Meets     bool    `json:"meets"`
	} `json:"classes"`
	Targets []struct {
		Name         string   `json:"name"`
		Kind         string   `json:"kind"`
		ReadyServers int      `json:"ready_servers"`
		QueuedByTier []uint32 `json:"queued_by_tier"`
		OldestWaitMS uint64   `json:"oldest_wait_ms"`
		ShortBecause string   `json:"short_because"`
	} `json:"targets"`
}

// Guards against reports that reach only the leader. They are not replicated, so an operator who asks a follower would
// see no counts.
func TestEachInstanceShowsEntryReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		_, _, stop := c.clients()
		defer stop()
		var answered atomic.Uint64
		defer c.startReporting(func() *wire.EntryReport {
			n := answered.Load()
			return &wire.EntryReport{
				Classes: []*wire.ClassReport{{Name: "gate-check", Good: 8 * n, Late: 2 * n}},
				Targets: []*wire.TargetReport{{Name: "registry", Kind: "service", QueuedByTier: []uint32{3, 0, 0}, OldestWaitMs: 400}},
			}
		})()
		c.eventually("all instances have a report of the entry", func() bool {
			heard := 0
			for _, n := range c.instances {
				if c.statusReports(n).EntriesHeard == 1 {
					heard++
				}
			}
			return heard == len(c.instances)
		})
		answered.Store(10)
		for _, n := range c.instances {
			var got reportAnswer
			c.eventually("status shows the counts", func() bool {
				got = c.statusReports(n)
				return got.Classes[0].Good == 80
			})
			require.InDelta(t, 0.2, got.Classes[0].LateShare, 1e-9)
			require.InDelta(t, 0.01, got.Classes[0].LateMax, 1e-9)
			require.False(t, got.Classes[0].Meets)
			require.Len(t, got.Targets, 2, "targets that servers offer, and targets with queued requests")
			registry := got.Targets[1]
			require.Equal(t, []uint32{3, 0, 0}, registry.QueuedByTier)
			require.Equal(t, uint64(400), registry.OldestWaitMS)
			require.Equal(t, "no backend server has it", registry.ShortBecause)
		}
	})
}

// startReporting starts a session of an entry that reports, and returns a function that stops it.
func (c *cluster) startReporting(report func() *wire.EntryReport) func() {
	_, stop := c.run(session.Config{
		Instance: "entry-9", Role: roleEntry, Incarnation: 1, Controls: c.links(),
		Network: c.net.Host("10.0.1.9"), Report: report,
	})
	return stop
}

func (c *cluster) statusReports(n *instance) reportAnswer {
	var out reportAnswer
	if a := c.get(n, "/v1/status"); a.status == http.StatusOK {
		a.decode(c.t, &out)
	}
	return out
}
