package sched

import (
	"time"

	"github.com/carawaypitch/carawaypitch/result"
)

// Parameters of holding.
const (
	// forecastInterval is the time between two forecasts of a queued request.
	forecastInterval = 250 * time.Millisecond
	// abandonMarginShare is the share of the silence after which a caller leaves that is kept as a margin: for the
	// network, and because the caller counts from before its request arrived here.
	abandonMarginShare = 0.1
	// holdSafety is the factor by which the forecast wait of a request must fit into the time that its caller waits for it
	// to be held. A caller that is refused at once can still retry; one that is held in vain has lost that time.
	holdSafety = 1.5
	// onTimeSafety is the factor by which the forecast wait must fit before the objective for a request to be queued as on time.
	// Half of the requests whose mean wait just fits would miss it, and be held in vain.
	onTimeSafety = 1.4
	// endangeredAfter is the part of its caller's patience after which a promised request keeps requests of lower classes from
	// being queued ahead of it.
	endangeredAfter = 0.4
	// maxUnfavourable is the number of successive unfavourable forecasts after which a held request is refused. The rate left
	// for late requests is a small difference of large ones, so that single forecasts vary.
	maxUnfavourable = 4
	// lateRank is added to the rank of late requests, which makes them go after those that may be in time and those that
	// were overdue as they arrived.
	lateRank = 2 * overdueRank
	// latePrecedence is added to the precedence that gates receive for late requests. It is larger than any that operators
	// set.
	latePrecedence = 1 << 16
	// lateReservedDivisor is the fraction of the bound on reservations that late requests may have in addition to it.
	lateReservedDivisor = 4
)

// Outcomes of requests that were forecast to be late, as labels of Count with Forecasts.
const (
	forecastRefusedAtOnce = "refused_at_once"
	forecastServedLate    = "served_late"
	forecastHeldInVain    = "held_in_vain"
)

// ForecastOutcomes returns all labels of the counter Forecasts.
func ForecastOutcomes() []string {
	return []string{forecastRefusedAtOnce, forecastServedLate, forecastHeldInVain}
}

// mayHold reports whether a request may be queued past its objective. Callers of a stream whose tolerance isn't known are
// given up at the objective, and a class that tolerates lateness rather than loss is queued past it in any case.
func (s *Scheduler) mayHold(r *request) bool {
	return s.options.Forecast && !r.Objective.IsZero() && !r.mayBeLate && (!r.Stream || r.Abandon > 0)
}

// latestBegin returns when the request must begin at the latest for its caller to get the answer: before the caller of a
// stream leaves, and so that the answer can end before the deadline.
func (r *request) latestBegin() time.Time {
	latest := r.Deadline.Add(-r.expectedRun)
	if r.Stream && r.Abandon > 0 {
		patience := time.Duration((1 - abandonMarginShare) * float64(r.Abandon))
		latest = earliest(latest, r.Arrived.Add(patience-r.expectedFirst))
	}
	return latest
}

// expectRun sets the expected time until the first event and until the end of the answer, 0 while unknown.
func (s *Scheduler) expectRun(r *request) {
	if r.hasEstimate() && s.prefillRateKnown(r) {
		r.expectedFirst, r.expectedRun = s.bestTimeToFirstEvent(r), s.bestRunTime(r)
	}
}

// admitByForecast decides on a request that arrives without room: it is queued as on time, held as late, or refused.
// decided is false if nothing can be forecast.
func (s *Scheduler) admitByForecast(r *request) (err *result.Error, decided bool) {
	if !s.mayHold(r) || r.pool.withRoom > 0 {
		return nil, false
	}
	s.expectRun(r)
	onTime := s.noteForecast(r, false)
	if !onTime.known {
		return nil, false
	}
	if s.options.FleetDemand {
		s.emit(Count{Counter: ForecastViews, Label: r.forecastView, Add: 1})
	}
	if onTime.fleet {
		return s.admitByFleet(r, onTime), true
	}
	endangered := s.endangersPromised(r)
	if !endangered && s.beginsOnTime(r, onTime) || (onTime.passing || r.Overdue) && s.beginsSafely(r, onTime) {
		return nil, true
	}
	late := s.noteForecast(r, true)
	switch {
	case s.beginsSafely(r, late):
		s.startHold(r)
		return nil, true
	case s.feasibleWithoutLowerTiers(r):
		return nil, true
	}
	s.countForecast(r, forecastRefusedAtOnce)
	return result.New(result.CannotFinishInTime, "it would not begin in the %d ms that its caller waits",
		r.latestBegin().Sub(s.now).Milliseconds()), true
}

// endangersPromised reports whether the request would be queued ahead of a promised one of a higher class that has used much of
// its caller's patience. Otherwise requests that are each expected to be in time would go ahead of it until its caller leaves.
func (s *Scheduler) endangersPromised(r *request) bool {
	for _, load := range r.pool.load.classes {
		if tierIndex(load.class.spec.GetTier()) != r.tier || load.class.precedence() >= r.class.precedence() {
			continue
		}
		for _, p := range load.promised {
			patience := p.latestBegin().Sub(p.Arrived)
			if s.now.Sub(p.Arrived) > time.Duration(endangeredAfter*float64(patience)) {
				return true
			}
		}
	}
	return false
}

// noteForecast forecasts the wait and records it for the log.
func (s *Scheduler) noteForecast(r *request, late bool) forecast {
	f := s.forecastWait(r, late)
	if f.known {
		r.forecastWait = f.wait
	}
	return f
}

