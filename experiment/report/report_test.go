package report

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/experiment/deploy"
	"github.com/carawaypitch/carawaypitch/experiment/load"
	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/settings"
)

func smallPlan() *plan.Plan {
	return &plan.Plan{
		Name: "small", WarmUp: plan.Duration(time.Second), Measured: plan.Duration(4 * time.Second), ShareWindow: plan.Duration(4 * time.Second),
		Delays: plan.Delays{Clients: plan.Duration(time.Millisecond)},
		Zones:  []string{"z"},
		Servers: []plan.Servers{{
			Name: "s", Count: 1, Kind: settings.KindService, Serves: "s", Slots: 2, ServiceTime: plan.Duration(time.Second),
		}},
		Classes: []settings.Class{
			{Name: "high", Tier: 1, DeadlineMS: 1000, Kind: settings.KindService, LateMax: 0.1},
			{Name: "low", Tier: 3, DeadlineMS: 2000, Kind: settings.KindService},
		},
		Organisations: []plan.Organisation{{Name: "a", Demand: 1}, {Name: "b", Demand: 1}, {Name: "c", Demand: 3}},
		Mix:           []plan.Work{{Class: "high", Path: "/v1/services/s/x", Share: 1, PromptTokens: plan.Range{Min: 1, Max: 1}}},
	}
}

// outcomeOf is a request of so many tokens that arrives at a time and ends after another.
func outcomeOf(p *plan.Plan, class string, organisation, tokens int, fate load.Fate, at, end time.Duration) *load.Outcome {
	return &load.Outcome{
		Arrival: &load.Arrival{
			At: at, Organisation: organisation, Class: p.Class(class), PromptTokens: tokens, Measured: at >= p.WarmUp.Std(), Pool: "s", Cost: 1,
		},
		Fate: fate, End: end, Code: 1202, Name: "cannot_finish_in_time", Ran: "no",
	}
}

func smallRun(p *plan.Plan) Run {
	const ms = time.Millisecond
	return Count(p, []*load.Outcome{
		outcomeOf(p, "high", 0, 500, load.Whole, 100*ms, 100*ms), // in the warm-up
		outcomeOf(p, "high", 0, 10, load.Whole, 1000*ms, 1002*ms),
		outcomeOf(p, "high", 1, 20, load.Whole, 1100*ms, 1003*ms), // late by a millisecond
		outcomeOf(p, "low", 2, 60, load.Refused, 1200*ms, ms),
		outcomeOf(p, "low", 2, 40, load.Whole, 2200*ms, 500*ms),
		outcomeOf(p, "low", 2, 5, load.Cut, 2300*ms, 500*ms),
	})
}

func TestCount(t *testing.T) {
	run := smallRun(smallPlan())
	assert.Equal(t, 5, run.Requests)
	assert.Equal(t, 2, run.Good)
	assert.Equal(t, Tier{Tier: 1, Requests: 2, Good: 1, GoodRate: 0.5, Late: 1}, run.Tiers[0])
	assert.Equal(t, Tier{Tier: 3, Requests: 3, Good: 1, GoodRate: 1.0 / 3, Refused: 1}, run.Tiers[2])
	require.Len(t, run.Classes, 2)
	assert.InDelta(t, 0.5, run.Classes[0].LateShare, 1e-9)
	assert.InDelta(t, 2.0/3, run.Classes[1].LostShare, 1e-9)
	assert.Equal(t, []Code{{Code: 1202, Name: "cannot_finish_in_time", Tier: 3, Ran: "no", Count: 1}}, run.Refusals)
	assert.InDelta(t, 3.0/8, run.Pools[0].Work, 1e-9)
	assert.Equal(t, 2, run.Timeline.Arrived[0][0])
	assert.Equal(t, 1, run.Timeline.Good[0][0])
}

func TestShares(t *testing.T) {
	shares := smallRun(smallPlan()).Shares
	assert.Equal(t, 105, shares.Organisations[2].Asked)
	assert.Equal(t, 40, shares.Organisations[2].Served)
	// 70 served tokens: a asked for 10 and b for 20, so that c's equal share is the rest.
	assert.InDelta(t, 10, shares.Organisations[0].Equal, 1e-9)
	assert.InDelta(t, 20, shares.Organisations[1].Equal, 1e-9)
	assert.InDelta(t, 40, shares.Organisations[2].Equal, 1e-9)
	assert.InDelta(t, 0.5, shares.Spread, 1e-9)
	assert.Equal(t, "a and b", shares.Pair)
}

