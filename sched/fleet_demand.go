package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/demand"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Parameters of the fleet-wide view of demand.
const (
	// fleetMaxAge is the age from which the view isn't used. A burst lasts a few seconds.
	fleetMaxAge = 2 * time.Second
	// fleetMaxExtrapolation is the longest time for which the rates of the view are taken to continue.
	fleetMaxExtrapolation = time.Second
	// fleetMinHeard is the share of the other entries that a view must include, as a fraction.
	fleetMinHeardNumerator, fleetMinHeardDenominator = 9, 10
	// fleetRateInterval is the least time between two views from which rates are computed. Reports come twice a second.
	fleetRateInterval = 250 * time.Millisecond
	// fleetRateWindow is the time over which the rates of the view are averaged. All entries together get hundreds of requests
	// a second, so that a second suffices to know the rate to within a tenth.
	fleetRateWindow = time.Second
	// fleetCaution is the factor by which the forecast wait must exceed the time left for a request to be refused. The view is
	// older than the objectives of callers, so that single forecasts are off by half, and a wrong refusal costs more than a late one.
	fleetCaution = 1.75
)

// Bands of requests within a class, added to ClassDemand.rank. They are ordered as gates order them: overdue requests after the
// others of their class, late ones after all classes of the tier, and those of organisations beyond their share after these.
const (
	rankBandShift = 20 // precedences that operators set are lower than 1<<16
	bandUsual     = 0
	bandOverdue   = 1
	bandLate      = 2
	bandExcess    = 3
)

// Views by which a wait was forecast, as labels of Count with ForecastViews.
const (
	viewFleet         = "fleet"
	viewOwnNone       = "own_no_view"    // no summary has been received, or it has no rates yet
	viewOwnOld        = "own_old_view"   // older than fleetMaxAge
	viewOwnIncomplete = "own_incomplete" // of less than nine in ten entries, in all or for the pool
)

// ForecastViewLabels returns all labels of the counter ForecastViews.
func ForecastViewLabels() []string {
	return []string{viewFleet, viewOwnNone, viewOwnOld, viewOwnIncomplete}
}

// demandCounts counts the requests of a class at this entry since it started.
type demandCounts struct{ arrivals, dispatches, refusals uint64 }

// fleetView is the demand that the other entries have reported.
type fleetView struct {
	takenAt      time.Time // mean time of the reports; zero without a view
	heard, known int
	pools        map[string]*fleetPool
	// interrupted reports whether a later summary wasn't taken over. The next one may be of other entries, even if of as many.
	interrupted bool
}

// fleetPool is the demand of the other entries for a pool.
type fleetPool struct {
	rows          []*fleetRow
	running       float64
	organisations []*wire.OrganisationDemand
	entries       uint32 // whose reports are in the sums
	rated         bool   // the rates of all rows with arrivals are known
}

// fleetRow is a row of the summary, with the rates that follow from successive ones.
type fleetRow struct {
	*wire.ClassDemand
	tier       int
	precedence uint32 // as set by operators
	band       uint32
	occupancy  float64 // seconds

	base   demandCounts // as of baseAt
	baseAt time.Time
	rated  bool
	// Rates per second: requests that arrive, that are dispatched and that are refused.
	arrivals, dispatches, refusals float64
}

// poolName returns the name of a pool in reports of demand.
func (k poolKey) poolName() string { return k.kind + "/" + k.target }

// DemandReport returns the demand of this entry by pool, bounded as reports are.
func (s *Scheduler) DemandReport() []*wire.PoolDemand {
	if s.options.Policy != PolicyTargets {
		return nil
	}
	rows := make(map[*pool]*demandRows)
	for _, r := range s.requests {
		of := rows[r.pool]
		if of == nil {
			of = newDemandRows()
			rows[r.pool] = of
		}
		of.add(s, r)
	}
	var pools []*wire.PoolDemand
	for key, p := range s.pools {
		if p.load.since.IsZero() {
			// Without it the others would take the view of the pool for incomplete.
			pools = append(pools, &wire.PoolDemand{Pool: key.poolName(), Entries: 1})
			continue
		}
		of := rows[p]
		if of == nil {
			of = newDemandRows()
		}
		of.addCounts(s, p)
		pools = append(pools, of.pool(key.poolName()))
	}
	return demand.Trim(pools)
}

// demandRows collects the rows of a pool.
type demandRows struct {
	classes       map[demandRowKey]*wire.ClassDemand
	organisations map[demandOrganisationKey]*wire.OrganisationDemand
}

type demandRowKey struct {
	class *class
	band  uint32
}

type demandOrganisationKey struct {
	organisation string
	tier         uint32
}

func newDemandRows() *demandRows {
	return &demandRows{
		classes:       make(map[demandRowKey]*wire.ClassDemand),
		organisations: make(map[demandOrganisationKey]*wire.OrganisationDemand),
	}
}

