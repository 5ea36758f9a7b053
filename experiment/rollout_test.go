package experiment

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/operator"
)

// rolloutPlan is tiny with three control instances and a roll-out of the registry. A good version is completed at the end of its
// time. A bad one has more time than the run takes, so that its reversal doesn't depend on the speed of the machine.
func rolloutPlan(t *testing.T, bad *plan.BadVersion) *plan.Plan {
	t.Helper()
	p := tiny(t)
	p.Controls = 3
	p.Measured = plan.Duration(6 * time.Second)
	limit := 5 * time.Second
	if bad != nil {
		p.Measured, limit = plan.Duration(8*time.Second), time.Minute
	}
	for i := range p.Servers {
		if p.Servers[i].Serves == "registry" {
			p.Servers[i].Count, p.Servers[i].Slots, p.Servers[i].Version = 2, 4, "v1"
		}
	}
	p.Scenarios[0].Load = 0.6
	p.Scenarios[0].Rollout = &plan.Rollout{Service: "registry", To: "v2", For: plan.Duration(limit), Bad: bad}
	return p
}

// Guards against experiments whose roll-out isn't ordered, whose new servers get nothing, or whose old ones stay after the end.
func TestRolloutInAnExperiment(t *testing.T) {
	for _, row := range []struct {
		bad  *plan.BadVersion
		want string
	}{
		{nil, operator.RolloutCompleted},
		{&plan.BadVersion{Failures: 1}, operator.RolloutReverted},
	} {
		r, err := Run(context.Background(), rolloutPlan(t, row.bad), Options{})
		require.NoError(t, err)
		run := r.Scenarios[0].Runs[0]
		require.Empty(t, run.Violations)
		require.NotNil(t, run.Rollout)
		require.Equal(t, row.want, run.Rollout.State, "%+v", run.Rollout)
		require.Positive(t, run.Rollout.Exposed)
		require.Greater(t, run.Rollout.Requests, run.Rollout.Exposed)
		require.Equal(t, row.bad != nil, run.Rollout.BadAnswers > 0)
		require.NotEmpty(t, r.Scenarios[0].Goals)
		require.NotContains(t, strings.Join(run.Faults, "\n"), "stop:")
	}
}

// Guards against faults of roll-out experiments that don't happen, or after which an instance doesn't come back: the control leader
// dies, an entry is cut off from control, a zone with a server of the new version is lost. The verdict may come late then, but no
// bound of the exposure may be exceeded.
func TestRolloutFaultsHappen(t *testing.T) {
	p := rolloutPlan(t, &plan.BadVersion{Failures: 1})
	p.Scenarios[0].Faults = []plan.Fault{
		{Kind: plan.ControlDeath, At: plan.Duration(100 * time.Millisecond), For: plan.Duration(300 * time.Millisecond)},
		{Kind: plan.EntryCut, At: plan.Duration(200 * time.Millisecond), For: plan.Duration(time.Second), Entry: 1},
		{Kind: plan.ZoneLoss, At: plan.Duration(1500 * time.Millisecond), For: plan.Duration(500 * time.Millisecond), Target: "zone-1"},
	}
	r, err := Run(context.Background(), p, Options{})
	require.NoError(t, err)
	run := r.Scenarios[0].Runs[0]
	require.Empty(t, run.Violations)
	for _, note := range run.Faults {
		if !strings.Contains(note, "roll-out") {
			require.Regexp(t, `(began|ended)$`, note)
		}
	}
	for _, f := range p.Scenarios[0].Faults {
		require.Equal(t, 2, strings.Count(strings.Join(run.Faults, "\n"), string(f.Kind)), "%v", run.Faults)
	}
	require.NotNil(t, run.Rollout)
	t.Log(run.Rollout.Line())
}
