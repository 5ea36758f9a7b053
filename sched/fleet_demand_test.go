package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/demand"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

const testPoolName = kindModel + "/" + testModel

// fleetHarness is forecastHarness with the fleet-wide view.
func fleetHarness(t *testing.T) *harness {
	t.Helper()
	h := forecastHarness(t)
	h.s.options.FleetDemand = true
	return h
}

// fleetRows returns rows of the others' demand: of the first and of the last class.
func fleetRows(firstQueued, lastQueued, running uint32) []*wire.ClassDemand {
	return []*wire.ClassDemand{
		{Class: "first", Rank: 1, Tier: 2, Queued: firstQueued, OccupancyMs: 250},
		{Class: "last", Rank: 3, Tier: 2, Queued: lastQueued, Running: running, OccupancyMs: 1000},
	}
}

// view passes a summary to the scheduler, as the answer to a poll that was sent now.
func (h *harness) view(age time.Duration, heard, known uint32, rows []*wire.ClassDemand, organisations ...*wire.OrganisationDemand) {
	h.t.Helper()
	h.step(FleetDemand{At: h.now, Summary: &wire.DemandSummary{
		EntriesHeard: heard, EntriesKnown: known, AgeMs: uint32(age.Milliseconds()),
		Pools: []*wire.PoolDemand{{Pool: testPoolName, Classes: rows, Organisations: organisations}},
	}})
}

// forecastOf returns the forecast of a stream that has just arrived.
func (h *harness) forecastOf(class *wire.Class) (forecast, string) {
	h.t.Helper()
	id := fmt.Sprintf("probe-%d", len(h.s.requests))
	r := &request{Request: h.stream(id, class, testObjective, testAbandon), timerIndex: -1}
	r.class = h.s.classFor(class)
	r.tier = tierIndex(class.GetTier())
	r.pool = h.s.pool(poolKey{kind: kindModel, target: testModel})
	return h.s.forecastWait(r, false), r.forecastView
}

// Guards against forecasts that leave out what the other entries have queued ahead, or count what goes behind: higher rank, the
// same rank that arrived before, and lower rank, over the slots of all entries.
func TestForecastCountsTheQueuesOfAllEntries(t *testing.T) {
	h := fleetHarness(t)
	// 32 slots in all: 8 here and 24 elsewhere, with runs of a second.
	h.view(0, 3, 3, fleetRows(0, 0, 24))
	idle, view := h.forecastOf(lastClass)
	require.Equal(t, viewFleet, view)
	require.InDelta(t, 1.0/32, idle.wait.Seconds(), 0.005, "the request itself")

	h.view(0, 3, 3, fleetRows(0, 16, 24))
	behind, _ := h.forecastOf(lastClass)
	require.InDelta(t, 17.0/32, behind.wait.Seconds(), 0.01, "its own rank by age")
	first, _ := h.forecastOf(firstClass)
	require.Less(t, first.wait, 50*time.Millisecond, "lower rank goes behind")

	h.view(0, 3, 3, fleetRows(64, 0, 24))
	ahead, _ := h.forecastOf(lastClass)
	require.Greater(t, ahead.wait, 450*time.Millisecond, "64 of a quarter of a second go first")
}

// Guards against requests that go behind and are counted as ahead: overdue, late and excess ones of other entries.
func TestForecastOrdersTheBandsOfOtherEntries(t *testing.T) {
	h := fleetHarness(t)
	rows := fleetRows(0, 0, 24)
	for _, band := range []uint32{bandOverdue, bandLate, bandExcess} {
		rows = append(rows, &wire.ClassDemand{Class: "last", Rank: 3 | band<<rankBandShift, Tier: 2, Queued: 100, OccupancyMs: 1000})
	}
	h.view(0, 3, 3, rows)
	timely, _ := h.forecastOf(lastClass)
	require.Less(t, timely.wait, 50*time.Millisecond)
	lower := proto.Clone(lastClass).(*wire.Class)
	lower.Name, lower.Precedence = "lowest", 4
	behind, _ := h.forecastOf(lower)
	require.Greater(t, behind.wait, 2*time.Second, "overdue requests of a higher class go first")
}

