package demand

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/wire"
)

// benchOrganisations is the number of organisations of the largest deployment.
const benchOrganisations = 220

// benchReport returns the report of an entry with a pool of five classes and requests of 30 of the organisations.
func benchReport(entry int, sequence uint64) *wire.DemandReport {
	p := &wire.PoolDemand{Pool: "model/kw-tiles-1"}
	for c := range uint64(5) {
		p.Classes = append(p.Classes, &wire.ClassDemand{
			Class: fmt.Sprintf("r-%05d", c), Rank: uint32(c + 1), Tier: 2, Arrivals: 100_000 + sequence, Dispatches: 90_000 + sequence,
			Refusals: 10_000, Queued: uint32(c), Running: 3, OccupancyMs: 700,
		})
	}
	for i := range 30 {
		p.Organisations = append(p.Organisations, &wire.OrganisationDemand{
			Organisation: fmt.Sprintf("org%04d", (entry*7+i*11)%benchOrganisations), Tier: 2, Queued: uint32(i % 3), Running: 1,
		})
	}
	return &wire.DemandReport{Sequence: sequence, Pools: Trim([]*wire.PoolDemand{p})}
}

func benchLedger(entries int) *Ledger {
	l := NewLedger()
	for i := range entries {
		l.Record(entry(i), benchReport(i, 1), start)
	}
	return l
}

// BenchmarkExchange measures what a report and its answer cost a control instance, by the number of entries, and prints their sizes.
func BenchmarkExchange(b *testing.B) {
	for _, entries := range []int{40, 120, 390} {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			l := benchLedger(entries)
			now := start
			// Each entry reports twice a second.
			step := 500 * time.Millisecond / time.Duration(entries)
			var reports [2]*wire.DemandReport
			var summary *wire.DemandSummary
			for i := range reports {
				reports[i] = benchReport(0, uint64(i))
			}
			b.ReportAllocs()
			sequence := uint64(1)
			for b.Loop() {
				i := int(sequence) % entries
				sequence++
				now = now.Add(step)
				r := reports[sequence%2]
				r.Sequence = sequence
				if l.Record(entry(i), r, now) != Recorded {
					b.Fatal("not recorded")
				}
				summary = l.Summary(entry(i), entries-1, now)
			}
			b.ReportMetric(float64(proto.Size(reports[0])), "report-bytes")
			b.ReportMetric(float64(proto.Size(summary)), "answer-bytes")
		})
	}
}
