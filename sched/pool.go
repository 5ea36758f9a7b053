package sched

import (
	"slices"
	"time"
)

// Kinds of backend server, as classes and servers name them.
const (
	kindModel   = "model"
	kindService = "service"
)

// maxPassed bounds how many queued requests one walk passes over because no server with room suits them.
const maxPassed = 32

// maxRounds bounds how often one event has pools looked at.
const maxRounds = 16

// poolKey names what requests are for.
type poolKey struct {
	kind   string
	target string
}

// pool is the queue for one model or service and the servers that have it.
type pool struct {
	key      poolKey
	tiers    [tierCount]tierQueue
	servers  []*server      // sorted by name
	roomy    int            // servers that are ready and have room
	ready    int            // servers that are ready
	reserved [tierCount]int // queued requests with reservations, by tier
	live     int            // requests, queued or not
	dirty    bool
	drain    rate     // dispatches a second
	arrivals rate     // requests a second
	classes  []*class // that requests came of
	retries  retryWindow
	returnAt time.Time // when the last one who was told to come back does so
}

func (s *Scheduler) pool(key poolKey) *pool {
	p := s.pools[key]
	if p == nil {
		p = &pool{key: key}
		for tier := range p.tiers {
			p.tiers[tier].clock = s.clocks[tier]
		}
		s.pools[key] = p
	}
	return p
}

// forget drops a pool that nothing refers to. Without it every target that a caller makes up would stay.
func (s *Scheduler) forget(p *pool) {
	if p.live == 0 && len(p.servers) == 0 && !p.dirty {
		delete(s.pools, p.key)
	}
}

func (p *pool) anyResume() bool {
	return slices.ContainsFunc(p.servers, func(v *server) bool { return v.ready && v.room.GetResume() })
}

// isAway tells whether every sound server has asked to keep away for a while, of one at least.
func (p *pool) isAway() bool {
	found := false
	for _, v := range p.servers {
		if v.isSound() && !v.isAway() {
			return false
		}
		found = found || v.isSound()
	}
	return found
}

// left notes that a request of this pool was dispatched.
func (p *pool) left(now time.Time) {
	p.drain.add(now)
}

// touch has the pool looked at when the event is done.
func (s *Scheduler) touch(p *pool) {
	if !p.dirty {
		p.dirty = true
		s.dirty = append(s.dirty, p)
	}
}

// push puts a request into its pool's queue, unless it backs off.
func (s *Scheduler) push(r *request) {
	if r.lane != nil || s.now.Before(r.notBefore) {
		return
	}
	tier, class, organisation := s.order(r)
	q := &r.pool.tiers[tier]
	r.lane = q.lane(class, organisation)
	r.lane.part(r).add(r)
	q.count++
	q.clock.Enter(organisation)
	s.queued[tier]++
	s.touch(r.pool)
}

// pull takes a request out of its pool's queue.
func (s *Scheduler) pull(r *request) {
	if r.lane == nil {
		return
	}
	l := r.lane
	q := l.class.tier
	l.part(r).remove(r)
	if len(r.reservations) > 0 {
		r.pool.reserved[r.tier]--
	}
	r.lane = nil
	q.count--
	q.clock.Leave(l.organisation)
	s.queued[r.queueTier(s)]--
	if l.empty() {
		q.drop(l)
	}
	s.touch(r.pool)
}

// overdueRank puts a request behind all that aren't overdue: it is longer than any deadline.
const overdueRank = 24 * time.Hour

// order gives the places by which the policy orders a request: tier, class and organisation, and its rank within.
// The baselines know one order only, that of arrival.
func (s *Scheduler) order(r *request) (tier int, c *class, organisation string) {
	if s.options.Policy != PolicyTargets {
		r.rank = r.Arrived
		return 0, s.classes[baselineClass], ""
	}
	r.rank = r.due()
	if r.Overdue {
		r.rank = r.rank.Add(overdueRank)
	}
	return r.tier, r.class, r.Organisation
}

func (r *request) queueTier(s *Scheduler) int {
	if s.options.Policy != PolicyTargets {
		return 0
	}
	return r.tier
}

// pump gives out what can be given out now in the pools that changed, the highest tier first over all pools, since
// one server may belong to several. What it gives out changes pools again. The rounds are bounded, so that a mistake
// here costs a little time with each event and doesn't stop the entry for good; what is left waits for the next event.
func (s *Scheduler) pump() {
	for round := 0; len(s.dirty) > 0 && round < maxRounds; round++ {
		s.dirty, s.pumping = s.pumping[:0], s.dirty
		for _, p := range s.pumping {
			p.dirty = false
		}
		s.pumpOnce(s.pumping)
		for _, p := range s.pumping {
			s.forget(p)
		}
	}
}

func (s *Scheduler) pumpOnce(pools []*pool) {
	for tier := range tierCount {
		for _, p := range pools {
			s.pumpDirect(p, tier)
		}
	}
	if s.options.Policy != PolicyTargets {
		return
	}
	for tier := range tierCount {
		for _, p := range pools {
			s.pumpReserve(p, tier)
		}
	}
}

// pumpDirect dispatches to servers that have advertised room.
func (s *Scheduler) pumpDirect(p *pool, tier int) {
	s.mark++
	passed := 0
	for p.roomy > 0 && passed < maxPassed {
		r := p.tiers[tier].next(s.now, s.mark, false)
		if r == nil {
			return
		}
		to := s.choose(r)
		switch {
		case to == nil:
			r.mark = s.mark
			passed++
			s.stuck(r)
		case s.giveUp(r, to):
		default:
			r.mark = s.mark
			r.promote()
			s.dispatch(r, to, false)
		}
	}
}

// pumpReserve places reservations for the requests that are next. How many requests of a tier have some is bounded, so
// that the messages and the gates' queues don't grow with a backlog; tier 1 isn't held back by the bound. The bound is
// for each tier, so that a lower one can show the gates what its organisations want while a higher one waits.
func (s *Scheduler) pumpReserve(p *pool, tier int) {
	if p.ready == 0 {
		return
	}
	s.mark++
	passed := 0
	for passed < maxPassed && (tier == 0 || p.reserved[tier] < s.reserveBound(p)) {
		r := p.tiers[tier].next(s.now, s.mark, true)
		if r == nil {
			return
		}
		r.mark = s.mark
		if !s.reserve(r) {
			passed++
			s.stuck(r)
		}
	}
}

// reserveBound is how many requests of a tier of the pool may have reservations.
func (s *Scheduler) reserveBound(p *pool) int {
	return max(1, p.ready*s.options.ReservationsPerServer/s.options.Reservations)
}