func (d *demandRows) row(c *class, band uint32) *wire.ClassDemand {
	key := demandRowKey{c, band}
	if d.classes[key] == nil {
		d.classes[key] = &wire.ClassDemand{
			Class: c.name, Rank: c.spec.GetPrecedence() | band<<rankBandShift, Tier: uint32(tierIndex(c.spec.GetTier())) + 1,
		}
	}
	return d.classes[key]
}

// add adds a live request: one with an attempt runs, any other waits.
func (d *demandRows) add(s *Scheduler, r *request) {
	key := demandOrganisationKey{r.Organisation, uint32(r.tier) + 1}
	o := d.organisations[key]
	if o == nil {
		o = &wire.OrganisationDemand{Organisation: r.Organisation, Tier: key.tier}
		d.organisations[key] = o
	}
	if r.attempt != nil {
		d.row(r.class, bandUsual).Running++
		o.Running++
		return
	}
	d.row(r.class, s.bandOf(r)).Queued++
	o.Queued++
}

func (s *Scheduler) bandOf(r *request) uint32 {
	switch {
	case r.excess:
		return bandExcess
	case r.late:
		return bandLate
	case r.Overdue:
		return bandOverdue
	default:
		return bandUsual
	}
}

// addCounts adds the counts since the start and the occupancy.
func (d *demandRows) addCounts(s *Scheduler, p *pool) {
	for _, load := range p.load.classes {
		for i, band := range []uint32{bandUsual, bandExcess} {
			n := load.counts[i]
			if n == (demandCounts{}) && d.classes[demandRowKey{load.class, band}] == nil {
				continue
			}
			row := d.row(load.class, band)
			row.Arrivals, row.Dispatches, row.Refusals = n.arrivals, n.dispatches, n.refusals
			row.OccupancyMs = uint32(1000 * p.load.occupancyOf(load))
		}
	}
}

func (d *demandRows) pool(name string) *wire.PoolDemand {
	out := &wire.PoolDemand{Pool: name, Entries: 1}
	for _, row := range d.classes {
		out.Classes = append(out.Classes, row)
	}
	slices.SortFunc(out.Classes, func(a, b *wire.ClassDemand) int {
		return cmp.Or(cmp.Compare(a.GetTier(), b.GetTier()), cmp.Compare(a.GetRank(), b.GetRank()), cmp.Compare(a.GetClass(), b.GetClass()))
	})
	for _, row := range d.organisations {
		out.Organisations = append(out.Organisations, row)
	}
	return out
}

// countsFor returns the counts that a request belongs to, by whether it was in excess as it arrived.
func (r *request) countsFor() *demandCounts {
	return &r.pool.load.of(r.class).counts[min(r.arrivedInExcess, 1)]
}

// setFleetDemand takes over the sums of the other entries. A summary older than the one known changes nothing, nor does an incomplete
// one while the one known can be used: a control instance that has just started hears from all entries only after a second.
func (s *Scheduler) setFleetDemand(e FleetDemand) {
	if !s.options.FleetDemand {
		return
	}
	view := fleetView{
		takenAt: e.At.Add(-time.Duration(e.Summary.GetAgeMs()) * time.Millisecond),
		heard:   int(e.Summary.GetEntriesHeard()), known: int(e.Summary.GetEntriesKnown()),
		pools: make(map[string]*fleetPool, len(e.Summary.GetPools())),
	}
	if !s.fleet.takenAt.IsZero() && view.takenAt.Before(s.fleet.takenAt) {
		return
	}
	if !enoughHeard(view.heard, view.known) && s.fleetUsable() {
		s.fleet.interrupted = true
		return
	}
	for _, p := range e.Summary.GetPools() {
		view.pools[p.GetPool()] = newFleetPool(&view, p, &s.fleet)
	}
	s.fleet = view
	s.refreshShares()
}

func newFleetPool(view *fleetView, p *wire.PoolDemand, last *fleetView) *fleetPool {
	out := &fleetPool{organisations: p.GetOrganisations(), entries: p.GetEntries(), rated: true}
	before := last.pools[p.GetPool()]
	sameEntries := !last.interrupted && last.heard == view.heard && before != nil && before.entries == out.entries
	for _, c := range p.GetClasses() {
		row := &fleetRow{
			ClassDemand: c, tier: tierIndex(c.GetTier()), precedence: c.GetRank() & (1<<rankBandShift - 1), band: c.GetRank() >> rankBandShift,
			occupancy: float64(c.GetOccupancyMs()) / 1000,
		}
		row.rate(view.takenAt, before.find(c), sameEntries)
		if before != nil && before.find(c) == nil {
			// The row may have been missing for some views, so that its counts aren't those of the time since the last one.
			row.rated = before.rated
		}
		out.rated = out.rated && (row.rated || c.GetArrivals() == 0)
		out.running += float64(c.GetRunning())
		out.rows = append(out.rows, row)
	}
	return out
}

