package gate

import (
	"slices"
	"time"
)

// maxPassed bounds the waiting attempts that one that only few servers finish in time may go before.
const maxPassed = 16

// preferFewServers returns the attempt to serve next instead of the head of a queue: the first of the same class,
// organisation and lateness that only few servers can finish in time, if all that it goes before stay in time. It
// takes the turn of the head, so the order of classes and organisations doesn't change.
func (g *Gate) preferFewServers(head *attempt) *attempt {
	if !g.config.FewServersFirst || head == nil || head.work.GetFewServers() || head.wait.heap == nil {
		return head
	}
	few := func(a *attempt) bool { return a.work.GetFewServers() }
	if !slices.ContainsFunc(*head.wait.heap, few) {
		return head
	}
	waiting := slices.SortedFunc(slices.Values(*head.wait.heap), func(a, b *attempt) int {
		if earlier(a, b) {
			return -1
		}
		return 1
	})
	for i, a := range waiting[:min(len(waiting), maxPassed+1)] {
		if !a.work.GetFewServers() {
			continue
		}
		if a.work.GetOverdue() == head.work.GetOverdue() && g.mayGoBefore(a, waiting[:i]) {
			return a
		}
		return head
	}
	return head
}

// mayGoBefore reports whether an attempt can be offered room, will be in time and makes none of the others late.
func (g *Gate) mayGoBefore(a *attempt, others []*attempt) bool {
	return !g.missesDeadline(a, 0) && g.blockReasonOf(a) == notBlocked && !g.makesLate(others, g.predictRuntime(a.work))
}

// makesLate reports whether one of the attempts, in the order in which they would be served, misses its objective or its
// deadline if another takes the next slot first for the given time. It is assumed of attempts beyond the number of slots.
func (g *Gate) makesLate(passed []*attempt, run time.Duration) bool {
	before := g.slotTimes()
	if !before.known || len(passed) > len(before.times) {
		return true
	}
	after := before.taken(run)
	for i, a := range passed {
		slack := g.slackToStart(a)
		earlier, _ := before.wait(1 + i)
		later, _ := after.wait(1 + i)
		if earlier <= slack && later > slack {
			return true
		}
	}
	return false
}

// taken returns the times after the next slot was taken for the given time.
func (t *slotTimes) taken(run time.Duration) slotTimes {
	times := slices.Clone(t.times)
	times[0] += run
	slices.Sort(times)
	return slotTimes{times: times, known: t.known}
}
