package sched

import "time"

// Kinds of backend server, as used by classes and servers.
const (
	kindModel   = "model"
	kindService = "service"
)

// maxSkipped bounds the queued requests that one scan skips because no server with room suits them.
const maxSkipped = 32

// maxRoundsPerStep bounds the rounds over changed pools in one Step.
const maxRoundsPerStep = 16

// poolKey identifies what requests are for.
type poolKey struct {
	kind   string
	target string
}

// pool holds the queue for one model or service and the servers that have it.
type pool struct {
	key          poolKey
	tiers        [tierCount]tierQueue
	servers      []*server      // sorted by name
	withRoom     int            // servers that are ready and have room
	ready        int            // servers that are ready
	reserved     [tierCount]int // queued requests with reservations, by tier
	requests     int            // live requests, queued or not
	dirty        bool
	dispatchRate rate           // dispatches per second
	arrivalRate  rate           // requests per second
	classes      []*class       // classes that requests arrived in
	lateReserved [tierCount]int // late and excess requests with reservations, by tier; not in reserved
	load         poolLoad
	shortAt      [tierCount]time.Time     // when requests of the tier waited last, by the fleet-wide view
	excess       [tierCount][]excessShare // organisations that hold more than their share, by tier
	paces        poolPaces
	needFast     int       // queued requests that slow servers don't finish in time
	nextReturn   time.Time // latest time at which a refused caller was told to retry
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

// removeIfUnused removes a pool that nothing refers to. Without it a pool would remain for every target name that a
// caller invents.
func (s *Scheduler) removeIfUnused(p *pool) {
	if p.requests == 0 && len(p.servers) == 0 && !p.dirty {
		for tier := range tierCount {
			s.setExcess(p, tier, nil)
		}
		delete(s.pools, p.key)
	}
}

// inBackoff reports whether there is at least one healthy server and all healthy servers have requested back-off.
func (p *pool) inBackoff() bool {
	found := false
	for _, v := range p.servers {
		if v.isHealthy() && !v.inBackoff() {
			return false
		}
		found = found || v.isHealthy()
	}
	return found
}

// noteDispatch counts a dispatch of a request of this pool.
func (p *pool) noteDispatch(now time.Time) {
	p.dispatchRate.add(now)
}

// markDirty schedules the pool for the end of the current Step.
func (s *Scheduler) markDirty(p *pool) {
	if !p.dirty {
		p.dirty = true
		s.dirty = append(s.dirty, p)
	}
}

// addToQueue adds a request to its pool's queue, unless it is in back-off or already queued.
func (s *Scheduler) addToQueue(r *request) {
	if r.queue != nil || s.now.Before(r.notBefore) {
		return
	}
	// Its organisation may have come within its share during the back-off.
	r.excess = r.excess && r.pool.excessOf(r.tier, r.Organisation) != nil
	tier, class, organisation := s.queueKeys(r)
	t := &r.pool.tiers[tier]
	r.queue = t.organisationQueue(class, organisation)
	r.queue.listFor(r).add(r)
	*r.reservedCount() += min(len(r.reservations), 1)
	r.pool.load.addPromised(r)
	s.countNeedFast(r)
	t.count++
	t.clock.Enter(organisation)
	s.queued[tier]++
	s.markDirty(r.pool)
}

// removeFromQueue removes a request from its pool's queue, if it is queued.
func (s *Scheduler) removeFromQueue(r *request) {
	if r.queue == nil {
		return
	}
	q := r.queue
	t := q.class.tier
	q.listFor(r).remove(r)
	if len(r.reservations) > 0 {
		*r.reservedCount()--
	}
	r.pool.load.removePromised(r)
	r.uncountNeedFast()
	r.queue = nil
	t.count--
	t.clock.Leave(q.organisation)
	s.queued[r.queueTier(s)]--
	if q.empty() {
		t.removeEmpty(q)
	}
	s.markDirty(r.pool)
}

// overdueRank is added to the rank of overdue requests. It is longer than any deadline, so that they go last.
const overdueRank = 24 * time.Hour

// queueKeys sets the request's rank and returns the tier, class and organisation by which the policy queues it. The
// baseline policies order by arrival only.
func (s *Scheduler) queueKeys(r *request) (tier int, c *class, organisation string) {
	if s.options.Policy != PolicyTargets {
		r.rank = r.Arrived
		return 0, s.classes[baselineClass], ""
	}
	r.rank = r.dueAt()
	if r.late {
		r.rank = r.Arrived.Add(lateRank)
	}
	if r.Overdue {
		r.rank = r.rank.Add(overdueRank)
	}
	if r.Origin != nil {
		r.rank = r.rank.Add(-resumptionLead)
	}
	if r.excess {
		r.rank = r.dueAt().Add(excessRank)
	}
	return r.tier, r.class, r.Organisation
}

func (r *request) queueTier(s *Scheduler) int {
	if s.options.Policy != PolicyTargets {
		return 0
	}
	return r.tier
}

// schedulePools dispatches and reserves what it can in the pools that changed, the highest tier first over all
// pools, since one server may belong to several. That marks pools as changed again. The rounds are bounded, so that
// a fault here costs some time with each event rather than blocking the entry forever; the remaining pools wait for
// the next event.
func (s *Scheduler) schedulePools() {
	for round := 0; len(s.dirty) > 0 && round < maxRoundsPerStep; round++ {
		s.dirty, s.scheduling = s.scheduling[:0], s.dirty
		for _, p := range s.scheduling {
			p.dirty = false
		}
		s.scheduleRound(s.scheduling)
		for _, p := range s.scheduling {
			s.removeIfUnused(p)
		}
	}
}

func (s *Scheduler) scheduleRound(pools []*pool) {
	for tier := range tierCount {
		for _, p := range pools {
			s.dispatchQueued(p, tier)
		}
	}
	if s.options.Policy != PolicyTargets {
		return
	}
	for tier := range tierCount {
		for _, p := range pools {
			s.reserveQueued(p, tier)
		}
	}
}

// dispatchQueued dispatches to servers that have advertised room.
func (s *Scheduler) dispatchQueued(p *pool, tier int) {
	s.scan++
	skipped := 0
	for (p.withRoom > 0 || s.exposureHasRoom(p)) && skipped < maxSkipped {
		r := p.tiers[tier].next(s.now, s.scan, false)
		if r == nil {
			return
		}
		to := s.chooseServer(r)
		switch {
		case to == nil:
			r.lastScan = s.scan
			skipped++
			if p.withRoom > 0 {
				s.handleUnplaceable(r)
			}
		case p.has(to) && s.refuseIfTooLate(r, to):
		default:
			r.lastScan = s.scan
			r.promote()
			s.dispatch(r, to, false)
		}
	}
}

// reserveQueued places reservations for the requests that are next. The number of requests of a tier with
// reservations is bounded, so that messages and the gates' queues don't grow with a backlog; tier 1 is exempt. The
// bound is per tier, so that a lower tier can show the gates the demand of its organisations while a higher one
// waits.
func (s *Scheduler) reserveQueued(p *pool, tier int) {
	if p.ready == 0 {
		return
	}
	s.scan++
	skipped := 0
	for skipped < maxSkipped {
		r := p.tiers[tier].next(s.now, s.scan, true)
		if r == nil || !s.mayReserveMore(r) {
			return
		}
		r.lastScan = s.scan
		if !s.reserve(r) {
			skipped++
			s.handleUnplaceable(r)
		}
	}
}

// maxReserved returns how many requests of a tier of the pool may have reservations.
func (s *Scheduler) maxReserved(p *pool) int {
	return max(1, p.ready*s.options.ReservationsPerServer/s.options.Reservations)
}