// beginsSafely reports whether the request is expected to begin while its caller waits, with a margin for the error of the
// forecast.
func (s *Scheduler) beginsSafely(r *request, f forecast) bool {
	return s.now.Add(time.Duration(holdSafety * float64(f.wait))).Before(r.latestBegin())
}

// beginsOnTime reports whether the first event is expected by the objective.
func (s *Scheduler) beginsOnTime(r *request, f forecast) bool {
	return s.now.Add(time.Duration(onTimeSafety*float64(f.wait)) + r.expectedFirst).Before(r.dueAt())
}

// startHold makes a request late.
func (s *Scheduler) startHold(r *request) {
	r.heldAt = s.now
	s.setLate(r, true)
}

// setLate moves a request between those that may be in time and those that are late. Gates that have a reservation of it
// are told.
func (s *Scheduler) setLate(r *request, late bool) {
	if r.late == late {
		return
	}
	r.unfavourable = 0
	if r.queue == nil {
		r.late = late
		return
	}
	servers := make([]*server, 0, len(r.reservations))
	for _, res := range r.reservations {
		servers = append(servers, res.server)
	}
	s.removeFromQueue(r)
	r.late, r.promised = late, true
	s.addToQueue(r)
	if late && len(servers) > 0 && r.pool.lateReserved[r.tier] > s.maxLateReserved(r.pool) {
		s.withdrawAll(r)
		s.reservationLost(r)
		return
	}
	for _, v := range servers {
		s.sendReserve(r, v)
	}
}

// maxLateReserved returns how many late requests of a tier of the pool may have reservations, besides those that may be in
// time.
func (s *Scheduler) maxLateReserved(p *pool) int {
	return max(1, s.maxReserved(p)/lateReservedDivisor)
}

// reservedCount returns the counter of requests with reservations that the request belongs to.
func (r *request) reservedCount() *int {
	if r.late || r.excess {
		return &r.pool.lateReserved[r.tier]
	}
	return &r.pool.reserved[r.tier]
}

// mayReserveMore reports whether the request may have reservations, given the bounds. Requests of tier 1 that may be in
// time are exempt.
func (s *Scheduler) mayReserveMore(r *request) bool {
	if r.late || r.excess {
		return r.pool.lateReserved[r.tier] < s.maxLateReserved(r.pool)
	}
	return r.tier == 0 || r.pool.reserved[r.tier] < s.maxReserved(r.pool)
}

// forecastDue returns when the wait is forecast next, zero for a request that may not be held.
func (s *Scheduler) forecastDue(r *request) time.Time {
	if r.queue == nil || r.reached > 0 || !s.mayHold(r) || r.wouldRefuse {
		return time.Time{}
	}
	return r.forecastAt
}

// forecastAgain repeats the forecast of a queued request, and refuses it if it isn't expected to begin while its caller
// waits.
func (s *Scheduler) forecastAgain(r *request) {
	r.forecastAt = s.now.Add(forecastInterval)
	if s.now.Before(r.dueAt()) {
		f := s.noteForecast(r, false)
		if f.known && s.beginsOnTime(r, f) {
			s.setLate(r, false)
		}
		if !r.late {
			return
		}
	}
	late := s.noteForecast(r, true)
	if !late.known {
		return
	}
	if s.now.Add(late.wait).Before(r.latestBegin()) {
		r.unfavourable = 0
		if !r.late {
			s.startHold(r)
		}
		return
	}
	r.unfavourable++
	if r.unfavourable >= maxUnfavourable && s.mayRefuse(r) {
		s.refuse(r, result.New(result.CannotFinishInTime, "it is no longer expected to begin while its caller waits"))
	}
}

// holdPastObjective makes a request late whose objective has come and which is expected to begin while its caller waits.
// It reports whether it did.
func (s *Scheduler) holdPastObjective(r *request) bool {
	if s.usesFleetView(r.pool) {
		return false
	}
	if r.late || r.queue == nil || !r.objectiveApplies() || !s.mayHold(r) || !s.now.Before(r.latestBegin()) {
		return false
	}
	r.promised = true
	f := s.noteForecast(r, true)
	if !f.known || !s.now.Add(f.wait).Before(r.latestBegin()) {
		return false
	}
	s.startHold(r)
	return true
}

// timelyFor returns a request of the late request's tier that may be in time and also has a reservation at the server, or
// nil.
func (s *Scheduler) timelyFor(r *request, v *server) *request {
	if !r.late && !r.excess {
		return nil
	}
	s.scan++
	best := r.pool.tiers[r.tier].next(s.now, s.scan, false)
	if best != nil && !best.late && !best.excess && best.state == reserved && best.hasReservationAt(v) {
		return best
	}
	return nil
}

// heldFor returns how long the request has been held as a late one.
func (r *request) heldFor(now time.Time) time.Duration {
	switch {
	case r.heldAt.IsZero():
		return 0
	case !r.heldUntil.IsZero():
		return r.heldUntil.Sub(r.heldAt)
	default:
		return now.Sub(r.heldAt)
	}
}

// holdEnded records the end of holding, by a dispatch or by the end of the request.
func (s *Scheduler) holdEnded(r *request, outcome string) {
	if !r.late || !r.heldUntil.IsZero() {
		return
	}
	r.heldUntil = s.now
	s.countForecast(r, outcome)
}

func (s *Scheduler) countForecast(r *request, outcome string) {
	s.emit(Count{Counter: Forecasts, Tier: r.Class.GetTier(), Class: r.Class.GetName(), Label: outcome, Add: 1})
}
