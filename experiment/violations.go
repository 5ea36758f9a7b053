package experiment

import (
	"fmt"
	"maps"
	"slices"

	"github.com/carawaypitch/carawaypitch/experiment/load"
)

// maxNamed bounds how many violations of a kind are named.
const maxNamed = 5

// violations looks for broken promises that single answers don't show.
func (o *one) violations(outcomes []*load.Outcome) []string {
	var found []string
	if count, names := o.deployment.Ledger().Overlaps(); count > 0 {
		found = append(found, fmt.Sprintf("%d overlaps: a request ran on two engines at a time: %v", count, names))
	}
	found = append(found, o.deployment.Violations()...)
	found = append(found, o.doubleRuns(outcomes)...)
	found = append(found, o.excessRetries(outcomes)...)
	return append(found, o.falseRefusals(outcomes)...)
}

// doubleRuns looks for work that may not be repeated and ran more than once.
func (o *one) doubleRuns(outcomes []*load.Outcome) []string {
	var found []string
	runs := o.deployment.Runs()
	for _, outcome := range outcomes {
		a := outcome.Arrival
		if count := runs[a.Key]; a.Key != "" && !a.Class.Repeatable && count > 1 && len(found) < maxNamed {
			found = append(found, fmt.Sprintf("request %d (%s) ran %d times", a.Number, a.Class.Name, count))
		}
	}
	return found
}

// excessRetries looks for models and services that got more retries than the plan allows. The requests that faults send aren't
// among the outcomes, so the bound is no larger than the entries'.
func (o *one) excessRetries(outcomes []*load.Outcome) []string {
	limits := o.deployment.RetryLimits()
	if limits.Ratio == 0 {
		return nil
	}
	for _, outcome := range outcomes {
		a := outcome.Arrival
		target := o.plan.Servers[o.plan.PoolOf(o.plan.Mix[a.Work])[0]].Serves
		for range 1 + outcome.Resent {
			o.deployment.NoteSent(target, o.begin.Add(a.At+outcome.Lateness))
		}
	}
	var found []string
	worst := o.deployment.WorstRetries()
	for _, target := range slices.Sorted(maps.Keys(worst)) {
		if w := worst[target]; w.Excess > 0 {
			found = append(found, fmt.Sprintf("%s: %d retries in %s from %s on, for %d requests: %.1f too many",
				target, w.Repeats, limits.Window, w.From.Sub(o.begin), w.Requests, w.Excess))
		}
	}
	return found
}

// falseRefusals looks for requests that ran though their callers were told that they didn't.
func (o *one) falseRefusals(outcomes []*load.Outcome) []string {
	started := map[string]bool{}
	for id := range o.deployment.Ledger().Starts() {
		started[id.Request()] = true
	}
	var found []string
	for _, outcome := range outcomes {
		if outcome.Fate == load.Refused && started[outcome.RequestID] && len(found) < maxNamed {
			found = append(found, fmt.Sprintf("request %d (%s, %s): the caller heard %s, ran \"no\", but it was started",
				outcome.Arrival.Number, outcome.Arrival.Class.Name, outcome.RequestID, outcome.Name))
		}
	}
	return found
}
