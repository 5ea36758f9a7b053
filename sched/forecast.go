package sched

import (
	"slices"
	"time"
)

// Parameters of the forecast.
const (
	// forecastWindow is the time over which the rates of the forecast decay. A burst lasts a few seconds, and an entry
	// has about 20 requests a second: a shorter window gives rates that vary by a third, a longer one hides the burst.
	forecastWindow = 1500 * time.Millisecond
	// forecastWarmup is the time after the first request of a pool before which nothing is forecast.
	forecastWarmup = 2 * time.Second
	// slotsMaxAge is the age up to which the number of slots held under load counts. After that the current number of
	// attempts is taken.
	slotsMaxAge = 5 * time.Second
	// slotsWeight is the weight of a new sample of the number of slots.
	slotsWeight = 0.1
	// occupancyWeight is the weight of a new sample of the time for which an attempt occupies a slot.
	occupancyWeight = 0.05
	// backlogWeight is the weight of a new sample of the backlog that requests find: an entry gets 5 to 15 requests of a class
	// a second, so that the mean follows a burst within a second.
	backlogWeight = 0.15
	// minFreeShare is the share of the slots below which higher ranks count as taking all of them: the difference of two
	// estimated rates is not known more precisely.
	minFreeShare = 0.03
	// passingMargin is the factor by which the load of a class must fit into what higher ranks leave to it for its backlog to
	// count as a passing one: at 7 requests of a class a second its rate is known to within a third.
	passingMargin = 1.5
	// neverWait is the forecast of a request that is not expected to begin.
	neverWait = time.Hour
)

// forecast is the expected time until a request begins. It is not known without enough evidence.
type forecast struct {
	wait  time.Duration
	known bool
	// passing reports whether the requests of the class that arrive need less than what higher ranks leave to it. Its backlog
	// is then a passing one, and a request that waits too long for its objective will begin soon after.
	passing bool
	// fleet reports whether the backlog and the slots of all entries were used.
	fleet bool
}

// flow is a rate of events that decays over forecastWindow. Unlike rate it is unbiased from its first event on.
type flow struct {
	sum   float64
	at    time.Time
	since time.Time
}

func (f *flow) add(now time.Time) {
	if f.since.IsZero() {
		f.since = now
	}
	f.sum = f.decayed(now) + 1
	f.at = now
}

func (f *flow) decayed(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.sum * decay(now.Sub(f.at).Seconds()/forecastWindow.Seconds())
}

// perSecond returns the rate as of now, 0 during forecastWarmup.
func (f *flow) perSecond(now time.Time) float64 {
	age := now.Sub(f.since)
	if f.since.IsZero() || age < forecastWarmup {
		return 0
	}
	window := forecastWindow.Seconds()
	return f.decayed(now) / (window * (1 - decay(age.Seconds()/window)))
}

// classLoad is what the forecast knows about a class in a pool.
type classLoad struct {
	class     *class
	offered   flow // requests that arrived for the first time, also those refused, and overdue ones that were queued
	arrivals  flow // requests that were queued as on time or overdue
	returns   returnPlan
	promised  []*request // queued requests that became late after they had been queued as on time
	occupancy float64    // mean time, in seconds, for which an attempt occupies a slot; 0 without samples
	usual     backlog    // mean backlog that a request of the class finds as it arrives
	running   int        // attempts of this entry

	counts [2]demandCounts // of organisations within their share, and beyond it, for reports of demand
}

// poolLoad is what the forecast knows about a pool.
type poolLoad struct {
	classes   []*classLoad
	occupancy float64 // mean over all classes
	samples   int     // attempts that ended
	running   int     // attempts of this entry
	slots     float64 // attempts of this entry while requests wait
	slotsAt   time.Time
	since     time.Time // first request
}

// of returns the load of a class, which it adds if it is missing.
func (l *poolLoad) of(c *class) *classLoad {
	for _, load := range l.classes {
		if load.class == c {
			return load
		}
	}
	load := &classLoad{class: c}
	l.classes = append(l.classes, load)
	return load
}

// forget removes the loads of classes that no longer exist.
func (l *poolLoad) forget(removed func(*class) bool) {
	kept := l.classes[:0]
	for _, load := range l.classes {
		if load.running > 0 || len(load.promised) > 0 || !removed(load.class) {
			kept = append(kept, load)
		}
	}
	clear(l.classes[len(kept):])
	l.classes = kept
}

// occupancyOf returns the mean time, in seconds, for which an attempt of the class occupies a slot.
func (l *poolLoad) occupancyOf(load *classLoad) float64 {
	if load.occupancy > 0 {
		return load.occupancy
	}
	return l.occupancy
}

