package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/experiment/deploy"
	"github.com/carawaypitch/carawaypitch/experiment/load"
	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/experiment/report"
	"github.com/carawaypitch/carawaypitch/pause"
)

// Durations of a run.
const (
	// leadIn is the time between the deployment's readiness and the first arrival.
	leadIn = 500 * time.Millisecond
	// watchInterval is how often a run is looked at, progressInterval how often a line is written.
	watchInterval    = 100 * time.Millisecond
	progressInterval = time.Second
)

// one is one run: a scenario under a policy against a deployment.
type one struct {
	plan       *plan.Plan
	scenario   *plan.Scenario
	policy     plan.Policy
	options    Options
	deployment *deploy.Deployment
	driver     *load.Driver
	begin      time.Time

	mu      sync.Mutex
	faults  []string
	warm    deploy.Prefill // at the end of the warm-up
	prefill deploy.Prefill // since then, before the last callers leave
}

// runPolicy starts a deployment, sends the requests and stops it.
func runPolicy(ctx context.Context, p *plan.Plan, s *plan.Scenario, policy plan.Policy, arrivals []*load.Arrival, options Options) (report.Run, error) {
	d, err := deploy.Start(ctx, deploy.Options{Plan: p, Policy: policy, Rollout: s.Rollout, Log: options.Log})
	if err != nil {
		return report.Run{}, err
	}
	o := &one{plan: p, scenario: s, policy: policy, options: options, deployment: d}
	outcomes := o.drive(ctx, arrivals)
	run := report.Count(p, outcomes)
	run.Policy, run.Knob = policy.Policy, policy.MaxOutstanding
	run.Faults = o.faults
	run.Prefill = report.NewPrefill(o.prefill)
	run.Metrics = report.SumMetrics(d.Metrics(ctx))
	for _, asked := range d.Asked() {
		run.Asked = append(run.Asked, report.Asked(asked))
	}
	if rollout := d.Rollout(); rollout != nil {
		run.Rollout = report.NewRollout(*rollout, s.DisturbsControl())
		run.Violations = append(run.Violations, run.Rollout.Violations()...)
	}
	run.Violations = append(run.Violations, o.violations(outcomes)...)
	run.Invalid = o.invalid(run)
	if err := d.Stop(); err != nil {
		run.Faults = append(run.Faults, "stop: "+err.Error())
	}
	options.progress("%s", run.Line(s.Name))
	return run, ctx.Err()
}

// drive sends the requests while the faults happen, and returns once all measured ones are answered or the drain time
// is over.
func (o *one) drive(ctx context.Context, arrivals []*load.Arrival) []*load.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.driver = load.NewDriver(o.deployment.Clients(), o.deployment.Callers, o.deployment.Keys(), true)
	o.driver.Expect(arrivals)
	o.begin = time.Now().Add(leadIn)
	var duties sync.WaitGroup
	duties.Go(func() {
		o.watch(ctx, len(arrivals))
		o.snapshot(&o.prefill)
		o.prefill = o.prefill.Minus(o.warm)
		cancel()
	})
	duties.Go(func() {
		if pause.For(ctx, time.Until(o.measuredFrom())) {
			o.snapshot(&o.warm)
		}
	})
	for _, f := range o.scenario.Faults {
		duties.Go(func() { o.fault(ctx, f) })
	}
	if o.scenario.Rollout != nil {
		duties.Go(func() { o.rollout(ctx, o.scenario.Rollout) })
	}
	outcomes := o.driver.Run(ctx, o.begin, arrivals)
	duties.Wait()
	return outcomes
}

func (o *one) measuredFrom() time.Time { return o.begin.Add(o.plan.WarmUp.Std()) }

func (o *one) snapshot(into *deploy.Prefill) {
	now := o.deployment.Prefill()
	o.mu.Lock()
	defer o.mu.Unlock()
	*into = now
}

// watch writes progress and returns at the end of the run.
func (o *one) watch(ctx context.Context, total int) {
	lastArrival := o.begin.Add(o.plan.Length())
	end := lastArrival.Add(o.plan.Drain.Std())
	next := o.begin
	for pause.For(ctx, watchInterval) {
		now := time.Now()
		status := o.driver.Status()
		if now.After(next) {
			next = next.Add(progressInterval)
			o.options.progress("%s %s: %.0fs of %.0fs, %d of %d done, %d in flight", o.scenario.Name, o.policy.Policy,
				now.Sub(o.begin).Seconds(), o.plan.Length().Seconds(), status.Done, total, status.InFlight)
		}
		if now.After(end) || (now.After(lastArrival) && status.Open <= 0) {
			return
		}
	}
}

// fault lets a fault begin and end at its times.
func (o *one) fault(ctx context.Context, f plan.Fault) {
	if !pause.For(ctx, time.Until(o.measuredFrom().Add(f.At.Std()))) {
		return
	}
	end, err := o.deployment.Begin(ctx, f)
	o.noteFault(f, "began", err)
	if err != nil {
		return
	}
	if f.For == 0 {
		return
	}
	pause.For(ctx, f.For.Std())
	o.noteFault(f, "ended", end())
}

// rollout runs the roll-out of the scenario at its time.
func (o *one) rollout(ctx context.Context, r *plan.Rollout) {
	if !pause.For(ctx, time.Until(o.measuredFrom().Add(r.At.Std()))) {
		return
	}
	name := fmt.Sprintf("roll-out of %s to %s", r.Service, r.To)
	o.noteEvent(name, "began", nil)
	err := o.deployment.RunRollout(ctx)
	o.noteEvent(name, "ended", err)
}

func (o *one) noteFault(f plan.Fault, what string, err error) {
	name := string(f.Kind)
	if f.Target != "" {
		name += " of " + f.Target
	}
	o.noteEvent(name, what, err)
}

func (o *one) noteEvent(name, what string, err error) {
	text := fmt.Sprintf("%.1fs: %s %s", time.Since(o.measuredFrom()).Seconds(), name, what)
	if err != nil {
		text += ": " + err.Error()
	}
	o.options.progress("%s", text)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = append(o.faults, text)
}

// invalid says why the figures of a run don't count.
func (o *one) invalid(run report.Run) string {
	bound := o.plan.MaxLateness.Std()
	late := time.Duration(run.Lateness.P99 * float64(time.Millisecond))
	switch {
	case o.driver.Dropped() > 0:
		return fmt.Sprintf("the generator itself dropped %d requests", o.driver.Dropped())
	case late > bound:
		return fmt.Sprintf("the generator was late: %s at the 99th percentile, %s allowed", late, bound)
	default:
		return ""
	}
}
