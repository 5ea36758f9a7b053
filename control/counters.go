package control

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/carawaypitch/carawaypitch/demand"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/state"
)

// counters holds the metrics of a control instance.
type counters struct {
	set              *metrics.Set
	slowSessions     *metrics.Counter
	instancesRemoved *metrics.Counter
	proposalsDelayed *metrics.Counter // until the next common round
	peersRefused     *metrics.Counter // connections without a certificate of this deployment
}

func newCounters(c *Control) counters {
	set := c.options.Metrics
	gauge := func(name string, value func() float64) { set.GetOrCreateGauge("carawaypitch_"+name, value) }
	gauge("config_version", func() float64 { v, _ := c.versions(); return float64(v) })
	gauge("directory_version", func() float64 { _, v := c.versions(); return float64(v) })
	gauge("leading", func() float64 { return boolToFloat(c.isLeader()) })
	gauge("term", func() float64 { return float64(c.replica.Status().Term) })
	gauge("operations", func() float64 { return float64(c.stateCounts().Operations) })
	gauge("operation_answer_bytes", func() float64 { return float64(c.stateCounts().AnswerBytes) })
	gauge("expired_keys", func() float64 { return float64(c.stateCounts().ExpiredKeys) })
	gauge("sessions", func() float64 { return float64(len(c.sessions.list())) })
	gauge("replica_syncs_total", func() float64 { return float64(c.replica.Status().Counters.Syncs) })
	gauge("replica_synced_bytes_total", func() float64 { return float64(c.replica.Status().Counters.SyncedBytes) })
	gauge("replica_log_bytes", func() float64 { return float64(c.replica.Status().LogBytes) })
	addRolloutGauges(c)
	addDemandMetrics(c)
	return counters{
		set:              set,
		slowSessions:     set.GetOrCreateCounter("carawaypitch_sessions_ended_total{reason=\"slow\"}"),
		peersRefused:     set.GetOrCreateCounter("carawaypitch_link_peers_refused_total"),
		proposalsDelayed: set.GetOrCreateCounter("carawaypitch_proposals_delayed_total"),
		instancesRemoved: set.GetOrCreateCounter("carawaypitch_instances_removed_total"),
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (c *Control) stateCounts() (counts state.Counts) {
	c.machine.read(func(s *state.State) { counts = s.Counts() })
	return counts
}

func (c *counters) readRounds(confirmed bool) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("carawaypitch_read_rounds_total{confirmed=%q}", fmt.Sprint(confirmed)))
}

func (c *counters) proposalFailed(code result.Code) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("carawaypitch_proposals_failed_total{code=\"%d\"}", code))
}

func (c *counters) demandReport(outcome demand.Outcome) *metrics.Counter {
	return c.set.GetOrCreateCounter(demandReportsMetric(outcome))
}

// originQuery counts questions for the version that began a stream.
func (c *counters) originQuery(known bool) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("carawaypitch_stream_origin_queries_total{known=\"%t\"}", known))
}

func (c *counters) orderEnded(code result.Code) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("carawaypitch_orders_ended_total{code=\"%d\"}", code))
}

// refused counts a refusal to an operator under the same metric as refusals to callers.
func (c *counters) refused(code result.Code) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("carawaypitch_refusals_total{code=\"%d\",tier=\"\"}", code))
}
