package entry

import (
	"context"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/sched"
)

// unusedLinkInterval is the interval between checks for open links that are no longer used.
const unusedLinkInterval = 2 * time.Second

// closeUnused closes open links to agents that are no longer in this entry's subset, once they have no attempts.
//
// The agents of a starting fleet register one after another, so an entry's subset changes until all have registered. If
// the earlier links were kept, most entries would end up with twice their number of links.
func (l *links) closeUnused(ctx context.Context) {
	removed := l.removedLinks()
	if len(removed) == 0 {
		return
	}
	var idle []string
	err := l.entry.queryScheduler(ctx, func(s *sched.Scheduler) {
		idle = slices.DeleteFunc(removed, s.HasAttempts)
	})
	if err != nil {
		return // the entry is stopping
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
