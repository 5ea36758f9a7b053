package entry

import (
	"context"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/sched"
)

// unusedInterval is how often links are looked for that are open and have no work any more.
const unusedInterval = 2 * time.Second

// dropUnused closes the open links to agents that aren't this entry's any more, once no attempt is there.
//
// A fleet that starts registers its agents one after the other, so the part of them that is an entry's changes until all are
// there. Were the earlier links kept, most entries would end with twice their part.
func (l *links) dropUnused(ctx context.Context) {
	removed := l.removedLinks()
	if len(removed) == 0 {
		return
	}
	var idle []string
	err := l.entry.ask(ctx, func(s *sched.Scheduler) {
		idle = slices.DeleteFunc(removed, s.HasAttempts)
	})
	if err != nil {
		return // the entry stops
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range idle {
		if a := l.byName[name]; a != nil && a.removed {
			a.stop()
			delete(l.byName, name)
		}
	}
}

func (l *links) removedLinks() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var removed []string
	for name, a := range l.byName {
		if a.removed {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return removed
}
