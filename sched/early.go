package sched

import (
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
)

// refuseBeforeStop refuses a request that a stopping entry would probably have to cut.
//
// A stopping entry goes on taking requests until balancers have noticed. A long stream that it takes then is cut in the
// middle when the process ends, which its caller only sees seconds later; refused at once, it is sent to another entry.
func (s *Scheduler) refuseBeforeStop(r *request) *result.Error {
	known := r.certain() || r.MaxTokens > 0
	if r.EntryStopsBy.IsZero() || !known {
		return nil
	}
	most := s.predictWait(r) + s.longestRun(r)
	if s.now.Add(time.Duration(stopMargin * float64(most))).Before(r.EntryStopsBy) {
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
	if r.pool.isAway() && !s.now.Add(s.leastBacklog(r)).Before(r.due()) {
		return result.New(result.ServerBackoff, "")
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

// before is how many requests of the lane go before or beside one that is overdue, or not.
func (l *lane) before(overdue bool, now time.Time) int {
	if overdue {
		return l.length()
	}
	cut := now.Add(overdueRank / 2)
	return l.plain.below(cut) + l.reserved.below(cut)
}

// around counts what is queued in classes that go before the request's, and beside it.
func (t *tierQueue) around(r *request, now time.Time) (first int, b beside) {
	precedence := r.precedence()
	var seen []string
	for _, c := range t.classes {
		other := c.class.precedence()
		for _, l := range c.lanes {
			switch {
			case other < precedence:
				first += l.length()
				continue
			case other > precedence:
				continue
			}
			waiting := l.before(r.Overdue, now)
			b.requests += waiting
			if l.organisation == r.Organisation {
				b.own += waiting
			}
			if !slices.Contains(seen, l.organisation) {
				seen = append(seen, l.organisation)
			}
		}
	}
	b.organisations = len(seen)
	return first, b
}

// leastBacklog is the shortest time after which a gate would probably start a request of r's tier. A server that asked to keep
// away counts: where all of them did, that is how long to wait.
func (s *Scheduler) leastBacklog(r *request) time.Duration {
	least := time.Duration(-1)
	for _, v := range r.pool.servers {
		if d := v.backlogFor(r.tier); v.isSound() && (least < 0 || d < least) {
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
	for _, v := range s.sample(r, s.options.SampledServers, s.canReserve) {
		if d := s.runAt(r, v, max(v.room.GetDecodeTokensPerS(), defaultDecodeRate)); best < 0 || d < best {
			best = d
		}
	}
	return max(best, 0)
}

// bestRun is how long the request takes at the server that is fastest for it.
func (s *Scheduler) bestRun(r *request) time.Duration {
	best := time.Duration(-1)
	for _, v := range s.sample(r, s.options.SampledServers, s.canReserve) {
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
	for _, v := range s.sample(r, s.options.SampledServers, s.canReserve) {
		if d := s.startAt(r, v); best < 0 || d < best {
			best = d
		}
	}
	return max(best, 0)
}
