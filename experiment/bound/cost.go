// Package bound works out what a pool of backend servers can do at most: its capacity, which experiments give their
// load as a multiple of, and a bound on goodput that no scheduler can beat.
//
// Work is measured in seconds of the pool's first server. A model engine computes R prompt tokens a second, and a step
// with n decoding streams takes P + (n-1)S and gives n tokens, so that a token costs (P + (n-1)S)/n, which is least
// with all slots in use. A request of p prompt tokens, c of them in a shared prefix, and o output tokens thus costs
// at least (p-c)/R + (o-1)D seconds, D being the least cost of a token; the first token comes with the last step of
// the prompt. An engine of another speed works at the larger of its two ratios to the first. A service call costs its
// service time, and a service works at its number of slots.
//
// The true cost is higher: batches aren't always full, and a prefix is computed at least once at each engine that
// uses it. So capacity is a little optimistic, and the bound stays one.
package bound

import (
	"math"
	"time"

	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/settings"
)

// Pool is the backend servers that can do the same work.
type Pool struct {
	// Name is "model" or the service's name.
	Name    string
	Kind    string
	Servers []plan.Server
	// Works are the numbers in plan.Mix of the work that it does.
	Works []int

	reference plan.Server
}

// Pools returns the pools of a plan in the order of its mix.
func Pools(p *plan.Plan) []*Pool {
	var pools []*Pool
	byName := map[string]*Pool{}
	for i, work := range p.Mix {
		kind, service := plan.Target(work.Path)
		name := service
		if kind == settings.KindModel {
			name = kind
		}
		pool := byName[name]
		if pool == nil {
			pool = newPool(p, name, kind)
			byName[name] = pool
			pools = append(pools, pool)
		}
		pool.Works = append(pool.Works, i)
	}
	return pools
}

func newPool(p *plan.Plan, name, kind string) *Pool {
	pool := &Pool{Name: name, Kind: kind}
	for _, s := range p.ServerList() {
		if s.Kind == kind && (kind == settings.KindModel || s.Serves == name) {
			pool.Servers = append(pool.Servers, s)
		}
	}
	pool.reference = pool.Servers[0]
	return pool
}

// tokenCost is the least time of an output token.
func tokenCost(s plan.Server) float64 {
	n := float64(s.Slots)
	return (s.DecodePace.Std().Seconds() + (n-1)*s.DecodeSlope.Std().Seconds()) / n
}

// Cost returns the work of a request in seconds of the pool's first server: of a model's, computed prompt tokens and
// output tokens.
func (p *Pool) Cost(computed, output float64) float64 {
	if p.Kind == settings.KindService {
		return p.reference.ServiceTime.Std().Seconds() * (1 - p.reference.ServiceJitter)
	}
	return computed/p.reference.PrefillTokensPerS + math.Max(output-1, 0)*tokenCost(p.reference)
}

// Rate returns how fast a server works, as a multiple of the pool's first.
func (p *Pool) Rate(s plan.Server) float64 {
	if p.Kind == settings.KindService {
		return float64(s.Slots) * p.reference.ServiceTime.Std().Seconds() / s.ServiceTime.Std().Seconds()
	}
	prefill := s.PrefillTokensPerS / p.reference.PrefillTokensPerS
	decode := tokenCost(p.reference) / tokenCost(s)
	return math.Max(prefill, decode)
}

// Capacity is the work a second of all servers without faults.
func (p *Pool) Capacity() float64 {
	total := 0.0
	for _, s := range p.Servers {
		total += p.Rate(s)
	}
	return total
}

// MeanCost is the mean work of a request of the plan's mix in this pool.
func (p *Pool) MeanCost(mix []plan.Work) float64 {
	cost, shares := 0.0, 0.0
	for _, i := range p.Works {
		w := mix[i]
		cost += w.Share * p.Cost(w.PromptTokens.Mean()-float64(w.SharedTokens()), w.OutputTokens.Mean())
		shares += w.Share
	}
	return cost / shares
}

// RequestRate is the number of requests a second that make one times the capacity.
func (p *Pool) RequestRate(mix []plan.Work) float64 {
	return p.Capacity() / p.MeanCost(mix)
}

// rateAt is the work a second at a time after the end of the warm-up, with the faults that a scheduler with full
// knowledge would know of. Only those count that surely take an engine's speed: stragglers and crashes.
func (p *Pool) rateAt(at time.Duration, faults []plan.Fault) float64 {
	total := 0.0
	for _, s := range p.Servers {
		rate := p.Rate(s)
		for _, f := range faults {
			rate *= remaining(f, s.Name, at)
		}
		total += rate
	}
	return total
}

// remaining is the part of a server's speed that a fault leaves it.
func remaining(f plan.Fault, server string, at time.Duration) float64 {
	if f.Target != server || !f.Active(at) {
		return 1
	}
	switch f.Kind {
	case plan.Straggler:
		return 1 / f.Factor
	case plan.EngineCrash:
		return 0
	default:
		return 1
	}
}
