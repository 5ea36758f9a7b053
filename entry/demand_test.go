package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Guards against an entry that reports demand, or keeps a view, without the setting: messages and metrics stay as they were.
func TestNoDemandWithoutTheSetting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		h.addAgent(1, settings.KindService, "registry")
		require.Equal(t, 200, h.call(1, "POST", checkPath, `{}`, gateCheckHeader).status)
		e := h.entries[0]
		require.Nil(t, e.demandSource())
		require.Nil(t, e.demandReport())
		e.applyFleetDemand(&wire.DemandSummary{EntriesHeard: 3, EntriesKnown: 3}, time.Now())
		require.Empty(t, h.metric(metricFleetHeard))
	})
}

// Guards against demand that is out of date or never reported, an idle entry included: the others would count it as not heard, and
// use no view. The report must stay the same while nothing changes, so that no polls are spent on it.
func TestDemandIsSampled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 0)
		e := h.addEntry(func(s *settings.Entry) { s.Admission.FleetDemand = true })
		h.addAgent(1, settings.KindService, "registry")
		time.Sleep(time.Second)
		idle := e.demandReport()
		require.NotNil(t, idle)
		require.Len(t, idle.GetPools(), 1, "a pool without demand is named, so that its view is complete at others")
		require.Equal(t, uint32(1), idle.GetPools()[0].GetEntries())
		require.Empty(t, idle.GetPools()[0].GetClasses())
		require.Empty(t, idle.GetPools()[0].GetOrganisations())
		time.Sleep(time.Second)
		require.Same(t, idle, e.demandReport())

		require.Equal(t, 200, h.call(1, "POST", checkPath, `{}`, gateCheckHeader).status)
		time.Sleep(time.Second)
		rows := e.demandReport().GetPools()[0].GetClasses()
		require.Len(t, rows, 1)
		require.Equal(t, uint64(1), rows[0].GetArrivals())
		require.Equal(t, uint64(1), rows[0].GetDispatches())
		require.Zero(t, rows[0].GetRunning())

		e.applyFleetDemand(&wire.DemandSummary{EntriesHeard: 3, EntriesKnown: 4, AgeMs: 200}, time.Now().Add(-100*time.Millisecond))
		synctest.Wait()
		require.Equal(t, "3", h.metric(metricFleetHeard))
		require.Equal(t, "4", h.metric(metricFleetKnown))
		require.Equal(t, "0.3", h.metric(metricFleetAge))
	})
}

// Guards against requests whose excess isn't logged since no wait was forecast for them, and against the field without the setting.
func TestExcessIsLogged(t *testing.T) {
	var fields log.Fields
	logger := &log.Logger{Level: log.InfoLevel, Handler: log.HandlerFunc(func(e *log.Entry) error {
		fields = e.Fields
		return nil
	})}
	withTrace(log.NewEntry(logger), sched.Trace{Excess: true}, true).Info("request_answered")
	require.Equal(t, true, fields["excess"])
	require.NotContains(t, fields, "forecast_view")
	withTrace(log.NewEntry(logger), sched.Trace{ForecastView: "fleet"}, true).Info("request_answered")
	require.Equal(t, false, fields["excess"])
	withTrace(log.NewEntry(logger), sched.Trace{}, false).Info("request_answered")
	require.NotContains(t, fields, "excess")
}

// Guards against organisations that exceed their share without a line, a line about the end without one about the begin, and lines
// without bound.
func TestSharesAreLogged(t *testing.T) {
	var lines []*log.Entry
	e := &Entry{log: &log.Logger{Level: log.InfoLevel, Handler: log.HandlerFunc(func(e *log.Entry) error {
		lines = append(lines, e)
		return nil
	})}}
	now := time.Unix(1_700_000_000, 0)
	e.now = func() time.Time { return now }
	change := func(organisation string, over bool) {
		e.execute(sched.ShareChanged{Pool: "model/m", Tier: 2, Organisation: organisation, Over: over})
	}
	change("a", true)
	change("a", false)
	require.Len(t, lines, 2)
	require.Equal(t, "organisation_over_share", lines[0].Message)
	require.Equal(t, "organisation_within_share", lines[1].Message)
	require.Equal(t, log.Fields{"pool": "model/m", "tier": uint32(2), "organisation": "a"}, lines[1].Fields)
	for i := range 100 {
		change(fmt.Sprintf("b-%d", i), true)
	}
	require.Len(t, lines, 1+maxShareLines)
	for i := range 100 {
		change(fmt.Sprintf("b-%d", i), false)
	}
	require.Len(t, lines, 2*maxShareLines)
	require.Empty(t, e.demand.shares.logged)
	now = now.Add(shareLinesInterval)
	change("a", true)
	require.Equal(t, 100-maxShareLines+1, lines[len(lines)-1].Fields["omitted"])
}
