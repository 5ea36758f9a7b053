package control

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// usageRateStale is how long an entry that says nothing is assumed to go on at its rate.
const usageRateStale = 3 * time.Second

// usage adds up what organisations use at the entries, and tells each entry what the others have used. It isn't
// replicated: each control instance goes by what entries tell it with their polls. An entry's word is whole each time,
// so an instance that has just started knows all within one round of polls.
type usage struct {
	mu      sync.Mutex
	entries map[incarnation]*entryUsage
}

// entryUsage is what one entry told last.
type entryUsage struct {
	at     time.Time
	window time.Duration
	told   map[string]*wire.Usage // by organisation
}

func newUsage() *usage {
	return &usage{entries: make(map[incarnation]*entryUsage)}
}

func (s *session) usageKey() incarnation {
	return incarnation{s.client.instance, s.hello.GetIncarnation()}
}

// take notes what an entry has used and returns what others have used, its own earlier incarnations too: what they
// admitted counts against the same cap.
func (u *usage) take(from incarnation, poll *wire.Poll, now time.Time) []*wire.Usage {
	if len(poll.GetUsage()) == 0 {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	entry := &entryUsage{
		at:     now,
		window: time.Duration(poll.GetUsageWindowMs()) * time.Millisecond,
		told:   make(map[string]*wire.Usage, len(poll.GetUsage())),
	}
	for _, one := range poll.GetUsage() {
		entry.told[one.GetOrganisation()] = one
	}
	u.entries[from] = entry
	u.forget(now)
	others := make([]*wire.Usage, 0, len(entry.told))
	for _, name := range slices.Sorted(maps.Keys(entry.told)) {
		others = append(others, u.others(from, name, now))
	}
	return others
}

// others adds up what all but one incarnation used of an organisation's cap. What an entry told a while ago leaves the
// window evenly.
func (u *usage) others(but incarnation, organisation string, now time.Time) *wire.Usage {
	sum := &wire.Usage{Organisation: organisation}
	for from, entry := range u.entries {
		one := entry.told[organisation]
		if from == but || one == nil {
			continue
		}
		age := now.Sub(entry.at)
		left := 1 - age.Seconds()/entry.window.Seconds()
		sum.Used += uint64(float64(one.GetUsed()) * left)
		if age < usageRateStale {
			sum.Used += uint64(float64(one.GetRate()) * age.Seconds())
			sum.Rate += one.GetRate()
		}
	}
	return sum
}

// forget drops entries whose use has left the window.
func (u *usage) forget(now time.Time) {
	for from, entry := range u.entries {
		if now.Sub(entry.at) >= entry.window {
			delete(u.entries, from)
		}
	}
}
