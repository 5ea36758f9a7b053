package entry

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Names of the entry's metrics.
const (
	metricRefusals      = "carawaypitch_refusals_total"
	metricRetries       = "carawaypitch_retries_total"
	metricGoodput       = "carawaypitch_goodput_total"
	metricLate          = "carawaypitch_late_total"
	metricLost          = "carawaypitch_lost_total"
	metricWasted        = "carawaypitch_wasted_prefill_tokens_total"
	metricServed        = "carawaypitch_served_tokens_total"
	metricChartErrors   = "carawaypitch_chart_errors_total"
	metricLinksLost     = "carawaypitch_links_lost_total"
	metricDialsFailed   = "carawaypitch_link_dials_failed_total"
	metricDropped       = "carawaypitch_link_dropped_total"
	metricProofs        = "carawaypitch_engine_proofs_total"
	metricCommits       = "carawaypitch_operation_commits_total"
	metricRingRefused   = "carawaypitch_ring_refused_total"
	metricRingLength    = "carawaypitch_ring_length"
	metricActive        = "carawaypitch_active_calls"
	metricBodyBytes     = "carawaypitch_body_bytes"
	metricFirstEvent    = "carawaypitch_first_event_seconds"               // from arrival; histogram by tier
	metricAnswer        = "carawaypitch_answer_seconds"                    // from arrival to the whole answer; histogram by tier
	metricMoves         = "carawaypitch_share_moves_total"                 // proposals to move shares of usage caps, by outcome
	metricShare         = "carawaypitch_cap_share_units"                   // that this entry may use in any window, by organisation
	metricOutboxRetries = `carawaypitch_retries_total{reason="report"}`    // proposals of the outbox that are tried again
	metricOutboxRefused = `carawaypitch_ring_refused_total{ring="outbox"}` // items that met a full outbox
	metricRoomAge       = "carawaypitch_room_age_seconds"                  // of the oldest word of a ready server, as of the last end
)

// meter holds one entry's metrics. It has a set of its own, so that several daemons fit in one process.
type meter struct {
	set   *metrics.Set
	tally *tally
}

func newMeter() *meter {
	return &meter{set: metrics.NewSet(), tally: newTally()}
}

// watch adds the gauges.
func (m *meter) watch(e *Entry) {
	m.set.NewGauge(metricRingRefused+`{ring="scheduler"}`, func() float64 { return float64(e.inputs.Refused()) })
	m.set.NewGauge(metricRingLength+`{ring="scheduler"}`, func() float64 { return float64(e.inputs.Len()) })
	m.set.NewGauge(metricActive, func() float64 { return float64(e.active.Load()) })
	m.set.NewGauge(metricBodyBytes, func() float64 { return float64(e.bodyBytes.Load()) })
	m.set.GetOrCreateGauge(`carawaypitch_config_version`, func() float64 { return float64(e.view.Load().version) })
}

func (m *meter) add(name string, n uint64) {
	m.set.GetOrCreateCounter(name).AddInt64(int64(n))
}

// count adds what the scheduler counted.
func (m *meter) count(c sched.Count) {
	m.tally.add(c)
	tier := strconv.FormatUint(uint64(c.Tier), 10)
	label := strconv.Quote(c.Label)
	class := strconv.Quote(c.Class)
	switch c.Counter {
	case sched.Refusals:
		m.add(fmt.Sprintf(`%s{code="%d",tier="%s"}`, metricRefusals, c.Code, tier), c.Add)
	case sched.Retries:
		m.add(fmt.Sprintf(`%s{reason=%s}`, metricRetries, label), c.Add)
	case sched.Goodput:
		m.add(fmt.Sprintf(`%s{tier="%s",class=%s}`, metricGoodput, tier, class), c.Add)
	case sched.Late:
		m.add(fmt.Sprintf(`%s{tier="%s",class=%s}`, metricLate, tier, class), c.Add)
	case sched.Lost:
		m.add(fmt.Sprintf(`%s{tier="%s",class=%s}`, metricLost, tier, class), c.Add)
	case sched.WastedPrefill:
		m.add(fmt.Sprintf(`%s{cause=%s}`, metricWasted, label), c.Add)
	case sched.ServedTokens:
		m.add(fmt.Sprintf(`%s{organisation=%s,tier="%s"}`, metricServed, label, tier), c.Add)
	case sched.ChartErrors:
		m.add(fmt.Sprintf(`%s{reason=%s}`, metricChartErrors, label), c.Add)
	}
}

// refused counts a refusal of the entry itself. Those of the scheduler come with its own counts.
func (m *meter) refused(code result.Code, tier uint32) {
	m.count(sched.Count{Counter: sched.Refusals, Code: code, Tier: tier, Add: 1})
}

// ended takes the times of an answered request.
func (m *meter) ended(t sched.Trace, took time.Duration) {
	label := fmt.Sprintf(`{tier="%d"}`, t.Tier)
	m.set.GetOrCreateHistogram(metricAnswer + label).Update(took.Seconds())
	if t.FirstEventAfter > 0 {
		m.set.GetOrCreateHistogram(metricFirstEvent + label).Update(t.FirstEventAfter.Seconds())
	}
	m.set.GetOrCreateGauge(metricRoomAge, nil).Set(t.RoomAge.Seconds())
}

// Metrics returns the entry's metrics.
func (e *Entry) Metrics() *metrics.Set { return e.meter.set }

func (m *meter) linkLost()       { m.add(metricLinksLost, 1) }
func (m *meter) dialFailed()     { m.add(metricDialsFailed, 1) }
func (m *meter) messageDropped() { m.add(metricDropped, 1) }

func (m *meter) proved(proof wire.Proof) {
	m.add(fmt.Sprintf(`%s{proof=%q}`, metricProofs, proof), 1)
}

func (m *meter) committed(kind, outcome string) {
	m.add(fmt.Sprintf(`%s{kind=%q,outcome=%q}`, metricCommits, kind, outcome), 1)
}

// sharesMoved counts a proposal to move shares, and shows what is held after it.
func (m *meter) sharesMoved(res *wire.CommandResult, err error) {
	outcome := "applied"
	switch {
	case err != nil:
		outcome = "unknown"
	case res.GetCode() != 0:
		outcome = "refused"
	}
	m.add(fmt.Sprintf(`%s{outcome="%s"}`, metricMoves, outcome), 1)
	for _, share := range res.GetShares() {
		name := fmt.Sprintf(`%s{organisation=%s}`, metricShare, strconv.Quote(share.GetOrganisation()))
		m.set.GetOrCreateGauge(name, nil).Set(float64(share.GetUnits()))
	}
}
