package control

import (
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Timing of the entries' reports.
const (
	// reportWindow is the period that the counts of the classes cover.
	reportWindow = time.Minute
	// reportSampleInterval is the least time between two reports that are kept.
	reportSampleInterval = 5 * time.Second
	// queueReportMaxAge is the age up to which the queues of a report are shown. Without it the queues of a failed
	// entry would still be shown.
	queueReportMaxAge = 20 * time.Second
)

// reports keeps the entries' reports on classes and queues for the window. It is not replicated: each control instance
// holds the reports that it has received itself.
type reports struct {
	mu      sync.Mutex
	entries map[incarnation]*entryReports
}

// incarnation is one start of an entry. Its counts begin at zero.
type incarnation struct {
	instance string
	number   uint64
}

// entryReports holds the reports of one incarnation.
type entryReports struct {
	samples []report // one per reportSampleInterval; the first is the start of the window
	last    report
}

type report struct {
	at      time.Time
	classes map[string]*wire.ClassReport
	targets []*wire.TargetReport
}

func newReports() *reports {
	return &reports{entries: make(map[incarnation]*entryReports)}
}

// report records the report that came with a poll. It ignores a nil report, and reports of agents.
func (s *session) report(r *wire.EntryReport) {
	if r == nil || s.client.role != wire.Role_ROLE_ENTRY {
		return
	}
	s.control.reports.record(incarnation{s.client.instance, s.hello.GetIncarnation()}, r, time.Now())
}

// record stores a report. The window of an incarnation starts with the first report received from it, since what that
// report counts may have happened long before.
func (r *reports) record(from incarnation, message *wire.EntryReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.entries[from]
	if entry == nil {
		entry = new(entryReports)
		r.entries[from] = entry
	}
	entry.last = newReport(message, now)
	if n := len(entry.samples); n == 0 || now.Sub(entry.samples[n-1].at) >= reportSampleInterval {
		entry.samples = append(entry.samples, entry.last)
	}
	r.evict(now)
}

func newReport(message *wire.EntryReport, now time.Time) report {
	classes := make(map[string]*wire.ClassReport, len(message.GetClasses()))
	for _, c := range message.GetClasses() {
		classes[c.GetName()] = c
	}
	return report{at: now, classes: classes, targets: message.GetTargets()}
}

// evict removes reports that are older than the window, so that memory is bounded by the entries that reported within
// it.
func (r *reports) evict(now time.Time) {
	for from, entry := range r.entries {
		if now.Sub(entry.last.at) > reportWindow {
			delete(r.entries, from)
			continue
		}
		for len(entry.samples) > 1 && now.Sub(entry.samples[1].at) >= reportWindow {
			entry.samples = entry.samples[1:]
		}
	}
}

// reportSummary is the sum over all entries.
type reportSummary struct {
	entries int // number of entries with a report not older than queueReportMaxAge
	window  map[string]classCount
	total   map[string]classCount
	targets map[targetKey]targetCount
}

type classCount struct {
	good, late, lost uint64
	refusals         map[uint32]uint64 // by the first code of the group
}

type targetKey struct{ kind, name string }

type targetCount struct {
	queued   [tiers]uint32
	oldestMS uint64
}

const tiers = 3

// summarize adds up the reports of all entries. Counts are those within the window, and totals since the incarnations
// started.
func (r *reports) summarize(now time.Time) reportSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evict(now)
	out := reportSummary{
		window:  make(map[string]classCount),
		total:   make(map[string]classCount),
		targets: make(map[targetKey]targetCount),
	}
	newest := r.newestIncarnations()
	for from, entry := range r.entries {
		out.addWindow(entry)
		if from.number == newest[from.instance] {
			out.addCurrent(entry, now)
		}
	}
	return out
}

// newestIncarnations returns the newest incarnation of each entry. Requests that were queued at an older one no longer
// exist.
func (r *reports) newestIncarnations() map[string]uint64 {
	newest := make(map[string]uint64)
	for from := range r.entries {
		newest[from.instance] = max(newest[from.instance], from.number)
	}
	return newest
}

// addWindow adds the counts within the window. Incarnations that have ended are included.
func (r *reportSummary) addWindow(entry *entryReports) {
	for name, c := range entry.last.classes {
		r.window[name] = r.window[name].plus(c, entry.samples[0].classes[name])
	}
}

// addCurrent adds an entry's totals, and its queues if its last report is recent.
func (r *reportSummary) addCurrent(entry *entryReports, now time.Time) {
	for name, c := range entry.last.classes {
		r.total[name] = r.total[name].plus(c, nil)
	}
	if now.Sub(entry.last.at) <= queueReportMaxAge {
		r.entries++
		r.addTargets(entry.last.targets)
	}
}

// plus returns c plus the counts between two reports of one incarnation. A nil first counts from the start of the
// incarnation.
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

func (r *reportSummary) addTargets(targets []*wire.TargetReport) {
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
