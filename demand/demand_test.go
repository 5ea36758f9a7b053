package demand

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/wire"
)

var start = time.Unix(1_700_000_000, 0)

const testPool = "model/m"

func report(sequence uint64, queued, running uint32, organisations ...*wire.OrganisationDemand) *wire.DemandReport {
	return &wire.DemandReport{Sequence: sequence, Pools: []*wire.PoolDemand{{
		Pool: testPool, Organisations: organisations,
		Classes: []*wire.ClassDemand{{
			Class: "first", Rank: 1, Tier: 2, Arrivals: 10 * sequence, Dispatches: 8 * sequence, Refusals: sequence, Queued: queued,
			Running: running, OccupancyMs: 100 * running,
		}},
	}}}
}

func entry(i int) Incarnation { return Incarnation{Instance: fmt.Sprintf("entry-%d", i), Number: 1} }

func firstClass(t *testing.T, s *wire.DemandSummary) *wire.ClassDemand {
	t.Helper()
	require.Len(t, s.GetPools(), 1)
	require.Len(t, s.GetPools()[0].GetClasses(), 1)
	return s.GetPools()[0].GetClasses()[0]
}

// Guards against sums that count the asking entry itself, or that are older than they claim.
func TestSummaryHasTheSumsOfTheOthers(t *testing.T) {
	l := NewLedger()
	for i := range 3 {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		require.Equal(t, Recorded, l.Record(entry(i), report(1, uint32(i+1), 1, &wire.OrganisationDemand{
			Organisation: "org", Tier: 2, Queued: uint32(i + 1), Running: 1,
		}), at))
	}
	// Counts are those since the first report that is known: the second ones add 10, 8 and 1, and the others' are summed.
	for i := range 3 {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		require.Equal(t, Recorded, l.Record(entry(i), report(2, uint32(i+1), 1, &wire.OrganisationDemand{
			Organisation: "org", Tier: 2, Queued: uint32(i + 1), Running: 1,
		}), at))
	}
	s := l.Summary(entry(0), 2, start.Add(400*time.Millisecond))
	require.Equal(t, uint32(2), s.GetEntriesHeard())
	require.Equal(t, uint32(2), s.GetEntriesKnown())
	require.Equal(t, uint32(250), s.GetAgeMs(), "300 and 200 ms")
	c := firstClass(t, s)
	require.Equal(t, []uint64{20, 16, 2, 5, 2, 100}, []uint64{
		c.GetArrivals(), c.GetDispatches(), c.GetRefusals(), uint64(c.GetQueued()), uint64(c.GetRunning()), uint64(c.GetOccupancyMs()),
	})
	require.Equal(t, uint32(5), s.GetPools()[0].GetOrganisations()[0].GetQueued())
}

// Guards against a report that counts twice or replaces a newer one: late, repeated and reordered reports change nothing, nor do
// those of an earlier incarnation.
func TestOldReportsChangeNothing(t *testing.T) {
	l := NewLedger()
	l.Record(entry(0), report(1, 0, 0), start)
	l.Record(entry(1), report(5, 3, 1), start)
	before := l.Summary(entry(0), 1, start)
	for _, sequence := range []uint64{5, 4, 1} {
		require.Equal(t, Outdated, l.Record(entry(1), report(sequence, 9, 9), start))
		require.True(t, proto.Equal(before, l.Summary(entry(0), 1, start)))
	}
	restarted := Incarnation{Instance: "entry-1", Number: 2}
	require.Equal(t, Recorded, l.Record(restarted, report(1, 1, 0), start))
	require.Equal(t, Outdated, l.Record(entry(1), report(6, 9, 9), start))
	require.Equal(t, uint32(1), firstClass(t, l.Summary(entry(0), 1, start)).GetQueued())
	require.Equal(t, TooLarge, l.Record(entry(2), &wire.DemandReport{Pools: []*wire.PoolDemand{{Pool: string(make([]byte, MaxReportBytes))}}}, start))
}

