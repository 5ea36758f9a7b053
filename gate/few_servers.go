package gate

import "slices"

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
		if a.work.GetOverdue() != head.work.GetOverdue() || g.missesDeadline(a, 0) || g.blockReasonOf(a) != notBlocked || g.makesLate(waiting[:i]) {
			return head
		}
		return a
	}
	return head
}

// makesLate reports whether one of the attempts, in the order in which they would be served, misses its objective or its
// deadline because each of them waits for one slot more.
func (g *Gate) makesLate(passed []*attempt) bool {
	slots := g.slotTimes()
	for i, a := range passed {
		slack := g.slackToStart(a)
		if slack <= 0 {
			continue // late already
		}
		now, known := slots.wait(1 + i)
		later, knownLater := slots.wait(2 + i)
		if !known || !knownLater || now <= slack && later > slack {
			return true
		}
	}
	return false
}
