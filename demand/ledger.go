package demand

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// ReportExpiry is the age from which a report no longer counts. Entries report at least each second.
	ReportExpiry = 3 * time.Second
	// evictionInterval is the least time between two searches for reports that have expired.
	evictionInterval = 100 * time.Millisecond
	// forgetAfter is the time after which it is forgotten which reports of a silent entry have been seen.
	forgetAfter = time.Minute
	// silenceReset is the time without any report after which counts begin at zero again. Another instance has led since, and an
	// entry would take the difference between the counts of two instances for requests.
	silenceReset = 1500 * time.Millisecond
	// rankInterval is the least time between two searches for the organisations with most requests. A search for each answer
	// would cost the leader of 390 entries two of its hundredths of a core.
	rankInterval = 100 * time.Millisecond
)

// Incarnation is one start of an entry.
type Incarnation struct {
	Instance string
	Number   uint64
}

// Outcome says what became of a report.
type Outcome string

// The outcomes of Record.
const (
	Recorded Outcome = "recorded"
	Outdated Outcome = "outdated"  // a later one, or one of a later incarnation, is known
	TooLarge Outcome = "too_large" // larger than MaxReportBytes
)

// Ledger adds up the newest report of each entry. It is held in memory only: it describes the present, and is complete again as
// soon as each entry has reported. The sums are kept up to date with each report, so that an answer costs the same however many
// entries there are. Its methods may be called by several goroutines at the same time.
type Ledger struct {
	mu          sync.Mutex
	entries     map[string]*entryReport // by instance
	pools       map[string]*poolSum
	heard       int
	reportedSum time.Duration // sum, over the entries that are heard, of when they reported since start
	start       time.Time
	evictedAt   time.Time
	recordedAt  time.Time
}

// entryReport is the newest report of an entry.
type entryReport struct {
	incarnation uint64
	sequence    uint64
	at          time.Time
	counted     bool // it is in the sums
	pools       []*wire.PoolDemand
	// added is the entry's part of the counts, by pool, since the counts of the pool began.
	added map[string]*addedCounts
}

// addedCounts is the part of an entry in the counts of a pool.
type addedCounts struct {
	to   *poolCounts // the part is void once the pool has others
	rows poolCounts
}

// poolCounts are the counts of a pool by row. They rise only by what an entry has added between two successive reports of the pool, and
// never fall: their differences are requests also if entries leave, join or trim the pool in between.
type poolCounts map[classKey]counts

type counts struct{ arrivals, dispatches, refusals uint64 }

func countsOf(c *wire.ClassDemand) counts {
	return counts{c.GetArrivals(), c.GetDispatches(), c.GetRefusals()}
}

func (c counts) plus(d counts) counts {
	return counts{c.arrivals + d.arrivals, c.dispatches + d.dispatches, c.refusals + d.refusals}
}

func (c counts) minus(d counts) counts {
	return counts{c.arrivals - d.arrivals, c.dispatches - d.dispatches, c.refusals - d.refusals}
}

// atLeast reports whether no count is lower than that of d.
func (c counts) atLeast(d counts) bool {
	return c.arrivals >= d.arrivals && c.dispatches >= d.dispatches && c.refusals >= d.refusals
}

type classKey struct {
	class      string
	rank, tier uint32
}

type organisationKey struct {
	organisation string
	tier         uint32
}

// classSum is the sum of a class over entries. The occupancy is weighted by attempts, and each report has a weight of at least one.
type classSum struct {
	queued, running   uint64
	occupancy, weight uint64
	entries           int
}

type organisationSum struct {
	queued, running uint64
	entries         int
}

type poolSum struct {
	entries       int
	counts        *poolCounts
	classes       map[classKey]*classSum
	organisations map[organisationKey]*organisationSum
	largest       []organisationKey // as of rankedAt
	rankedAt      time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{entries: make(map[string]*entryReport), pools: make(map[string]*poolSum)}
}

