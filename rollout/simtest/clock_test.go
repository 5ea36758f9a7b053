package simtest

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"time"
)

// start is the virtual time at which each schedule begins.
var start = time.Unix(1_700_000_000, 0)

// clock runs what is due in the order of time, and of submission at the same time.
type clock struct {
	now    time.Time
	random *rand.Rand
	queue  dueQueue
	count  uint64
}

type due struct {
	at    time.Time
	order uint64
	run   func()
}

type dueQueue []due

func (q dueQueue) Len() int { return len(q) }

func (q dueQueue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}

func (q dueQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *dueQueue) Push(x any) { *q = append(*q, x.(due)) }

func (q *dueQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = due{}
	*q = old[:len(old)-1]
	return last
}

func (c *clock) after(d time.Duration, run func()) {
	c.count++
	heap.Push(&c.queue, due{c.now.Add(d), c.count, run})
}

// every calls run at an interval, first after a random part of it.
func (c *clock) every(interval time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		c.after(interval, again)
	}
	c.after(c.upTo(interval), again)
}

// runUntil runs what is due until done reports true.
func (c *clock) runUntil(done func() bool) {
	for len(c.queue) > 0 && !done() {
		next := heap.Pop(&c.queue).(due)
		c.now = next.at
		next.run()
	}
}

func (c *clock) upTo(d time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(d) + 1))
}

func (c *clock) between(low, high time.Duration) time.Duration { return low + c.upTo(high-low) }

func (c *clock) uniform(low, high float64) float64 { return low + (high-low)*c.random.Float64() }

func (c *clock) since(t time.Time) time.Duration { return c.now.Sub(t) }
