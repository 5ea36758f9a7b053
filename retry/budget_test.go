package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/retry"
	"github.com/carawaypitch/carawaypitch/retry/audit"
)

const window = 10 * time.Second

var (
	start  = time.Unix(1_700_000_000, 0)
	limits = retry.Limits{Ratio: 0.2, Window: window, Allowance: 60}
)

func units(n float64) retry.Part { return retry.Part{Units: n} }

func request(b *retry.Budget, from time.Time, n int, gap time.Duration) {
	for i := range n {
		b.Request(from.Add(time.Duration(i) * gap))
	}
}

// chargeAll charges repeats that arrive at once until one is refused, and returns their number.
func chargeAll(b *retry.Budget, now time.Time, part retry.Part) int {
	for n := 0; ; n++ {
		if !b.Charge(now, part).Allowed {
			return n
		}
		b.Arrived(now)
	}
}

// Guards against a budget that is larger or needlessly smaller than the bound: after a long calm, repeats may use the part and
// half of what the last half window has earned at once, and all that a window has earned within it.
func TestBudgetOfASteadyLoad(t *testing.T) {
	b := retry.New(limits, start)
	total := 0
	for i := range 100 * 20 {
		at := start.Add(time.Duration(i) * 50 * time.Millisecond) // 200 in a window
		b.Request(at)
		if i == 1500 {
			require.Equal(t, 8+9, chargeAll(b, at, units(8)))
		}
		if i > 1500 && i <= 1700 {
			total += chargeAll(b, at, units(8))
		}
	}
	require.InDelta(t, 8+40, 17+total, 3)
}

// Guards against a process that uses the part of the allowance that its predecessor has used: killed every few seconds, an entry
// would send its part again each time.
func TestRestartedProcessStartsWithoutItsPart(t *testing.T) {
	b := retry.New(limits, start)
	part := retry.Part{Units: 8, After: start}
	require.Zero(t, chargeAll(b, start.Add(time.Second), part))
	request(b, start.Add(time.Second), 100, 0)
	require.LessOrEqual(t, chargeAll(b, start.Add(2*time.Second), part), 20, "a fifth of its own requests")
	require.Equal(t, 8, chargeAll(b, start.Add(2*window), part), "a window after the start the part is its own")
}

// Guards against repeats that are forgotten while they are on their way: decided before a pause, they would arrive after it
// beside as many others.
func TestPendingRepeatsCountUntilTheyArrive(t *testing.T) {
	b := retry.New(limits, start)
	at := start.Add(3 * window)
	for range 8 {
		require.True(t, b.Charge(at, units(8)).Allowed)
	}
	require.False(t, b.Charge(at.Add(3*window), units(8)).Allowed)
	for range 8 {
		b.Arrived(at.Add(3 * window))
	}
	require.False(t, b.Charge(at.Add(3*window+window-time.Second), units(8)).Allowed)
	require.True(t, b.Charge(at.Add(4*window+time.Second), units(8)).Allowed)
}

// Guards against a budget that loses what is proved not to have been sent.
func TestRepeatsThatWereNotSentAreTakenBack(t *testing.T) {
	b := retry.New(limits, start)
	at := start.Add(3 * window)
	require.True(t, b.Charge(at, units(1)).Allowed)
	slot := b.Arrived(at)
	require.False(t, b.Charge(at, units(1)).Allowed)
	b.TakeBack(slot)
	require.False(t, b.Charge(at, units(1)).Allowed, "pending again")
	b.Release()
	require.True(t, b.Charge(at, units(1)).Allowed)
	b.Release()
	require.True(t, b.Idle(at))
}

// Guards against credit for requests of a time that the process's clock did not count.
func TestDroppedRequestsGiveNoCredit(t *testing.T) {
	b := retry.New(limits, start)
	at := start.Add(2 * window)
	request(b, at, 100, 0)
	b.DropRequests()
	require.Equal(t, 8, chargeAll(b, at, units(8)))
}

