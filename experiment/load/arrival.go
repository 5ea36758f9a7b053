// Package load makes the requests of an experiment and sends them on time, whatever becomes of earlier ones.
package load

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaypitch/carawaypitch/experiment/bound"
	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/settings"
)

// Arrival is one request of the load.
type Arrival struct {
	Number int
	// At is the time after the start of the run.
	At           time.Duration
	Organisation int // in plan.Organisations
	Entry        int // in plan.Entries
	Work         int // in plan.Mix
	Class        *settings.Class
	Path         string
	Body         []byte
	Key          string
	Stream       bool
	// PromptTokens and OutputTokens are the request's lengths, SharedTokens the part of the prompt that is a shared
	// prefix. OutputTokens is 0 for a service call.
	PromptTokens, SharedTokens, OutputTokens int
	// Cost is its work in seconds of its pool's first server.
	Cost float64
	Pool string
	// Measured requests arrive after the warm-up and before the cool-down.
	Measured bool
}

// Deadline is the class's deadline.
func (a *Arrival) Deadline() time.Duration {
	return time.Duration(a.Class.DeadlineMS) * time.Millisecond
}

// Tokens is what the request asks for.
func (a *Arrival) Tokens() int {
	return a.PromptTokens + a.OutputTokens
}

// displacement is how far apart the arrivals of two organisations with the same demand may be. Each displaced
// sequence is again a Poisson process.
const displacement = time.Second

// Streams of random numbers, so that a change to one leaves the others.
const (
	streamTimes uint64 = iota + 1
	streamWork
	streamOffsets
	streamBody
	streamPrefix
)

// Generate returns the requests of a scenario in the order of arrival. The same plan, scenario and seed give the same
// list.
//
// Arrivals are a Poisson process for each pool and organisation. Organisations with the same demand get the same
// requests, each at a time of its own that differs by up to a second and with a text of its own: only so can equal
// shares be told from luck, since one long request weighs as much as a hundred short ones.
func Generate(p *plan.Plan, s *plan.Scenario) []*Arrival {
	g := &generator{plan: p, scenario: s}
	for i, pool := range bound.Pools(p) {
		rate := s.Load * pool.RequestRate(p.Mix)
		for _, group := range demandGroups(p.Organisations) {
			g.group(pool, uint64(i), group, rate)
		}
	}
	slices.SortStableFunc(g.arrivals, func(a, b *Arrival) int { return int(a.At - b.At) })
	for i, a := range g.arrivals {
		a.Number = i
		g.write(a)
	}
	return g.arrivals
}

// demandGroups returns the numbers of the organisations by demand, in the order of the first of each.
func demandGroups(organisations []plan.Organisation) [][]int {
	var groups [][]int
	at := map[float64]int{}
	for i, o := range organisations {
		if n, ok := at[o.Demand]; ok {
			groups[n] = append(groups[n], i)
			continue
		}
		at[o.Demand] = len(groups)
		groups = append(groups, []int{i})
	}
	return groups
}

type generator struct {
	plan     *plan.Plan
	scenario *plan.Scenario
	arrivals []*Arrival
}

// random returns the random numbers of a stream, apart from those of all others.
func (g *generator) random(stream uint64, of ...uint64) *rand.Rand {
	digest := xxhash.New()
	var encoded [8]byte
	for _, part := range append(of, stream) {
		binary.LittleEndian.PutUint64(encoded[:], part)
		_, _ = digest.Write(encoded[:])
	}
	return rand.New(rand.NewPCG(g.plan.Seed, digest.Sum64()))
}

// group adds the requests of organisations with the same demand to one pool.
func (g *generator) group(pool *bound.Pool, number uint64, group []int, rate float64) {
	total := 0.0
	for _, o := range g.plan.Organisations {
		total += o.Demand
	}
	first := uint64(group[0])
	times, works := g.random(streamTimes, number, first), g.random(streamWork, number, first)
	offsets := g.random(streamOffsets, number, first)
	rate *= g.plan.Organisations[group[0]].Demand / total
	count := 0
	for unit := times.ExpFloat64(); ; unit += times.ExpFloat64() {
		at := g.timeOf(unit / rate)
		if at >= g.plan.Length() || len(g.arrivals) >= g.plan.MaxRequests {
			return
		}
		template := g.template(pool, works)
		for _, organisation := range group {
			a := template
			a.Organisation = organisation
			entries := g.plan.Organisations[organisation].Entries
			a.Entry = entries[count%len(entries)] - 1
			a.At = at + time.Duration(offsets.Float64()*float64(displacement)) - displacement/2
			a.Entry = g.skew(a.Entry, a.At, count)
			g.add(a)
		}
		count++
	}
}

// skewParts is into how many parts calls are divided of which skewed callers take a share.
const skewParts = 100

// skew returns the entry that a call reaches, given that of its caller. Skewed callers reach another one.
func (g *generator) skew(entry int, at time.Duration, count int) int {
	since := at - g.plan.WarmUp.Std()
	for _, f := range g.scenario.Faults {
		if f.Kind == plan.SkewedCallers && since >= f.At.Std() && since < (f.At+f.For).Std() && float64(count%skewParts) < f.Factor*skewParts {
			return f.Entry - 1
		}
	}
	return entry
}

func (g *generator) add(a Arrival) {
	if a.At < 0 || a.At >= g.plan.Length() {
		return
	}
	since := a.At - g.plan.WarmUp.Std()
	a.Measured = since >= 0 && since < g.plan.Measured.Std()
	g.arrivals = append(g.arrivals, &a)
}

// timeOf returns when so many seconds' worth of arrivals at the plain rate have come, with the burst.
func (g *generator) timeOf(seconds float64) time.Duration {
	b := g.scenario.Burst
	if b == nil {
		return toDuration(seconds)
	}
	begin := (g.plan.WarmUp + b.At).Std().Seconds()
	length := b.For.Std().Seconds()
	switch {
	case seconds < begin:
		return toDuration(seconds)
	case seconds < begin+length*b.Times:
		return toDuration(begin + (seconds-begin)/b.Times)
	default:
		return toDuration(seconds - length*(b.Times-1))
	}
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(math.Min(seconds, math.MaxInt32) * float64(time.Second))
}

// template draws the kind and the lengths of a request.
func (g *generator) template(pool *bound.Pool, random *rand.Rand) Arrival {
	number := g.drawWork(pool, random.Float64())
	w := g.plan.Mix[number]
	a := Arrival{
		Work:         number,
		Class:        g.plan.Class(w.Class),
		Path:         w.Path,
		Pool:         pool.Name,
		PromptTokens: w.PromptTokens.At(random.Float64()),
		OutputTokens: w.OutputTokens.At(random.Float64()),
		SharedTokens: w.SharedTokens(),
		Stream:       random.Float64() < w.Streaming,
	}
	if random.Float64() < w.Keyed {
		a.Key = "keyed"
	}
	if pool.Kind == settings.KindService {
		a.OutputTokens, a.Stream = 0, false
	}
	a.Cost = pool.Cost(float64(a.PromptTokens-a.SharedTokens), float64(a.OutputTokens))
	return a
}

func (g *generator) drawWork(pool *bound.Pool, u float64) int {
	total := 0.0
	for _, i := range pool.Works {
		total += g.plan.Mix[i].Share
	}
	u *= total
	for _, i := range pool.Works {
		if u -= g.plan.Mix[i].Share; u < 0 {
			return i
		}
	}
	return pool.Works[len(pool.Works)-1]
}
