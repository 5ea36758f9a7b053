package sched

import (
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
)

// refuseBeforeStop refuses a request that would probably still run when a stopping entry exits.
//
// A stopping entry accepts requests until load balancers notice. A long stream accepted then would be cut when the
// process exits, seconds later for its caller; refused at once, it can be sent to another entry.
func (s *Scheduler) refuseBeforeStop(r *request) *result.Error {
	known := r.hasEstimate() || r.MaxTokens > 0
	if r.EntryStopsBy.IsZero() || !known {
		return nil
	}
	expected := s.predictWait(r) + s.longestRunTime(r)
	if s.now.Add(time.Duration(stopMargin * float64(expected))).Before(r.EntryStopsBy) {
		return nil
	}
	return result.New(result.Stopping, "the request would probably outlast the process")
}

// longestRunTime estimates the run time at the server that is fastest for the request, if its answer is as long as
// its caller allows.
func (s *Scheduler) longestRunTime(r *request) time.Duration {
	longest := *r
	longest.estimatedOutput = max(r.estimatedOutput, r.MaxTokens)
	return s.bestRunTime(&longest)
}

// refuseEarly refuses on arrival a request that can't be served in time, before any prefill is spent on it. A class
// that tolerates lateness rather than loss is queued instead.
func (s *Scheduler) refuseEarly(r *request) *result.Error {
	if s.options.Policy != PolicyTargets || r.mayBeLate {
		return nil
	}
	if r.tier == 0 && (r.Objective.IsZero() || !s.mayRefuse(r)) {
		return nil
	}
	if s.directoryReceived && len(r.pool.servers) == 0 {
		return result.New(result.NoServer, "").WithRetryAfter(retryAfterNoServer)
	}
	if r.pool.inBackoff() && !s.now.Add(s.shortestBacklog(r)).Before(r.dueAt()) {
		return result.New(result.ServerBackoff, "")
	}
	if err, decided := s.admitByForecast(r); decided {
		return err
	}
	if !s.mayRefuseByEstimate(r) || !s.prefillRateKnown(r) {
		return nil
	}
	if s.canMeetDeadline(r) || s.feasibleWithoutLowerTiers(r) {
		return nil
	}
	return result.New(result.CannotFinishInTime, "a wait of %d ms and %d ms at a server are expected, %d ms are left",
		s.predictWait(r).Milliseconds(), s.bestRunTime(r).Milliseconds(), r.dueAt().Sub(s.now).Milliseconds())
}

// canMeetDeadline reports whether a request that arrives now will probably end before its deadline and, if it has
// to wait for room, begin before its objective.
//
// With room available the objective doesn't matter: a late start is worth more to the caller than a refusal and
// takes no other request's slot. Otherwise the longest prompts, which no server can compute within the objective,
// would be refused by idle servers at every retry.
func (s *Scheduler) canMeetDeadline(r *request) bool {
	wait := s.predictWait(r)
	if !s.now.Add(wait + s.bestRunTime(r)).Before(r.Deadline) {
		return false
	}
	return r.pool.withRoom > 0 || s.now.Add(wait+s.bestTimeToFirstEvent(r)).Before(r.dueAt())
}

// prefillRateKnown reports whether any server that may have the request has reported its prefill rate. No request
// is refused on the default rate: after a restart of all agents it would predict half a minute for long prompts.
func (s *Scheduler) prefillRateKnown(r *request) bool {
	return slices.ContainsFunc(r.pool.servers, func(v *server) bool { return v.ready && s.reportsPrefillRate(r, v) })
}

func (s *Scheduler) reportsPrefillRate(r *request, v *server) bool {
	return r.pool.key.kind == kindService || v.room.GetPrefillTokensPerS() > 0
}

// retryAfterNoServer is the advised retry delay while no server has the target.
const retryAfterNoServer = time.Second

