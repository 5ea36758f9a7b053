package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/experiment/report"
)

// tiny is quick.jsonc with the least of everything.
func tiny(t *testing.T) *plan.Plan {
	t.Helper()
	text, err := os.ReadFile("../examples/experiments/quick.jsonc")
	require.NoError(t, err)
	p, err := plan.Parse("quick.jsonc", text)
	require.NoError(t, err)
	p.WarmUp = plan.Duration(100 * time.Millisecond)
	p.Measured = plan.Duration(500 * time.Millisecond)
	p.CoolDown = 0
	p.MaxLateness = plan.Duration(time.Minute)
	p.Policies = p.Policies[:1]
	p.Scenarios[0].Load = 0.5
	for i := range p.Servers {
		p.Servers[i].Count = 1
	}
	return p
}

func TestTinyExperiment(t *testing.T) {
	p := tiny(t)
	p.Scenarios[0].Faults = []plan.Fault{{
		Kind: plan.Straggler, At: plan.Duration(100 * time.Millisecond), For: plan.Duration(200 * time.Millisecond), Target: "fast-01", Factor: 2,
	}}
	var progress bytes.Buffer
	r, err := Run(context.Background(), p, Options{Progress: &progress})
	require.NoError(t, err)
	require.Len(t, r.Scenarios, 1)
	require.Len(t, r.Scenarios[0].Runs, 1)
	run := r.Scenarios[0].Runs[0]
	assert.Positive(t, run.Requests)
	assert.Positive(t, run.Good)
	assert.Equal(t, run.Requests, r.Scenarios[0].Bound.Requests)
	assert.LessOrEqual(t, float64(run.Good), r.Scenarios[0].Bound.Total)
	assert.Empty(t, run.Violations)
	assert.NotEmpty(t, run.Metrics)
	assert.NotEmpty(t, progress.String())
	_, err = json.Marshal(r)
	require.NoError(t, err)
}

// Symptom: a fault of an experiment doesn't happen, or breaks a promise.
// Sequence: an agent, an entry and an engine die and come back, a server leaves, the control leader is cut off.
// Cause: the deployment lost track of an instance; or the system under test is at fault, and the violation says how.
func TestEveryFaultHappens(t *testing.T) {
	p := tiny(t)
	p.Controls = 3
	p.Servers[0].Count = 3
	at, lasts := plan.Duration(100*time.Millisecond), plan.Duration(200*time.Millisecond)
	p.Scenarios[0].Faults = []plan.Fault{
		{Kind: plan.AgentDeath, At: at, For: lasts, Target: "fast-01"},
		{Kind: plan.EngineCrash, At: at, For: lasts, Target: "fast-02"},
		{Kind: plan.ServerLeave, At: at, Target: "fast-03"},
		{Kind: plan.EntryDeath, At: at, For: lasts, Entry: 2},
		{Kind: plan.CacheEvents, At: at, For: lasts, Factor: 1},
		{Kind: plan.ControlCut, At: at, For: lasts},
		{Kind: plan.PoisonRequest, At: at, For: lasts, Target: "fast-01", Factor: 20},
		{Kind: plan.SkewedCallers, At: at, For: lasts, Entry: 1, Factor: 0.9},
	}
	r, err := Run(context.Background(), p, Options{})
	require.NoError(t, err)
	run := r.Scenarios[0].Runs[0]
	assert.Empty(t, run.Violations)
	for _, f := range p.Scenarios[0].Faults {
		assert.Contains(t, strings.Join(run.Faults, "\n"), string(f.Kind))
	}
	for _, note := range run.Faults {
		assert.Regexp(t, `(began|ended)$`, note)
	}
}

// Guards against a part of prompts that goes on to crash servers while requests with it, no two alike, are sent.
func TestPoisonPartIsHeldInAnExperiment(t *testing.T) {
	p := tiny(t)
	p.Controls = 3
	p.Servers[0].Count = 8
	p.Measured = plan.Duration(13 * time.Second)
	p.Scenarios[0].Faults = []plan.Fault{
		{Kind: plan.PoisonPart, At: 0, For: plan.Duration(12 * time.Second), Target: "fast-01", Factor: 8},
	}
	r, err := Run(context.Background(), p, Options{})
	require.NoError(t, err)
	require.Empty(t, r.Scenarios[0].Runs[0].Violations)
}

func TestUnknownNamesAreRefused(t *testing.T) {
	_, err := Run(context.Background(), tiny(t), Options{Scenarios: []string{"none"}})
	require.ErrorContains(t, err, `no scenario "none"`)
	_, err = Run(context.Background(), tiny(t), Options{Policies: []string{"none"}})
	require.ErrorContains(t, err, `no policy "none"`)
}

func TestTuningNamesTheBest(t *testing.T) {
	run := func(policy string, knob, good int) report.Run {
		return report.Run{Policy: policy, Knob: knob, Good: good, Requests: 10}
	}
	runs := []report.Run{run("round_robin", 2, 5), run("round_robin", 4, 7), run("least_load", 2, 6), run("round_robin", 8, 3)}
	notes := tuningNotes(&report.Report{Scenarios: []report.Group{{Runs: runs}}})
	assert.Equal(t, []string{
		"best max_outstanding of round_robin: 4 (7 of 10 requests good)",
		"best max_outstanding of least_load: 2 (6 of 10 requests good)",
	}, notes)
}