func (p *fleetPool) find(c *wire.ClassDemand) *fleetRow {
	if p == nil {
		return nil
	}
	for _, row := range p.rows {
		if row.GetClass() == c.GetClass() && row.GetRank() == c.GetRank() && row.GetTier() == c.GetTier() {
			return row
		}
	}
	return nil
}

// rate computes the rates of a row from an earlier one. If the reports of other entries were added up then, or a count has fallen
// since, the difference says nothing, and the last rates stay.
func (r *fleetRow) rate(now time.Time, last *fleetRow, sameEntries bool) {
	counts := demandCounts{r.GetArrivals(), r.GetDispatches(), r.GetRefusals()}
	if last == nil {
		r.base, r.baseAt = counts, now
		return
	}
	r.base, r.baseAt, r.rated = last.base, last.baseAt, last.rated
	r.arrivals, r.dispatches, r.refusals = last.arrivals, last.dispatches, last.refusals
	if !sameEntries || counts.arrivals < r.base.arrivals || counts.dispatches < r.base.dispatches || counts.refusals < r.base.refusals {
		r.base, r.baseAt = counts, now
		return
	}
	elapsed := now.Sub(r.baseAt)
	if elapsed < fleetRateInterval {
		return
	}
	weight := 1.0
	if r.rated {
		weight = 1 - decay(elapsed.Seconds()/fleetRateWindow.Seconds())
	}
	update := func(rate *float64, from, to uint64) {
		*rate += weight * (float64(to-from)/elapsed.Seconds() - *rate)
	}
	update(&r.arrivals, r.base.arrivals, counts.arrivals)
	update(&r.dispatches, r.base.dispatches, counts.dispatches)
	update(&r.refusals, r.base.refusals, counts.refusals)
	r.base, r.baseAt, r.rated = counts, now, true
}

// fleetFor returns the demand of the other entries for a pool, nil with the reason if it can't be used.
func (s *Scheduler) fleetFor(p *pool) (demand *fleetPool, view string) {
	switch {
	case s.fleet.takenAt.IsZero():
		return nil, viewOwnNone
	case s.now.Sub(s.fleet.takenAt) > fleetMaxAge:
		return nil, viewOwnOld
	case !enoughHeard(s.fleet.heard, s.fleet.known):
		return nil, viewOwnIncomplete
	}
	demand = s.fleet.pools[p.key.poolName()]
	switch {
	case demand == nil:
		return nil, viewOwnNone
	case demand.entriesKnown() && !enoughHeard(int(demand.entries), s.fleet.known):
		return nil, viewOwnIncomplete
	case !demand.rated:
		return nil, viewOwnNone
	}
	return demand, viewFleet
}

// fleetUsable reports whether the view of the other entries is complete and recent enough.
func (s *Scheduler) fleetUsable() bool {
	return !s.fleet.takenAt.IsZero() && s.fleetAge() <= fleetMaxAge && enoughHeard(s.fleet.heard, s.fleet.known)
}

// enoughHeard reports whether the sums over the entries heard include enough of those known.
func enoughHeard(heard, known int) bool {
	return heard*fleetMinHeardDenominator >= known*fleetMinHeardNumerator
}

// entriesKnown reports whether it is known how many entries are in the sums of the pool. Control instances of an earlier version
// don't tell.
func (p *fleetPool) entriesKnown() bool { return p.entries > 0 || len(p.rows) == 0 }

// fleetAge returns the age of the view of the other entries.
func (s *Scheduler) fleetAge() time.Duration { return s.now.Sub(s.fleet.takenAt) }

// fleetSupply returns how many slots all entries hold together, and at which rate, per second, they become free.
//
// The reports of the gates are newer than those of the entries. At the start of a burst the entries' sum would be too low.
func (s *Scheduler) fleetSupply(p *pool, others *fleetPool) (slots, perSecond float64) {
	slots, perSecond = float64(p.load.running)+others.running, p.load.slotRate()
	for _, row := range others.rows {
		if row.occupancy > 0 {
			perSecond += float64(row.GetRunning()) / row.occupancy
		}
	}
	reported := 0.0
	for _, v := range p.servers {
		if v.ready && s.now.Sub(v.roomAt) <= s.options.MaxRoomAge {
			reported += float64(v.room.GetRunning())
		}
	}
	if slots > 0 && reported > slots {
		perSecond *= reported / slots
		slots = reported
	}
	return slots, perSecond
}

