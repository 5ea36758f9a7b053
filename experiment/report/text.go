package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/carawaypitch/carawaypitch/experiment/deploy"
)

// NewPrefill adds the shares.
func NewPrefill(p deploy.Prefill) Prefill {
	return Prefill{Prefill: p, WastedShare: ratio(p.TotalWasted(), p.Computed)}
}

// Line sums a run up.
func (r Run) Line(scenario string) string {
	text := fmt.Sprintf("%s %s: goodput %s", scenario, r.Policy, percent(r.GoodRate))
	for _, t := range r.Tiers {
		text += fmt.Sprintf(", tier %d %s", t.Tier, percent(t.GoodRate))
	}
	text += fmt.Sprintf("; wasted prefill %s, spread %s", percent(r.Prefill.WastedShare), percent(r.Shares.Spread))
	if r.Rollout != nil {
		text += "; " + r.Rollout.Line()
	}
	if r.Invalid != "" {
		text += "; INVALID: " + r.Invalid
	}
	if len(r.Violations) > 0 {
		text += "; VIOLATIONS: " + strings.Join(r.Violations, "; ")
	}
	return text
}

// Print writes the report as tables, for people.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "experiment %s, seed %d\n", r.Experiment, r.Seed)
	for _, pool := range r.Capacity {
		fmt.Fprintf(t, "capacity of %s: %d servers, %.1f requests/s of the mix\n", pool.Name, pool.Servers, pool.Requests)
	}
	for _, g := range r.Scenarios {
		g.print(t)
	}
	for _, note := range r.Notes {
		fmt.Fprintln(t, note)
	}
	return t.Flush()
}

func (g Group) print(w io.Writer) {
	fmt.Fprintf(w, "\n%s (%.2g times capacity, %d requests)\n", g.Scenario, g.Load, g.Bound.Requests)
	fmt.Fprintln(w, "POLICY\tGOOD\tTIER 1\tTIER 2\tTIER 3\tOF BOUND\tWASTED PREFILL\tSPREAD\tWORK OF CAPACITY\tLATE GENERATOR P99")
	total := float64(g.Bound.Requests)
	fmt.Fprintf(w, "bound\t%s\t\t\t\t%s\t\t\t\t\n", percent(g.Bound.Total/total), percent(1))
	for _, run := range g.Runs {
		run.print(w, g.Bound)
	}
	for _, run := range g.Runs {
		run.printClasses(w)
	}
	for _, goal := range g.Goals {
		verdict := "MISSED"
		if goal.Met {
			verdict = "met"
		}
		fmt.Fprintf(w, "goal %s: %s: %s\n", verdict, goal.Goal, goal.Figure)
	}
}

func (r Run) print(w io.Writer, b Bound) {
	fmt.Fprintf(w, "%s\t%s\t", r.name(), percent(r.GoodRate))
	for _, t := range r.Tiers {
		fmt.Fprintf(w, "%s\t", percent(t.GoodRate))
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t", percent(ratio(float64(r.Good), b.Total)), percent(r.Prefill.WastedShare), percent(r.Shares.Spread))
	for i, pool := range r.Pools {
		if i > 0 {
			fmt.Fprint(w, " ")
		}
		fmt.Fprintf(w, "%s %.2f", pool.Name, pool.Work)
	}
	fmt.Fprintf(w, "\t%.1f ms\n", r.Lateness.P99)
	if r.Invalid != "" {
		fmt.Fprintf(w, "  INVALID: %s\n", r.Invalid)
	}
	for _, a := range r.Asked {
		fmt.Fprintf(w, "  %s (%s): %d sent, %d at most in 4 s", a.Server, a.Fault, a.Sent, a.Most)
		if a.Allowed >= 0 {
			fmt.Fprintf(w, ", %.1f allowed, %s used", a.Allowed, percent(a.Used))
		}
		fmt.Fprintln(w)
	}
	if r.Order.Streams > 0 {
		fmt.Fprintf(w, "  order %s\n", r.Order)
	}
	r.Rollout.print(w)
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  VIOLATION: %s\n", v)
	}
}

func (r Run) name() string {
	if r.Knob > 0 {
		return fmt.Sprintf("%s (%d)", r.Policy, r.Knob)
	}
	return r.Policy
}

func (r Run) printClasses(w io.Writer) {
	fmt.Fprintf(w, "\n%s\tCLASS\tTIER\tREQUESTS\tGOOD\tLATE (MAX)\tLOST (MAX)\tP50 MS\tP99 MS\tFIRST BYTE P99\n", r.name())
	for _, c := range r.Classes {
		fmt.Fprintf(w, "\t%s\t%d\t%d\t%s\t%s (%s)\t%s (%s)\t%.1f\t%.1f\t%.1f\n", c.Class, c.Tier, c.Requests,
			percent(ratio(c.Good, c.Requests)), percent(c.LateShare), percent(c.LateMax), percent(c.LostShare), percent(c.LostMax),
			c.Latency.P50, c.Latency.P99, c.FirstByte.P99)
	}
	for _, o := range r.Shares.Organisations {
		fmt.Fprintf(w, "\torganisation %s\t\t%d asked\t%d served\t%.3f of its equal share\t\t\t\t\n", o.Name, o.Asked, o.Served, o.OfEqual)
	}
	for _, code := range r.Refusals {
		fmt.Fprintf(w, "\tcode %d %s, tier %d, ran %s: %d\n", code.Code, code.Name, code.Tier, code.Ran, code.Count)
	}
	for _, cause := range sortedKeys(r.Prefill.Wasted) {
		fmt.Fprintf(w, "\twasted prefill by %s: %d of %d tokens\n", cause, r.Prefill.Wasted[cause], r.Prefill.Computed)
	}
	for _, f := range r.Faults {
		fmt.Fprintf(w, "\tfault at %s\n", f)
	}
}
