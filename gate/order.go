package gate

import (
	"container/heap"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/fair"
	"github.com/carawaypitch/carawaypitch/wire"
)

// firstTier is the tier that is never refused for want of room while work of lower tiers runs or waits.
const firstTier = 1

// waitingList holds the waiting attempts. They are ordered by tier, by whether they can meet their deadline, by
// urgency of the class, by organisation (start-time fair queueing) and by deadline. The order doesn't depend on the
// entry, the availability zone or the server.
type waitingList struct {
	tiers       []*tierQueues // in ascending order, the highest tier first
	count       int
	servedShare servedShare
}

// tierQueues holds the queues of one tier. Virtual time is kept for each tier, so that service received in one tier
// doesn't count against an organisation in another.
type tierQueues struct {
	tier    uint32
	queues  []*queue // in order of creation
	classes map[string]*classState
	clock   *fair.Clock
	active  activeOrganisations
	count   int
}

// queue holds the waiting attempts of one class and organisation that have the same precedence.
//
// Each entry sets the precedence of its own requests: a class that is starved at one entry goes first there. If the
// last reported precedence applied to the class as a whole, one entry's starved requests would move those of all
// entries to the front.
type queue struct {
	tier         *tierQueues
	class        *classState
	organisation string
	precedence   uint32 // order of the class within its tier, 1 goes first; 0 means that urgency decides
	timely, late attemptHeap
}

// band returns the position of the queue within its tier. Higher values go first.
func (q *queue) band() int {
	if q.precedence > 0 {
		return -int(q.precedence)
	}
	return q.class.band
}

func (q *queue) len() int { return len(q.timely) + len(q.late) }

func newWaitingList() waitingList { return waitingList{} }

func (w *waitingList) tier(tier uint32) *tierQueues {
	at, found := slices.BinarySearchFunc(w.tiers, tier, func(t *tierQueues, tier uint32) int {
		return int(t.tier) - int(tier)
	})
	if !found {
		t := &tierQueues{tier: tier, classes: map[string]*classState{}, clock: fair.New()}
		w.tiers = slices.Insert(w.tiers, at, t)
	}
	return w.tiers[at]
}

// pruneQueuesAbove is the number of queues of a tier from which on empty ones are removed.
const pruneQueuesAbove = 64

func (t *tierQueues) queue(w *wire.Work) *queue {
	for _, q := range t.queues {
		if q.class.name == w.GetClass() && q.organisation == w.GetOrganisation() && q.precedence == w.GetPrecedence() {
			return q
		}
	}
	if len(t.queues) >= pruneQueuesAbove {
		t.queues = slices.DeleteFunc(t.queues, func(q *queue) bool { return q.len() == 0 })
	}
	q := &queue{tier: t, class: t.class(w.GetClass()), organisation: w.GetOrganisation(), precedence: w.GetPrecedence()}
	t.queues = append(t.queues, q)
	return q
}

func (t *tierQueues) class(name string) *classState {
	c := t.classes[name]
	if c == nil {
		c = &classState{name: name}
		t.classes[name] = c
	}
	return c
}

// enqueue adds an attempt to the waiting list.
func (g *Gate) enqueue(a *attempt) {
	t := g.waiting.tier(a.tier())
	q := t.queue(a.work)
	q.class.observe(a.work)
	a.wait.queue = q
	a.wait.late = a.wait.late || a.work.GetMayBeLate() && a.work.GetRemainingMs() == 0
	q.push(a)
	t.clock.Enter(q.organisation)
	t.count++
	g.waiting.count++
	g.room.dirty = true
}

// renewWork updates the urgency of a waiting attempt's class, and the attempt's precedence. A request that became late
// while it waited comes with another precedence.
func (g *Gate) renewWork(a *attempt, w *wire.Work) {
	a.wait.queue.class.observe(w)
	if a.wait.heap == nil || w.GetPrecedence() == a.wait.queue.precedence {
		return
	}
	g.dequeue(a)
	a.work.Precedence = w.GetPrecedence()
	a.work.Overdue = w.GetOverdue()
	g.enqueue(a)
}

// dequeue removes an attempt from the waiting list, if it is in it.
func (g *Gate) dequeue(a *attempt) {
	if a.wait.heap == nil {
		return
	}
	heap.Remove(a.wait.heap, a.wait.index)
	a.wait.heap = nil
	t := a.wait.queue.tier
	t.active.touch(t, a.wait.queue.organisation, g.now)
	t.clock.Leave(a.wait.queue.organisation)
	t.count--
	g.waiting.count--
	g.room.dirty = true
}