// Guards against the use of a view that is old, incomplete, or of a control instance that has just started: the entry then
// forecasts by what it sees alone, as without the setting.
func TestViewThatCannotBeUsed(t *testing.T) {
	h := fleetHarness(t)
	own, view := h.forecastOf(lastClass)
	require.Equal(t, viewOwnNone, view)

	h.view(0, 8, 9, fleetRows(0, 1000, 24))
	f, view := h.forecastOf(lastClass)
	require.Equal(t, viewOwnIncomplete, view)
	require.Equal(t, own.wait, f.wait)

	h.view(0, 9, 10, fleetRows(0, 1000, 24))
	_, view = h.forecastOf(lastClass)
	require.Equal(t, viewFleet, view)
	h.now = h.now.Add(fleetMaxAge + time.Millisecond)
	h.reportRoom("s1", kindModel, testModel, 0)
	_, view = h.forecastOf(lastClass)
	require.Equal(t, viewOwnOld, view)

	h.view(1500*time.Millisecond, 10, 10, fleetRows(0, 0, 24))
	_, view = h.forecastOf(lastClass)
	require.Equal(t, viewFleet, view)
	h.now = h.now.Add(600 * time.Millisecond)
	h.reportRoom("s1", kindModel, testModel, 0)
	_, view = h.forecastOf(lastClass)
	require.Equal(t, viewOwnOld, view, "the age of the reports counts")
}

// Guards against a view that is used for a pool although more than one in ten of the entries heard have left the pool out of their
// reports: their queues are missing in its sums.
func TestViewOfAPoolThatEntriesLeaveOut(t *testing.T) {
	h := fleetHarness(t)
	viewOf := func(rows []*wire.ClassDemand, entries uint32) string {
		h.step(FleetDemand{At: h.now, Summary: &wire.DemandSummary{
			EntriesHeard: 10, EntriesKnown: 10, Pools: []*wire.PoolDemand{{Pool: testPoolName, Classes: rows, Entries: entries}},
		}})
		_, view := h.forecastOf(lastClass)
		return view
	}
	require.Equal(t, viewFleet, viewOf(fleetRows(0, 1000, 24), 9))
	require.Equal(t, viewOwnIncomplete, viewOf(fleetRows(0, 1000, 24), 8))
	require.Equal(t, viewOwnIncomplete, viewOf(nil, 0))
	require.Equal(t, viewFleet, viewOf(nil, 10), "no other entry has demand")
	require.Equal(t, viewFleet, viewOf(fleetRows(0, 1000, 24), 0), "control of an earlier version")
}

// Guards against a pool whose view is incomplete for others because this entry has had no request for it.
func TestDemandReportHasPoolsWithoutDemand(t *testing.T) {
	h := fleetHarness(t)
	h.s.pool(poolKey{kind: kindModel, target: "idle"})
	pools := h.s.DemandReport()
	require.Len(t, pools, 2)
	require.True(t, proto.Equal(&wire.PoolDemand{Pool: kindModel + "/idle", Entries: 1}, pools[0]))
	require.Equal(t, uint32(1), pools[1].GetEntries())
	require.NotEmpty(t, pools[1].GetClasses())
}

// Guards against a control instance that has just started and whose empty summary replaces a complete view: that view is used until
// it is 2 s old, and then the incomplete one takes its place.
func TestIncompleteViewReplacesOnlyAnOldOne(t *testing.T) {
	h := fleetHarness(t)
	taken := h.now
	empty := func(after time.Duration) string {
		h.now = taken.Add(after)
		h.reportRoom("s1", kindModel, testModel, 0)
		h.step(FleetDemand{At: h.now, Summary: &wire.DemandSummary{EntriesKnown: 9}})
		_, view := h.forecastOf(lastClass)
		return view
	}
	h.view(0, 9, 9, fleetRows(0, 0, 24))
	require.Equal(t, viewFleet, empty(300*time.Millisecond))
	require.Equal(t, viewFleet, empty(fleetMaxAge))
	require.Equal(t, viewOwnIncomplete, empty(fleetMaxAge+time.Millisecond))
	h.view(0, 9, 9, fleetRows(0, 0, 24))
	_, view := h.forecastOf(lastClass)
	require.Equal(t, viewFleet, view)
}

// Guards against an answer that arrives late and replaces a newer one.
func TestOlderViewChangesNothing(t *testing.T) {
	h := fleetHarness(t)
	old := FleetDemand{At: h.now, Summary: &wire.DemandSummary{EntriesHeard: 1, EntriesKnown: 9}}
	h.now = h.now.Add(500 * time.Millisecond)
	h.view(0, 9, 9, fleetRows(0, 0, 24))
	h.step(old)
	_, view := h.forecastOf(lastClass)
	require.Equal(t, viewFleet, view)
}

