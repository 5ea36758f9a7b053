package report

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/experiment/load"
)

// windowStep is how far apart the windows begin over which organisations are compared.
const windowStep = time.Second

func (c *counter) shares(outcomes []*load.Outcome) Shares {
	s := Shares{Organisations: make([]Organisation, len(c.plan.Organisations)), WindowS: c.window().Seconds()}
	for i, o := range c.plan.Organisations {
		s.Organisations[i].Name, s.Organisations[i].Demand = o.Name, o.Demand
	}
	for _, o := range outcomes {
		if !o.Arrival.Measured {
			continue
		}
		row := &s.Organisations[o.Arrival.Organisation]
		row.Asked += o.Arrival.Tokens()
		if o.Fate == load.Whole {
			row.Served += o.Arrival.Tokens()
		}
		if o.Good(c.network) {
			row.InTime += o.Arrival.Tokens()
		}
	}
	setEqualShares(s.Organisations)
	s.Spread, s.Pair = c.spread(outcomes, servedAt)
	s.Asked, _ = c.spread(outcomes, askedAt)
	return s
}

// setEqualShares divides what was served: all get the same, but nobody more than it asked for, and what that leaves
// goes to the others in the same way.
func setEqualShares(organisations []Organisation) {
	total := 0
	order := make([]*Organisation, len(organisations))
	for i := range organisations {
		order[i] = &organisations[i]
		total += organisations[i].Served
	}
	slices.SortStableFunc(order, func(a, b *Organisation) int { return cmp.Compare(a.Asked, b.Asked) })
	left := float64(total)
	for i, o := range order {
		o.Equal = math.Min(float64(o.Asked), left/float64(len(order)-i))
		left -= o.Equal
		o.OfEqual = ratio(float64(o.Served), o.Equal)
	}
}

// servedAt is when a whole answer ended; askedAt is when a request came.
func servedAt(o *load.Outcome) (at time.Duration, counts bool) {
	return o.Arrival.At + o.End, o.Fate == load.Whole
}

func askedAt(o *load.Outcome) (at time.Duration, counts bool) {
	return o.Arrival.At, true
}

func (c *counter) window() time.Duration {
	return min(c.plan.ShareWindow.Std(), c.plan.Measured.Std())
}

// spread returns the largest difference between two organisations with the same demand over any window.
func (c *counter) spread(outcomes []*load.Outcome, when func(*load.Outcome) (time.Duration, bool)) (float64, string) {
	worst, pair := 0.0, ""
	first, last := c.plan.WarmUp.Std(), c.plan.WarmUp.Std()+c.plan.Measured.Std()-c.window()
	for begin := first; begin <= last; begin += windowStep {
		tokens := make([]int, len(c.plan.Organisations))
		for _, o := range outcomes {
			if at, counts := when(o); counts && at >= begin && at < begin+c.window() {
				tokens[o.Arrival.Organisation] += o.Arrival.Tokens()
			}
		}
		if difference, names := c.widest(tokens); difference > worst {
			worst, pair = difference, names
		}
	}
	return worst, pair
}

func (c *counter) widest(tokens []int) (float64, string) {
	worst, pair := 0.0, ""
	for i, a := range c.plan.Organisations {
		for j, b := range c.plan.Organisations[:i] {
			if a.Demand != b.Demand {
				continue
			}
			high, low := max(tokens[i], tokens[j]), min(tokens[i], tokens[j])
			if difference := ratio(high-low, high); difference > worst {
				worst, pair = difference, fmt.Sprintf("%s and %s", b.Name, a.Name)
			}
		}
	}
	return worst, pair
}
