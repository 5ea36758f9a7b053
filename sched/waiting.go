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
