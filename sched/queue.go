package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/fair"
)

// tierCount is the number of tiers. A higher tier number counts as the last tier.
const tierCount = 3

func tierIndex(tier uint32) int {
	return int(min(max(tier, 1), tierCount)) - 1
}

// requestList is a list of requests sorted by rank, then by arrival. Requests mostly arrive in that order, so that
// adding is usually an append; reading the first and last takes constant time.
type requestList struct {
	items []*request
	head  int
}

func before(a, b *request) bool {
	if !a.rank.Equal(b.rank) {
		return a.rank.Before(b.rank)
	}
	return a.sequence < b.sequence
}

func (q *requestList) elements() []*request {
	return q.items[q.head:]
}

func (q *requestList) add(r *request) {
	n := len(q.items)
	if n == q.head || before(q.items[n-1], r) {
		q.items = append(q.items, r)
		return
	}
	q.items = slices.Insert(q.items, q.head+q.search(r), r)
}

func (q *requestList) length() int {
	return len(q.items) - q.head
}

func (q *requestList) search(r *request) int {
	at, _ := slices.BinarySearchFunc(q.elements(), r, func(a, b *request) int {
		switch {
		case before(a, b):
			return -1
		case before(b, a):
			return 1
		default:
			return 0
		}
	})
	return at
}

func (q *requestList) remove(r *request) {
	at := q.head + q.search(r)
	if at == q.head {
		q.items[at] = nil
		q.head++
		q.compact()
		return
	}
	q.items = slices.Delete(q.items, at, at+1)
}

// compact frees the space before head once it is at least half of the slice.
func (q *requestList) compact() {
	if q.head*2 < len(q.items) {
		return
	}
	n := copy(q.items, q.elements())
	clear(q.items[n:])
	q.items = q.items[:n]
	q.head = 0
}

// firstUnscanned returns the first request of rank cutoff or later that the current scan hasn't visited, or else
// the first of all that it hasn't visited, or nil.
func (q *requestList) firstUnscanned(scan uint64, cutoff time.Time) *request {
	elements := q.elements()
	at, _ := slices.BinarySearchFunc(elements, cutoff, func(r *request, cutoff time.Time) int { return r.rank.Compare(cutoff) })
	if r := firstNotScanned(elements[at:], scan); r != nil {
		return r
	}
	return firstNotScanned(elements[:at], scan)
}

// countBefore returns the number of requests with a rank before cutoff.
func (q *requestList) countBefore(cutoff time.Time) int {
	at, _ := slices.BinarySearchFunc(q.elements(), cutoff, func(r *request, cutoff time.Time) int { return r.rank.Compare(cutoff) })
	return at
}

func firstNotScanned(requests []*request, scan uint64) *request {
	for _, r := range requests {
		if r.lastScan != scan {
			return r
		}
	}
	return nil
}

func (q *requestList) last() *request {
	if len(q.items) == q.head {
		return nil
	}
	return q.items[len(q.items)-1]
}

// organisationQueue holds the queued requests of one organisation in one class. Requests with reservations are kept
// separately, so that the next one to reserve for is found without a search.
type organisationQueue struct {
	organisation string
	class        *classQueue
	unreserved   requestList
	reserved     requestList
}

func (q *organisationQueue) listFor(r *request) *requestList {
	if len(r.reservations) > 0 {
		return &q.reserved
	}
	return &q.unreserved
}

// length returns the number of requests in the queue.
func (q *organisationQueue) length() int { return q.unreserved.length() + q.reserved.length() }

func (q *organisationQueue) empty() bool {
	return len(q.unreserved.elements()) == 0 && len(q.reserved.elements()) == 0
}

// first returns the next request of the queue: of those that can still be in time the one with the earliest rank,
// or nil.
func (q *organisationQueue) first(now time.Time, scan uint64, unreservedOnly bool) *request {
	cutoff := q.class.class.lateCutoff(now)
	a := q.unreserved.firstUnscanned(scan, cutoff)
	if unreservedOnly {
		return a
	}
	return preferred(a, q.reserved.firstUnscanned(scan, cutoff), cutoff)
}

// reservedCost estimates the cost, in tokens, of the queue's requests with reservations, each taken to be like r.
// An organisation is charged only at dispatch: without this cost the one with the lowest tag would take all
// available reservations, and the gates, which share among organisations by their waiting reservations, wouldn't
// see the others.
func (q *organisationQueue) reservedCost(r *request) int64 {
	return int64(q.reserved.length()) * (int64(r.PromptTokens) + int64(r.estimatedOutput) + 1)
}

