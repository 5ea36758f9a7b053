package agent

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/holding"
	"github.com/carawaypitch/carawaypitch/result"
)

// Names of the agent's metrics. Refusals and tokens that entries count too, for the same requests, have names of their
// own here. Metrics are usually summed over all processes, and under a common name such a sum would count each token
// and each refusal twice: once where the gate decided and once where the caller was answered.
const (
	metricRefusals      = "carawaypitch_refusals_total"
	metricRetries       = "carawaypitch_retries_total"
	metricPreemptions   = "carawaypitch_preemptions_total"
	metricGateRefusals  = "carawaypitch_gate_refusals_total"
	metricWastedPrefill = "carawaypitch_gate_wasted_prefill_tokens_total"
	metricServedTokens  = "carawaypitch_gate_served_tokens_total"
	metricGateSuspended = "carawaypitch_gate_suspensions_total"
	metricGateResumes   = "carawaypitch_gate_resumes_total"
	metricLeases        = "carawaypitch_leases_expired_total"
	metricChartErrors   = "carawaypitch_chart_errors_total"
	metricRuns          = "carawaypitch_engine_runs_total"
	metricAnswers       = "carawaypitch_agent_answers_total" // by framing, how the body ended, and why
	metricCancels       = "carawaypitch_engine_cancels_total"
	metricOrders        = "carawaypitch_orders_total"
	metricRingRefused   = "carawaypitch_ring_refused_total"
	metricDropped       = "carawaypitch_link_dropped_total"
	metricPeersRefused  = "carawaypitch_link_peers_refused_total"
	metricDelayed       = "carawaypitch_link_delayed_total"
	metricCrashes       = "carawaypitch_server_crashes_total"
	metricAdvice        = "carawaypitch_server_advice_total"
	metricThrottled     = "carawaypitch_throttled_total"
	metricMalformed     = "carawaypitch_server_advice_malformed_total"
	metricMemoryHeld    = "carawaypitch_memory_held_bytes" // held for servers and entries, by kind
	metricWaitedRuns    = "carawaypitch_runs_waited_for_reader_total"
	metricSuspensions   = "carawaypitch_suspensions_total"          // by outcome
	metricSuspensionEnd = "carawaypitch_suspended_runs_ended_total" // by reason: resumed, or why not
	metricSuspended     = "carawaypitch_suspended_runs"             // suspended now
	metricSuspendedTime = "carawaypitch_suspended_seconds"          // histogram of the time that a run was suspended
)

// Reasons of retries, used as label values.
const (
	retryReport  = "report"
	retryRemove  = "remove"
	retryRecover = "recover"
	retryAdvice  = "advice"
)

// meter holds the metrics of one agent. Each has its own set, so that several daemons can run in one process.
type meter struct {
	set *metrics.Set
}

func newMeter() *meter {
	return &meter{set: metrics.NewSet()}
}

// registerHeld registers the gauges of what is held.
func (m *meter) registerHeld(h *held) {
	if h == nil {
		return
	}
	for _, kind := range holding.Kinds() {
		m.set.NewGauge(fmt.Sprintf(`%s{kind=%q}`, metricMemoryHeld, kind), func() float64 { return float64(h.ofKind(kind)) })
	}
}

func (m *meter) write(w io.Writer) {
	m.set.WritePrometheus(w)
}

func (m *meter) add(name string, n uint64) {
	m.set.GetOrCreateCounter(name).AddInt64(int64(n))
}

