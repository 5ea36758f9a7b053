package gate

import (
	"slices"
	"time"
)

// maxPassed bounds the waiting attempts that one that only few servers finish in time may go before.
const maxPassed = 16

// maxPasses bounds how often attempts behind it in its queue may go before a waiting one. Without a bound a steady flow of
// attempts that only few servers finish in time keeps a head waiting until it would be late.
const maxPasses = 4

// preferFewServers returns the attempt to serve next instead of the head of a queue: the first of the same class,
// organisation and lateness that only few servers can finish in time, if all that it goes before stay in time. It
// takes the turn of the head, so the order of classes and organisations doesn't change.
func (g *Gate) preferFewServers(head *attempt) *attempt {
	if !g.config.FewServersFirst || head == nil || head.work.GetFewServers() || head.wait.heap == nil {
		return head
	}
	order := newHeapOrder(*head.wait.heap)
	for range maxPassed + 1 {
		a := order.pop()
		if a == nil || a.work.GetOverdue() != head.work.GetOverdue() {
			return head
		}
		if !a.work.GetFewServers() {
			if a.wait.passes >= maxPasses {
				return head
			}
			continue
		}
		if g.mayGoFirst(a) {
			return a
		}
		return head
	}
	return head
}

// countPasses counts that an attempt that is about to be served goes before others of its queue.
func (g *Gate) countPasses(a *attempt) {
	if !g.config.FewServersFirst || !a.work.GetFewServers() || a.wait.heap == nil {
		return
	}
	order := newHeapOrder(*a.wait.heap)
	for range maxPassed {
		passed := order.pop()
		if passed == nil || passed == a {
			return
		}
		passed.wait.passes++
	}
}

// mayGoFirst reports whether an attempt can be offered room, will be in time and makes none of the others late.
func (g *Gate) mayGoFirst(a *attempt) bool {
	return !g.missesDeadline(a, 0) && g.blockReasonOf(a) == notBlocked && !g.makesLate(a)
}

// makesLate reports whether one of the attempts of the tier, of whatever class and organisation, misses its objective or
// its deadline if the given one is served first. It is assumed if that one would go before more than maxPassed.
func (g *Gate) makesLate(first *attempt) bool {
	slots := g.slotTimes()
	if !slots.known || len(slots.times) == 0 {
		return true
	}
	before := g.forecastStarts(slots.times, nil, maxPassed+1)
	at := slices.IndexFunc(before, func(s forecastStart) bool { return s.attempt == first })
	if at < 0 {
		return true
	}
	// Served first, the attempt is charged to its organisation first, so others may go before those that it passes.
	after := g.forecastStarts(slots.times, first, 2*(maxPassed+1))
	for _, s := range before[:at] {
		if g.startsLate(s.attempt, s.wait) {
			continue
		}
		later := slices.IndexFunc(after, func(x forecastStart) bool { return x.attempt == s.attempt })
		if later < 0 || g.startsLate(s.attempt, after[later].wait) {
			return true
		}
	}
	return false
}

// startsLate reports whether an attempt that starts after the wait misses its objective or its deadline.
func (g *Gate) startsLate(a *attempt, wait time.Duration) bool {
	return wait > g.slackToStart(a) || g.missesDeadline(a, wait)
}

// forecastStart is when a waiting attempt is expected to start.
type forecastStart struct {
	attempt *attempt
	wait    time.Duration
}

// forecastStarts returns the expected starts of up to n attempts of the highest tier that waits, in the order in which they
// are served, with the given one first unless it is nil. No arrivals are expected.
func (g *Gate) forecastStarts(slots []time.Duration, first *attempt, n int) []forecastStart {
	times := slices.Clone(slots)
	order := g.newServingOrder(first)
	var starts []forecastStart
	for len(starts) < n {
		a := order.next()
		if a == nil {
			break
		}
		starts = append(starts, forecastStart{attempt: a, wait: times[0]})
		times[0] += g.predictRuntime(a.work)
		slices.Sort(times)
	}
	return starts
}

// servingOrder visits waiting attempts in the order in which they are served, as bestHead does, without removing them.
type servingOrder struct {
	gate   *Gate
	first  *attempt // goes before all others; nil for none
	given  bool     // first has been returned
	queues []*heapOrder
	tags   map[string]int64 // of the organisations, with the attempts returned so far
}

// newServingOrder covers the timely attempts of the highest tier that waits, or its late ones if there are no others.
func (g *Gate) newServingOrder(first *attempt) *servingOrder {
	o := &servingOrder{gate: g, first: first, tags: map[string]int64{}}
	for _, t := range g.waiting.tiers {
		if t.count == 0 {
			continue
		}
		for _, late := range []bool{false, true} {
			for _, q := range t.queues {
				waiting := q.timely
				if late {
					waiting = q.late
				}
				if len(waiting) > 0 {
					o.queues = append(o.queues, newHeapOrder(waiting))
					o.tags[q.organisation] = t.clock.Tag(q.organisation)
				}
			}
			if len(o.queues) > 0 {
				return o
			}
		}
	}
	return o
}

// next returns the next attempt, or nil.
func (o *servingOrder) next() *attempt {
	if o.first != nil && !o.given {
		o.given = true
		o.charge(o.first)
		return o.first
	}
	var best *heapOrder
	for _, q := range o.queues {
		if q.peek() != nil && q.peek() == o.first {
			q.pop()
		}
		if q.peek() != nil && (best == nil || precedes(q.peek(), o.tag(q.peek()), best.peek(), o.tag(best.peek()))) {
			best = q
		}
	}
	if best == nil {
		return nil
	}
	a := best.pop()
	o.charge(a)
	return a
}

func (o *servingOrder) tag(a *attempt) int64 { return o.tags[a.wait.queue.organisation] }

func (o *servingOrder) charge(a *attempt) {
	o.tags[a.wait.queue.organisation] += max(o.gate.estimateCost(a.work), 0)
}

// heapOrder visits the attempts of a heap in order, without sorting or changing it.
type heapOrder struct {
	heap attemptHeap
	next []int // indices whose parents have been visited, in order
}

func newHeapOrder(h attemptHeap) *heapOrder {
	o := &heapOrder{heap: h}
	if len(h) > 0 {
		o.next = append(o.next, 0)
	}
	return o
}

// peek returns the next attempt, or nil.
func (o *heapOrder) peek() *attempt {
	if len(o.next) == 0 {
		return nil
	}
	return o.heap[o.next[0]]
}

// pop returns the next attempt, or nil, and goes on to the one after it.
func (o *heapOrder) pop() *attempt {
	a := o.peek()
	if a == nil {
		return nil
	}
	i := o.next[0]
	o.next = o.next[1:]
	for child := 2*i + 1; child <= 2*i+2 && child < len(o.heap); child++ {
		at, _ := slices.BinarySearchFunc(o.next, child, o.compare)
		o.next = slices.Insert(o.next, at, child)
	}
	return a
}

func (o *heapOrder) compare(i, j int) int {
	switch {
	case o.heap.Less(i, j):
		return -1
	case o.heap.Less(j, i):
		return 1
	default:
		return 0
	}
}