// ratedRows returns rows whose first class has had arrivals, dispatches and refusals.
func ratedRows(arrivals, dispatches, refusals uint64) []*wire.ClassDemand {
	rows := fleetRows(0, 0, 24)
	rows[0].Arrivals, rows[0].Dispatches, rows[0].Refusals = arrivals, dispatches, refusals
	return rows
}

// Guards against rates that follow from sums over different entries: when an entry leaves, restarts or joins, the difference of two
// sums says nothing about requests, and the rates stay as they were.
func TestRatesSurviveEntriesThatComeAndGo(t *testing.T) {
	h := fleetHarness(t)
	rate := func() float64 { return h.s.fleet.pools[testPoolName].rows[0].arrivals }
	h.view(0, 3, 3, ratedRows(1000, 1000, 0))
	_, view := h.forecastOf(lastClass)
	require.Equal(t, viewOwnNone, view, "no rates after one summary")
	total := uint64(1000)
	next := func(heard uint32, add uint64) {
		h.now = h.now.Add(500 * time.Millisecond)
		h.reportRoom("s1", kindModel, testModel, 0)
		total += add
		h.view(0, heard, 3, ratedRows(total, total, 0))
	}
	next(3, 50)
	require.InDelta(t, 100, rate(), 1)
	_, view = h.forecastOf(lastClass)
	require.Equal(t, viewFleet, view)
	total -= 800
	next(2, 0) // an entry has left
	require.InDelta(t, 100, rate(), 1)
	next(2, 50)
	require.InDelta(t, 100, rate(), 1)
	next(3, 5000) // an entry has joined
	require.InDelta(t, 100, rate(), 1)
	total -= 3000
	next(3, 0) // an entry has restarted
	require.InDelta(t, 100, rate(), 1)
	next(3, 100)
	require.Greater(t, rate(), 120.0, "the load has doubled")
}

// Guards against a row that is missing in some views and whose whole count is then taken for requests since the last one.
func TestRatesSurviveRowsThatComeAndGo(t *testing.T) {
	h := fleetHarness(t)
	next := func(rows []*wire.ClassDemand) {
		h.now = h.now.Add(500 * time.Millisecond)
		h.reportRoom("s1", kindModel, testModel, 0)
		h.view(0, 3, 3, rows)
	}
	next(ratedRows(1000, 1000, 0))
	next(ratedRows(1020, 1020, 0))
	next(ratedRows(0, 0, 0)[1:])
	next(ratedRows(1040, 1040, 0))
	_, view := h.forecastOf(lastClass)
	require.Equal(t, viewFleet, view)
	require.LessOrEqual(t, h.s.fleet.pools[testPoolName].rows[0].arrivals, 41.0)
	next(ratedRows(1060, 1060, 0))
	require.LessOrEqual(t, h.s.fleet.pools[testPoolName].rows[0].arrivals, 41.0)
}

// Guards against a backlog that is extrapolated for as long as control is silent: rates are taken to go on for a second at most.
func TestExtrapolationIsBounded(t *testing.T) {
	h := fleetHarness(t)
	h.view(0, 3, 3, ratedRows(0, 0, 0))
	h.now = h.now.Add(time.Second)
	h.reportRoom("s1", kindModel, testModel, 0)
	h.view(0, 3, 3, ratedRows(100, 60, 0))
	ahead := func(after time.Duration) float64 {
		h.s.now = h.now.Add(after)
		defer func() { h.s.now = h.now }()
		r := &request{Request: h.stream("probe", lastClass, testObjective, testAbandon), class: h.s.classFor(lastClass), tier: 1}
		r.pool = h.s.pool(poolKey{kind: kindModel, target: testModel})
		return h.s.fleetAhead(r, h.s.fleet.pools[testPoolName]).requests
	}
	require.Zero(t, ahead(0))
	require.InDelta(t, 20, ahead(500*time.Millisecond), 0.1)
	require.InDelta(t, 40, ahead(time.Second), 0.1)
	require.InDelta(t, 40, ahead(1900*time.Millisecond), 0.1)
}

