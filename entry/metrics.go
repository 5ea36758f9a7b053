package entry

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/carawaypitch/carawaypitch/holding"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Names of the entry's metrics.
const (
	metricRefusals        = "carawaypitch_refusals_total"
	metricRetries         = "carawaypitch_retries_total"
	metricRetriesRefused  = "carawaypitch_retries_refused_total"
	metricGoodput         = "carawaypitch_goodput_total"
	metricLate            = "carawaypitch_late_total"
	metricLost            = "carawaypitch_lost_total"
	metricWastedPrefill   = "carawaypitch_wasted_prefill_tokens_total"
	metricServedTokens    = "carawaypitch_served_tokens_total"
	metricChartErrors     = "carawaypitch_chart_errors_total"
	metricLinksLost       = "carawaypitch_links_lost_total"
	metricDialsFailed     = "carawaypitch_link_dials_failed_total"
	metricMessagesDropped = "carawaypitch_link_dropped_total"
	metricProofs          = "carawaypitch_engine_proofs_total"
	metricCommits         = "carawaypitch_operation_commits_total"
	metricForecasts       = "carawaypitch_forecasts_total"       // requests forecast to be late, by outcome
	metricPlacements      = "carawaypitch_placements_total"      // requests placed by length, by reason
	metricCutAtDeadline   = "carawaypitch_cut_at_deadline_total" // answers that ran until their deadline, by speed of the server
	metricHeld            = "carawaypitch_held_requests"         // queued requests that will begin late, by class and organisation; as of the last sample
	metricRingRefused     = "carawaypitch_ring_refused_total"
	metricRingLength      = "carawaypitch_ring_length"
	metricActive          = "carawaypitch_active_calls"
	metricConnections     = "carawaypitch_connections"                   // callers' connections, by the phase of their request
	metricTurnedAway      = "carawaypitch_connections_turned_away_total" // closed unread, by reason
	metricConnectionWait  = "carawaypitch_connection_wait_seconds"       // from the acceptance of a connection until it is read; histogram
	metricBodyTime        = "carawaypitch_body_seconds"                  // from the arrival of a head until the body was read; histogram by class
	metricBodyBytes       = "carawaypitch_body_bytes"
	metricFirstEvent      = "carawaypitch_first_event_seconds"               // from arrival; histogram by tier
	metricAnswer          = "carawaypitch_answer_seconds"                    // from arrival to the complete answer; histogram by tier
	metricShareMoves      = "carawaypitch_share_moves_total"                 // proposals to move shares of usage caps, by outcome
	metricShareUnits      = "carawaypitch_cap_share_units"                   // units that this entry may use in any window, by organisation
	metricOutboxRetries   = `carawaypitch_retries_total{reason="report"}`    // proposals of the outbox that are retried
	metricOutboxRefused   = `carawaypitch_ring_refused_total{ring="outbox"}` // items rejected by a full outbox
	metricRolloutSends    = "carawaypitch_rollout_sends_total"               // requests sent to pools with a roll-out in progress, by pool and role
	metricRolloutAnswers  = "carawaypitch_rollout_answers_total"             // answers and failures of these, by pool and role
	metricRolloutBad      = "carawaypitch_rollout_bad_answers_total"         // failures and slow answers among them, by pool and role
	metricRolloutWithheld = "carawaypitch_rollout_withheld_total"            // offers declined because of a server's version, by pool and role
	metricForecastViews   = "carawaypitch_forecast_views_total"              // forecasts on arrival, by the view that they used
	metricOverShare       = "carawaypitch_over_share_total"                  // times that an organisation exceeded its share of a pool
	metricFleetHeard      = "carawaypitch_fleet_demand_entries_heard"        // other entries in the last summary of demand
	metricFleetKnown      = "carawaypitch_fleet_demand_entries_known"        // other entries that are registered, by the same summary
	metricFleetAge        = "carawaypitch_fleet_demand_age_seconds"          // age of the reports in that summary
	metricMemoryHeld      = "carawaypitch_memory_held_bytes"                 // held for callers, by kind
	metricMemoryByOrg     = "carawaypitch_memory_organisation_bytes"         // held for callers, by organisation; as of the last check
	metricCallsEnded      = "carawaypitch_memory_calls_ended_total"          // calls ended by this process, by cause
	metricCreditsRepeated = "carawaypitch_memory_credits_repeated_total"     // credits sent again because an agent may wait for them
	metricResumed         = "carawaypitch_stream_resumptions_total"          // requests that resume a stream, by who knew its version
	metricRoomAge         = "carawaypitch_room_age_seconds"                  // age of the oldest room report of a ready server, as of the last completed request
)

