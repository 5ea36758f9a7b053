// Package experiment runs experiment files: the same requests under each policy, each against a fresh deployment in
// this process, one after another, and reports what became of them beside a bound that no scheduler can beat.
package experiment

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/experiment/bound"
	"github.com/carawaypitch/carawaypitch/experiment/load"
	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/experiment/report"
)

// Options say what to run of a plan.
type Options struct {
	// Scenarios and Policies are the names of those to run; empty for all.
	Scenarios []string
	Policies  []string
	// Progress takes a line each second; nil for none.
	Progress io.Writer
	// Log takes the daemons' events; nil for none.
	Log log.Interface
}

// ErrViolation says that a promise to callers was broken in a run. The report names it.
var ErrViolation = errors.New("a promise was broken; see violations in the report")

// Run runs the scenarios under the policies, one deployment after another. With ErrViolation, or the end of ctx, the
// report holds what was measured.
func Run(ctx context.Context, p *plan.Plan, options Options) (*report.Report, error) {
	if err := options.check(p); err != nil {
		return nil, err
	}
	r := newReport(p)
	var broken error
	for i := range p.Scenarios {
		s := &p.Scenarios[i]
		if !chosen(options.Scenarios, s.Name) {
			continue
		}
		group, err := runScenario(ctx, p, s, options)
		r.Scenarios = append(r.Scenarios, group)
		if errors.Is(err, ErrViolation) {
			broken = err
			continue
		}
		if err != nil {
			return r, err
		}
	}
	r.SetRolloutCosts(p)
	return r, broken
}

func (o Options) check(p *plan.Plan) error {
	for _, name := range o.Scenarios {
		if p.Scenario(name) == nil {
			return errors.Errorf("no scenario %q", name)
		}
	}
	for _, name := range o.Policies {
		if !slices.ContainsFunc(p.Policies, func(policy plan.Policy) bool { return policy.Policy == name }) {
			return errors.Errorf("no policy %q", name)
		}
	}
	return nil
}

func chosen(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

func newReport(p *plan.Plan) *report.Report {
	r := &report.Report{Experiment: p.Name, Seed: p.Seed, Started: time.Now()}
	for _, pool := range bound.Pools(p) {
		r.Capacity = append(r.Capacity, report.Pool{
			Name:     pool.Name,
			Servers:  len(pool.Servers),
			Requests: pool.RequestRate(p.Mix),
			Work:     pool.Capacity(),
		})
	}
	return r
}

// runScenario runs one scenario under all chosen policies, on the same requests.
func runScenario(ctx context.Context, p *plan.Plan, s *plan.Scenario, options Options) (report.Group, error) {
	arrivals := load.Generate(p, s)
	group := report.Group{Scenario: s.Name, Load: s.Load, Bound: boundOf(p, s, arrivals)}
	var broken error
	for _, policy := range p.Policies {
		if !chosen(options.Policies, policy.Policy) {
			continue
		}
		run, err := runPolicy(ctx, p, s, policy, arrivals, options)
		if err != nil {
			return group, errors.Wrapf(err, "scenario %s, policy %s", s.Name, policy.Policy)
		}
		group.Runs = append(group.Runs, run)
		if len(run.Violations) > 0 {
			broken = ErrViolation
		}
	}
	group.Goals = report.Judge(s.Goals, p.Goals, group)
	for _, run := range group.Runs {
		group.Goals = append(group.Goals, run.Rollout.Goals()...)
	}
	return group, broken
}

// boundOf returns the bound on the measured requests. Those of the warm-up and the cool-down are left out: a scheduler
// with full knowledge would drop them, so that the bound stays one.
func boundOf(p *plan.Plan, s *plan.Scenario, arrivals []*load.Arrival) report.Bound {
	jobs := map[string][]bound.Job{}
	b := report.Bound{}
	for _, a := range arrivals {
		if !a.Measured {
			continue
		}
		b.Requests++
		jobs[a.Pool] = append(jobs[a.Pool], bound.Job{
			Tier: a.Class.Tier, Release: a.At, Deadline: a.At + a.Deadline(), Cost: a.Cost,
		})
	}
	for _, pool := range bound.Pools(p) {
		b.Total += bound.Best(jobs[pool.Name], pool, s.Faults, p.WarmUp.Std(), bound.ByCost).Total
		byTier := bound.Best(jobs[pool.Name], pool, s.Faults, p.WarmUp.Std(), bound.ByTier)
		for tier, good := range byTier.Tiers {
			b.ByTier[tier-1] += good
		}
	}
	return b
}

// progress writes a line.
func (o Options) progress(format string, args ...any) {
	if o.Progress != nil {
		fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}