// Guards against requests that queue for their whole objective although all entries know that they can't begin, and against
// refusals by a forecast that is only somewhat too long.
func TestHopelessRequestIsRefusedOnArrival(t *testing.T) {
	h := fleetHarness(t)
	h.view(0, 3, 3, fleetRows(0, 200, 24)) // 6 s on 32 slots
	h.step(Arrive{Request: h.stream("hopeless", lastClass, testObjective, testAbandon)})
	require.Equal(t, result.CannotFinishInTime, h.failures["hopeless"].Code)
	require.Contains(t, h.counts, Count{Counter: ForecastViews, Label: viewFleet, Add: 1})
	require.Contains(t, h.counts, Count{Counter: Forecasts, Tier: 2, Class: "last", Label: forecastRefusedAtOnce, Add: 1})

	h.view(0, 3, 3, fleetRows(0, 16, 24)) // half a second: a fourth too long
	h.step(Arrive{Request: h.stream("doubtful", lastClass, testObjective, testAbandon)})
	require.NotContains(t, h.failures, "doubtful")
	require.False(t, h.s.requests["doubtful"].late, "it waits until its objective, as without a forecast")
	trace := h.s.trace(h.s.requests["doubtful"])
	require.Equal(t, viewFleet, trace.ForecastView)
	h.advance(testObjective)
	require.Equal(t, result.DeadlinePassedInQueue, h.failures["doubtful"].Code)
}

// Guards against a report that leaves out requests, counts one twice, or changes with the order of a map.
func TestDemandReport(t *testing.T) {
	h := fleetHarness(t)
	h.step(Arrive{Request: h.stream("timely", lastClass, testObjective, testAbandon)})
	h.step(Arrive{Request: h.stream("late", lastClass, testObjective, testAbandon)})
	h.hold("late")
	pools := h.s.DemandReport()
	require.Len(t, pools, 1)
	require.Equal(t, testPoolName, pools[0].GetPool())
	rows := pools[0].GetClasses()
	require.Len(t, rows, 2)
	require.Equal(t, []uint32{3, 1, 8}, []uint32{rows[0].GetRank(), rows[0].GetQueued(), rows[0].GetRunning()})
	require.Equal(t, []uint64{10, 8, 0}, []uint64{rows[0].GetArrivals(), rows[0].GetDispatches(), rows[0].GetRefusals()})
	require.Equal(t, []uint32{3 | bandLate<<rankBandShift, 1, 0}, []uint32{rows[1].GetRank(), rows[1].GetQueued(), rows[1].GetRunning()})
	require.Len(t, pools[0].GetOrganisations(), 1)
	require.True(t, proto.Equal(organisationRow("org", 2, 8), pools[0].GetOrganisations()[0]))
	for range 20 {
		require.True(t, proto.Equal(pools[0], h.s.DemandReport()[0]))
	}
	require.LessOrEqual(t, proto.Size(&wire.DemandReport{Pools: pools}), demand.MaxReportBytes)
}

// Guards against shares that leave slots unused or exceed them, and that count what an organisation doesn't need.
func TestEqualShare(t *testing.T) {
	h := func(needs ...float64) []holding {
		var all []holding
		for _, n := range needs {
			all = append(all, holding{running: n})
		}
		return all
	}
	require.InDelta(t, 10, equalShare(h(50, 50, 50), 30), 0.01)
	require.InDelta(t, 14, equalShare(h(2, 50, 50), 30), 0.01, "what one doesn't need goes to the others")
	require.Greater(t, equalShare(h(2, 3, 4), 30), 1000.0, "nobody needs more")
}

func organisationRow(name string, queued, running uint32) *wire.OrganisationDemand {
	return &wire.OrganisationDemand{Organisation: name, Tier: 2, Queued: queued, Running: running}
}

// shortOf passes a view of a short pool in which an organisation runs the given number of the 96 attempts of others.
func (h *harness) shortOf(running uint32) {
	h.t.Helper()
	rest := (96 - running) / 3
	h.view(0, 3, 3, fleetRows(0, 12, 96), organisationRow("greedy", 12, running), organisationRow("a", 30, rest),
		organisationRow("b", 30, rest), organisationRow("c", 30, rest))
}

