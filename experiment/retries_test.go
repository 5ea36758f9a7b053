package experiment

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/experiment/deploy"
	"github.com/carawaypitch/carawaypitch/experiment/load"
	"github.com/carawaypitch/carawaypitch/experiment/plan"
)

// Guards against retries beyond the bound in a whole deployment: all servers break answers off, and an entry is killed three times.
func TestDeploymentStaysWithinRetryBound(t *testing.T) {
	p := tiny(t)
	p.Measured = plan.Duration(7 * time.Second)
	p.Servers[0].Count = 2
	p.Retries = plan.Retries{Ratio: 0.05, Allowance: 4}
	for _, target := range []string{"fast-01", "fast-02"} {
		fault := plan.Fault{Kind: plan.BrokenAnswers, At: plan.Duration(200 * time.Millisecond), For: plan.Duration(6 * time.Second), Target: target, Factor: 0.9}
		p.Scenarios[0].Faults = append(p.Scenarios[0].Faults, fault)
	}
	for i := range 3 {
		fault := plan.Fault{Kind: plan.EntryDeath, At: plan.Duration(time.Second + 2*time.Duration(i)*time.Second), For: plan.Duration(200 * time.Millisecond), Entry: 1}
		p.Scenarios[0].Faults = append(p.Scenarios[0].Faults, fault)
	}
	r, err := Run(context.Background(), p, Options{})
	require.NoError(t, err)
	require.Empty(t, r.Scenarios[0].Runs[0].Violations)
}

// Guards against an experiment that doesn't see retries beyond its bound.
func TestExcessRetriesAreViolations(t *testing.T) {
	p := tiny(t)
	p.Retries = plan.Retries{Ratio: 1e-6, Allowance: 1}
	d, err := deploy.Start(t.Context(), deploy.Options{Plan: p, Policy: p.Policies[0]})
	require.NoError(t, err)
	defer func() { require.NoError(t, d.Stop()) }()
	o := &one{plan: p, deployment: d, begin: time.Now()}
	target := p.Servers[p.PoolOf(p.Mix[0])[0]].Serves
	d.NoteArrival(target, "request.1", time.Now())
	d.NoteArrival(target, "request.2", time.Now())
	outcomes := []*load.Outcome{{Arrival: &load.Arrival{}}}
	require.Empty(t, o.excessRetries(outcomes))
	d.NoteArrival(target, "request.3", time.Now())
	require.Len(t, o.excessRetries(outcomes), 1)
}