func TestEqualShareIsDividedAmongTheRest(t *testing.T) {
	organisations := []Organisation{{Asked: 100, Served: 90}, {Asked: 10, Served: 10}, {Asked: 100, Served: 20}}
	setEqualShares(organisations)
	assert.InDelta(t, 55, organisations[0].Equal, 1e-9)
	assert.InDelta(t, 10, organisations[1].Equal, 1e-9)
	assert.InDelta(t, 55, organisations[2].Equal, 1e-9)
}

func TestMetricsAreSummed(t *testing.T) {
	one := "carawaypitch_late_total{tier=\"1\",class=\"x\"} 2\ncarawaypitch_ring_length{ring=\"y\"} 5\nbroken\n"
	sums := SumMetrics([][]byte{[]byte(one), []byte(one)})
	assert.Equal(t, []Metric{{Name: `carawaypitch_late_total{tier="1",class="x"}`, Value: 4}}, sums)
}

func judged(kind plan.GoalKind, mine, baseline Run) map[string]bool {
	mine.Policy, baseline.Policy = ours, "random_fifo"
	goals := plan.Goals{FirstTierGood: 0.995, OfBound: 0.9, Wasted: 0.02, WastedOfBest: 0.1, Spread: 0.03}
	met := map[string]bool{}
	for _, goal := range Judge(kind, goals, Group{Bound: Bound{Total: 100}, Runs: []Run{mine, baseline}}) {
		met[goal.Goal] = goal.Met
	}
	return met
}

func TestGoals(t *testing.T) {
	good := Run{Good: 95, Tiers: []Tier{{Requests: 10, Good: 10, GoodRate: 1}, {}, {}}, Prefill: Prefill{WastedShare: 0.01}}
	bad := Run{Good: 80, Tiers: []Tier{{Requests: 10, Good: 9, GoodRate: 0.9, Refused: 1}, {}, {}}, Prefill: Prefill{WastedShare: 0.3}}
	bad.Shares.Spread = 0.2
	for goal, met := range judged(plan.GoalsOverload, good, bad) {
		assert.True(t, met, goal)
	}
	for goal, met := range judged(plan.GoalsOverload, bad, good) {
		assert.False(t, met, goal)
	}
	assert.False(t, judged(plan.GoalsUnderload, bad, good)["goodput of tier 1 no worse than the best baseline"])
	assert.True(t, judged(plan.GoalsUnderload, good, bad)["goodput of tier 1 no worse than the best baseline"])
}

// Symptom: a goal is reported as missed although nothing was compared.
// Sequence: only our policy runs.
// Cause: the best of no baselines was taken for a figure.
func TestNothingIsComparedWithNoBaseline(t *testing.T) {
	mine := Run{Policy: ours, Tiers: []Tier{{Requests: 1, Good: 1, GoodRate: 1}, {}, {}}}
	assert.Empty(t, Judge(plan.GoalsUnderload, plan.Goals{}, Group{Runs: []Run{mine}}))
	for _, goal := range Judge(plan.GoalsOverload, plan.Goals{}, Group{Runs: []Run{mine}}) {
		assert.NotContains(t, goal.Goal, "baseline")
	}
}

func TestPageHoldsEverything(t *testing.T) {
	run := smallRun(smallPlan())
	run.Policy = "<ours>"
	run.Prefill = NewPrefill(deploy.Prefill{Computed: 100, Wasted: map[string]uint64{"cancel": 7}})
	run.Violations = []string{"it broke"}
	r := &Report{Experiment: "small", Scenarios: []Group{{Scenario: "s", Bound: Bound{Total: 5, Requests: 5}, Runs: []Run{run}}}}
	var page, text bytes.Buffer
	require.NoError(t, r.WritePage(&page))
	require.NoError(t, r.Print(&text))
	assert.Equal(t, 4, strings.Count(page.String(), "<svg"))
	assert.NotContains(t, page.String(), "<ours>")
	assert.NotContains(t, page.String(), "src=")
	for _, out := range []string{page.String(), text.String()} {
		assert.Contains(t, out, "it broke")
		assert.Contains(t, out, "7.00%")
	}
}
