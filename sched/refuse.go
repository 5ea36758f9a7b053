package sched

import (
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Bounds of refusals.
const (
	// maxRefusals bounds the gates that may refuse a request of a lower tier. Tier 1 is retried until its deadline.
	maxRefusals = 8
	// Back-off after a refusal while no server has room.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// Bounds of the advised retry delay.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// returnShare is the fraction of a pool's dispatch rate that is planned for callers that retry; new requests
	// get the rest.
	returnShare = 0.5
	// minReturnRate is the planned rate of retrying callers, per second, while the pool's dispatch rate is unknown
	// or low.
	minReturnRate = 5
	// stopMargin is the multiple of its estimated time that a request must have left at a stopping entry. Streams
	// can take more than half longer than estimated for the fastest server; a refusal costs one more try at another
	// entry.
	stopMargin = 2
)

// mayRefuse reports whether a queued request may be refused for lack of capacity. A lower tier always may. Tier 1
// may only with current reports that no lower tier runs or waits anywhere in its pool; without them it stays
// queued.
//
// Load reports are delayed: by the last one the pool may look full of tier 1 while a gate is just starting work of
// tier 3. A request of tier 1 refused then would have been shed while lower tiers are served.
func (s *Scheduler) mayRefuse(r *request) bool {
	if r.tier > 0 {
		return true
	}
	return !r.pool.lowerTierQueued() && s.onlyTierOne(r.pool)
}

func (p *pool) lowerTierQueued() bool {
	for tier := 1; tier < tierCount; tier++ {
		if p.tiers[tier].count > 0 {
			return true
		}
	}
	return false
}

// onlyTierOne reports whether every server of the pool has reported, within Options.MaxRoomAge, that only tier 1
// runs and waits there. It is false if a server hasn't, or if the pool has no servers.
func (s *Scheduler) onlyTierOne(p *pool) bool {
	for _, v := range p.servers {
		if v.room == nil || s.now.Sub(v.roomAt) > s.options.MaxRoomAge {
			return false
		}
		if v.room.GetLowestRunningTier() > 1 || v.room.GetLowestWaitingTier() > 1 {
			return false
		}
	}
	return len(p.servers) > 0
}

// refuseIfTooLate refuses a request that is about to be dispatched but can't finish in time, since its prefill
// would be wasted. It reports whether it did.
func (s *Scheduler) refuseIfTooLate(r *request, v *server) bool {
	if s.options.Policy != PolicyTargets || r.mayBeLate || !s.mayRefuseByEstimate(r) || !s.reportsPrefillRate(r, v) || r.ran() != result.RanNo {
		return false
	}
	if s.now.Add(s.estimateRunTime(r, v)).Before(r.Deadline) || !s.mayRefuse(r) || s.feasibleWithoutLowerTiers(r) {
		return false
	}
	s.refuse(r, result.New(result.CannotFinishInTime, ""))
	return true
}

// refuseRetry returns why a request may not be tried again: gates have refused it too often, the retry budget is
// used up, or its caller left. It returns nil if it may.
func (s *Scheduler) refuseRetry(r *request) *result.Error {
	if r.callerGone && !r.wanted() {
		return result.New(result.CallerLeft, "")
	}
	if !s.chargeRetry(r) {
		return r.lastErr
	}
	if r.refusals < maxRefusals || r.mayBeLate || !s.mayRefuse(r) || s.options.Policy != PolicyTargets {
		return nil
	}
	if r.lastErr != nil {
		return r.lastErr
	}
	return result.New(result.RefusedNeverStarted, "")
}

// backOffIfRefused delays a request that was refused, if every suitable server has refused it. Otherwise it is sent
// to another one with room at once, or reserves at gates that haven't refused it. After any other end of an attempt
// it calls avoidFailed.
func (s *Scheduler) backOffIfRefused(r *request) {
	if r.currentRecord().proof != wire.Proof_PROOF_NEVER_STARTED {
		s.avoidFailed(r)
		return
	}
	if !s.anyServerSuits(r) {
		s.startBackoff(r)
	}
}

// avoidFailed excludes the server at which the last attempt failed, if another one suits.
//
// A backend server that fails some of its requests but answers probes would otherwise get the retry as well, since
// the failure has just freed a slot there, and the retry would be spent on the same fault.
func (s *Scheduler) avoidFailed(r *request) {
	r.avoided = append(r.avoided[:0], r.currentRecord().server)
	if s.options.Policy != PolicyTargets || !s.anyServerSuits(r) {
		r.avoided = r.avoided[:0]
	}
}

// startBackoff removes a request that every server has refused from the queue for a short time. It may then be sent
// to all of them again, under an attempt number for which no gate has a tombstone.
func (s *Scheduler) startBackoff(r *request) {
	s.removeFromQueue(r)
	r.avoided = r.avoided[:0]
	r.lastNumber++
	r.notBefore = s.now.Add(s.jitter(min(minBackoff<<min(r.refusals, maxRefusals), maxBackoff)))
	s.setTimer(r)
}

// handleUnplaceable handles a queued request that no server can take: its operation record may need more servers,
// or every server may have refused it.
func (s *Scheduler) handleUnplaceable(r *request) {
	s.widenIfUnavailable(r)
	refused := len(r.avoided) > 0 && len(r.reservations) == 0 && !r.widen.asked
	if refused && !s.anyServerSuits(r) {
		s.startBackoff(r)
	}
}

func (s *Scheduler) anyServerSuits(r *request) bool {
	defer s.endChoice(s.beginChoice(r))
	return slices.ContainsFunc(r.pool.servers, func(v *server) bool { return s.canReserve(r, v) })
}

// avoidServer excludes a server that has just refused the request.
func (r *request) avoidServer(name string) {
	if !slices.Contains(r.avoided, name) {
		r.avoided = append(r.avoided, name)
	}
}

// jitter returns a random duration between half of d and one and a half of d, so that requests refused together
// don't retry together.
func (s *Scheduler) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.random.Int64N(int64(d)+1))
}

// retryAfter returns the advised retry delay: after the requests that wait, and after the callers advised before,
// at the rate at which the pool gains room for them.
//
// If all were told the current queueing time, all callers refused in a burst would retry together and be refused
// together again.
func (s *Scheduler) retryAfter(r *request) time.Duration {
	if advice, ok := s.adviseByForecast(r); ok {
		return advice
	}
	p := r.pool
	earliest := s.now.Add(s.predictWait(r))
	if p.nextReturn.Before(earliest) {
		p.nextReturn = earliest
	}
	gap := time.Duration(float64(time.Second) / max(returnShare*p.dispatchRate.value(s.now), minReturnRate))
	p.nextReturn = p.nextReturn.Add(gap)
	if p.nextReturn.Sub(s.now) > maxRetryAfter {
		p.nextReturn = s.now.Add(maxRetryAfter)
	}
	return max(p.nextReturn.Sub(s.now), minRetryAfter)
}
