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

// MaxName bounds the name of a version or class in a count, in bytes. The replicated state refuses longer ones.
const MaxName = 128

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
		c.raiseOne(count)
	}
}

// raiseOne raises one count, and returns it as it was before and as it is now. Both are the same if nothing has changed,
// and nil if there is no room.
func (c cells) raiseOne(count *wire.RolloutCount) (before, after *wire.RolloutCount) {
	key := cellOf(count)
	before = c[key]
	switch {
	case before != nil:
		after = higher(before, count)
	case len(c) < MaxCounts:
		after = count
	default:
		return nil, nil
	}
	c[key] = after
	return before, after
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
// It returns a itself if b is nowhere higher.
func higher(a, b *wire.RolloutCount) *wire.RolloutCount {
	if b.GetAnswers() <= a.GetAnswers() && b.GetFailures() <= a.GetFailures() && b.GetSlow() <= a.GetSlow() && b.GetWork() <= a.GetWork() {
		return a
	}
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

// difference returns what is to be added to b, which may be nil, to get a. A sum that is lower in a wraps around, and is
// subtracted by an addition.
func difference(a, b *wire.RolloutCount) *wire.RolloutCount {
	return &wire.RolloutCount{
		Version:  a.GetVersion(),
		Class:    a.GetClass(),
		Answers:  a.GetAnswers() - b.GetAnswers(),
		Failures: a.GetFailures() - b.GetFailures(),
		Slow:     a.GetSlow() - b.GetSlow(),
		Work:     a.GetWork() - b.GetWork(),
		TimeMs:   a.GetTimeMs() - b.GetTimeMs(),
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
	byRollout map[uint64]*reported
}

// reported is what was reported of one roll-out. The total is kept up with each report: adding up all sources at each
// look would cost as much as there are entries, several times a second.
type reported struct {
	bySource map[Source]cells
	total    cells
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{byRollout: make(map[uint64]*reported)}
}

// Record takes in a report. Reports may come late, twice or out of order: each sum only rises. It ignores counts with
// names that are too long, of which one would keep the whole evidence out of the log.
func (l *Ledger) Record(from Source, report *wire.RolloutEvidence) {
	of := l.byRollout[report.GetId()]
	if of == nil {
		of = &reported{bySource: make(map[Source]cells), total: make(cells)}
		l.byRollout[report.GetId()] = of
	}
	if of.bySource[from] == nil {
		of.bySource[from] = make(cells)
	}
	own := of.bySource[from]
	for _, count := range report.GetCounts() {
		if len(count.GetVersion()) > MaxName || len(count.GetClass()) > MaxName {
			continue
		}
		if before, after := own.raiseOne(count); after != before {
			key := cellOf(count)
			of.total[key] = sum(of.total[key], difference(after, before))
		}
	}
}

// Sum returns the sums of a roll-out over all sources, sorted by version and class.
func (l *Ledger) Sum(id uint64) []*wire.RolloutCount {
	if of := l.byRollout[id]; of != nil {
		return of.total.sorted()
	}
	return nil
}

// Keep forgets all roll-outs except those with the given ids.
func (l *Ledger) Keep(ids map[uint64]bool) {
	for id := range l.byRollout {
		if !ids[id] {
			delete(l.byRollout, id)
		}
	}
}
