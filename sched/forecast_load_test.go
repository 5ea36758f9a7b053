package sched

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// burstOfK is column K at twice its usual rate for some seconds: 8 of its 40 entries and 9 of its 46 servers.
func burstOfK(seed uint64, burst time.Duration, forecast bool) load {
	const entries = 8
	return load{
		seed: seed, classes: columnK(entries / 40.0), entries: entries, gates: 9, slots: 8, organisations: 16,
		warm: 8 * time.Second, burst: burst, factor: 2, after: 6 * time.Second, forecast: forecast,
	}
}

// Guards against a forecast that serves callers worse than waiting until the objective does, under the load of column K with
// a burst at twice the usual rate for three to five seconds: classes with precedence that are on time less often, fewer
// answers in all, refusals that callers hear of late, and requests that are held in vain.
func TestForecastInABurstOfK(t *testing.T) {
	t.Parallel()
	var off, on loadResult
	for seed := range uint64(3) {
		for _, burst := range []time.Duration{3 * time.Second, 4 * time.Second, 5 * time.Second} {
			off.add(runLoad(t, burstOfK(seed, burst, false)))
			on.add(runLoad(t, burstOfK(seed, burst, true)))
		}
	}
	t.Logf("off: %v", &off)
	t.Logf("on: %v", &on)
	for class := range 2 {
		require.GreaterOrEqual(t, share(on.onTime[class], on.arrived[class]), share(off.onTime[class], off.arrived[class]), "class %d", class+1)
	}
	require.Greater(t, on.servedShare(), off.servedShare())
	require.GreaterOrEqual(t, share(on.toldEarly, on.refusals), 0.95)
	require.Less(t, on.heldInVain(), 0.05)
	require.Zero(t, on.overHeld)
}

// Guards against a class that starves while twice the usual load of column K lasts for a minute.
func TestForecastStarvesNoClassOfK(t *testing.T) {
	t.Parallel()
	on := runLoad(t, burstOfK(1, time.Minute, true))
	t.Logf("%v", &on)
	for class := range on.arrived {
		require.GreaterOrEqual(t, share(on.served[class], on.arrived[class]), on.servedShare()/3, "class %d", class+1)
	}
}

// drawLoad draws a load: rates, mix, burst, organisations of which one calls at up to six times its usual rate, and slots.
func drawLoad(seed uint64) load {
	random := rand.New(rand.NewPCG(seed, 11))
	l := load{
		seed: seed, entries: 1 + random.IntN(2), gates: 1 + random.IntN(3), organisations: 4 + random.IntN(13),
		warm: 5 * time.Second, burst: time.Duration(2000+random.IntN(3000)) * time.Millisecond, after: 2 * time.Second,
		factor: 1 + 1.5*random.Float64(), greedy: float64(1 + random.IntN(6)), forecast: true,
	}
	l.classes = columnK(float64(l.entries) * (0.5 + random.Float64()) / 40)
	work := 0.0
	for _, c := range l.classes {
		c.perSecond *= 0.5 + random.Float64()
		work += c.perSecond * c.run.Seconds()
	}
	used := 0.5 + 0.45*random.Float64() // at the usual rate
	l.slots = max(int(work/used/float64(l.gates)+0.5), 1)
	return l
}

// drawnLoads is the number of loads that TestForecastOverDrawnLoads draws in each run of the tests. 1,000 take a minute; set
// drawnLoadsVariable for them.
const (
	drawnLoads         = 60
	drawnLoadsVariable = "CARAWAYPITCH_DRAWN_LOADS"
)

// Guards against requests that are held longer than their callers stay, and against an excess of one organisation that costs
// the others more with the forecast than without it. The fake gates also check that no request runs for a caller who has left.
//
// Others lose service to an excess also without the forecast, since classes with precedence go first whose requests they
// are: over 1,000 loads more than the 3% that are wanted.
func TestForecastOverDrawnLoads(t *testing.T) {
	t.Parallel()
	loads, err := strconv.Atoi(os.Getenv(drawnLoadsVariable))
	if err != nil {
		loads = drawnLoads
	}
	var off, on, lossOff, lossOn loadResult
	worst, worstSeed := 0.0, uint64(0)
	for seed := range uint64(loads) {
		l := drawLoad(seed)
		with, without := runDrawn(t, l, true)
		require.Zero(t, with.overHeld, "seed %d", seed)
		require.Zero(t, without.overHeld, "seed %d", seed)
		on.add(with)
		lossOn.add(without)
		if loss := without.othersServed() - with.othersServed(); loss > worst {
			worst, worstSeed = loss, seed
		}
		with, without = runDrawn(t, l, false)
		off.add(with)
		lossOff.add(without)
	}
	t.Logf("off: %v", &off)
	t.Logf("on: %v", &on)
	t.Logf("others served with and without the excess: off %.4f, %.4f; on %.4f, %.4f; worst load on: %.3f less, seed %d",
		off.othersServed(), lossOff.othersServed(), on.othersServed(), lossOn.othersServed(), worst, worstSeed)
	require.Greater(t, on.servedShare(), off.servedShare())
	require.Greater(t, on.othersServed(), off.othersServed())
	require.LessOrEqual(t, lossOn.othersServed()-on.othersServed(), lossOff.othersServed()-off.othersServed()+othersTolerance)
}

// othersTolerance is the difference of two measured losses that counts as none: a hundred requests of the 20,000 of the
// others in 60 loads.
const othersTolerance = 0.005

// runDrawn runs a load with the excess of its greedy organisation and without.
func runDrawn(t *testing.T, l load, forecast bool) (with, without loadResult) {
	t.Helper()
	l.forecast = forecast
	with = runLoad(t, l)
	l.greedy = 1
	return with, runLoad(t, l)
}
