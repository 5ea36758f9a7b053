package quota

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// rateStale is how long an entry that says nothing is assumed to go on at its rate. After that an equal part of
// each cap is set aside for it. Entries tell each second.
const rateStale = 2500 * time.Millisecond

// neverHeard stands for the age of the word of an entry that has told nothing yet.
const neverHeard = time.Hour

// Incarnation is one start of an entry. What it has used counts apart from what its predecessors have.
type Incarnation struct {
	Instance string
	Number   uint64
}

// Ledger adds up what organisations use at the entries, and tells each entry what the others have used. It isn't
// replicated: each control instance goes by what entries tell it with their polls. An entry's word is whole each time,
// so an instance that has just started knows all within one round of polls.
type Ledger struct {
	capOf  func(organisation string, window time.Duration) float64
	listed func() map[string]uint64 // incarnations of the directory's entries, by instance

	mu      sync.Mutex
	entries map[Incarnation]*entryUsage
}

// entryUsage is what one entry told last.
type entryUsage struct {
	at     time.Time
	window time.Duration
	told   map[string]*wire.Usage // by organisation
	// restored says that it was read from the disk after a restart: what the entry used after that is a guess.
	restored bool
}

// NewLedger returns an empty ledger. capOf is an organisation's cap in a window by the desired state in force, and listed
// the incarnations of the directory's entries by instance.
func NewLedger(capOf func(string, time.Duration) float64, listed func() map[string]uint64) *Ledger {
	return &Ledger{capOf: capOf, listed: listed, entries: make(map[Incarnation]*entryUsage)}
}

// Take notes what an entry has used and returns what others have used, its own earlier incarnations too: what they
// admitted counts against the same cap.
func (u *Ledger) Take(from Incarnation, poll *wire.Poll, now time.Time) []*wire.Usage {
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
	listed := u.listed()
	oldest := uint32(min(u.oldest(from, listed, now).Milliseconds(), math.MaxUint32))
	others := make([]*wire.Usage, 0, len(entry.told))
	for _, name := range slices.Sorted(maps.Keys(entry.told)) {
		sum := u.others(from, name, now)
		sum.Used += u.setAside(from, name, listed, now)
		sum.OldestMs = oldest
		others = append(others, sum)
	}
	return others
}

// oldest is how long ago the listed entry spoke that was silent longest; an hour for one that never did. A word from before
// the start counts by its age, so that entries give no benefit of the doubt on the strength of it: with it, use went 0.1%
// beyond the tolerated overrun after a loss of all processes.
func (u *Ledger) oldest(but Incarnation, listed map[string]uint64, now time.Time) time.Duration {
	var oldest time.Duration
	for _, entry := range u.entries {
		if entry.restored {
			oldest = max(oldest, now.Sub(entry.at))
		}
	}
	for instance, number := range listed {
		from := Incarnation{instance, number}
		entry := u.entries[from]
		switch {
		case from == but:
		case entry == nil:
			return neverHeard
		default:
			oldest = max(oldest, now.Sub(entry.at))
		}
	}
	return oldest
}

// setAside is the part of an organisation's cap that listed entries may be using which nobody has heard lately: an entry
// that is cut off keeps to an equal part.
func (u *Ledger) setAside(but Incarnation, organisation string, listed map[string]uint64, now time.Time) uint64 {
	silent := 0
	for instance, number := range listed {
		from := Incarnation{instance, number}
		entry := u.entries[from]
		if from != but && (entry == nil || now.Sub(entry.at) > rateStale) {
			silent++
		}
	}
	if silent == 0 {
		return 0
	}
	window := u.entries[but].window
	return uint64(u.capOf(organisation, window) * float64(silent) / float64(len(listed)))
}

// Others adds up what all but one incarnation used of an organisation's cap, as far as it is in the window still.
func (u *Ledger) Others(but Incarnation, organisation string, now time.Time) *wire.Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.others(but, organisation, now)
}

func (u *Ledger) others(but Incarnation, organisation string, now time.Time) *wire.Usage {
	sum := &wire.Usage{Organisation: organisation}
	for from, entry := range u.entries {
		one := entry.told[organisation]
		if from == but || one == nil {
			continue
		}
		age := now.Sub(entry.at)
		left := one.Left(age, entry.window)
		sum.Used += uint64(left)
		sum.Leaving += uint64(left - one.Left(age+time.Second, entry.window))
		if age < rateStale {
			sum.Used += uint64(float64(one.GetRate()) * age.Seconds())
			sum.Rate += one.GetRate()
		}
	}
	return sum
}

// forget drops entries whose use has left the window.
func (u *Ledger) forget(now time.Time) {
	for from, entry := range u.entries {
		if now.Sub(entry.at) >= entry.window {
			delete(u.entries, from)
		}
	}
}

// Entries is how many incarnations the ledger goes by.
func (u *Ledger) Entries() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.entries)
}