// Guards against an organisation whose excess takes the slots of others: while the pool is short, a part of its further requests
// goes behind all others of its tier, whatever their class, here and at the gates, until it holds no more than its share.
func TestExcessOfAnOrganisationGoesBehind(t *testing.T) {
	h := fleetHarness(t)
	h.shortOf(24)
	p := h.s.pool(poolKey{kind: kindModel, target: testModel})
	require.Empty(t, p.excess[1], "each has its share")
	h.shortOf(81)
	require.Len(t, p.excess[1], 1)
	require.InDelta(t, 0.7, p.excess[1][0].withheld, 0.08, "it holds some three times its share")
	require.Contains(t, h.counts, Count{Counter: OverShare, Tier: 2, Label: "greedy", Add: 1})
	change := ShareChanged{Pool: testPoolName, Tier: 2, Organisation: "greedy", Over: true}
	require.Equal(t, []ShareChanged{change}, h.shareChanges)
	p.excess[1][0].withheld = 1

	greedy := h.stream("greedy-1", firstClass, testObjective, testAbandon)
	greedy.Organisation = "greedy"
	h.step(Arrive{Request: greedy})
	h.step(Arrive{Request: h.stream("other", lastClass, testObjective, testAbandon)})
	excess, other := h.s.requests["greedy-1"], h.s.requests["other"]
	require.True(t, excess.excess)
	require.False(t, other.excess)
	require.Greater(t, excess.gatePrecedence(), uint32(excessPrecedence))
	require.Greater(t, excess.gatePrecedence(), latePrecedence+other.gatePrecedence(), "also behind late requests of others")
	h.reportRoom("s1", kindModel, testModel, 1)
	require.Len(t, h.dispatches("other"), 1)
	require.Empty(t, h.dispatches("greedy-1"))
	h.reportRoom("s1", kindModel, testModel, 0)

	reserved := len(h.reserves("greedy-1"))
	for range 20 {
		h.now = h.now.Add(20 * time.Millisecond)
		h.shortOf(12)
		if len(p.excess[1]) == 0 {
			break
		}
	}
	require.Empty(t, p.excess[1])
	within := change
	within.Over = false
	require.Equal(t, []ShareChanged{change, within}, h.shareChanges, "once each")
	require.False(t, excess.excess, "it takes its usual place again")
	require.Less(t, excess.gatePrecedence(), uint32(latePrecedence))
	require.Greater(t, len(h.reserves("greedy-1")), reserved, "gates are told")
}

// Guards against a request that stays behind others since its organisation came within its share during the request's back-off.
func TestExcessEndsAfterABackOff(t *testing.T) {
	h := fleetHarness(t)
	h.shortOf(81)
	p := h.s.pool(poolKey{kind: kindModel, target: testModel})
	require.Len(t, p.excess[1], 1)
	p.excess[1][0].withheld = 1
	greedy := h.stream("greedy-1", firstClass, testObjective, testAbandon)
	greedy.Organisation = "greedy"
	h.step(Arrive{Request: greedy})
	r := h.s.requests["greedy-1"]
	require.True(t, r.excess)
	h.s.removeFromQueue(r)
	r.notBefore = h.now.Add(time.Minute)
	h.s.setExcess(p, 1, nil)
	require.Nil(t, r.queue)
	r.notBefore = h.now
	h.s.addToQueue(r)
	require.NotNil(t, r.queue)
	require.False(t, r.excess)
	require.Less(t, r.gatePrecedence(), uint32(latePrecedence))
}

// Guards against organisations that stay behind others after control is lost or the shortage is over.
func TestExcessEndsWithoutAView(t *testing.T) {
	h := fleetHarness(t)
	h.shortOf(81)
	p := h.s.pool(poolKey{kind: kindModel, target: testModel})
	require.NotEmpty(t, p.excess[1])
	h.advance(fleetMaxAge + shareMemory + MaxTickInterval)
	require.Empty(t, p.excess[1])
}

// Guards against a setting that is off and still changes something: a summary has no effect, and no view is logged.
func TestFleetDemandOff(t *testing.T) {
	h := forecastHarness(t)
	h.view(0, 3, 3, fleetRows(0, 1000, 24), organisationRow("org", 0, 500))
	f, view := h.forecastOf(lastClass)
	require.Empty(t, view)
	require.False(t, f.fleet)
	require.True(t, h.s.fleet.takenAt.IsZero())
	h.step(Arrive{Request: h.stream("a", lastClass, testObjective, testAbandon)})
	require.False(t, h.s.requests["a"].excess)
}
