package sched

import (
	"cmp"
	"slices"
	"time"
)

// TargetQueue summarises the queue for one model or service.
type TargetQueue struct {
	Kind       string
	Target     string
	Queued     [tierCount]int // tier 1 first
	OldestWait time.Duration  // since the earliest arrival among the queued requests
}

// TargetQueues returns the queues of all targets as of the last Step, sorted by kind and target. A target without
// queued requests is omitted. The cost is linear in the number of live requests.
func (s *Scheduler) TargetQueues() []TargetQueue {
	byPool := make(map[poolKey]*TargetQueue)
	for _, r := range s.requests {
		if r.state != queued && r.state != reserved {
			continue
		}
		w := byPool[r.pool.key]
		if w == nil {
			w = &TargetQueue{Kind: r.pool.key.kind, Target: r.pool.key.target}
			byPool[r.pool.key] = w
		}
		w.Queued[r.tier]++
		w.OldestWait = max(w.OldestWait, s.now.Sub(r.Arrived))
	}
	all := make([]TargetQueue, 0, len(byPool))
	for _, w := range byPool {
		all = append(all, *w)
	}
	slices.SortFunc(all, func(a, b TargetQueue) int {
		if order := cmp.Compare(a.Kind, b.Kind); order != 0 {
			return order
		}
		return cmp.Compare(a.Target, b.Target)
	})
	return all
}

// HeldCount counts the requests of an organisation in one class that are held as late.
type HeldCount struct {
	Class        string
	Organisation string
	Requests     int
}

// HeldRequests returns the requests that are held as late as of the last Step, sorted by class and organisation. They are
// also counted by TargetQueues.
func (s *Scheduler) HeldRequests() []HeldCount {
	type key struct{ class, organisation string }
	counts := map[key]int{}
	for _, r := range s.requests {
		if r.late && (r.state == queued || r.state == reserved) {
			counts[key{r.class.name, r.Organisation}]++
		}
	}
	all := make([]HeldCount, 0, len(counts))
	for k, n := range counts {
		all = append(all, HeldCount{Class: k.class, Organisation: k.organisation, Requests: n})
	}
	slices.SortFunc(all, func(a, b HeldCount) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Organisation, b.Organisation))
	})
	return all
}
