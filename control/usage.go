package control

import (
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// usageForgotten is how long an entry may say nothing until its counts are dropped. A later word of it begins anew.
const usageForgotten = time.Minute

// usage adds up what organisations use at the entries, and tells each entry what the others have used. It isn't
// replicated: each control instance adds up what entries tell it, and an entry goes by the differences that one
// instance gives it.
type usage struct {
	mu      sync.Mutex
	total   map[string]uint64 // by organisation, since this instance began
	entries map[incarnation]*entryUsage
}

// entryUsage is what one entry told.
type entryUsage struct {
	heard time.Time
	last  map[string]uint64 // as told last, by organisation
	added map[string]uint64 // part of the total
}

func newUsage() *usage {
	return &usage{total: make(map[string]uint64), entries: make(map[incarnation]*entryUsage)}
}

func (s *session) usageKey() incarnation {
	return incarnation{s.client.instance, s.hello.GetIncarnation()}
}

// take adds what an entry has used since it told last, and returns what others have used. What an entry used before its
// first word here isn't added: other instances may have told of it already.
func (u *usage) take(from incarnation, told []*wire.Usage, now time.Time) []*wire.OtherUsage {
	if len(told) == 0 {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.forget(now)
	entry := u.entries[from]
	if entry == nil {
		entry = &entryUsage{last: make(map[string]uint64), added: make(map[string]uint64)}
		u.entries[from] = entry
	}
	entry.heard = now
	others := make([]*wire.OtherUsage, 0, len(told))
	for _, one := range told {
		name := one.GetOrganisation()
		if last, known := entry.last[name]; known && one.GetUsed() > last {
			u.total[name] += one.GetUsed() - last
			entry.added[name] += one.GetUsed() - last
		}
		entry.last[name] = one.GetUsed()
		others = append(others, &wire.OtherUsage{Organisation: name, Used: u.total[name] - entry.added[name]})
	}
	return others
}

func (u *usage) forget(now time.Time) {
	for from, entry := range u.entries {
		if now.Sub(entry.heard) > usageForgotten {
			delete(u.entries, from)
		}
	}
}
