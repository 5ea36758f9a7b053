package rollout

import (
	"cmp"
	"maps"
	"slices"

	"github.com/carawaypitch/carawaypitch/wire"
)

// MaxCounts bounds the counts that are kept of one report, by version and class. An entry whose report has more of them
// is at fault; the rest of its report is ignored.
const MaxCounts = 512

// cell identifies one count.
type cell struct{ version, class string }

func cellOf(c *wire.RolloutCount) cell { return cell{c.GetVersion(), c.GetClass()} }

// cells are counts by version and class. Counts are replaced and never modified.
type cells map[cell]*wire.RolloutCount

func cellsOf(counts []*wire.RolloutCount) cells {
	out := make(cells, len(counts))
	out.raise(counts)
	return out
}

// raise raises the counts to at least the given ones.
func (c cells) raise(counts []*wire.RolloutCount) {
	for _, count := range counts {
		key := cellOf(count)
		if known := c[key]; known != nil {
			count = higher(known, count)
		} else if len(c) >= MaxCounts {
			continue
		}
		c[key] = count
	}
}

// add adds the given counts.
func (c cells) add(counts cells) {
	for key, count := range counts {
		c[key] = sum(c[key], count)
	}
}

// sorted returns the counts by version and class.
func (c cells) sorted() []*wire.RolloutCount {
	return slices.SortedFunc(maps.Values(c), func(a, b *wire.RolloutCount) int {
		return cmp.Or(cmp.Compare(a.GetVersion(), b.GetVersion()), cmp.Compare(a.GetClass(), b.GetClass()))
	})
}

// higher returns a count of which each sum is the higher one of both. Work and time are taken together from the count
// with more work, since their ratio matters: times of one and work of the other would show a speed that nobody measured.
func higher(a, b *wire.RolloutCount) *wire.RolloutCount {
	timed := a
	if b.GetWork() > a.GetWork() {
		timed = b
	}
	return &wire.RolloutCount{
		Version:  a.GetVersion(),
		Class:    a.GetClass(),
		Answers:  max(a.GetAnswers(), b.GetAnswers()),
		Failures: max(a.GetFailures(), b.GetFailures()),
		Slow:     max(a.GetSlow(), b.GetSlow()),
		Work:     timed.GetWork(),
		TimeMs:   timed.GetTimeMs(),
	}
}

// sum returns the sum of two counts of the same version and class. a may be nil.
func sum(a, b *wire.RolloutCount) *wire.RolloutCount {
	return &wire.RolloutCount{
		Version:  b.GetVersion(),
		Class:    b.GetClass(),
		Answers:  a.GetAnswers() + b.GetAnswers(),
		Failures: a.GetFailures() + b.GetFailures(),
		Slow:     a.GetSlow() + b.GetSlow(),
		Work:     a.GetWork() + b.GetWork(),
		TimeMs:   a.GetTimeMs() + b.GetTimeMs(),
	}
}

// Merge returns counts that are at least as high as both, sorted by version and class. It combines sums of the same
// answers: those of the log, which are a lower bound, and those that an instance has heard itself.
func Merge(a, b []*wire.RolloutCount) []*wire.RolloutCount {
	merged := cellsOf(a)
	merged.raise(b)
	return merged.sorted()
}

// Exceeds reports whether a has more answers, failures or slow answers than b in any version and class.
func Exceeds(a, b []*wire.RolloutCount) bool {
	known := cellsOf(b)
	for _, count := range a {
		other := known[cellOf(count)]
		if count.GetAnswers() > other.GetAnswers() || count.GetFailures() > other.GetFailures() || count.GetSlow() > other.GetSlow() {
			return true
		}
	}
	return false
}

// Source is one start of an entry. Its sums begin at zero and only rise.
type Source struct {
	Entry       string
	Incarnation uint64
}

// Ledger holds what entries have reported of the roll-outs in progress. What an entry has reported stays after its end.
// The size is bounded by the sources of the roll-outs in progress; [Ledger.Keep] forgets the others. It is not safe for
// concurrent use.
type Ledger struct {
	byRollout map[uint64]map[Source]cells
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{byRollout: make(map[uint64]map[Source]cells)}
}

// Record takes in a report. Reports may come late, twice or out of order: each sum only rises.
func (l *Ledger) Record(from Source, report *wire.RolloutEvidence) {
	sources := l.byRollout[report.GetId()]
	if sources == nil {
		sources = make(map[Source]cells)
		l.byRollout[report.GetId()] = sources
	}
	if sources[from] == nil {
		sources[from] = make(cells)
	}
	sources[from].raise(report.GetCounts())
}

// Sum returns the sums of a roll-out over all sources, sorted by version and class.
func (l *Ledger) Sum(id uint64) []*wire.RolloutCount {
	total := make(cells)
	for _, reported := range l.byRollout[id] {
		total.add(reported)
	}
	return total.sorted()
}

// Keep forgets all roll-outs except those with the given ids.
func (l *Ledger) Keep(ids map[uint64]bool) {
	for id := range l.byRollout {
		if !ids[id] {
			delete(l.byRollout, id)
		}
	}
}