// Guards against parts that add up to more than the allowance while the number of entries changes: an entry that leaves the
// directory may go on with its part for a while, and one that joins isn't known to all at once.
func TestPartsWhileMembersChange(t *testing.T) {
	only := retry.NewMembers(window, start)
	only.Confirmed(start)
	require.Equal(t, 1.0, only.Part(start, 80).Units, "there may have been another")
	only.First()
	require.Equal(t, 80.0, only.Part(start, 80).Units)
	m := retry.NewMembers(window, start)
	at := start
	m.Listed(at, 8)
	m.Confirmed(at)
	require.Equal(t, 1.0, m.Part(at, 80).Units, "just started")
	at = at.Add(16 * time.Second)
	require.Equal(t, 1.0, m.Part(at, 80).Units, "without contact")
	m.Confirmed(at)
	require.Equal(t, 10.0, m.Part(at, 80).Units)
	m.Listed(at, 4)
	require.Equal(t, 10.0, m.Part(at, 80).Units, "the others may still use theirs")
	m.Listed(at.Add(time.Second), 5)
	m.Listed(at.Add(2*time.Second), 4)
	at = at.Add(16 * time.Second)
	m.Confirmed(at)
	require.Equal(t, 16.0, m.Part(at, 80).Units, "of the time in which five were listed")
	m.Listed(at, 10)
	require.Equal(t, 8.0, m.Part(at, 80).Units, "more entries count at once")
	m.Confirmed(time.Time{})
	require.Equal(t, 1.0, m.Part(at, 80).Units, "contact lost")
	require.Equal(t, 0.1, m.Part(at, 1).Units, "less than one each")
	require.Equal(t, start, m.Part(at, 1).After)
	m.First()
	require.Zero(t, m.Part(at, 1).After, "nothing was used before")
}

// Guards against budgets that each keep to their part and together break the bound: processes of several entries are
// killed in series, requests move between entries, and each process repeats as often as its budget permits, with repeats that
// arrive late. All windows are checked, whenever they begin.
func TestBudgetsOfAllProcessesStayWithinTheBound(t *testing.T) {
	const (
		schedules = 100
		step      = 50 * time.Millisecond
		length    = 50 * time.Second
	)
	for seed := range uint64(schedules) {
		random := rand.New(rand.NewPCG(seed, 57))
		entries := 1 + random.IntN(8)
		bound := retry.Limits{Ratio: 0.2, Window: window, Allowance: float64(random.IntN(80))}
		perSecond := 1 + 60*random.Float64()
		budgets, parts := make([]*retry.Budget, entries), make([]retry.Part, entries)
		weights := make([]float64, entries)
		for i := range budgets {
			budgets[i], weights[i] = retry.New(bound, start.Add(-3*window)), random.Float64()
			parts[i].Units = bound.Allowance / float64(entries)
		}
		killing := random.Float64()
		var record audit.Record
		type late struct {
			budget *retry.Budget
			at     time.Duration
		}
		var pending []late
		for since := time.Duration(0); since < length; since += step {
			now := start.Add(since)
			if random.IntN(60) == 0 {
				weights[random.IntN(entries)] = random.Float64()
			}
			if random.IntN(200) == 0 {
				perSecond = 1 + 60*random.Float64()
			}
			for i := range budgets {
				for range int(weights[i]*perSecond*step.Seconds() + random.Float64()) {
					budgets[i].Request(now)
					record.Sent(now)
				}
				if random.Float64() < killing*step.Seconds() {
					budgets[i], parts[i].After = retry.New(bound, now), now
				}
				for random.IntN(3) > 0 && budgets[i].Charge(now, parts[i]).Allowed {
					pending = append(pending, late{budgets[i], since + time.Duration(random.IntN(4))*step})
				}
			}
			kept := pending[:0]
			for _, p := range pending {
				if since < p.at {
					kept = append(kept, p)
					continue
				}
				p.budget.Arrived(now)
				record.Repeated(now)
			}
			pending = kept
		}
		worst, _ := record.Worst(bound)
		require.LessOrEqual(t, worst.Excess, 0.0, "seed %d", seed)
	}
}

func BenchmarkRequest(b *testing.B) {
	budget, now := retry.New(limits, start), start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.Request(now)
	}
}

func BenchmarkCharge(b *testing.B) {
	budget, now := retry.New(limits, start), start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		if budget.Charge(now, units(8)).Allowed {
			budget.Arrived(now)
		}
	}
}
