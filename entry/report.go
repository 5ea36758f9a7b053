package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// queueSampleInterval is the interval at which the scheduler goroutine samples the queues.
	queueSampleInterval = time.Second
	// maxReportEntries bounds the classes, and the targets, of one report.
	maxReportEntries = 128
	// codesPerGroup is the number of result codes in a group.
	codesPerGroup = 100
)

// classCounters counts outcomes by class since the start of this incarnation, for the reports to control.
type classCounters struct {
	mu      sync.Mutex
	classes map[string]*classCounter
}

type classCounter struct {
	good, late, lost uint64
	refusals         map[result.Code]uint64 // by the first code of the group
}

func newClassCounters() *classCounters {
	return &classCounters{classes: make(map[string]*classCounter)}
}

// add adds a count reported by the scheduler. A count without a class, such as the refusal of a call that names none,
// is ignored.
func (c *classCounters) add(count sched.Count) {
	if count.Class == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	class := c.classes[count.Class]
	if class == nil {
		class = &classCounter{refusals: make(map[result.Code]uint64)}
		c.classes[count.Class] = class
	}
	switch count.Counter {
	case sched.Goodput:
		class.good += count.Add
	case sched.Late:
		class.late += count.Add
	case sched.Lost:
		class.lost += count.Add
	case sched.Refusals:
		class.refusals[count.Code-count.Code%codesPerGroup] += count.Add
	}
}

// report returns the counts of the configured classes, sorted by name.
func (c *classCounters) report(configured map[string]*wire.Class) []*wire.ClassReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	var reports []*wire.ClassReport
	for _, name := range slices.Sorted(maps.Keys(c.classes)) {
		if configured[name] == nil || len(reports) == maxReportEntries {
			continue
		}
		reports = append(reports, c.classes[name].report(name))
	}
	return reports
}

func (c *classCounter) report(name string) *wire.ClassReport {
	report := &wire.ClassReport{Name: name, Good: c.good, Late: c.late, Lost: c.lost}
	for _, group := range slices.Sorted(maps.Keys(c.refusals)) {
		report.Refusals = append(report.Refusals, &wire.RefusalReport{Group: uint32(group), Count: c.refusals[group]})
	}
	return report
}

// sampleQueues records the state of the queues. It may be called by the scheduler goroutine only.
func (e *Entry) sampleQueues() {
	queues := e.scheduler.TargetQueues()
	e.targetQueues.Store(&queues)
	e.meter.setHeld(e.scheduler.HeldRequests())
}

// report returns the counts by class and the state of the queues, for control. It reads recorded values and never waits
// for other goroutines, so that a busy scheduler doesn't delay the polls by which this process detects that it is cut
// off.
func (e *Entry) report() *wire.EntryReport {
	report := &wire.EntryReport{Classes: e.meter.classCounts.report(e.catalogue.Load().classes)}
	queues := e.targetQueues.Load()
	if queues == nil {
		return report
	}
	for _, queue := range (*queues)[:min(len(*queues), maxReportEntries)] {
		report.Targets = append(report.Targets, targetReport(queue))
	}
	return report
}

func targetReport(queue sched.TargetQueue) *wire.TargetReport {
	report := &wire.TargetReport{Name: queue.Target, Kind: queue.Kind, OldestWaitMs: uint64(queue.OldestWait.Milliseconds())}
	for _, queued := range queue.Queued {
		report.QueuedByTier = append(report.QueuedByTier, uint32(queued))
	}
	return report
}
