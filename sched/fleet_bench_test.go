package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// fleetBench returns a scheduler with live requests of five classes and 30 organisations, and a view of the other entries.
func fleetBench(b *testing.B, live int) *benchHarness {
	b.Helper()
	s, err := New(Options{Forecast: true, FleetDemand: true})
	require.NoError(b, err)
	h := &benchHarness{s: s, now: time.Unix(1_700_000_000, 0)}
	for i := range live {
		class := &wire.Class{Name: fmt.Sprint("class-", i%5), Tier: 2, DeadlineMs: 5000, Kind: kindModel, Precedence: uint32(i%5 + 1)}
		s.Step(h.now, Arrive{Request: &Request{
			ID: fmt.Sprint("r", i), Organisation: fmt.Sprint("org-", i%30), Class: class, Target: testModel, Arrived: h.now,
			Deadline: h.now.Add(5 * time.Second), Objective: h.now.Add(time.Second),
		}})
	}
	return h
}

func benchSummary(arrivals uint64) *wire.DemandSummary {
	p := &wire.PoolDemand{Pool: kindModel + "/" + testModel}
	for i := range uint32(5) {
		p.Classes = append(p.Classes, &wire.ClassDemand{
			Class: fmt.Sprint("class-", i), Rank: i + 1, Tier: 2, Arrivals: arrivals, Dispatches: arrivals, Queued: 20, Running: 60, OccupancyMs: 500,
		})
	}
	for i := range uint32(32) {
		p.Organisations = append(p.Organisations, &wire.OrganisationDemand{Organisation: fmt.Sprint("org-", i), Tier: 2, Queued: 3, Running: 9})
	}
	return &wire.DemandSummary{EntriesHeard: 39, EntriesKnown: 39, AgeMs: 250, Pools: []*wire.PoolDemand{p}}
}

// BenchmarkDemandReport measures the sample of an entry's demand, ten times a second.
func BenchmarkDemandReport(b *testing.B) {
	for _, live := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint("live=", live), func(b *testing.B) {
			h := fleetBench(b, live)
			b.ReportAllocs()
			for b.Loop() {
				if len(h.s.DemandReport()) != 1 {
					b.Fatal("no report")
				}
			}
		})
	}
}

// BenchmarkFleetDemand measures the use of a summary, twice a second.
func BenchmarkFleetDemand(b *testing.B) {
	h := fleetBench(b, 300)
	summary := benchSummary(0)
	b.ReportAllocs()
	for b.Loop() {
		h.now = h.now.Add(500 * time.Millisecond)
		h.s.Step(h.now, FleetDemand{Summary: summary, At: h.now})
	}
}

// BenchmarkFleetForecast measures the forecast for a request that arrives.
func BenchmarkFleetForecast(b *testing.B) {
	h := fleetBench(b, 300)
	h.s.Step(h.now, FleetDemand{Summary: benchSummary(0), At: h.now})
	r := h.s.requests["r7"]
	others := h.s.fleet.pools[r.pool.key.poolName()]
	b.ReportAllocs()
	for b.Loop() {
		h.s.forecastOverFleet(r, others)
	}
}
