package bound

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/settings"
)

// onePool is a service of one slot, which does a second's work in a second.
func onePool() *Pool {
	s := plan.Server{Name: "s-01", Servers: plan.Servers{Kind: settings.KindService, Slots: 1, ServiceTime: plan.Duration(time.Second)}}
	return &Pool{Name: "s", Kind: settings.KindService, Servers: []plan.Server{s}, reference: s}
}

// feasible tells whether one machine that may be interrupted has all jobs done in time, by earliest deadline first.
func feasible(jobs []Job) bool {
	const step = 50 * time.Millisecond
	left := make([]time.Duration, len(jobs))
	for i, j := range jobs {
		left[i] = time.Duration(j.Cost * float64(time.Second))
	}
	for now := time.Duration(0); now < 10*time.Second; now += step {
		next := -1
		for i, j := range jobs {
			if left[i] <= 0 || j.Release > now {
				continue
			}
			if next < 0 || j.Deadline < jobs[next].Deadline {
				next = i
			}
		}
		if next < 0 {
			continue
		}
		if left[next] -= step; now+step > jobs[next].Deadline {
			return false
		}
	}
	return !slices.ContainsFunc(left, func(d time.Duration) bool { return d > 0 })
}

func randomJobs(random *rand.Rand) []Job {
	const step = 50 * time.Millisecond
	jobs := make([]Job, 2+random.IntN(5))
	for i := range jobs {
		jobs[i] = Job{
			Tier:    1 + random.IntN(3),
			Release: time.Duration(random.IntN(20)) * step,
			Cost:    float64(1+random.IntN(12)) * step.Seconds(),
		}
		jobs[i].Deadline = jobs[i].Release + time.Duration(1+random.IntN(20))*step
	}
	return jobs
}

// Symptom: a policy's goodput is above the bound.
// Sequence: requests whose lengths and deadlines allow a schedule that the bound rules out.
// Cause: a relaxation that isn't one. All schedules of small sets are tried.
func TestBoundIsNotBelowAnySchedule(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		jobs := randomJobs(random)
		most, first := 0, 0
		for set := range 1 << len(jobs) {
			var chosen []Job
			tierOne := 0
			for i, j := range jobs {
				if set&(1<<i) != 0 {
					chosen = append(chosen, j)
					tierOne += 1 / j.Tier
				}
			}
			if feasible(chosen) {
				most, first = max(most, bits.OnesCount(uint(set))), max(first, tierOne)
			}
		}
		const rounding = 1e-9
		require.GreaterOrEqual(t, Best(jobs, onePool(), nil, 0, ByCost).Total+rounding, float64(most), "%v", jobs)
		require.GreaterOrEqual(t, Best(jobs, onePool(), nil, 0, ByTier).Tiers[1]+rounding, float64(first), "%v", jobs)
	}
}

func TestBoundIsReachedWhereItCanBe(t *testing.T) {
	jobs := []Job{
		{Tier: 1, Deadline: time.Second, Cost: 1},
		{Tier: 3, Deadline: time.Second, Cost: 0.25},
		{Tier: 3, Deadline: time.Second, Cost: 0.5},
	}
	byCost := Best(jobs, onePool(), nil, 0, ByCost)
	assert.InDelta(t, 2.25, byCost.Total, 1e-9)
	byTier := Best(jobs, onePool(), nil, 0, ByTier)
	assert.InDelta(t, 1, byTier.Tiers[1], 1e-9)
	assert.InDelta(t, 0, byTier.Tiers[3], 1e-9)
}

func TestBoundKnowsOfFaults(t *testing.T) {
	jobs := []Job{{Tier: 1, Release: time.Second, Deadline: 2 * time.Second, Cost: 1}}
	slow := plan.Fault{Kind: plan.Straggler, Target: "s-01", Factor: 4}
	assert.InDelta(t, 0.25, Best(jobs, onePool(), []plan.Fault{slow}, time.Second, ByCost).Total, 1e-9)
	slow.For = plan.Duration(500 * time.Millisecond)
	assert.InDelta(t, 0.625, Best(jobs, onePool(), []plan.Fault{slow}, time.Second, ByCost).Total, 1e-9)
	crash := plan.Fault{Kind: plan.EngineCrash, Target: "s-01", For: plan.Duration(time.Hour)}
	assert.InDelta(t, 0, Best(jobs, onePool(), []plan.Fault{crash}, time.Second, ByCost).Total, 1e-9)
}

func modelServers(slots int, rate float64, pace, slope time.Duration) plan.Servers {
	return plan.Servers{
		Name: "m", Count: 1, Kind: settings.KindModel, Serves: "sample", Slots: slots, PrefillTokensPerS: rate,
		DecodePace: plan.Duration(pace), DecodeSlope: plan.Duration(slope),
	}
}

func TestCapacityOfTwoSpeeds(t *testing.T) {
	fast := modelServers(16, 8000, 15*time.Millisecond, time.Millisecond)
	slow := modelServers(16, 4000, 30*time.Millisecond, 2*time.Millisecond)
	slow.Name = "o"
	p := &plan.Plan{
		Zones:   []string{"z"},
		Servers: []plan.Servers{fast, slow},
		Mix: []plan.Work{{
			Path: "/v1/completions", Share: 1, PromptTokens: plan.Range{Min: 800, Max: 800}, OutputTokens: plan.Range{Min: 17, Max: 17},
			Prefixes: 1, PrefixTokens: 400,
		}},
	}
	pools := Pools(p)
	require.Len(t, pools, 1)
	assert.InDelta(t, 1.5, pools[0].Capacity(), 1e-9)
	// 400 computed tokens take 50 ms, 16 tokens after the first 30 ms with all slots in use.
	assert.InDelta(t, 0.08, pools[0].MeanCost(p.Mix), 1e-9)
	assert.InDelta(t, 1.5/0.08, pools[0].RequestRate(p.Mix), 1e-9)
}
