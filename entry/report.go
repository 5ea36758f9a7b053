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
	// lookInterval is how often the scheduler duty notes what waits.
	lookInterval = time.Second
	// maxReported bounds the classes, and the targets, of one report.
	maxReported = 128
	// codeGroup is how many result codes one group spans.
	codeGroup = 100
)

// tally counts by class since this incarnation began, for the reports to control.
type tally struct {
	mu      sync.Mutex
	classes map[string]*classTally
}

type classTally struct {
	good, late, lost uint64
	refusals         map[result.Code]uint64 // by first code of the group
}

func newTally() *tally {
	return &tally{classes: make(map[string]*classTally)}
}

// add notes a count of the scheduler. One without a class, such as the refusal of a call that names none, belongs to
// no class's target.
func (t *tally) add(c sched.Count) {
	if c.Class == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	class := t.classes[c.Class]
	if class == nil {
		class = &classTally{refusals: make(map[result.Code]uint64)}
		t.classes[c.Class] = class
	}
	switch c.Counter {
	case sched.Goodput:
		class.good += c.Add
	case sched.Late:
		class.late += c.Add
	case sched.Lost:
		class.lost += c.Add
	case sched.Refusals:
		class.refusals[c.Code-c.Code%codeGroup] += c.Add
	}
}

// report returns the counts of the wanted classes, sorted by name.
func (t *tally) report(wanted map[string]*wire.Class) []*wire.ClassReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []*wire.ClassReport
	for _, name := range slices.Sorted(maps.Keys(t.classes)) {
		if wanted[name] == nil || len(reports) == maxReported {
			continue
		}
		reports = append(reports, t.classes[name].report(name))
	}
	return reports
}

func (c *classTally) report(name string) *wire.ClassReport {
	report := &wire.ClassReport{Name: name, Good: c.good, Late: c.late, Lost: c.lost}
	for _, group := range slices.Sorted(maps.Keys(c.refusals)) {
		report.Refusals = append(report.Refusals, &wire.RefusalReport{Group: uint32(group), Count: c.refusals[group]})
	}
	return report
}

// look notes what waits. Only the scheduler duty may call it.
func (e *Entry) look() {
	waiting := e.scheduler.TargetQueues()
	e.waiting.Store(&waiting)
}

// report tells control how classes and queues stand. It reads what the duties have noted and never waits for them, so
// that a busy scheduler doesn't delay the polls by which this process knows that it isn't cut off.
func (e *Entry) report() *wire.EntryReport {
	report := &wire.EntryReport{Classes: e.meter.tally.report(e.view.Load().classes)}
	waiting := e.waiting.Load()
	if waiting == nil {
		return report
	}
	for _, w := range (*waiting)[:min(len(*waiting), maxReported)] {
		report.Targets = append(report.Targets, targetReport(w))
	}
	return report
}

func targetReport(w sched.TargetQueue) *wire.TargetReport {
	report := &wire.TargetReport{Name: w.Target, Kind: w.Kind, OldestWaitMs: uint64(w.OldestWait.Milliseconds())}
	for _, queued := range w.Queued {
		report.QueuedByTier = append(report.QueuedByTier, uint32(queued))
	}
	return report
}
