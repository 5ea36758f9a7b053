package report

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/carawaypitch/carawaypitch/experiment/deploy"
	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/operator"
)

// Bounds of roll-outs, as the users' platform sets them.
const (
	exposureShare     = 0.1
	exposureAllowance = 50
	// badAnswers is the number of bad answers after which a version has rollbackTime until it gets nothing more. A disturbance of
	// the control instances extends that by maxStretch.
	badAnswers   = 50
	rollbackTime = 5 * time.Second
	maxStretch   = 6 * time.Second
	// ackTime is how long an acknowledgement may take.
	ackTime = 5 * time.Second
	// maxRolloutCost is the part of the answers in time that a roll-out under calm load may cost.
	maxRolloutCost = 0.005
)

// Rollout is what became of a roll-out, against its bounds.
type Rollout struct {
	Service string `json:"service"`
	To      string `json:"to"`
	// Bad says how the version is bad, empty for a good one.
	Bad string `json:"bad"`
	// AcknowledgedS is the time from the order to its acknowledgement, below 0 for none.
	AcknowledgedS float64 `json:"acknowledged_s"`
	State         string  `json:"state"`
	Reason        string  `json:"reason"`
	// VerdictS is the time from the order to the verdict, below 0 for none, and LimitS the time allowed.
	VerdictS float64 `json:"verdict_s"`
	LimitS   float64 `json:"limit_s"`
	InTime   bool    `json:"in_time"`
	// Wrong is "good version reverted" or "bad version completed", empty if the verdict is right or there is none.
	Wrong string `json:"wrong"`
	// Requests is how many reached servers of the service, and Exposed how many of these servers of the version, between order and
	// limit; of a good version until the verdict. Allowed is the bound of Exposed for a bad version.
	Requests int     `json:"requests"`
	Exposed  int     `json:"exposed"`
	Allowed  float64 `json:"allowed"`
	// BadAnswers is how many answers the version spoiled. LastS is the time from the 50th of them to the last request that reached
	// the version, LastAllowedS its bound, and Late how many requests were later than that. They are 0 with fewer bad answers.
	BadAnswers   int     `json:"bad_answers"`
	LastS        float64 `json:"last_s"`
	LastAllowedS float64 `json:"last_allowed_s"`
	Late         int     `json:"late"`
	// CostAgainst is the scenario by which Cost is measured, empty if none ran: the part of its answers in time that are missing.
	CostAgainst string  `json:"cost_against"`
	Cost        float64 `json:"cost"`
}

// NewRollout measures a roll-out against its bounds. Requests count when they reach a server, later than they are sent, so the
// bounds are kept by what was sent if they are kept here. disturbed says that control instances were killed or cut off.
func NewRollout(d deploy.Rollout, disturbed bool) *Rollout {
	limit := d.Sent.Add(d.Plan.For.Std())
	r := &Rollout{
		Service: d.Plan.Service, To: d.Plan.To, Bad: describeBad(d.Plan.Bad), State: d.State, Reason: d.Reason,
		AcknowledgedS: secondsBetween(d.Sent, d.Acknowledged), VerdictS: secondsBetween(d.Sent, d.Ended), LimitS: d.Plan.For.Std().Seconds(),
		InTime: !d.Ended.IsZero() && !d.Ended.After(limit), BadAnswers: len(d.Bad),
	}
	switch {
	case d.State == operator.RolloutReverted && d.Plan.Bad == nil:
		r.Wrong = "good version reverted"
	case d.State == operator.RolloutCompleted && d.Plan.Bad != nil:
		r.Wrong = "bad version completed"
	}
	until := limit
	if d.Plan.Bad == nil && !d.Ended.IsZero() {
		until = d.Ended
	}
	r.Exposed = countBetween(d.New, d.Sent, until)
	r.Requests = r.Exposed + countBetween(d.Old, d.Sent, until)
	r.Allowed = exposureShare*float64(r.Requests) + exposureAllowance
	r.countLate(d, disturbed)
	return r
}

// countLate counts the requests that came too long after the 50th bad answer.
func (r *Rollout) countLate(d deploy.Rollout, disturbed bool) {
	if len(d.Bad) < badAnswers {
		return
	}
	allowed := rollbackTime
	if disturbed {
		allowed += maxStretch
	}
	r.LastAllowedS = allowed.Seconds()
	from := d.Bad[badAnswers-1]
	for _, at := range d.New {
		r.LastS = max(r.LastS, at.Sub(from).Seconds())
		if at.Sub(from) > allowed {
			r.Late++
		}
	}
}

func secondsBetween(from, to time.Time) float64 {
	if to.IsZero() {
		return -1
	}
	return to.Sub(from).Seconds()
}

func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && !at.After(to) {
			n++
		}
	}
	return n
}

func describeBad(bad *plan.BadVersion) string {
	if bad == nil {
		return ""
	}
	var parts []string
	if bad.Failures > 0 {
		parts = append(parts, fmt.Sprintf("fails %s", percent(bad.Failures)))
	}
	if bad.Slow > 1 {
		parts = append(parts, fmt.Sprintf("%g times slower", bad.Slow))
	}
	if bad.After > 0 {
		parts = append(parts, fmt.Sprintf("after %s", bad.After.Std()))
	}
	if bad.MinRunning > 0 {
		parts = append(parts, fmt.Sprintf("from %d running", bad.MinRunning))
	}
	if bad.Path != "" {
		parts = append(parts, "at "+bad.Path)
	}
	return strings.Join(parts, ", ")
}

