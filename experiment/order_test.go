package experiment

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/experiment/plan"
)

// Guards against streams of a whole deployment that are out of order, or that no one reads event by event, while their servers are
// killed in mid-answer and break answers off.
func TestStreamsStayInOrderWhileServersAreKilled(t *testing.T) {
	p := tiny(t)
	p.Measured = plan.Duration(6 * time.Second)
	p.Scenarios[0].Load = 0.5
	p.Servers[0].Count = 2
	for i, target := range []string{"fast-01", "fast-02"} {
		p.Scenarios[0].Faults = append(p.Scenarios[0].Faults,
			plan.Fault{Kind: plan.BrokenAnswers, At: plan.Duration(500 * time.Millisecond), For: plan.Duration(5 * time.Second), Target: target, Factor: 0.1},
			plan.Fault{Kind: plan.EngineCrash, At: plan.Duration(time.Duration(1+2*i) * time.Second), For: plan.Duration(500 * time.Millisecond), Target: target})
	}
	r, err := Run(context.Background(), p, Options{})
	require.NoError(t, err)
	run := r.Scenarios[0].Runs[0]
	t.Log(run.Order)
	require.Empty(t, run.Violations)
	require.Positive(t, run.Order.Streams)
}
