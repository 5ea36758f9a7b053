package sched

import (
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Refusals.
const (
	// maxRefusals bounds how many gates a request of a lower tier is tried at. Tier 1 is tried until its deadline.
	maxRefusals = 8
	// Back-off after a refusal when no server has room.
	backOffFirst = 5 * time.Millisecond
	backOffMost  = 200 * time.Millisecond
	// Bounds of the advice when to come back.
	retryAfterLeast = 50 * time.Millisecond
	retryAfterMost  = 10 * time.Second
	// returnShare is the part of a pool's pace that is planned for those who come back; new requests take the rest.
	returnShare = 0.5
	// returnsLeast is the least pace of returns, a second, where a pool's own isn't known.
	returnsLeast = 5
	// stopMargin is how many times its predicted time a request must have left at an entry that stops. Streams took over
	// half longer than predicted for the fastest server; a refusal costs one more try at another entry.
	stopMargin = 2
)

// mayRefuse tells whether a queued request may be refused for want of room. A lower tier always may. Tier 1 may only
// with fresh evidence that no lower tier runs or waits anywhere in its pool; without it, it queues.
//
// A load report lags: by the last one the pool may look full of tier 1 while a gate is just starting tier 3 work. A
// gate check refused then would have been shed while lower-tier work is served.
func (s *Scheduler) mayRefuse(r *request) bool {
	if r.tier > 0 {
		return true
	}
	return !r.pool.lowerQueued() && s.onlyTierOne(r.pool)
}

func (p *pool) lowerQueued() bool {
	for tier := 1; tier < tierCount; tier++ {
		if p.tiers[tier].count > 0 {
			return true
		}
	}
	return false
}

// onlyTierOne tells whether every server of the pool has said lately that nothing but tier 1 runs or waits there. A
// server that says nothing is no evidence, nor is a pool without servers.
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

// giveUp refuses a request that is about to be dispatched and can't finish in time even so, and tells whether it
// did. Its prefill would be wasted.
func (s *Scheduler) giveUp(r *request, v *server) bool {
	if s.options.Policy != PolicyTargets || r.mayBeLate || !r.certain() || !s.showsPace(r, v) || r.ran() != result.RanNo {
		return false
	}
	if s.now.Add(s.estimateRun(r, v)).Before(r.Deadline) || !s.mayRefuse(r) || s.lowerGivesWay(r) {
		return false
	}
	s.refuse(r, result.New(result.CannotFinishInTime, ""))
	return true
}

// refuseRetry ends a request that gates have refused too often, or whose time is up.
func (s *Scheduler) refuseRetry(r *request) *result.Error {
	if r.callerGone && !r.wanted() {
		return result.New(result.CallerLeft, "")
	}
	if r.arrivals > 0 && !s.takeRetry(r) {
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

// backOff has a refused request wait a little if no server has room for it. With room elsewhere it goes there at
// once; without, its reservations wait at gates that haven't refused it.
func (s *Scheduler) backOff(r *request) {
	if r.record().proof != wire.Proof_PROOF_NEVER_STARTED {
		s.avoidFailed(r)
		return
	}
	if !s.anySuits(r) {
		s.rest(r)
	}
}

// avoidFailed keeps a request away from the server that its last attempt ended badly at, where another one suits.
//
// A backend server that fails a part of its requests while it answers probes would get the retry as well, since the
// failure has just freed a place there; the caller's one more attempt is spent on the same fault.
func (s *Scheduler) avoidFailed(r *request) {
	r.avoid = append(r.avoid[:0], r.record().server)
	if s.options.Policy != PolicyTargets || !s.anySuits(r) {
		r.avoid = r.avoid[:0]
	}
}

// rest keeps a request that every server has refused out of the queue for a moment, and then lets it try them all
// again, under a number that none of them has a tombstone for.
func (s *Scheduler) rest(r *request) {
	s.pull(r)
	r.avoid = r.avoid[:0]
	r.number++
	r.notBefore = s.now.Add(s.jitter(min(backOffFirst<<min(r.refusals, maxRefusals), backOffMost)))
	s.setWake(r)
}

// stuck looks at a queued request that no server can take now: its operation record may need more servers, or every
// server may have refused it.
func (s *Scheduler) stuck(r *request) {
	s.widenIfGone(r)
	refused := len(r.avoid) > 0 && len(r.reservations) == 0 && !r.widen.asked
	if refused && !s.anySuits(r) {
		s.rest(r)
	}
}

func (s *Scheduler) anySuits(r *request) bool {
	return slices.ContainsFunc(r.pool.servers, func(v *server) bool { return s.canReserve(r, v) })
}

// avoidServer keeps a request away from a server that has just refused it.
func (r *request) avoidServer(name string) {
	if !slices.Contains(r.avoid, name) {
		r.avoid = append(r.avoid, name)
	}
}

// jitter spreads d over a half more or less, so that those refused together don't come back together.
func (s *Scheduler) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.random.Int64N(int64(d)+1))
}

// retryAfter is the advice when to come back: after what waits now, and after those who were told to come back before,
// at the pace at which the pool has room for them.
//
// Were everybody told the time that the queue takes now, all who are refused in a burst would come back together, to be
// refused together once more.
func (s *Scheduler) retryAfter(r *request) time.Duration {
	p := r.pool
	earliest := s.now.Add(s.predictWait(r))
	if p.returnAt.Before(earliest) {
		p.returnAt = earliest
	}
	gap := time.Duration(float64(time.Second) / max(returnShare*p.drain.value(s.now), returnsLeast))
	p.returnAt = p.returnAt.Add(gap)
	if p.returnAt.Sub(s.now) > retryAfterMost {
		p.returnAt = s.now.Add(retryAfterMost)
	}
	return max(p.returnAt.Sub(s.now), retryAfterLeast)
}