// attemptBegan counts an attempt. queuedMore reports whether other requests wait, so that the number of attempts shows
// how many slots this entry gets.
func (l *poolLoad) attemptBegan(now time.Time, c *class, queuedMore bool) {
	l.of(c).running++
	l.running++
	if !queuedMore {
		return
	}
	if now.Sub(l.slotsAt) > slotsMaxAge {
		l.slots = float64(l.running)
	}
	l.slots += slotsWeight * (float64(l.running) - l.slots)
	l.slotsAt = now
}

func (l *poolLoad) attemptEnded(c *class) {
	l.of(c).running--
	l.running--
}

// addOccupancy adds the time for which an attempt occupied its slot.
func (l *poolLoad) addOccupancy(c *class, took time.Duration) {
	load := l.of(c)
	load.occupancy = movingMean(load.occupancy, took.Seconds())
	l.occupancy = movingMean(l.occupancy, took.Seconds())
	l.samples++
}

func movingMean(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + occupancyWeight*(sample-mean)
}

// slotCount returns how many slots this entry holds while requests wait.
func (l *poolLoad) slotCount(now time.Time) float64 {
	if l.slots == 0 || now.Sub(l.slotsAt) > slotsMaxAge {
		return float64(l.running)
	}
	return max(l.slots, float64(l.running))
}

// slotRate returns the rate, per second, at which this entry's attempts end at present.
func (l *poolLoad) slotRate() float64 {
	rate := 0.0
	for _, load := range l.classes {
		if occupancy := l.occupancyOf(load); occupancy > 0 {
			rate += float64(load.running) / occupancy
		}
	}
	return rate
}

// forecasts reports whether waits are forecast for any purpose.
func (s *Scheduler) forecasts() bool { return s.options.Forecast || s.options.RetryAdvice }

// canForecast reports whether there is enough evidence for a forecast in the pool: completed attempts, and a current
// report of a gate.
func (s *Scheduler) canForecast(p *pool) bool {
	l := &p.load
	if !s.forecasts() || s.options.Policy != PolicyTargets || l.samples < minSamples || s.now.Sub(l.since) < forecastWarmup {
		return false
	}
	for _, v := range p.servers {
		if v.ready && s.now.Sub(v.roomAt) <= s.options.MaxRoomAge {
			return true
		}
	}
	return false
}

// slotSupply returns how many slots this entry gets while requests wait, and at which rate, per second, they become free. It is
// at least the entry's equal part of what all gates run.
//
// Without that part an entry that refused many requests would hold few slots, expect to get few, and refuse even more.
func (s *Scheduler) slotSupply(p *pool) (slots, perSecond float64) {
	slots, perSecond = p.load.slotCount(s.now), p.load.slotRate()
	if p.load.occupancy <= 0 {
		return slots, perSecond
	}
	running := 0.0
	for _, v := range p.servers {
		if v.ready && s.now.Sub(v.roomAt) <= s.options.MaxRoomAge {
			running += float64(v.room.GetRunning())
		}
	}
	part := running / float64(s.entryCount)
	return max(slots, part), max(perSecond, part/p.load.occupancy)
}

// backlog is the work that goes before a request.
type backlog struct {
	requests float64
	work     float64 // occupied time of slots, in seconds
	own      float64 // requests of the class
}

func (b *backlog) add(n int, occupancy float64) {
	b.requests += float64(n)
	b.work += float64(n) * occupancy
}

// forecastWait forecasts when a request begins, as one that is late or one that is not.
//
// Both the slots and the work ahead are counted in occupied time, since an answer of one class may occupy a slot for ten
// times as long as one of another.
func (s *Scheduler) forecastWait(r *request, late bool) forecast {
	p := r.pool
	if !s.canForecast(p) {
		return forecast{}
	}
	if p.withRoom > 0 {
		return forecast{known: true}
	}
	probe := *r
	probe.late = late
	s.queueKeys(&probe)
	if others := s.useFleetView(r); others != nil {
		return s.forecastOverFleet(&probe, others)
	}
	slots, slotRate := s.slotSupply(p)
	if slotRate <= 0 || slots <= 0 {
		return forecast{}
	}
	ahead := s.backlogAhead(&probe)
	own := ahead.own
	ahead.add(1, s.occupancy(p, r.class)) // the request itself
	if !late {
		ahead = s.overAllEntries(ahead, p.load.of(r.class).usual)
	}
	wait := neverWait.Seconds()
	free := slots - s.higherLoad(&probe)
	if free >= minFreeShare*slots {
		wait = max(ahead.requests/slotRate, ahead.work/free)
	}
	if !late {
		wait = min(wait, s.guaranteedWait(&probe, own, slotRate))
	}
	class := p.load.of(r.class)
	return forecast{
		wait:    time.Duration(min(wait, neverWait.Seconds()) * float64(time.Second)),
		known:   true,
		passing: passingMargin*class.offered.perSecond(s.now)*p.load.occupancyOf(class) < free,
	}
}