// isBad reports whether the version is bad.
func (r *Rollout) isBad() bool { return r.Bad != "" }

// Violations returns the bounds that a bad version exceeded.
func (r *Rollout) Violations() []string {
	var found []string
	if r.isBad() && float64(r.Exposed) > r.Allowed {
		found = append(found, fmt.Sprintf("a bad version got %d of %d requests, %.1f allowed", r.Exposed, r.Requests, r.Allowed))
	}
	if r.Late > 0 {
		found = append(found, fmt.Sprintf("a bad version got %d requests later than %.0f s after its 50th bad answer", r.Late, r.LastAllowedS))
	}
	return found
}

// Goals judges the roll-out, nil for none.
func (r *Rollout) Goals() []Goal {
	if r == nil {
		return nil
	}
	goals := []Goal{
		{"the order is acknowledged in time", r.AcknowledgedS >= 0 && r.AcknowledgedS <= ackTime.Seconds(), r.ackText()},
		{"the verdict is right and in time", r.Wrong == "" && r.InTime, r.verdictText()},
	}
	if r.isBad() {
		goals = append(goals,
			Goal{"exposure of a bad version within its bound", float64(r.Exposed) <= r.Allowed, r.exposureText()},
			Goal{"no request long after the 50th bad answer", r.Late == 0, r.lastText()})
	}
	return goals
}

func (r *Rollout) ackText() string {
	if r.AcknowledgedS < 0 {
		return "never acknowledged"
	}
	return fmt.Sprintf("%.2f s, %.0f allowed", r.AcknowledgedS, ackTime.Seconds())
}

func (r *Rollout) verdictText() string {
	if r.VerdictS < 0 {
		return fmt.Sprintf("no verdict in %.0f s", r.LimitS)
	}
	text := fmt.Sprintf("%s after %.1f s of %.0f s", r.State, r.VerdictS, r.LimitS)
	if r.Wrong != "" {
		text += ", WRONG: " + r.Wrong
	}
	if !r.InTime {
		text += ", LATE"
	}
	return text
}

func (r *Rollout) exposureText() string {
	text := fmt.Sprintf("%d of %d requests to the new version", r.Exposed, r.Requests)
	if r.isBad() {
		text += fmt.Sprintf(", %.1f allowed", r.Allowed)
	}
	return text
}

func (r *Rollout) lastText() string {
	if r.BadAnswers < badAnswers {
		return fmt.Sprintf("%d bad answers", r.BadAnswers)
	}
	return fmt.Sprintf("%d bad answers, last request %.1f s after the 50th, %.0f allowed", r.BadAnswers, r.LastS, r.LastAllowedS)
}

func (r *Rollout) costText() string {
	return fmt.Sprintf("%s of the answers in time of %s", percent(r.Cost), r.CostAgainst)
}

// Line sums the roll-out up.
func (r *Rollout) Line() string {
	how := "good"
	if r.isBad() {
		how = "bad: " + r.Bad
	}
	parts := []string{r.verdictText(), r.exposureText()}
	if r.isBad() {
		parts = append(parts, r.lastText())
	}
	if r.CostAgainst != "" {
		parts = append(parts, "cost "+r.costText())
	}
	return fmt.Sprintf("roll-out of %s to %s (%s): %s", r.Service, r.To, how, strings.Join(parts, "; "))
}

func (r *Rollout) print(w io.Writer) {
	if r != nil {
		fmt.Fprintf(w, "  %s\n", r.Line())
	}
	if r != nil && r.Reason != "" {
		fmt.Fprintf(w, "  reason of the verdict: %s\n", r.Reason)
	}
}

// SetRolloutCosts measures what roll-outs cost callers by the runs of the scenarios that the plan names, under the same policy.
func (r *Report) SetRolloutCosts(p *plan.Plan) {
	for i := range r.Scenarios {
		group := &r.Scenarios[i]
		s := p.Scenario(group.Scenario)
		if s == nil || s.Rollout == nil || s.Rollout.CostAgainst == "" {
			continue
		}
		for j := range group.Runs {
			if calm := r.runOf(s.Rollout.CostAgainst, group.Runs[j]); calm != nil && calm.Good > 0 {
				group.setCost(&group.Runs[j], s.Rollout.CostAgainst, calm)
			}
		}
	}
}

// runOf returns the run of a scenario under the policy of another run, nil for none.
func (r *Report) runOf(scenario string, other Run) *Run {
	for _, group := range r.Scenarios {
		for i, run := range group.Runs {
			if group.Scenario == scenario && run.Policy == other.Policy && run.Knob == other.Knob {
				return &group.Runs[i]
			}
		}
	}
	return nil
}

func (g *Group) setCost(run *Run, scenario string, calm *Run) {
	if run.Rollout == nil {
		return
	}
	run.Rollout.CostAgainst = scenario
	run.Rollout.Cost = 1 - float64(run.Good)/float64(calm.Good)
	g.Goals = append(g.Goals, Goal{"cost to callers", run.Rollout.Cost < maxRolloutCost, run.Rollout.costText() + ", under " + percent(maxRolloutCost) + " wanted"})
}
