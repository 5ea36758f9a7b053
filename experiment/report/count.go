package report

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/carawaypitch/carawaypitch/experiment/bound"
	"github.com/carawaypitch/carawaypitch/experiment/load"
	"github.com/carawaypitch/carawaypitch/experiment/plan"
)

// Latencies are kept in microseconds with three digits.
const (
	lowestLatency  = 1
	highestLatency = int64(time.Hour / time.Microsecond)
	latencyDigits  = 3
)

type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
}

func (h histogram) add(d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestLatency), highestLatency))
}

func (h histogram) latency() Latency {
	ms := func(percent float64) float64 {
		return float64(h.ValueAtQuantile(percent)) / 1000
	}
	return Latency{
		Count: h.TotalCount(), P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000,
	}
}

// Count works the outcomes of a run out. Figures that don't come from outcomes are left to the caller.
func Count(p *plan.Plan, outcomes []*load.Outcome) Run {
	c := &counter{plan: p, network: 2 * p.Delays.Clients.Std()}
	run := Run{Lateness: lateness(outcomes)}
	measured := slices.DeleteFunc(slices.Clone(outcomes), func(o *load.Outcome) bool { return !o.Arrival.Measured })
	run.Requests = len(measured)
	run.Tiers = c.tiers(measured)
	for _, t := range run.Tiers {
		run.Good += t.Good
	}
	run.GoodRate = ratio(run.Good, run.Requests)
	run.Classes = c.classes(measured)
	run.Refusals = refusals(measured)
	run.Shares = c.shares(outcomes)
	run.Pools = c.pools(outcomes)
	run.Timeline = c.timeline(measured)
	run.Order = countOrder(outcomes)
	run.Violations = append(run.Order.violations(), wrongAnswers(outcomes)...)
	return run
}

type counter struct {
	plan    *plan.Plan
	network time.Duration // the callers' own round trip
}

func ratio[T int | uint64 | float64](part, whole T) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func lateness(outcomes []*load.Outcome) Latency {
	h := newHistogram()
	for _, o := range outcomes {
		h.add(o.Lateness)
	}
	return h.latency()
}

func (c *counter) tiers(measured []*load.Outcome) []Tier {
	tiers := make([]Tier, 3)
	for i := range tiers {
		tiers[i].Tier = i + 1
	}
	for _, o := range measured {
		t := &tiers[o.Arrival.Class.Tier-1]
		t.Requests++
		switch {
		case o.Good(c.network):
			t.Good++
		case o.Fate == load.Whole:
			t.Late++
		case o.Fate == load.Refused:
			t.Refused++
		}
	}
	for i := range tiers {
		tiers[i].GoodRate = ratio(tiers[i].Good, tiers[i].Requests)
	}
	return tiers
}

func (c *counter) classes(measured []*load.Outcome) []Class {
	var classes []Class
	for _, class := range c.plan.Classes {
		row := Class{
			Class: class.Name, Tier: class.Tier, LateMax: class.LateMax, LostMax: class.LostMax, Fates: map[string]int{},
		}
		whole, first := newHistogram(), newHistogram()
		for _, o := range measured {
			if o.Arrival.Class.Name == class.Name {
				c.addTo(&row, o, whole, first)
			}
		}
		if row.Requests == 0 {
			continue
		}
		row.LateShare = ratio(row.Late, row.Good+row.Late)
		row.LostShare = ratio(row.Lost, row.Requests)
		row.Latency, row.FirstByte = whole.latency(), first.latency()
		classes = append(classes, row)
	}
	return classes
}

func (c *counter) addTo(row *Class, o *load.Outcome, whole, first histogram) {
	row.Requests++
	row.Fates[string(o.Fate)]++
	if o.Fate != load.Whole {
		row.Lost++
		return
	}
	whole.add(o.End)
	first.add(o.FirstByte)
	if o.Good(c.network) {
		row.Good++
	} else {
		row.Late++
	}
}

// refusals counts what callers were told, by code.
func refusals(measured []*load.Outcome) []Code {
	counts := map[Code]int{}
	for _, o := range measured {
		if o.Fate == load.Refused || o.Fate == load.Failed {
			counts[Code{Code: o.Code, Name: o.Name, Tier: o.Arrival.Class.Tier, Ran: o.Ran}]++
		}
	}
	var codes []Code
	for code, count := range counts {
		code.Count = count
		codes = append(codes, code)
	}
	slices.SortFunc(codes, func(a, b Code) int {
		return cmp.Or(a.Code-b.Code, a.Tier-b.Tier, cmp.Compare(a.Ran, b.Ran))
	})
	return codes
}

// pools compares the least work of what was answered with the capacity.
func (c *counter) pools(outcomes []*load.Outcome) []Used {
	work := map[string]float64{}
	for _, o := range outcomes {
		end := o.Arrival.At + o.End - c.plan.WarmUp.Std()
		if o.Fate == load.Whole && end >= 0 && end < c.plan.Measured.Std() {
			work[o.Arrival.Pool] += o.Arrival.Cost
		}
	}
	var used []Used
	for _, pool := range bound.Pools(c.plan) {
		capacity := pool.Capacity() * c.plan.Measured.Std().Seconds()
		used = append(used, Used{Name: pool.Name, Work: work[pool.Name] / capacity})
	}
	return used
}

func (c *counter) timeline(measured []*load.Outcome) Timeline {
	var t Timeline
	seconds := int(c.plan.Measured.Std()/time.Second) + 1
	for tier := range 3 {
		t.Arrived[tier], t.Good[tier] = make([]int, seconds), make([]int, seconds)
	}
	for _, o := range measured {
		second := int((o.Arrival.At - c.plan.WarmUp.Std()) / time.Second)
		tier := o.Arrival.Class.Tier - 1
		t.Arrived[tier][second]++
		if o.Good(c.network) {
			t.Good[tier][second]++
		}
	}
	return t
}

// countOrder counts the streams that began, and those out of order.
func countOrder(outcomes []*load.Outcome) Order {
	var sum Order
	for _, o := range outcomes {
		if !o.Arrival.Stream || o.Fate == load.Refused || o.Fate == load.Lost || o.Fate == load.Unanswered {
			continue
		}
		sum.Streams++
		for count, found := range map[*int]bool{
			&sum.Missing: o.Order.Missing, &sum.Twice: o.Order.Twice, &sum.Joined: o.Order.Joined, &sum.FalseEnds: o.Order.FalseEnd,
		} {
			if found {
				*count++
			}
		}
	}
	return sum
}

// violations returns one text if streams were out of order.
func (o Order) violations() []string {
	if o.Missing+o.Twice+o.Joined+o.FalseEnds == 0 {
		return nil
	}
	return []string{o.String()}
}

// String sums the streams up.
func (o Order) String() string {
	return fmt.Sprintf("of %d streams: %d with an event missing, %d with one twice, %d of two runs, %d that end like whole ones",
		o.Streams, o.Missing, o.Twice, o.Joined, o.FalseEnds)
}

// maxNamed bounds how many violations of a kind are named.
const maxNamed = 5

func wrongAnswers(outcomes []*load.Outcome) []string {
	var wrong []string
	for _, o := range outcomes {
		if o.Fate == load.Wrong && len(wrong) < maxNamed {
			wrong = append(wrong, fmt.Sprintf("request %d (%s, %s): %s", o.Arrival.Number, o.Arrival.Class.Name, o.RequestID, o.Detail))
		}
	}
	return wrong
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
