package experiment

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/experiment/plan"
)

// Servers that name a limit, ask for rest or leave must get no more than that in a whole deployment, and the limit must be used.
func TestDeploymentDoesWhatServersAsk(t *testing.T) {
	p := tiny(t)
	p.Measured = plan.Duration(6 * time.Second)
	p.Scenarios[0].Load = 0.9
	p.Servers[0].Count = 3
	p.Scenarios[0].Faults = []plan.Fault{
		{Kind: plan.RateLimit, At: plan.Duration(500 * time.Millisecond), For: plan.Duration(5 * time.Second), Target: "fast-01", Factor: 3},
		{Kind: plan.Backoff, At: plan.Duration(500 * time.Millisecond), For: plan.Duration(3 * time.Second), Target: "fast-02", Factor: 1},
		{Kind: plan.Draining, At: plan.Duration(500 * time.Millisecond), For: plan.Duration(4 * time.Second), Target: "fast-03"},
	}
	r, err := Run(context.Background(), p, Options{})
	require.NoError(t, err)
	run := r.Scenarios[0].Runs[0]
	require.Empty(t, run.Violations)
	require.Len(t, run.Asked, 3)
	for _, asked := range run.Asked {
		// A load report may say that the server leaves before any request has reached it.
		require.True(t, asked.Sent > 0 || asked.Fault == string(plan.Draining), "%s (%s)", asked.Server, asked.Fault)
		t.Logf("%+v", asked)
	}
}