// count adds a count of a gate to its metric.
func (m *meter) count(c gate.Count) {
	tier := strconv.FormatUint(uint64(c.Tier), 10)
	label := strconv.Quote(c.Label)
	switch c.Counter {
	case gate.Refusals:
		m.add(fmt.Sprintf(`%s{code="%d",tier="%s"}`, metricGateRefusals, c.Code, tier), c.Add)
	case gate.Preemptions:
		m.add(fmt.Sprintf(`%s{tier="%s"}`, metricPreemptions, tier), c.Add)
	case gate.WastedPrefill:
		m.add(fmt.Sprintf(`%s{cause=%s}`, metricWastedPrefill, label), c.Add)
	case gate.ServedTokens:
		m.add(fmt.Sprintf(`%s{organisation=%s,tier="%s"}`, metricServedTokens, label, tier), c.Add)
	case gate.Suspensions:
		m.add(fmt.Sprintf(`%s{outcome=%s,tier="%s"}`, metricGateSuspended, label, tier), c.Add)
	case gate.Resumes:
		m.add(fmt.Sprintf(`%s{reason=%s,tier="%s"}`, metricGateResumes, label, tier), c.Add)
	case gate.LeasesExpired:
		m.add(metricLeases, c.Add)
	case gate.ChartErrors:
		m.add(fmt.Sprintf(`%s{reason=%s}`, metricChartErrors, label), c.Add)
	}
}

// refused counts a refusal by the agent itself.
func (m *meter) refused(code result.Code, tier uint32) {
	m.add(fmt.Sprintf(`%s{code="%d",tier="%d"}`, metricRefusals, code, tier), 1)
}

func (m *meter) retried(reason string) {
	m.add(fmt.Sprintf(`%s{reason=%q}`, metricRetries, reason), 1)
}

func (m *meter) runEnded(end string) {
	m.add(fmt.Sprintf(`%s{end=%q}`, metricRuns, end), 1)
}

// answered counts how the body of an answer ended, if there was one.
func (m *meter) answered(end framing.End) {
	if end.Framing != framing.None {
		m.add(fmt.Sprintf(`%s{framing=%q,body=%q,cause=%q}`, metricAnswers, end.Framing, end.Outcome, end.Cause), 1)
	}
}

// crashed counts a server whose process ended while it ran requests.
func (m *meter) crashed() {
	m.add(metricCrashes, 1)
}

// adviceChanged counts a change in a server's rate limit, backoff or draining state, by the route of the answer.
func (m *meter) adviceChanged(route backpressure.Route) {
	m.add(fmt.Sprintf(`%s{route=%q}`, metricAdvice, string(route)), 1)
}

// throttled counts an attempt that was held back because of a server's advice.
func (m *meter) throttled(reason backpressure.Reason) {
	m.add(fmt.Sprintf(`%s{reason=%q}`, metricThrottled, string(reason)), 1)
}

// malformedAdvice counts header fields of servers that can't be parsed.
func (m *meter) malformedAdvice(field string) {
	m.add(fmt.Sprintf(`%s{field=%q}`, metricMalformed, field), 1)
}

func (m *meter) cancelled(result string) {
	m.add(fmt.Sprintf(`%s{result=%q}`, metricCancels, result), 1)
}

func (m *meter) orderEnded(code result.Code) {
	m.add(fmt.Sprintf(`%s{code="%d"}`, metricOrders, code), 1)
}

func (m *meter) ringRefused(ring string) {
	m.add(fmt.Sprintf(`%s{ring=%q}`, metricRingRefused, ring), 1)
}

func (m *meter) dropped() {
	m.add(metricDropped, 1)
}

func (m *meter) delayed() {
	m.add(metricDelayed, 1)
}

// suspensionAnswered counts a suspension by its outcome.
func (m *meter) suspensionAnswered(outcome string) {
	m.add(fmt.Sprintf(`%s{outcome=%q}`, metricSuspensions, outcome), 1)
}

// suspendedRuns adds to the number of suspended runs.
func (m *meter) suspendedRuns(n float64) {
	m.set.GetOrCreateGauge(metricSuspended, nil).Add(n)
}

// suspensionEnded counts a run that is not suspended any more, and how long it was.
func (m *meter) suspensionEnded(reason string, took time.Duration) {
	m.add(fmt.Sprintf(`%s{reason=%q}`, metricSuspensionEnd, reason), 1)
	m.set.GetOrCreateHistogram(metricSuspendedTime).Update(took.Seconds())
}