// forecastOverFleet forecasts when a request begins from what all entries have queued and hold.
func (s *Scheduler) forecastOverFleet(r *request, others *fleetPool) forecast {
	p := r.pool
	slots, slotRate := s.fleetSupply(p, others)
	if slotRate <= 0 || slots <= 0 {
		return forecast{}
	}
	ahead := s.backlogAhead(r)
	own := ahead.own
	elsewhere := s.fleetAhead(r, others)
	ahead.requests += elsewhere.requests
	ahead.work += elsewhere.work
	ahead.add(1, s.occupancy(p, r.class)) // the request itself
	wait := neverWait.Seconds()
	free := slots - s.higherLoad(r) - s.fleetHigherLoad(r, others)
	if free >= minFreeShare*slots {
		wait = max(ahead.requests/slotRate, ahead.work/free)
	}
	if !r.late && !r.excess {
		// Each entry keeps the credit of its classes, so the guaranteed share is that of this entry's slots.
		_, ownRate := s.slotSupply(p)
		wait = min(wait, s.guaranteedWait(r, own, ownRate))
	}
	return forecast{wait: time.Duration(min(wait, neverWait.Seconds()) * float64(time.Second)), known: true, fleet: true}
}

// overAllEntries returns the backlog that counts for a request, given the backlog of this entry and the usual one.
//
// Gates serve the requests of all entries in one order. A request therefore waits for those of other entries, whose number
// is about what requests usually find here, and a backlog that happens to be longer here than elsewhere is served at more
// than this entry's part of the slots. At 20 requests a second that is most of the variation.
func (s *Scheduler) overAllEntries(here, usual backlog) backlog {
	n := float64(s.entryCount)
	return backlog{
		requests: (here.requests + (n-1)*usual.requests) / n,
		work:     (here.work + (n-1)*usual.work) / n,
	}
}

// noteBacklog adds the backlog that a request finds as it arrives to the mean of its class.
func (s *Scheduler) noteBacklog(r *request) {
	if !s.forecasts() || s.options.Policy != PolicyTargets {
		return
	}
	var found backlog
	if r.pool.withRoom == 0 {
		s.queueKeys(r)
		found = s.backlogAhead(r)
	}
	usual := &r.pool.load.of(r.class).usual
	usual.requests += backlogWeight * (found.requests - usual.requests)
	usual.work += backlogWeight * (found.work - usual.work)
}

// guaranteedWait returns the wait, in seconds, if the class gets no more than its guaranteed share.
func (s *Scheduler) guaranteedWait(r *request, own, slotRate float64) float64 {
	if r.class.precedence() == 0 {
		return neverWait.Seconds()
	}
	earned := s.earnedPerDispatch(r.class, r.pool) * slotRate
	if earned <= 0 {
		return neverWait.Seconds()
	}
	return max(own+1-r.class.credit, 1) / earned
}

// higherLoad returns the slots that arriving requests of higher rank occupy.
func (s *Scheduler) higherLoad(r *request) float64 {
	load := 0.0
	for _, c := range r.pool.load.classes {
		if s.arrivesBefore(c.class, r) {
			load += s.arrivalLoad(c, r) * r.pool.load.occupancyOf(c)
		}
	}
	return load
}

// arrivalLoad returns the rate at which requests of a class arrive that go before the request. An overdue request, and a late
// one that was never expected to be in time, get only what no other takes: all that arrive count, also those that are refused
// because there is no room for them. Otherwise late answers would take the slots of those in time.
func (s *Scheduler) arrivalLoad(c *classLoad, r *request) float64 {
	if r.Overdue || r.late && !r.promised || r.excess {
		return c.offered.perSecond(s.now)
	}
	return c.arrivals.perSecond(s.now)
}

// arrivesBefore reports whether requests of a class that arrive later go before the request. Those of the same and of lower
// rank are admitted only if there is room for them behind the promised requests.
func (s *Scheduler) arrivesBefore(c *class, r *request) bool {
	tier := tierIndex(c.spec.GetTier())
	switch {
	case tier != r.tier:
		return tier < r.tier
	case r.late && !r.promised, r.excess:
		return true
	case c == r.class:
		return r.Overdue
	default:
		return c.precedence() < r.class.precedence()
	}
}

// backlogAhead returns the queued work that goes before the request.
func (s *Scheduler) backlogAhead(r *request) backlog {
	var b backlog
	for tier := range r.tier {
		for _, c := range r.pool.tiers[tier].classes {
			occupancy := s.occupancy(r.pool, c.class)
			for _, q := range c.organisations {
				b.add(q.length(), occupancy)
			}
		}
	}
	for _, c := range r.pool.tiers[r.tier].classes {
		s.addClassAhead(&b, c, r)
		if !r.late && c.class.precedence() <= r.class.precedence() {
			s.addPromisedAhead(&b, c, r)
		}
	}
	return b
}