// meter holds the metrics of one entry. It uses a separate metrics.Set, so that several daemons can run in one process.
type meter struct {
	set         *metrics.Set
	classCounts *classCounters
	held        map[string]bool // names of the gauges of held requests that aren't 0
	heldBytes   map[string]bool // organisations whose gauges of held bytes aren't 0
}

func newMeter() *meter {
	return &meter{set: metrics.NewSet(), classCounts: newClassCounters(), held: map[string]bool{}, heldBytes: map[string]bool{}}
}

// registerGauges registers the gauges.
func (m *meter) registerGauges(e *Entry) {
	m.set.NewGauge(metricRingRefused+`{ring="scheduler"}`, func() float64 { return float64(e.inputs.Refused()) })
	m.set.NewGauge(metricRingLength+`{ring="scheduler"}`, func() float64 { return float64(e.inputs.Len()) })
	m.set.NewGauge(metricActive, func() float64 { return float64(e.active.Load()) })
	for phase := phaseIdle; phase < requestPhases; phase++ {
		m.set.NewGauge(fmt.Sprintf("%s{phase=%q}", metricConnections, phase), func() float64 { return float64(e.requests.inPhase(phase)) })
	}
	m.set.NewGauge(metricBodyBytes, func() float64 { return float64(e.bodyBytes.Load()) })
	for _, reason := range []turnAwayReason{turnAwayProcessor, turnAwayScheduler} {
		m.add(fmt.Sprintf("%s{reason=%q}", metricTurnedAway, reason), 0)
	}
	m.registerDemandGauges(e)
	if e.memory != nil {
		for _, kind := range holding.Kinds() {
			m.set.NewGauge(fmt.Sprintf(`%s{kind=%q}`, metricMemoryHeld, kind), func() float64 { return float64(e.memory.heldOf(kind)) })
		}
		for _, cause := range []endCause{endedForReading, endedForMemory} {
			m.add(fmt.Sprintf(`%s{cause=%q}`, metricCallsEnded, cause), 0)
		}
		m.add(metricCreditsRepeated, 0)
	}
	m.set.GetOrCreateGauge(`carawaypitch_config_version`, func() float64 { return float64(e.catalogue.Load().version) })
}

func (m *meter) add(name string, n uint64) {
	m.set.GetOrCreateCounter(name).AddInt64(int64(n))
}

// count adds a count reported by the scheduler.
func (m *meter) count(c sched.Count) {
	m.classCounts.add(c)
	tier := strconv.FormatUint(uint64(c.Tier), 10)
	label := strconv.Quote(c.Label)
	class := strconv.Quote(c.Class)
	switch c.Counter {
	case sched.Refusals:
		m.add(fmt.Sprintf(`%s{code="%d",tier="%s"}`, metricRefusals, c.Code, tier), c.Add)
	case sched.Retries:
		m.add(fmt.Sprintf(`%s{reason=%s}`, metricRetries, label), c.Add)
	case sched.RetriesRefused:
		m.add(fmt.Sprintf(`%s{reason=%s}`, metricRetriesRefused, label), c.Add)
	case sched.Goodput:
		m.add(fmt.Sprintf(`%s{tier="%s",class=%s}`, metricGoodput, tier, class), c.Add)
	case sched.Late:
		m.add(fmt.Sprintf(`%s{tier="%s",class=%s}`, metricLate, tier, class), c.Add)
	case sched.Lost:
		m.add(fmt.Sprintf(`%s{tier="%s",class=%s}`, metricLost, tier, class), c.Add)
	case sched.WastedPrefill:
		m.add(fmt.Sprintf(`%s{cause=%s}`, metricWastedPrefill, label), c.Add)
	case sched.ServedTokens:
		m.add(fmt.Sprintf(`%s{organisation=%s,tier="%s"}`, metricServedTokens, label, tier), c.Add)
	case sched.RolloutSends:
		m.addRollout(metricRolloutSends, c)
	case sched.RolloutAnswers:
		m.addRollout(metricRolloutAnswers, c)
	case sched.RolloutBad:
		m.addRollout(metricRolloutBad, c)
	case sched.RolloutWithheld:
		m.addRollout(metricRolloutWithheld, c)
	case sched.Forecasts:
		m.add(fmt.Sprintf(`%s{outcome=%s,tier="%s",class=%s}`, metricForecasts, label, tier, class), c.Add)
	case sched.ForecastViews:
		m.add(fmt.Sprintf(`%s{view=%s}`, metricForecastViews, label), c.Add)
	case sched.OverShare:
		m.add(fmt.Sprintf(`%s{organisation=%s,tier="%s"}`, metricOverShare, label, tier), c.Add)
	case sched.Placements:
		m.add(fmt.Sprintf(`%s{reason=%s,tier="%s",class=%s}`, metricPlacements, label, tier, class), c.Add)
	case sched.CutAtDeadline:
		m.add(fmt.Sprintf(`%s{speed=%s,tier="%s",class=%s}`, metricCutAtDeadline, label, tier, class), c.Add)
	case sched.ChartErrors:
		m.add(fmt.Sprintf(`%s{reason=%s}`, metricChartErrors, label), c.Add)
	}
}