// Guards against an entry that is dead or cut off and still counts: its report leaves the sums after 3 s, one that goes on to
// report stays, and a late report of the dead incarnation doesn't bring it back.
func TestSilentEntryLeavesTheSums(t *testing.T) {
	l := NewLedger()
	l.Record(entry(1), report(1, 7, 2), start)
	for i := range 8 {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond)
		l.Record(entry(0), report(uint64(i+1), 0, 0), now)
		l.Record(entry(2), report(uint64(i+1), 1, 0), now)
		s := l.Summary(entry(0), 2, now)
		if now.Sub(start) < ReportExpiry {
			require.Equal(t, uint32(2), s.GetEntriesHeard())
			require.Equal(t, uint32(8), firstClass(t, s).GetQueued())
			continue
		}
		require.Equal(t, uint32(1), s.GetEntriesHeard())
		require.Equal(t, uint32(2), s.GetEntriesKnown())
		require.Equal(t, uint32(1), firstClass(t, s).GetQueued())
	}
	require.Equal(t, Outdated, l.Record(entry(1), report(1, 7, 2), start.Add(5*time.Second)))
	require.Zero(t, l.Heard(start.Add(10*time.Second)))
	require.Empty(t, l.pools, "sums without entries")
	l.Heard(start.Add(2 * time.Minute))
	require.Empty(t, l.entries)
}

func organisations(n int) []*wire.OrganisationDemand {
	var rows []*wire.OrganisationDemand
	for i := range n {
		rows = append(rows, &wire.OrganisationDemand{Organisation: fmt.Sprintf("organisation-%03d", i), Tier: 2, Queued: uint32(i), Running: 1})
	}
	return rows
}

// Guards against reports and answers that grow with organisations or pools: a report keeps to its limit, whole pools with most
// requests come first, and the organisations with most requests are those that are kept.
func TestReportIsBounded(t *testing.T) {
	var pools []*wire.PoolDemand
	for i := range 40 {
		p := &wire.PoolDemand{Pool: fmt.Sprintf("model/pool-%02d", i), Organisations: organisations(100)}
		for c := range 3 {
			p.Classes = append(p.Classes, &wire.ClassDemand{
				Class: fmt.Sprintf("class-%d", c), Rank: uint32(c), Tier: 2, Arrivals: 1 << 30, Dispatches: 1 << 30, Queued: uint32(i), OccupancyMs: 900,
			})
		}
		pools = append(pools, p)
	}
	for n := range len(pools) {
		kept := Trim(pools[:n])
		require.LessOrEqual(t, proto.Size(&wire.DemandReport{Sequence: 1 << 63, Pools: kept}), MaxReportBytes)
		for _, p := range kept {
			require.Len(t, p.GetClasses(), 3)
			require.LessOrEqual(t, len(p.GetOrganisations()), MaxOrganisations)
		}
	}
	many := Trim(pools)
	require.Equal(t, "model/pool-39", many[len(many)-1].GetPool())
	one := Trim(pools[:1])
	require.Equal(t, "organisation-099", one[0].GetOrganisations()[0].GetOrganisation())
}

// Guards against pools without demand that crowd out organisations in a report, or that make the answer grow.
func TestPoolsWithoutDemandComeLast(t *testing.T) {
	busy := report(1, 3, 2, organisations(32)...).GetPools()
	alone := Trim(busy)
	pools := busy
	for i := range 100 {
		pools = append(pools, &wire.PoolDemand{Pool: fmt.Sprintf("a/idle-%02d", i), Entries: 1})
	}
	kept := Trim(pools)
	require.LessOrEqual(t, proto.Size(&wire.DemandReport{Sequence: 1 << 63, Pools: kept}), MaxReportBytes)
	require.True(t, proto.Equal(alone[0], kept[len(kept)-1]))

	l := NewLedger()
	idle := &wire.DemandReport{Sequence: 1, Pools: []*wire.PoolDemand{{Pool: testPool, Entries: 1}}}
	l.Record(entry(0), idle, start)
	l.Record(entry(1), report(1, 3, 2), start)
	l.Record(entry(2), report(1, 3, 2), start)
	require.Empty(t, l.Summary(entry(0), 2, start).GetPools())
	require.Equal(t, uint32(2), l.Summary(entry(1), 2, start).GetPools()[0].GetEntries(), "also the one without demand")
}

// Guards against an answer that grows with the number of entries or organisations.
func TestSummaryIsBounded(t *testing.T) {
	size := func(entries, perEntry int) int {
		l := NewLedger()
		for i := range entries {
			r := report(1, 3, 2, organisations(perEntry)...)
			r.Pools = Trim(r.Pools)
			require.Equal(t, Recorded, l.Record(entry(i), r, start))
		}
		s := l.Summary(entry(0), entries-1, start)
		require.LessOrEqual(t, len(s.GetPools()[0].GetOrganisations()), MaxOrganisations)
		return proto.Size(s)
	}
	require.InDelta(t, size(40, 32), size(390, 32), 80, "larger numbers take more bytes")
	require.InDelta(t, size(40, 32), size(40, 220), 80)
}