func (q *queue) push(a *attempt) {
	a.wait.heap = &q.timely
	if a.wait.late {
		a.wait.heap = &q.late
	}
	heap.Push(a.wait.heap, a)
}

// makeLate moves an attempt behind all that can still meet their deadline.
func (a *attempt) makeLate() {
	if a.wait.heap != nil {
		heap.Remove(a.wait.heap, a.wait.index)
	}
	a.wait.late = true
	a.wait.queue.push(a)
}

// bestWaiting returns the waiting attempt that goes next, or nil.
func (g *Gate) bestWaiting() *attempt {
	for _, t := range g.waiting.tiers {
		if a := g.bestInTier(t); a != nil {
			return a
		}
	}
	return nil
}

func (g *Gate) bestInTier(t *tierQueues) *attempt {
	if t.count == 0 {
		return nil
	}
	g.settleMissedHeads(t)
	g.updateBands(t)
	if a := t.bestHead(func(q *queue) attemptHeap { return q.timely }); a != nil {
		return a
	}
	return t.bestHead(func(q *queue) attemptHeap { return q.late })
}

// bestHead returns the head of a queue that goes first, or nil.
func (t *tierQueues) bestHead(headsOf func(*queue) attemptHeap) *attempt {
	var best *attempt
	var bestTag int64
	for _, q := range t.queues {
		heads := headsOf(q)
		if len(heads) == 0 {
			continue
		}
		tag := t.clock.Tag(q.organisation)
		if best == nil || precedes(heads[0], tag, best, bestTag) {
			best, bestTag = heads[0], tag
		}
	}
	return best
}

func precedes(a *attempt, tag int64, b *attempt, otherTag int64) bool {
	if x, y := a.wait.queue.band(), b.wait.queue.band(); x != y {
		return x > y
	}
	if a.work.GetOverdue() != b.work.GetOverdue() {
		return b.work.GetOverdue()
	}
	if tag != otherTag {
		return tag < otherTag
	}
	return earlier(a, b)
}

// earlier reports whether a goes before b: attempts that aren't overdue first, then by deadline, then by arrival.
// An attempt without a deadline comes last.
func earlier(a, b *attempt) bool {
	if a.work.GetOverdue() != b.work.GetOverdue() {
		return b.work.GetOverdue()
	}
	if a.deadline.Equal(b.deadline) {
		return a.sequence < b.sequence
	}
	if a.deadline.IsZero() || b.deadline.IsZero() {
		return b.deadline.IsZero()
	}
	return a.deadline.Before(b.deadline)
}

// settleMissedHeads handles queue heads that can't meet their deadline any more. Work that must not be late is
// refused before any prefill is spent. Work that may be late, and first-tier work whose deadline has not passed,
// moves behind all timely attempts, because the first tier is never refused for want of room.
func (g *Gate) settleMissedHeads(t *tierQueues) {
	for _, q := range t.queues {
		for len(q.timely) > 0 && g.missesDeadline(q.timely[0], 0) {
			a := q.timely[0]
			a.wait.queue.class.recordLateness(true)
			if a.work.GetMayBeLate() || a.tier() == firstTier && !g.deadlinePassed(a) {
				a.makeLate()
				continue
			}
			g.refuseWaiting(a, g.lateRefusal(a))
		}
	}
}

func (g *Gate) lateRefusal(a *attempt) refusal {
	if g.deadlinePassed(a) {
		return refuseDeadline
	}
	return refuseTooLate(g.backlog())
}

func (g *Gate) deadlinePassed(a *attempt) bool {
	return !a.deadline.IsZero() && !g.now.Before(a.deadline)
}

// missesDeadline reports whether an attempt that starts after the given wait is predicted to end after its
// deadline. It adds the latency to the entry: otherwise calls would end in time here and late at the entry.
func (g *Gate) missesDeadline(a *attempt, wait time.Duration) bool {
	if a.deadline.IsZero() {
		return false
	}
	return g.now.Add(wait + g.predictRuntime(a.work) + g.offerLatency.mean).After(a.deadline)
}

// attemptHeap orders attempts by deadline and arrival, for container/heap.
type attemptHeap []*attempt

func (h attemptHeap) Len() int           { return len(h) }
func (h attemptHeap) Less(i, j int) bool { return earlier(h[i], h[j]) }

func (h attemptHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].wait.index = i
	h[j].wait.index = j
}

// Push implements heap.Interface.
func (h *attemptHeap) Push(x any) {
	a := x.(*attempt)
	a.wait.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *attemptHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return a
}