// fleetAhead returns the work that other entries have queued ahead of the request: of higher rank, and of its own rank what was
// queued when the view was taken. Since then, the backlog of higher rank is taken to have changed at its rates.
func (s *Scheduler) fleetAhead(r *request, others *fleetPool) backlog {
	since := min(max(s.fleetAge(), 0), fleetMaxExtrapolation).Seconds()
	fair := fairPart(r, others)
	var b backlog
	for _, row := range others.rows {
		if !s.rowPrecedes(row, r) {
			continue
		}
		queued := float64(row.GetQueued())
		if row.band == bandUsual && s.rowArrivesBefore(row, r) {
			queued = max(queued+since*(row.arrivals-row.refusals-row.dispatches), 0)
		}
		if row.band == s.bandOf(r) && row.tier == r.tier && row.precedence == r.class.spec.GetPrecedence() {
			queued *= fair
		}
		b.requests += queued
		b.work += queued * row.occupancy
	}
	return b
}

// rowPrecedes reports whether requests of the row that are queued go before the request.
func (s *Scheduler) rowPrecedes(row *fleetRow, r *request) bool {
	if row.tier != r.tier {
		return row.tier < r.tier
	}
	higher := row.precedence < r.class.spec.GetPrecedence()
	same := row.precedence == r.class.spec.GetPrecedence()
	switch band := s.bandOf(r); {
	case row.band == bandUsual || row.band == bandOverdue:
		return band >= bandLate || higher || same && row.band <= band
	default:
		return row.band < band || row.band == band && (higher || same)
	}
}

// rowArrivesBefore reports whether requests of the row that arrive later go before the request.
func (s *Scheduler) rowArrivesBefore(row *fleetRow, r *request) bool {
	if row.tier != r.tier {
		return row.tier < r.tier
	}
	band := s.bandOf(r)
	if row.band == bandExcess {
		return band == bandExcess && row.precedence < r.class.spec.GetPrecedence()
	}
	return band >= bandLate || row.precedence < r.class.spec.GetPrecedence() ||
		band == bandOverdue && row.precedence == r.class.spec.GetPrecedence()
}

// fleetHigherLoad returns the slots that arriving requests of higher rank at other entries occupy. Those that are refused occupy
// none.
func (s *Scheduler) fleetHigherLoad(r *request, others *fleetPool) float64 {
	load := 0.0
	for _, row := range others.rows {
		if s.rowArrivesBefore(row, r) {
			load += max(row.arrivals-row.refusals, 0) * row.occupancy
		}
	}
	return load
}

// useFleetView returns the demand of the other entries for the request's pool if a forecast may use it, and records which view it
// uses.
func (s *Scheduler) useFleetView(r *request) *fleetPool {
	if !s.options.FleetDemand {
		return nil
	}
	others, view := s.fleetFor(r.pool)
	r.forecastView, r.viewAge = view, 0
	if !s.fleet.takenAt.IsZero() {
		r.viewAge = s.fleetAge()
	}
	return others
}

// admitByFleet decides on a request that arrives without room, by a forecast from what all entries have queued. A request that
// will not begin by its objective is refused. Any other waits until then, also one whose forecast is doubtful.
//
// No request is held past its objective here, unlike by the entry's own view: held requests begin in slots that timely ones need a
// moment later. In the load test a fiftieth fewer of all requests were in time with them.
func (s *Scheduler) admitByFleet(r *request, f forecast) *result.Error {
	switch {
	case s.now.Add(time.Duration(float64(f.wait)/fleetCaution) + r.expectedFirst).Before(r.dueAt()):
		return nil
	case s.feasibleWithoutLowerTiers(r):
		return nil
	case s.holdRefused:
		r.wouldRefuse = true
		s.startHold(r)
		return nil
	}
	s.countForecast(r, forecastRefusedAtOnce)
	return result.New(result.CannotFinishInTime, "it would not begin in the %d ms until its objective", r.dueAt().Sub(s.now).Milliseconds())
}

// fairPart returns the part of the requests of the same rank at other entries that go before the request by equal shares of the
// organisations: of each organisation no more than the request's own organisation has queued, and one.
func fairPart(r *request, others *fleetPool) float64 {
	own := uint32(1)
	for _, o := range others.organisations {
		if o.GetOrganisation() == r.Organisation && tierIndex(o.GetTier()) == r.tier {
			own += o.GetQueued()
		}
	}
	before, all := uint32(0), uint32(0)
	for _, o := range others.organisations {
		if tierIndex(o.GetTier()) == r.tier && r.pool.excessOf(r.tier, o.GetOrganisation()) == nil {
			before += min(o.GetQueued(), own)
			all += o.GetQueued()
		}
	}
	if all == 0 {
		return 1
	}
	return float64(before) / float64(all)
}

// usesFleetView reports whether waits in the pool are forecast from what all entries have queued.
func (s *Scheduler) usesFleetView(p *pool) bool {
	if !s.options.FleetDemand {
		return false
	}
	others, _ := s.fleetFor(p)
	return others != nil
}
