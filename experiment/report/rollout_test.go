package report

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/experiment/deploy"
	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/operator"
)

var rolloutStart = time.Unix(1000, 0)

// every returns times from one to another millisecond of the roll-out.
func every(from, to, step int) []time.Time {
	var times []time.Time
	for at := from; at < to; at += step {
		times = append(times, rolloutStart.Add(time.Duration(at)*time.Millisecond))
	}
	return times
}

func rolloutOf(bad *plan.BadVersion, state string, ended float64) deploy.Rollout {
	return deploy.Rollout{
		Plan: plan.Rollout{Service: "s", To: "v2", For: plan.Duration(10 * time.Second), Bad: bad},
		Sent: rolloutStart, Acknowledged: rolloutStart.Add(time.Second), State: state,
		Ended: rolloutStart.Add(time.Duration(ended * float64(time.Second))),
	}
}

// Guards against a report that passes a bad version that got too much, or got something too late.
func TestRolloutIsMeasuredAgainstItsBounds(t *testing.T) {
	bad := &plan.BadVersion{Failures: 0.5, After: plan.Duration(time.Second)}
	d := rolloutOf(bad, operator.RolloutReverted, 3)
	d.Old = every(-1000, 12_000, 10)
	d.New = every(0, 3000, 25)
	d.Bad = every(1000, 2000, 20)
	r := NewRollout(d, false)
	require.Equal(t, "fails 50.00%, after 1s", r.Bad)
	require.Equal(t, 120, r.Exposed)
	require.Equal(t, 1001+120, r.Requests, "between order and limit")
	require.InDelta(t, 0.1*float64(r.Requests)+50, r.Allowed, 1e-9)
	require.True(t, r.InTime)
	require.Empty(t, r.Wrong)
	require.Zero(t, r.Late)
	require.InDelta(t, 2.975-1.98, r.LastS, 1e-6)
	require.Empty(t, r.Violations())
	for _, goal := range r.Goals() {
		require.True(t, goal.Met, goal.Goal)
	}

	d.New = every(0, 9000, 25)
	r = NewRollout(d, false)
	require.Len(t, r.Violations(), 2)
	require.Equal(t, 80, r.Late, "from 6.98 s on")
	require.Zero(t, NewRollout(d, true).Late, "control was disturbed")
	met := map[string]bool{}
	for _, goal := range r.Goals() {
		met[goal.Goal] = goal.Met
	}
	require.False(t, met["exposure of a bad version within its bound"])
	require.False(t, met["no request long after the 50th bad answer"])

	d.Bad = d.Bad[:49]
	require.Zero(t, NewRollout(d, false).Late, "fewer than 50 bad answers")
}

// Guards against wrong and late verdicts that are reported as right ones.
func TestRolloutVerdictsAreJudged(t *testing.T) {
	bad := &plan.BadVersion{Slow: 4}
	for _, row := range []struct {
		bad   *plan.BadVersion
		state string
		ended float64
		wrong string
		met   bool
	}{
		{nil, operator.RolloutCompleted, 8, "", true},
		{nil, operator.RolloutCompleted, 11, "", false},
		{nil, operator.RolloutReverted, 8, "good version reverted", false},
		{bad, operator.RolloutReverted, 8, "", true},
		{bad, operator.RolloutCompleted, 8, "bad version completed", false},
	} {
		r := NewRollout(rolloutOf(row.bad, row.state, row.ended), false)
		require.Equal(t, row.wrong, r.Wrong)
		require.Equal(t, row.met, r.Goals()[1].Met, "%+v", row)
	}
	none := rolloutOf(bad, operator.RolloutInProgress, 0)
	none.Ended, none.Acknowledged = time.Time{}, time.Time{}
	for _, goal := range NewRollout(none, false).Goals()[:2] {
		require.False(t, goal.Met, goal.Goal)
	}

	good := rolloutOf(nil, operator.RolloutCompleted, 8)
	good.Old, good.New = every(0, 8000, 100), every(0, 10_000, 100)
	require.Equal(t, 81, NewRollout(good, false).Exposed, "of a good version until the verdict")
}

// Guards against a cost that is measured by a run of another scenario or policy.
func TestRolloutCost(t *testing.T) {
	p := &plan.Plan{Scenarios: []plan.Scenario{{Name: "calm"}, {Name: "moved", Rollout: &plan.Rollout{CostAgainst: "calm"}}}}
	run := func(policy string, good int) Run {
		run := smallRun(smallPlan())
		run.Policy, run.Good = policy, good
		return run
	}
	moved := run(ours, 990)
	moved.Rollout = NewRollout(rolloutOf(nil, operator.RolloutCompleted, 8), false)
	r := &Report{Scenarios: []Group{
		{Scenario: "moved", Runs: []Run{moved}},
		{Scenario: "calm", Runs: []Run{run("least_load", 500), run(ours, 1000)}},
	}}
	r.SetRolloutCosts(p)
	require.InDelta(t, 0.01, r.Scenarios[0].Runs[0].Rollout.Cost, 1e-9)
	require.Len(t, r.Scenarios[0].Goals, 1)
	require.False(t, r.Scenarios[0].Goals[0].Met)
	var text, page bytes.Buffer
	require.NoError(t, r.Print(&text))
	require.NoError(t, r.WritePage(&page))
	const line = "roll-out of s to v2 (good): completed after 8.0 s of 10 s; 0 of 0 requests to the new version; cost 1.00% of the answers in time of calm"
	require.Contains(t, text.String(), line)
	require.Contains(t, page.String(), line)
}