// predictWait estimates how long a request that arrives now would wait in the queue.
func (s *Scheduler) predictWait(r *request) time.Duration {
	if r.pool.withRoom > 0 {
		return 0
	}
	ahead := s.requestsAhead(r)
	if ahead == 0 {
		return s.shortestBacklog(r)
	}
	perSecond := r.pool.dispatchRate.value(s.now)
	if perSecond <= 0 {
		return s.shortestBacklog(r)
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// requestsAhead estimates how many queued requests go first: all of higher tiers, those of its own tier's classes
// that go first, and of classes in the same position no more than equal shares allow.
func (s *Scheduler) requestsAhead(r *request) int {
	ahead := 0
	for tier := 0; tier < r.tier; tier++ {
		ahead += r.pool.tiers[tier].count
	}
	first, peers := r.pool.tiers[r.tier].countAhead(r, s.now)
	return ahead + first + min(peers.requests, (peers.own+1)*max(peers.organisations, 1))
}

// peerClasses counts the requests queued in the classes that share a request's position in the order.
type peerClasses struct {
	requests      int
	own           int // of the request's organisation
	organisations int
}

// countBefore returns how many requests of the queue go before, or share the position of, an overdue or timely one.
func (q *organisationQueue) countBefore(overdue bool, now time.Time) int {
	if overdue {
		return q.length()
	}
	cutoff := now.Add(overdueRank / 2)
	return q.unreserved.countBefore(cutoff) + q.reserved.countBefore(cutoff)
}

// countAhead counts the requests queued in classes that go before the request's class, and in those at the same
// position.
func (t *tierQueue) countAhead(r *request, now time.Time) (first int, peers peerClasses) {
	precedence := r.precedence()
	var seen []string
	for _, c := range t.classes {
		other := c.class.precedence()
		for _, q := range c.organisations {
			switch {
			case other < precedence:
				first += q.length()
				continue
			case other > precedence:
				continue
			}
			waiting := q.countBefore(r.Overdue, now)
			peers.requests += waiting
			if q.organisation == r.Organisation {
				peers.own += waiting
			}
			if !slices.Contains(seen, q.organisation) {
				seen = append(seen, q.organisation)
			}
		}
	}
	peers.organisations = len(seen)
	return first, peers
}

// shortestBacklog returns the shortest time after which a gate would probably start a request of r's tier, 0
// without any server. Servers in back-off count: if all are, it is the time until one takes work again.
func (s *Scheduler) shortestBacklog(r *request) time.Duration {
	shortest := time.Duration(-1)
	for _, v := range r.pool.servers {
		if d := v.backlogFor(r.tier); v.isHealthy() && (shortest < 0 || d < shortest) {
			shortest = d
		}
	}
	return max(shortest, 0)
}

// backlogFor returns how long a request of the tier waits at the server at least, by its last report. A backlog
// that includes lower tiers says nothing, since the request goes before them: counting it would refuse requests as
// too late while lower tiers are served.
func (v *server) backlogFor(tier int) time.Duration {
	if v.room.GetLowestWaitingTier() > 0 && tierIndex(v.room.GetLowestWaitingTier()) > tier {
		return 0
	}
	return time.Duration(v.room.GetBacklogMs()) * time.Millisecond
}

// feasibleWithoutLowerTiers reports whether a request that can't finish in time at the current rate could on an
// idle server, while lower tiers are served in its pool. The gates, which have more information, then preempt that
// work.
//
// Otherwise a tier would be refused while a lower one is served: the long prompts of the lower tier slow the
// engines down, and at the slowed rate the higher tier can't finish in time.
func (s *Scheduler) feasibleWithoutLowerTiers(r *request) bool {
	return s.servesLowerTier(r) && s.now.Add(s.idleRunTime(r)).Before(r.Deadline)
}

// servesLowerTier reports whether a server of the pool reports running or waiting work of a lower tier.
func (s *Scheduler) servesLowerTier(r *request) bool {
	return slices.ContainsFunc(r.pool.servers, func(v *server) bool {
		lowest := max(v.room.GetLowestRunningTier(), v.room.GetLowestWaitingTier())
		return v.ready && lowest > 0 && tierIndex(lowest) > r.tier
	})
}

// idleRunTime estimates the run time at the fastest server if nothing else runs there.
func (s *Scheduler) idleRunTime(r *request) time.Duration {
	best := time.Duration(-1)
	for _, v := range s.sampleServers(r, s.options.SampledServers, s.canReserve) {
		if d := s.runTimeAt(r, v, max(v.room.GetDecodeTokensPerS(), defaultDecodeRate)); best < 0 || d < best {
			best = d
		}
	}
	return max(best, 0)
}

// bestRunTime estimates the run time at the server that is fastest for the request.
func (s *Scheduler) bestRunTime(r *request) time.Duration {
	best := time.Duration(-1)
	for _, v := range s.sampleServers(r, s.options.SampledServers, s.canReserve) {
		if d := s.estimateRunTime(r, v); best < 0 || d < best {
			best = d
		}
	}
	return max(best, 0)
}

// bestTimeToFirstEvent estimates the time from dispatch to what the objective is about at the server that is fastest for it: the
// first event of a stream, or the whole answer of a plain call. It is 0 for a request whose whole answer is due at its deadline, and
// for a service's stream while nothing is known of first events.
func (s *Scheduler) bestTimeToFirstEvent(r *request) time.Duration {
	if r.Objective.IsZero() {
		return 0
	}
	if r.pool.key.kind == kindService && r.Stream {
		return time.Duration(r.class.firstEventTimes.value(0)) * time.Microsecond
	}
	if r.pool.key.kind == kindService {
		return s.bestRunTime(r)
	}
	best := time.Duration(-1)
	for _, v := range s.sampleServers(r, s.options.SampledServers, s.canReserve) {
		if d := s.timeToFirstToken(r, v); best < 0 || d < best {
			best = d
		}
	}
	return max(best, 0)
}
