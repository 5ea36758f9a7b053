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
		if v.room == nil || s.now.Sub(v.roomAt) > s.options.EvidenceAge {
			return false
		}
		if v.room.GetLowestRunningTier() > 1 || v.room.GetLowestWaitingTier() > 1 {
			return false
		}
	}
	return len(p.servers) > 0
}

// refuseBeforeStop refuses a request that a stopping entry would probably have to cut.
//
// A stopping entry goes on taking requests until balancers have noticed. A long stream that it takes then is cut in the
// middle when the process ends, which its caller only sees seconds later; refused at once, it is sent to another entry.
func (s *Scheduler) refuseBeforeStop(r *request) *result.Error {
	known := r.certain() || r.MaxTokens > 0
	if r.EndBy.IsZero() || !known {
		return nil
	}
	most := s.predictWait(r) + s.longestRun(r)
	if s.now.Add(time.Duration(stopMargin * float64(most))).Before(r.EndBy) {
		return nil
	}
	return result.New(result.Stopping, "the request would probably outlast the process")
}

// longestRun is how long the request takes at the server that is fastest for it, if its answer is as long as its caller
// allows.
func (s *Scheduler) longestRun(r *request) time.Duration {
	longest := *r
	longest.outputs = max(r.outputs, r.MaxTokens)
	return s.bestRun(&longest)
}

// refuseEarly refuses a request on arrival that can't be served in time, before any prefill is spent on it. A class
// that tolerates lateness rather than loss waits instead.
func (s *Scheduler) refuseEarly(r *request) *result.Error {
	if s.options.Policy != PolicyTargets || r.mayBeLate {
		return nil
	}
	if r.tier == 0 && (r.Objective.IsZero() || !s.mayRefuse(r)) {
		return nil
	}
	if s.directory && len(r.pool.servers) == 0 {
		return result.New(result.NoServer, "").WithRetryAfter(retryAfterNoServer)
	}
	if !r.certain() || !s.paceKnown(r) {
		return nil
	}
	if s.mayBeServed(r) || s.lowerGivesWay(r) {
		return nil
	}
	return result.New(result.CannotFinishInTime, "")
}

// mayBeServed tells whether a request that arrives now will probably end before its deadline and, where it has to wait for
// room, begin before its objective.
//
// With room there is nothing to wait for: an answer that begins late is worth more to its caller than a refusal, and takes
// nobody's place. The longest prompts, which no server computes within the objective, were refused on idle servers, to
// come back and be refused again.
func (s *Scheduler) mayBeServed(r *request) bool {
	wait := s.predictWait(r)
	if !s.now.Add(wait + s.bestRun(r)).Before(r.Deadline) {
		return false
	}
	return r.pool.roomy > 0 || s.now.Add(wait+s.bestStart(r)).Before(r.due())
}

// paceKnown tells whether any server that may have the request has shown how fast it computes prompts. Nobody is refused on
// the strength of an assumed pace: after a restart of all agents long prompts seemed to take half a minute.
func (s *Scheduler) paceKnown(r *request) bool {
	return slices.ContainsFunc(r.pool.servers, func(v *server) bool { return v.ready && s.showsPace(r, v) })
}

func (s *Scheduler) showsPace(r *request, v *server) bool {
	return r.pool.key.kind == kindService || v.room.GetPrefillTokensPerS() > 0
}

// retryAfterNoServer is the advice while no server has the target.
const retryAfterNoServer = time.Second

