package report

import (
	"fmt"
	"math"

	"github.com/carawaypitch/carawaypitch/experiment/plan"
)

// ours is the policy that the goals are about.
const ours = "targets"

// judge compares ours with the baselines of a scenario.
type judge struct {
	goals     plan.Goals
	group     Group
	run       Run
	baselines []Run
	found     []Goal
}

// Judge says whether the goals of a kind are met. It returns nothing without a run of ours.
func Judge(kind plan.GoalKind, goals plan.Goals, group Group) []Goal {
	j := &judge{goals: goals, group: group}
	has := false
	for _, run := range group.Runs {
		if run.Policy == ours {
			j.run, has = run, true
		} else {
			j.baselines = append(j.baselines, run)
		}
	}
	if !has {
		return nil
	}
	switch kind {
	case plan.GoalsOverload:
		j.overload()
	case plan.GoalsUnderload:
		j.underload()
	}
	return j.found
}

func (j *judge) add(met bool, goal, figure string, args ...any) {
	j.found = append(j.found, Goal{Goal: goal, Met: met, Figure: fmt.Sprintf(figure, args...)})
}

// best returns the best of a figure over the baselines, with its policy.
func (j *judge) best(of func(Run) float64, better func(a, b float64) bool) (float64, string) {
	best, policy := math.NaN(), "none"
	for _, run := range j.baselines {
		if value := of(run); math.IsNaN(best) || better(value, best) {
			best, policy = value, run.Policy
		}
	}
	return best, policy
}

func more(a, b float64) bool { return a > b }
func less(a, b float64) bool { return a < b }

func (j *judge) overload() {
	first := j.run.Tiers[0]
	best, policy := j.best(func(r Run) float64 { return r.Tiers[0].GoodRate }, more)
	j.add(first.GoodRate >= j.goals.FirstTierGood, fmt.Sprintf("first-tier goodput at least %s", percent(j.goals.FirstTierGood)),
		"%s (%d of %d); best baseline %s (%s)", percent(first.GoodRate), first.Good, first.Requests, percent(best), policy)
	j.add(first.Refused == 0, "no first-tier request refused", "%d refused", first.Refused)
	ofBound := ratio(float64(j.run.Good), j.group.Bound.Total)
	best, policy = j.best(func(r Run) float64 { return ratio(float64(r.Good), j.group.Bound.Total) }, more)
	j.add(ofBound >= j.goals.OfBound, fmt.Sprintf("total goodput at least %s of the full-knowledge bound", percent(j.goals.OfBound)),
		"%s (%d of %.0f); best baseline %s (%s)", percent(ofBound), j.run.Good, j.group.Bound.Total, percent(best), policy)
	j.waste()
	j.add(j.run.Shares.Spread <= j.goals.Spread,
		fmt.Sprintf("organisations with the same demand within %s over %.0f s", percent(j.goals.Spread), j.run.Shares.WindowS),
		"%s (%s); their load itself differs by %s", percent(j.run.Shares.Spread), j.run.Shares.Pair, percent(j.run.Shares.Asked))
}

func (j *judge) waste() {
	wasted := j.run.Prefill.WastedShare
	best, policy := j.best(func(r Run) float64 { return r.Prefill.WastedShare }, less)
	j.add(wasted <= j.goals.Wasted, fmt.Sprintf("wasted prefill under %s of prompt tokens", percent(j.goals.Wasted)),
		"%s (%d tokens)", percent(wasted), j.run.Prefill.TotalWasted())
	if len(j.baselines) == 0 {
		return
	}
	j.add(wasted <= best*j.goals.WastedOfBest, fmt.Sprintf("wasted prefill at most %s of the best baseline's", percent(j.goals.WastedOfBest)),
		"%s; best baseline %s (%s)", percent(wasted), percent(best), policy)
}

// column is a figure of a run, with the difference that chance alone makes.
type column struct {
	name  string
	of    func(Run) float64
	more  bool
	noise func(value float64) float64
}

// Differences that count as none: part of a per cent of a share, and a tenth of a latency.
const (
	shareNoise   = 0.002
	latencyNoise = 0.10
	latencyFloor = 2.0 // milliseconds
)

// underload compares with baselines only; without one nothing is judged.
func (j *judge) underload() {
	if len(j.baselines) == 0 {
		return
	}
	for _, c := range j.columns() {
		better := less
		if c.more {
			better = more
		}
		best, policy := j.best(c.of, better)
		value := c.of(j.run)
		met := !better(best, value) || math.Abs(best-value) <= c.noise(best)
		j.add(met, c.name+" no worse than the best baseline", "%.5g; best baseline %.5g (%s)", value, best, policy)
	}
}

func (j *judge) columns() []column {
	share := func(float64) float64 { return shareNoise }
	latency := func(value float64) float64 { return math.Max(value*latencyNoise, latencyFloor) }
	columns := []column{{"total goodput", func(r Run) float64 { return r.GoodRate }, true, share}}
	for tier := range j.run.Tiers {
		columns = append(columns, column{
			fmt.Sprintf("goodput of tier %d", tier+1), func(r Run) float64 { return r.Tiers[tier].GoodRate }, true, share,
		})
	}
	columns = append(columns, column{"wasted prefill", func(r Run) float64 { return r.Prefill.WastedShare }, false, share})
	for i, class := range j.run.Classes {
		columns = append(columns,
			column{"median latency in ms of " + class.Class, func(r Run) float64 { return r.Classes[i].Latency.P50 }, false, latency},
			column{"99th percentile in ms of " + class.Class, func(r Run) float64 { return r.Classes[i].Latency.P99 }, false, latency},
		)
	}
	return columns
}

func percent(share float64) string { return fmt.Sprintf("%.2f%%", share*100) }
