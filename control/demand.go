package control

import (
	"fmt"
	"time"

	"github.com/carawaypitch/carawaypitch/demand"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// recordDemand records the demand that came with a poll and returns the sums of the other entries. It returns nil for a poll
// without a report: an entry that doesn't report gets no summary.
func (s *session) recordDemand(report *wire.DemandReport, now time.Time) *wire.DemandSummary {
	if report == nil || s.client.role != wire.Role_ROLE_ENTRY {
		return nil
	}
	c := s.control
	from := demand.Incarnation{Instance: s.client.instance, Number: s.hello.GetIncarnation()}
	outcome := c.demand.Record(from, report, now)
	c.counters.demandReport(outcome).Inc()
	if outcome != demand.Recorded {
		return nil
	}
	others := 0
	c.machine.read(func(st *state.State) {
		others = st.EntryCount()
		if st.Entry(from.Instance) != nil {
			others--
		}
	})
	return c.demand.Summary(from, others, now)
}

func addDemandMetrics(c *Control) {
	c.options.Metrics.GetOrCreateGauge("carawaypitch_demand_entries_heard", func() float64 { return float64(c.demand.Heard(time.Now())) })
}

func demandReportsMetric(outcome demand.Outcome) string {
	return fmt.Sprintf("carawaypitch_demand_reports_total{outcome=%q}", outcome)
}
