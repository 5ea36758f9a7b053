package control

import (
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Times of the entries' reports.
const (
	// reportWindow is how far back the counts of the classes reach.
	reportWindow = time.Minute
	// reportStep is the time between two reports that are kept.
	reportStep = 5 * time.Second
	// reportStale is how old the queues of a report may be. Those of an entry that died would otherwise be shown on.
	reportStale = 20 * time.Second
)

// reports keeps what entries said of their classes and queues over the window. It isn't replicated: each control
// instance has what it heard itself.
type reports struct {
	mu      sync.Mutex
	entries map[incarnation]*entryReports
}

// incarnation is one start of an entry. Its counts begin at zero.
type incarnation struct {
	instance string
	number   uint64
}

// entryReports are the reports of one incarnation.
type entryReports struct {
	kept []report // one each reportStep; the first is the start of the window
	last report
}

type report struct {
	at      time.Time
	classes map[string]*wire.ClassReport
	targets []*wire.TargetReport
}

func newReports() *reports {
	return &reports{entries: make(map[incarnation]*entryReports)}
}

// report notes what came with a poll, if anything.
func (s *session) report(r *wire.EntryReport) {
	if r == nil || s.client.role != wire.Role_ROLE_ENTRY {
		return
	}
	s.control.reports.take(incarnation{s.client.instance, s.hello.GetIncarnation()}, r, time.Now())
}

// take notes a report. The first one that is heard of an incarnation is where its window starts: what it counts may
// have happened long before.
func (r *reports) take(from incarnation, message *wire.EntryReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.entries[from]
	if entry == nil {
		entry = new(entryReports)
		r.entries[from] = entry
	}
	entry.last = newReport(message, now)
	if n := len(entry.kept); n == 0 || now.Sub(entry.kept[n-1].at) >= reportStep {
		entry.kept = append(entry.kept, entry.last)
	}
	r.forget(now)
}

func newReport(message *wire.EntryReport, now time.Time) report {
	classes := make(map[string]*wire.ClassReport, len(message.GetClasses()))
	for _, c := range message.GetClasses() {
		classes[c.GetName()] = c
	}
	return report{at: now, classes: classes, targets: message.GetTargets()}
}

// forget drops what the window has left behind, so that reports are bounded by the entries heard within it.
func (r *reports) forget(now time.Time) {
	for from, entry := range r.entries {
		if now.Sub(entry.last.at) > reportWindow {
			delete(r.entries, from)
			continue
		}
		for len(entry.kept) > 1 && now.Sub(entry.kept[1].at) >= reportWindow {
			entry.kept = entry.kept[1:]
		}
	}
}

// reported is the sum over all entries.
type reported struct {
	entries int // heard lately
	window  map[string]classCount
	total   map[string]classCount
	targets map[targetKey]targetCount
}

type classCount struct {
	good, late, lost uint64
	refusals         map[uint32]uint64 // by first code of the group
}

type targetKey struct{ kind, name string }

type targetCount struct {
	queued   [tiers]uint32
	oldestMS uint64
}

const tiers = 3

// sum adds up the entries. Counts are over the window, and as totals since the incarnations began.
func (r *reports) sum(now time.Time) reported {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	out := reported{
		window:  make(map[string]classCount),
		total:   make(map[string]classCount),
		targets: make(map[targetKey]targetCount),
	}
	newest := r.newest()
	for from, entry := range r.entries {
		out.addWindow(entry)
		if from.number == newest[from.instance] {
			out.addPresent(entry, now)
		}
	}
	return out
}

// newest returns the newest incarnation of each entry. What waited at an older one is gone with it.
func (r *reports) newest() map[string]uint64 {
	newest := make(map[string]uint64)
	for from := range r.entries {
		newest[from.instance] = max(newest[from.instance], from.number)
	}
	return newest
}

// addWindow adds what was counted within the window, also by an incarnation that has ended meanwhile.
func (r *reported) addWindow(entry *entryReports) {
	for name, c := range entry.last.classes {
		r.window[name] = r.window[name].plus(c, entry.kept[0].classes[name])
	}
}

// addPresent adds the totals of an entry and what waits there.
func (r *reported) addPresent(entry *entryReports, now time.Time) {
	for name, c := range entry.last.classes {
		r.total[name] = r.total[name].plus(c, nil)
	}
	if now.Sub(entry.last.at) <= reportStale {
		r.entries++
		r.addTargets(entry.last.targets)
	}
}

// plus adds what was counted between two reports of one incarnation.
func (c classCount) plus(last, first *wire.ClassReport) classCount {
	c.good += last.GetGood() - first.GetGood()
	c.late += last.GetLate() - first.GetLate()
	c.lost += last.GetLost() - first.GetLost()
	before := make(map[uint32]uint64)
	for _, r := range first.GetRefusals() {
		before[r.GetGroup()] = r.GetCount()
	}
	sum := make(map[uint32]uint64)
	for group, n := range c.refusals {
		sum[group] = n
	}
	for _, r := range last.GetRefusals() {
		if n := r.GetCount() - before[r.GetGroup()]; n > 0 {
			sum[r.GetGroup()] += n
		}
	}
	c.refusals = sum
	return c
}

func (r *reported) addTargets(targets []*wire.TargetReport) {
	for _, t := range targets {
		key := targetKey{t.GetKind(), t.GetName()}
		count := r.targets[key]
		for tier, queued := range t.GetQueuedByTier() {
			if tier < tiers {
				count.queued[tier] += queued
			}
		}
		count.oldestMS = max(count.oldestMS, t.GetOldestWaitMs())
		r.targets[key] = count
	}
}