func (m *meter) addRollout(name string, c sched.Count) {
	m.add(fmt.Sprintf(`%s{pool=%s,role=%s}`, name, strconv.Quote(c.Pool), strconv.Quote(c.Label)), c.Add)
}

// setHeld sets the gauges of held requests. It may be called by the scheduler goroutine only.
func (m *meter) setHeld(counts []sched.HeldCount) {
	earlier := m.held
	m.held = map[string]bool{}
	for _, c := range counts {
		name := fmt.Sprintf(`%s{class=%s,organisation=%s}`, metricHeld, strconv.Quote(c.Class), strconv.Quote(c.Organisation))
		m.set.GetOrCreateGauge(name, nil).Set(float64(c.Requests))
		m.held[name] = true
		delete(earlier, name)
	}
	for name := range earlier {
		m.set.GetOrCreateGauge(name, nil).Set(0)
	}
}

// setHeldByOrganisation sets the gauges of what is held by organisation. It may be called by one goroutine only.
func (m *meter) setHeldByOrganisation(held map[string]int64) {
	earlier := m.heldBytes
	m.heldBytes = map[string]bool{}
	for organisation, n := range held {
		if n == 0 {
			continue
		}
		m.set.GetOrCreateGauge(fmt.Sprintf(`%s{organisation=%q}`, metricMemoryByOrg, organisation), nil).Set(float64(n))
		m.heldBytes[organisation] = true
		delete(earlier, organisation)
	}
	for organisation := range earlier {
		m.set.GetOrCreateGauge(fmt.Sprintf(`%s{organisation=%q}`, metricMemoryByOrg, organisation), nil).Set(0)
	}
}

// countCallEnded counts a call that this process ended.
func (m *meter) countCallEnded(cause endCause) {
	m.add(fmt.Sprintf(`%s{cause=%q}`, metricCallsEnded, cause), 1)
}

// countRefusal counts a refusal by the entry itself. Refusals by the scheduler are included in its own counts.
func (m *meter) countRefusal(code result.Code, tier uint32) {
	m.count(sched.Count{Counter: sched.Refusals, Code: code, Tier: tier, Add: 1})
}

// observeAnswer records the durations of an answered request.
// observeBody counts how long the body of a request took from the arrival of its head.
func (m *meter) observeBody(r *sched.Request) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("%s{class=%q}", metricBodyTime, r.Class.GetName())).Update(r.Read.Sub(r.Arrived).Seconds())
}

func (m *meter) observeAnswer(t sched.Trace, took time.Duration) {
	label := fmt.Sprintf(`{tier="%d"}`, t.Tier)
	m.set.GetOrCreateHistogram(metricAnswer + label).Update(took.Seconds())
	if t.FirstEventAfter > 0 {
		m.set.GetOrCreateHistogram(metricFirstEvent + label).Update(t.FirstEventAfter.Seconds())
	}
	m.set.GetOrCreateGauge(metricRoomAge, nil).Set(t.RoomAge.Seconds())
}

// Metrics returns the entry's metrics.
func (e *Entry) Metrics() *metrics.Set { return e.meter.set }

func (m *meter) countLostLink()       { m.add(metricLinksLost, 1) }
func (m *meter) countFailedDial()     { m.add(metricDialsFailed, 1) }
func (m *meter) countDroppedMessage() { m.add(metricMessagesDropped, 1) }

func (m *meter) countProof(proof wire.Proof) {
	m.add(fmt.Sprintf(`%s{proof=%q}`, metricProofs, proof), 1)
}

func (m *meter) countCommit(kind, outcome string) {
	m.add(fmt.Sprintf(`%s{kind=%q,outcome=%q}`, metricCommits, kind, outcome), 1)
}

// countShareMove counts a proposal to move shares, and sets the gauges of the shares held after it.
func (m *meter) countShareMove(res *wire.CommandResult, err error) {
	outcome := "applied"
	switch {
	case err != nil:
		outcome = "unknown"
	case res.GetCode() != 0:
		outcome = "refused"
	}
	m.add(fmt.Sprintf(`%s{outcome="%s"}`, metricShareMoves, outcome), 1)
	for _, share := range res.GetShares() {
		name := fmt.Sprintf(`%s{organisation=%s}`, metricShareUnits, strconv.Quote(share.GetOrganisation()))
		m.set.GetOrCreateGauge(name, nil).Set(float64(share.GetUnits()))
	}
}
