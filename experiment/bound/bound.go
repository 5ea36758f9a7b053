package bound

import (
	"math"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/experiment/plan"
)

// Job is a request as a scheduler with full knowledge sees it.
type Job struct {
	// Tier is 1 for the highest.
	Tier int
	// Release and Deadline are times after the start of the run.
	Release, Deadline time.Duration
	// Cost is its work in seconds of the pool's first server.
	Cost float64
}

// Goodput is how many requests can be answered in time; fractions of requests count.
type Goodput struct {
	Total float64
	Tiers map[int]float64
}

// Order says which requests a bound prefers.
type Order int

// The orders.
const (
	// ByCost prefers the least work: no schedule has more requests in time.
	ByCost Order = iota
	// ByTier prefers the higher tier and then the least work: no schedule has more of tier 1, nor of the tiers 1 and 2
	// together in any that gives tier 1 as much, and so on.
	ByTier
)

// slot is the grid of releases and deadlines. Releases are rounded down to it and deadlines up, which only helps.
const slot = 250 * time.Millisecond

// Best returns a bound on the goodput of a pool with faults whose times count from start.
//
// It relaxes the problem to one machine with the pool's whole speed that may be divided at will and costs nothing to
// switch. There a set of amounts of work is feasible exactly if for each two times a < b the work of the jobs with
// release >= a and deadline <= b is at most what the machine does from a to b. Feasible amounts form a polymatroid,
// on which the greedy choice is optimal for any weights that don't rise along its order: by cost each unit of work of
// a job is worth 1/cost, and by tier the values of tiers are as far apart as needed. Every real schedule gives amounts
// that are feasible here, so it can't be better.
func Best(jobs []Job, pool *Pool, faults []plan.Fault, start time.Duration, order Order) Goodput {
	jobs = slices.Clone(jobs)
	slices.SortStableFunc(jobs, order.compare)
	g := newGrid(jobs, func(at time.Duration) float64 { return pool.rateAt(at-start, faults) })
	best := Goodput{Tiers: map[int]float64{}}
	for _, j := range jobs {
		part := g.take(j)
		best.Total += part
		best.Tiers[j.Tier] += part
	}
	return best
}

func (o Order) compare(a, b Job) int {
	if o == ByTier && a.Tier != b.Tier {
		return a.Tier - b.Tier
	}
	switch {
	case a.Cost < b.Cost:
		return -1
	case a.Cost > b.Cost:
		return 1
	default:
		return 0
	}
}

// grid holds the work that is left between each two slot borders.
type grid struct {
	size int
	left [][]float64 // [a][b], from border a to border b
}

func newGrid(jobs []Job, rate func(at time.Duration) float64) *grid {
	g := &grid{size: 1}
	for _, j := range jobs {
		g.size = max(g.size, border(j.Deadline)+1)
	}
	sums := make([]float64, g.size)
	for i := 1; i < g.size; i++ {
		sums[i] = sums[i-1] + slotWork(time.Duration(i-1)*slot, rate)
	}
	g.left = make([][]float64, g.size)
	for a := range g.left {
		g.left[a] = make([]float64, g.size)
		for b := a; b < g.size; b++ {
			g.left[a][b] = sums[b] - sums[a]
		}
	}
	return g
}

// slotWork is the most that can be done in a slot: the speed changes at fault times only, and the highest counts.
func slotWork(from time.Duration, rate func(at time.Duration) float64) float64 {
	const looks = 10
	highest := 0.0
	for i := range looks {
		highest = math.Max(highest, rate(from+slot*time.Duration(i)/looks))
	}
	return highest * slot.Seconds()
}

func border(d time.Duration) int {
	return int((d + slot - 1) / slot)
}

// take gives a job as much of its work as fits and returns the part.
func (g *grid) take(j Job) float64 {
	first, last := int(j.Release/slot), border(j.Deadline)
	work := j.Cost
	for a := 0; a <= first; a++ {
		for _, left := range g.left[a][last:] {
			work = math.Min(work, left)
		}
	}
	if work <= 0 {
		return 0
	}
	for a := 0; a <= first; a++ {
		row := g.left[a][last:]
		for b := range row {
			row[b] -= work
		}
	}
	return work / j.Cost
}