// Record records a report that has just been received. It changes nothing if a later report of the entry is known.
func (l *Ledger) Record(from Incarnation, report *wire.DemandReport, now time.Time) Outcome {
	if proto.Size(report) > MaxReportBytes {
		return TooLarge
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.start.IsZero() {
		l.start = now
	}
	l.evict(now)
	silent := now.Sub(l.recordedAt) >= silenceReset
	if silent {
		for _, sums := range l.pools {
			sums.counts = &poolCounts{}
		}
	}
	l.recordedAt = now
	known := l.entries[from.Instance]
	continues := !silent && known != nil && known.counted && known.incarnation == from.Number
	if known != nil {
		if cmp.Or(cmp.Compare(from.Number, known.incarnation), cmp.Compare(report.GetSequence(), known.sequence)) <= 0 {
			return Outdated
		}
		l.remove(known)
	}
	e := &entryReport{incarnation: from.Number, sequence: report.GetSequence(), at: now, pools: report.GetPools()}
	l.entries[from.Instance] = e
	l.add(e)
	if continues {
		l.count(known, e)
	}
	return Recorded
}

// Summary returns the sums over all entries except the given one, for the pools that this entry has reported last. known is the
// number of the other entries that are registered.
func (l *Ledger) Summary(from Incarnation, known int, now time.Time) *wire.DemandSummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evict(now)
	summary := &wire.DemandSummary{EntriesKnown: uint32(max(known, 0))}
	heard, reported := l.heard, l.reportedSum
	own := l.entries[from.Instance]
	if own != nil && own.counted {
		heard--
		reported -= own.at.Sub(l.start)
	}
	summary.EntriesHeard = uint32(heard)
	if heard > 0 {
		summary.AgeMs = uint32(max(now.Sub(l.start)-reported/time.Duration(heard), 0).Milliseconds())
	}
	if own == nil || !own.counted {
		return summary
	}
	for _, p := range own.pools {
		// An entry without demand for a pool needs no sums of it. They would multiply the size of answers.
		if sums := l.pools[p.GetPool()]; sums != nil && len(p.GetClasses()) > 0 {
			summary.Pools = append(summary.Pools, sums.without(p, own.added[p.GetPool()], now))
		}
	}
	return summary
}

// Heard returns the number of entries whose reports are in the sums.
func (l *Ledger) Heard(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evict(now)
	return l.heard
}

// evict takes expired reports out of the sums. The caller holds the lock.
func (l *Ledger) evict(now time.Time) {
	if now.Sub(l.evictedAt) < evictionInterval {
		return
	}
	l.evictedAt = now
	for instance, e := range l.entries {
		if now.Sub(e.at) >= ReportExpiry {
			l.remove(e)
		}
		if now.Sub(e.at) >= forgetAfter {
			delete(l.entries, instance)
		}
	}
}

// add adds a report to the sums. The caller holds the lock.
func (l *Ledger) add(e *entryReport) {
	e.counted = true
	l.heard++
	l.reportedSum += e.at.Sub(l.start)
	for _, p := range e.pools {
		sums := l.pools[p.GetPool()]
		if sums == nil {
			sums = &poolSum{counts: &poolCounts{}, classes: make(map[classKey]*classSum), organisations: make(map[organisationKey]*organisationSum)}
			l.pools[p.GetPool()] = sums
		}
		sums.entries++
		for _, c := range p.GetClasses() {
			sums.class(c).add(c)
		}
		for _, o := range p.GetOrganisations() {
			sums.organisation(o).add(o)
		}
	}
}

// remove takes a report out of the sums, if it is in them. The caller holds the lock.
func (l *Ledger) remove(e *entryReport) {
	if !e.counted {
		return
	}
	e.counted = false
	l.heard--
	l.reportedSum -= e.at.Sub(l.start)
	for _, p := range e.pools {
		sums := l.pools[p.GetPool()]
		if sums == nil {
			continue
		}
		sums.entries--
		for _, c := range p.GetClasses() {
			if sum := sums.class(c); sum.subtract(c) {
				delete(sums.classes, keyOf(c))
			}
		}
		for _, o := range p.GetOrganisations() {
			if sum := sums.organisation(o); sum.subtract(o) {
				delete(sums.organisations, organisationKeyOf(o))
			}
		}
		if sums.entries == 0 {
			delete(l.pools, p.GetPool())
		}
	}
}

// count adds what an entry has counted between two successive reports, for the pools and rows that are in both. The caller holds
// the lock.
func (l *Ledger) count(last, e *entryReport) {
	e.added = make(map[string]*addedCounts, len(e.pools))
	for _, p := range e.pools {
		i := slices.IndexFunc(last.pools, func(q *wire.PoolDemand) bool { return q.GetPool() == p.GetPool() })
		if i < 0 {
			continue
		}
		to := l.pools[p.GetPool()].counts
		added := last.added[p.GetPool()]
		if added == nil || added.to != to {
			added = &addedCounts{to: to, rows: make(poolCounts)}
		}
		e.added[p.GetPool()] = added
		before := make(poolCounts, len(last.pools[i].GetClasses()))
		for _, c := range last.pools[i].GetClasses() {
			before[keyOf(c)] = countsOf(c)
		}
		for _, c := range p.GetClasses() {
			key, now := keyOf(c), countsOf(c)
			if from, ok := before[key]; ok && now.atLeast(from) {
				added.rows[key] = added.rows[key].plus(now.minus(from))
				(*to)[key] = (*to)[key].plus(now.minus(from))
			}
		}
	}
}

func keyOf(c *wire.ClassDemand) classKey { return classKey{c.GetClass(), c.GetRank(), c.GetTier()} }

