package control_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/demand"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// demandEntry is an entry that reports the same demand with each poll and keeps the last summary.
type demandEntry struct {
	stop func()
	mu   sync.Mutex
	last *wire.DemandSummary
	at   time.Time
}

func (e *demandEntry) summary() *wire.DemandSummary {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.last
}

// queued returns the requests that the others have queued by the last summary.
func (e *demandEntry) queued() uint32 {
	queued := uint32(0)
	for _, p := range e.summary().GetPools() {
		for _, c := range p.GetClasses() {
			queued += c.GetQueued()
		}
	}
	return queued
}

func (e *demandEntry) age() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.at)
}

// startDemandEntry starts entry i with i queued requests. An entry that doesn't report is one of before the setting.
func (c *cluster) startDemandEntry(i int, reports bool) *demandEntry {
	e := new(demandEntry)
	config := session.Config{
		Instance: fmt.Sprint("entry-", i), Role: wire.Role_ROLE_ENTRY, Incarnation: 1, Controls: c.links(),
		Network: c.net.Host(fmt.Sprintf("10.0.1.%d", i)),
		OnDemand: func(summary *wire.DemandSummary, sent time.Time) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.last, e.at = summary, sent
		},
	}
	if reports {
		report := &wire.DemandReport{Pools: []*wire.PoolDemand{{Pool: "model/m", Classes: []*wire.ClassDemand{
			{Class: "first", Rank: 1, Tier: 2, Queued: uint32(i)},
		}}}}
		config.Demand = func() *wire.DemandReport { return report }
	}
	s, stop := c.run(config)
	e.stop = stop
	c.eventually("the entry is ready", func() bool { return s.Ready() == nil })
	return e
}

// Guards against sums that miss an entry, keep one that has died, or are lost with the leader: an entry that dies leaves them after
// 3 s, and after a change of the leader they are complete again. An entry that reports nothing gets no summary, and counts as one
// that isn't heard.
func TestDemandOfAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		var entries []*demandEntry
		for i := 1; i <= 3; i++ {
			entries = append(entries, c.startDemandEntry(i, true))
		}
		defer entries[0].stop()
		defer entries[1].stop()
		c.eventually("each has the sums of the others", func() bool {
			return entries[0].queued() == 5 && entries[1].queued() == 4 && entries[2].queued() == 3
		})
		require.Equal(t, uint32(2), entries[0].summary().GetEntriesHeard())
		require.Equal(t, uint32(2), entries[0].summary().GetEntriesKnown())
		require.Less(t, entries[0].summary().GetAgeMs(), uint32(1100))

		entries[2].stop()
		time.Sleep(demand.ReportExpiry - 1500*time.Millisecond)
		require.Equal(t, uint32(5), entries[0].queued(), "its last report still counts")
		time.Sleep(3 * time.Second)
		require.Equal(t, uint32(2), entries[0].queued())
		require.Equal(t, uint32(1), entries[0].summary().GetEntriesHeard())

		old := c.startDemandEntry(4, false)
		defer old.stop()
		time.Sleep(3 * time.Second)
		require.Nil(t, old.summary())
		require.Equal(t, uint32(1), entries[0].summary().GetEntriesHeard())
		require.Greater(t, entries[0].summary().GetEntriesKnown(), uint32(1))

		c.stop(c.leader())
		c.eventually("the next leader has the sums", func() bool {
			return entries[0].age() < 2*time.Second && entries[0].queued() == 2 && entries[1].queued() == 1
		})
	})
}

// Guards against a view that goes on to look fresh while control is unreachable.
func TestNoDemandWithoutControl(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.startAll()
		defer c.stopAll()
		first, second := c.startDemandEntry(1, true), c.startDemandEntry(2, true)
		defer first.stop()
		defer second.stop()
		c.eventually("the sums are there", func() bool { return first.queued() == 2 })
		c.stop(c.instances[0])
		time.Sleep(5 * time.Second)
		require.Greater(t, first.age(), 3*time.Second)
	})
}