func (s *Scheduler) occupancy(p *pool, c *class) float64 {
	return p.load.occupancyOf(p.load.of(c))
}

// addClassAhead adds the requests of a class of the request's tier that go before it. Among organisations at the same
// position in the order each goes once before the request and once before each of its own organisation that precedes it.
func (s *Scheduler) addClassAhead(b *backlog, c *classQueue, r *request) {
	occupancy := s.occupancy(r.pool, c.class)
	mine, other := r.class.precedence(), c.class.precedence()
	own := c.countOwn(r, s.now)
	for _, q := range c.organisations {
		n := q.countBands(s.now)
		first, peers := n.before(r)
		switch {
		case other < mine:
			first, peers = first+peers, 0
		case other > mine:
			first, peers = n.beforeClass(r), 0
		case q.organisation == r.Organisation:
			peers = min(peers, own)
		default:
			peers = min(peers, own+1)
		}
		b.add(first+peers, occupancy)
		if c.class == r.class {
			b.own += float64(first + peers)
		}
	}
}

// addPromisedAhead adds the promised requests of a class that go before the request, of each organisation no more than go
// before it by equal shares.
func (s *Scheduler) addPromisedAhead(b *backlog, c *classQueue, r *request) {
	own := c.countOwn(r, s.now)
	load := r.pool.load.of(c.class)
	late := 0
	for _, q := range c.organisations {
		late += min(q.countBands(s.now).late, own+1)
	}
	b.add(min(late, len(load.promised)), r.pool.load.occupancyOf(load))
}

// countOwn returns how many requests of the class and of the request's organisation, in the same band, go before it.
func (c *classQueue) countOwn(r *request, now time.Time) int {
	at, ok := c.search(r.Organisation)
	if !ok {
		return 0
	}
	q := c.organisations[at]
	first, _ := q.countBands(now).before(r)
	return max(q.unreserved.search(r)+q.reserved.search(r)-first, 0)
}

// bandCounts counts the requests of a queue that may be in time, those that were overdue as they arrived, those that became
// late, and those in excess of their organisation's share.
type bandCounts struct{ timely, overdue, late, excess int }

// bandMargin separates the bands of ranks. It is longer than any deadline.
const bandMargin = overdueRank / 2

func (q *organisationQueue) countBands(now time.Time) bandCounts {
	timely := q.countUntil(now.Add(bandMargin))
	notLate := q.countUntil(now.Add(lateRank - bandMargin))
	notExcess := q.countUntil(now.Add(excessRank - bandMargin))
	return bandCounts{timely: timely, overdue: notLate - timely, late: notExcess - notLate, excess: q.length() - notExcess}
}

func (q *organisationQueue) countUntil(cutoff time.Time) int {
	return q.unreserved.countBefore(cutoff) + q.reserved.countBefore(cutoff)
}

// before returns the requests in the bands before that of the request, and those in its band.
func (n bandCounts) before(r *request) (first, same int) {
	switch {
	case r.excess:
		return n.timely + n.overdue + n.late, n.excess
	case r.late:
		return n.timely + n.overdue, n.late
	case r.Overdue:
		return n.timely, n.overdue
	default:
		return 0, n.timely
	}
}

// beforeClass returns the requests that go before the request if its class goes before theirs.
func (n bandCounts) beforeClass(r *request) int {
	switch {
	case r.excess:
		return n.timely + n.overdue + n.late
	case r.late:
		return n.timely + n.overdue
	default:
		return 0
	}
}

// noteArrival counts a request for the forecast.
func (s *Scheduler) noteArrival(r *request) {
	if r.pool.load.since.IsZero() {
		r.pool.load.since = s.now
	}
	if !r.Overdue && !r.excess {
		r.pool.load.of(r.class).offered.add(s.now)
	}
	r.countsFor().arrivals++
	s.noteBacklog(r)
}

// noteAdmitted counts a request that is queued as on time.
func (s *Scheduler) noteAdmitted(r *request) {
	if r.late || r.excess {
		return
	}
	load := r.pool.load.of(r.class)
	load.arrivals.add(s.now)
	if r.Overdue {
		load.offered.add(s.now)
	}
}

// addPromised notes a request that enters the queue if it became late after it had been queued as on time.
func (l *poolLoad) addPromised(r *request) {
	if r.late && r.promised {
		load := l.of(r.class)
		load.promised = append(load.promised, r)
	}
}

func (l *poolLoad) removePromised(r *request) {
	if r.late && r.promised {
		load := l.of(r.class)
		load.promised = slices.DeleteFunc(load.promised, func(other *request) bool { return other == r })
	}
}