func organisationKeyOf(o *wire.OrganisationDemand) organisationKey {
	return organisationKey{o.GetOrganisation(), o.GetTier()}
}

func (s *poolSum) class(c *wire.ClassDemand) *classSum {
	key := keyOf(c)
	if s.classes[key] == nil {
		s.classes[key] = new(classSum)
	}
	return s.classes[key]
}

func (s *poolSum) organisation(o *wire.OrganisationDemand) *organisationSum {
	key := organisationKeyOf(o)
	if s.organisations[key] == nil {
		s.organisations[key] = new(organisationSum)
	}
	return s.organisations[key]
}

func occupancyWeight(c *wire.ClassDemand) uint64 {
	if c.GetOccupancyMs() == 0 {
		return 0
	}
	return uint64(c.GetRunning()) + 1
}

func (s *classSum) add(c *wire.ClassDemand) {
	s.entries++
	s.queued += uint64(c.GetQueued())
	s.running += uint64(c.GetRunning())
	s.occupancy += occupancyWeight(c) * uint64(c.GetOccupancyMs())
	s.weight += occupancyWeight(c)
}

// subtract takes a row out and reports whether it was the last.
func (s *classSum) subtract(c *wire.ClassDemand) bool {
	s.entries--
	s.queued -= uint64(c.GetQueued())
	s.running -= uint64(c.GetRunning())
	s.occupancy -= occupancyWeight(c) * uint64(c.GetOccupancyMs())
	s.weight -= occupancyWeight(c)
	return s.entries <= 0
}

func (s *organisationSum) add(o *wire.OrganisationDemand) {
	s.entries++
	s.queued += uint64(o.GetQueued())
	s.running += uint64(o.GetRunning())
}

func (s *organisationSum) subtract(o *wire.OrganisationDemand) bool {
	s.entries--
	s.queued -= uint64(o.GetQueued())
	s.running -= uint64(o.GetRunning())
	return s.entries <= 0
}

// without returns the sums of a pool without the part that one entry has reported. added is its part of the counts.
func (s *poolSum) without(own *wire.PoolDemand, added *addedCounts, now time.Time) *wire.PoolDemand {
	out := &wire.PoolDemand{Pool: own.GetPool(), Entries: uint32(s.entries - 1)}
	for key, sum := range s.classes {
		rest := *sum
		for _, c := range own.GetClasses() {
			if keyOf(c) == key {
				rest.subtract(c)
			}
		}
		if rest.entries > 0 {
			others := (*s.counts)[key]
			if added != nil && added.to == s.counts {
				others = others.minus(added.rows[key])
			}
			out.Classes = append(out.Classes, rest.row(key, others))
		}
	}
	slices.SortFunc(out.Classes, func(a, b *wire.ClassDemand) int {
		return cmp.Or(cmp.Compare(a.GetTier(), b.GetTier()), cmp.Compare(a.GetRank(), b.GetRank()), cmp.Compare(a.GetClass(), b.GetClass()))
	})
	ownOrganisations := make(map[organisationKey]*wire.OrganisationDemand, len(own.GetOrganisations()))
	for _, o := range own.GetOrganisations() {
		ownOrganisations[organisationKeyOf(o)] = o
	}
	for _, key := range s.ranked(now) {
		sum := s.organisations[key]
		if sum == nil {
			continue
		}
		rest := *sum
		if o := ownOrganisations[key]; o != nil {
			rest.subtract(o)
		}
		if rest.entries > 0 {
			out.Organisations = append(out.Organisations, rest.row(key))
		}
	}
	return out
}

func (s *classSum) row(key classKey, n counts) *wire.ClassDemand {
	row := &wire.ClassDemand{
		Class: key.class, Rank: key.rank, Tier: key.tier,
		Arrivals: n.arrivals, Dispatches: n.dispatches, Refusals: n.refusals,
		Queued: uint32(s.queued), Running: uint32(s.running),
	}
	if s.weight > 0 {
		row.OccupancyMs = uint32(s.occupancy / s.weight)
	}
	return row
}

func (s *organisationSum) row(key organisationKey) *wire.OrganisationDemand {
	return &wire.OrganisationDemand{
		Organisation: key.organisation, Tier: key.tier, Queued: uint32(s.queued), Running: uint32(s.running),
	}
}

// ranked returns the organisations with most requests, as of at most rankInterval ago.
func (s *poolSum) ranked(now time.Time) []organisationKey {
	if !s.rankedAt.IsZero() && now.Sub(s.rankedAt) < rankInterval {
		return s.largest
	}
	s.rankedAt = now
	rows := make([]*wire.OrganisationDemand, 0, len(s.organisations))
	for key, sum := range s.organisations {
		rows = append(rows, sum.row(key))
	}
	s.largest = s.largest[:0]
	for _, row := range largest(rows) {
		s.largest = append(s.largest, organisationKeyOf(row))
	}
	return s.largest
}