// predictWait is how long a request that arrives now would probably wait in the queue.
func (s *Scheduler) predictWait(r *request) time.Duration {
	if r.pool.roomy > 0 {
		return 0
	}
	ahead := s.aheadOf(r)
	if ahead == 0 {
		return s.leastBacklog(r)
	}
	perSecond := r.pool.drain.value(s.now)
	if perSecond <= 0 {
		return s.leastBacklog(r)
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// aheadOf is how many queued requests probably go first: all of higher tiers and of its own tier's classes that go
// first, and of the classes beside its own no more than the equal shares let go before it.
func (s *Scheduler) aheadOf(r *request) int {
	ahead := 0
	for tier := 0; tier < r.tier; tier++ {
		ahead += r.pool.tiers[tier].count
	}
	first, beside := r.pool.tiers[r.tier].around(r, s.now)
	return ahead + first + min(beside.requests, (beside.own+1)*max(beside.organisations, 1))
}

// beside is what is queued in the classes that a request shares its place in the order with.
type beside struct {
	requests      int
	own           int // of the request's organisation
	organisations int
}

// around counts what is queued in classes that go before the request's, and beside it.
func (t *tierQueue) around(r *request, now time.Time) (first int, b beside) {
	precedence := r.class.precedence(now)
	var seen []string
	for _, c := range t.classes {
		other := c.class.precedence(now)
		for _, l := range c.lanes {
			switch {
			case other < precedence:
				first += l.length()
				continue
			case other > precedence:
				continue
			}
			b.requests += l.length()
			if l.organisation == r.Organisation {
				b.own += l.length()
			}
			if !slices.Contains(seen, l.organisation) {
				seen = append(seen, l.organisation)
			}
		}
	}
	b.organisations = len(seen)
	return first, b
}

// leastBacklog is the shortest time after which a gate would probably start a request of r's tier.
func (s *Scheduler) leastBacklog(r *request) time.Duration {
	least := time.Duration(-1)
	for _, v := range r.pool.servers {
		if d := v.backlogFor(r.tier); v.ready && (least < 0 || d < least) {
			least = d
		}
	}
	return max(least, 0)
}

// backlogFor is how long a request of the tier waits at least at the server, as far as its gate's last word tells. A
// backlog that lower tiers have a part in tells nothing: the request goes before them.
//
// Without it requests are refused because they can't finish in time while work of lower tiers is served.
func (v *server) backlogFor(tier int) time.Duration {
	if v.room.GetLowestWaitingTier() > 0 && tierIndex(v.room.GetLowestWaitingTier()) > tier {
		return 0
	}
	return time.Duration(v.room.GetBacklogMs()) * time.Millisecond
}

// lowerGivesWay tells whether a request that can't finish in time at the present pace could at an idle server, while
// work of a lower tier is served in its pool. That work gives way to it at the gates, which see more and decide.
//
// Without it a tier is shed while a lower one is served: the lower one's prompts slow the engines down, and at that
// pace the higher one is refused.
func (s *Scheduler) lowerGivesWay(r *request) bool {
	return s.lowerServed(r) && s.now.Add(s.idleRun(r)).Before(r.Deadline)
}

// lowerServed tells whether a server of the pool says that work of a lower tier runs or waits there.
func (s *Scheduler) lowerServed(r *request) bool {
	return slices.ContainsFunc(r.pool.servers, func(v *server) bool {
		lowest := max(v.room.GetLowestRunningTier(), v.room.GetLowestWaitingTier())
		return v.ready && lowest > 0 && tierIndex(lowest) > r.tier
	})
}

// idleRun is how long the request takes at the fastest server if nothing else runs there.
func (s *Scheduler) idleRun(r *request) time.Duration {
	best := time.Duration(-1)
	for _, v := range s.sample(r, s.options.Choices, s.canReserve) {
		if d := s.runAt(r, v, max(v.room.GetDecodeTokensPerS(), defaultDecodeRate)); best < 0 || d < best {
			best = d
		}
	}
	return max(best, 0)
}

// bestRun is how long the request takes at the server that is fastest for it.
func (s *Scheduler) bestRun(r *request) time.Duration {
	best := time.Duration(-1)
	for _, v := range s.sample(r, s.options.Choices, s.canReserve) {
		if d := s.estimateRun(r, v); best < 0 || d < best {
			best = d
		}
	}
	return max(best, 0)
}

// bestStart is how long after its dispatch the first event probably comes, at the server that is fastest for that; 0 for
// a request whose whole answer is due at its deadline.
func (s *Scheduler) bestStart(r *request) time.Duration {
	if r.Objective.IsZero() {
		return 0
	}
	if r.pool.key.kind == kindService {
		return s.bestRun(r)
	}
	best := time.Duration(-1)
	for _, v := range s.sample(r, s.options.Choices, s.canReserve) {
		if d := s.startAt(r, v); best < 0 || d < best {
			best = d
		}
	}
	return max(best, 0)
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
