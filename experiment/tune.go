package experiment

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/experiment/report"
)

// Tune runs the plan's tune scenario once for each value in tried of each baseline's knob, and notes the best of each
// by total goodput. The file's own values aren't changed.
func Tune(ctx context.Context, p *plan.Plan, options Options) (*report.Report, error) {
	scenario := p.Scenario(p.TuneScenario)
	if scenario == nil {
		return nil, errors.New("the experiment file names no tune_scenario")
	}
	tuned := *p
	tuned.Policies = nil
	for _, policy := range p.Policies {
		for _, value := range policy.Tried {
			one := policy
			one.MaxOutstanding = value
			tuned.Policies = append(tuned.Policies, one)
		}
	}
	options.Scenarios = []string{scenario.Name}
	r, err := Run(ctx, &tuned, options)
	if r != nil {
		r.Notes = append(r.Notes, tuningNotes(r)...)
	}
	return r, err
}

// tuningNotes names the best value of each policy.
func tuningNotes(r *report.Report) []string {
	var order []string
	best := map[string]report.Run{}
	for _, group := range r.Scenarios {
		for _, run := range group.Runs {
			known, ok := best[run.Policy]
			if !ok {
				order = append(order, run.Policy)
			}
			if !ok || run.Good > known.Good {
				best[run.Policy] = run
			}
		}
	}
	var notes []string
	for _, policy := range order {
		run := best[policy]
		notes = append(notes, fmt.Sprintf("best max_outstanding of %s: %d (%d of %d requests good)", policy, run.Knob, run.Good, run.Requests))
	}
	return notes
}