// preferred returns which of two requests goes first: one that can still be in time, then the one of earlier rank.
// A nil request loses against any other.
func preferred(a, b *request, cutoff time.Time) *request {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.rank.Before(cutoff) && !b.rank.Before(cutoff):
		return b
	case b.rank.Before(cutoff) && !a.rank.Before(cutoff):
		return a
	case before(b, a):
		return b
	default:
		return a
	}
}

func (q *organisationQueue) last() *request {
	a, b := q.unreserved.last(), q.reserved.last()
	if a == nil || (b != nil && before(a, b)) {
		return b
	}
	return a
}

// classQueue holds the non-empty queues of one class, sorted by organisation.
type classQueue struct {
	class         *class
	tier          *tierQueue
	organisations []*organisationQueue
}

// tierQueue holds the queued requests of one tier in one pool, by class and sorted by class name.
type tierQueue struct {
	clock   *fair.Clock
	classes []*classQueue
	count   int
}

// queuePosition is the position of a request in the order of its tier.
type queuePosition struct {
	request  *request
	priority int   // of its class; higher goes first
	tag      int64 // of its organisation; lower goes first
}

// precedes reports whether a goes before b: requests that aren't in excess, then those that aren't late, then by the priority of
// its class, then requests that aren't overdue, then the organisation with the lower tag, then the earlier rank.
func (a queuePosition) precedes(b queuePosition) bool {
	if a.request.excess != b.request.excess {
		return b.request.excess
	}
	if a.request.late != b.request.late {
		return b.request.late
	}
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	if a.request.Overdue != b.request.Overdue {
		return b.request.Overdue
	}
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return before(a.request, b.request)
}

// next returns the first request in order that the current scan hasn't visited, or nil.
func (t *tierQueue) next(now time.Time, scan uint64, unreservedOnly bool) *request {
	var best queuePosition
	for _, c := range t.classes {
		if p := c.next(now, scan, unreservedOnly); p.request != nil && (best.request == nil || p.precedes(best)) {
			best = p
		}
	}
	return best.request
}

func (c *classQueue) next(now time.Time, scan uint64, unreservedOnly bool) queuePosition {
	var best queuePosition
	earliest := time.Time{}
	for _, q := range c.organisations {
		r := q.first(now, scan, unreservedOnly)
		if r == nil {
			continue
		}
		if !r.late && (earliest.IsZero() || r.dueAt().Before(earliest)) {
			earliest = r.dueAt()
		}
		p := queuePosition{request: r, tag: c.tier.clock.Tag(q.organisation)}
		if unreservedOnly {
			p.tag += q.reservedCost(r)
		}
		if best.request == nil || p.precedes(best) {
			best = p
		}
	}
	if best.request != nil {
		if earliest.IsZero() {
			earliest = best.request.dueAt()
		}
		best.priority = c.class.priority(now, earliest, best.request)
	}
	return best
}

// worst returns the request that would be served last, or nil.
func (t *tierQueue) worst(now time.Time) *request {
	var worst queuePosition
	for _, c := range t.classes {
		for _, q := range c.organisations {
			r := q.last()
			p := queuePosition{request: r, tag: t.clock.Tag(q.organisation), priority: c.class.priority(now, r.dueAt(), r)}
			if worst.request == nil || worst.precedes(p) {
				worst = p
			}
		}
	}
	return worst.request
}

func (t *tierQueue) organisationQueue(c *class, organisation string) *organisationQueue {
	at, ok := slices.BinarySearchFunc(t.classes, c.name, func(q *classQueue, name string) int {
		return cmp.Compare(q.class.name, name)
	})
	if !ok {
		t.classes = slices.Insert(t.classes, at, &classQueue{class: c, tier: t})
	}
	return t.classes[at].organisationQueue(organisation)
}

func (c *classQueue) organisationQueue(organisation string) *organisationQueue {
	at, ok := c.search(organisation)
	if !ok {
		c.organisations = slices.Insert(c.organisations, at, &organisationQueue{organisation: organisation, class: c})
	}
	return c.organisations[at]
}

func (c *classQueue) search(organisation string) (int, bool) {
	return slices.BinarySearchFunc(c.organisations, organisation, func(q *organisationQueue, name string) int {
		return cmp.Compare(q.organisation, name)
	})
}

// removeEmpty removes an empty organisation queue, and its class queue if that was the last one.
func (t *tierQueue) removeEmpty(q *organisationQueue) {
	at, _ := q.class.search(q.organisation)
	q.class.organisations = slices.Delete(q.class.organisations, at, at+1)
	if len(q.class.organisations) == 0 {
		t.classes = slices.DeleteFunc(t.classes, func(c *classQueue) bool { return c == q.class })
	}
}