// Guards against a sum that drifts from its parts: after any sequence of reports, repeats and ends it equals the sum of the
// newest reports that are counted.
func TestSumsEqualTheirParts(t *testing.T) {
	l := NewLedger()
	newest := map[int]*wire.DemandReport{}
	at := map[int]time.Time{}
	l.Record(entry(99), report(1, 0, 0), start)
	now := start
	sequence := uint64(1)
	for step := range 2000 {
		now = now.Add(evictionInterval)
		sequence++
		l.Record(entry(99), report(sequence, 0, 0), now)
		i := step * 7 % 13
		if step%5 != 0 && i < 8 || step%40 < 4 {
			r := report(sequence, uint32(step%17), uint32(step%5), organisations(step%4)...)
			l.Record(entry(i), r, now)
			newest[i], at[i] = r, now
		}
		var queued, running uint32
		heard := uint32(0)
		for i, r := range newest {
			if now.Sub(at[i]) < ReportExpiry {
				heard++
				queued += r.GetPools()[0].GetClasses()[0].GetQueued()
				running += r.GetPools()[0].GetClasses()[0].GetRunning()
			}
		}
		s := l.Summary(entry(99), 13, now)
		require.Equal(t, heard, s.GetEntriesHeard())
		if heard > 0 {
			require.Equal(t, []uint32{queued, running}, []uint32{firstClass(t, s).GetQueued(), firstClass(t, s).GetRunning()})
		}
	}
}

// Guards against rates that follow from entries which leave and join: a pool that drops out of a report and returns, an entry that
// leaves while another with larger counts joins, a restart, and an instance that leads again must not raise the counts by what was
// counted meanwhile.
func TestCountsRiseOnlyByWhatPresentEntriesAdd(t *testing.T) {
	l := NewLedger()
	now, sequence := start, uint64(0)
	send := func(from Incarnation, arrivals uint64, pools ...string) {
		sequence++
		r := &wire.DemandReport{Sequence: sequence}
		for _, name := range pools {
			r.Pools = append(r.Pools, &wire.PoolDemand{Pool: name, Entries: 1, Classes: []*wire.ClassDemand{{
				Class: "first", Rank: 1, Tier: 2, Arrivals: arrivals, Dispatches: arrivals,
			}}})
		}
		require.Equal(t, Recorded, l.Record(from, r, now))
	}
	var entries uint32
	asked := uint64(0)
	arrivals := func() uint64 {
		asked += 10
		send(entry(0), asked, testPool)
		p := l.Summary(entry(0), 3, now).GetPools()[0]
		entries = p.GetEntries()
		require.Len(t, p.GetClasses(), 1)
		require.Equal(t, p.GetClasses()[0].GetArrivals(), p.GetClasses()[0].GetDispatches())
		return p.GetClasses()[0].GetArrivals()
	}
	next := func() { now = now.Add(500 * time.Millisecond) }
	send(entry(1), 1000, testPool)
	send(entry(2), 40_000, testPool, "model/other")
	require.Zero(t, arrivals())
	require.Equal(t, uint32(2), entries)
	next()
	send(entry(1), 1010, testPool)
	send(entry(2), 40_010, "model/other") // the pool is trimmed
	require.Equal(t, uint64(10), arrivals())
	require.Equal(t, uint32(1), entries)
	next()
	send(entry(1), 1020, testPool)
	send(entry(2), 40_020, testPool) // and returns
	require.Equal(t, uint64(20), arrivals())
	require.Equal(t, uint32(2), entries)
	next()
	send(entry(1), 1030, testPool)
	send(entry(2), 40_030, testPool)
	require.Equal(t, uint64(40), arrivals())
	for range 8 { // entry 1 ends, and another with larger counts joins
		next()
		send(entry(2), 40_030, testPool)
		send(entry(3), 90_000, testPool)
		require.Equal(t, uint64(40), arrivals())
	}
	require.Equal(t, uint32(2), entries)
	next()
	send(Incarnation{Instance: "entry-3", Number: 2}, 95_000, testPool)
	require.Equal(t, uint64(40), arrivals(), "a restart")
	now = now.Add(silenceReset)
	send(entry(2), 50_000, testPool)
	require.Zero(t, arrivals(), "another instance has led")
}
