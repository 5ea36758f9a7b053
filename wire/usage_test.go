package wire_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// step is the duration that one value of Usage.Leaving covers in a window of 8 s.
const step = 8 * time.Second / wire.LeavingSteps

// usageLeavingBySecond returns a Usage of used units. The units that leave in each second are divided over its steps.
func usageLeavingBySecond(used uint64, seconds ...uint64) *wire.Usage {
	usage := &wire.Usage{Used: used}
	for _, units := range seconds {
		for range time.Second / step {
			usage.Leaving = append(usage.Leaving, units/uint64(time.Second/step))
		}
	}
	return usage
}

// Guards against an organisation exceeding its cap and tolerance. It occurs when usage is taken as uniform over the window
// or a second: entries that used much in the last two seconds crash, and a second later control grants an eighth of it to
// other entries though none has left the window. Upper and lower bounds of the usage in the window are therefore separate.
func TestUsageLeftInWindow(t *testing.T) {
	uniform := []uint64{100, 100, 100, 100, 100, 100, 100, 100}
	recent := []uint64{0, 0, 0, 0, 0, 0, 400, 400}
	cases := map[string]struct {
		leaving []uint64
		age     time.Duration
		want    uint64
	}{
		"new report":             {uniform, 0, 800},
		"uniform, half a second": {uniform, 500 * time.Millisecond, 750},
		"recent increase":        {recent, time.Second, 800},
		"oldest usage only":      {[]uint64{800, 0, 0, 0, 0, 0, 0, 0}, time.Second, 0},
		"uniform, 4.5 seconds":   {uniform, 4500 * time.Millisecond, 350},
		"the whole window":       {recent, 8 * time.Second, 0},
		"after the window":       {uniform, time.Minute, 0},
		"negative age":           {uniform, -time.Second, 800},
	}
	for name, c := range cases {
		usage := usageLeavingBySecond(800, c.leaving...)
		most, least := usage.LeftAtMost(c.age, 8*time.Second), usage.LeftAtLeast(c.age, 8*time.Second)
		require.Equal(t, c.want, most, name)
		require.LessOrEqual(t, least, c.want, name)
		if c.age >= 0 {
			later := usage.LeftAtMost(c.age+step, 8*time.Second)
			require.Equal(t, later, least, "%s: the lower bound must equal the upper bound one step later", name)
		}
	}
}

// Guards against an organisation exceeding its cap by the usage of one entry at one moment. It occurs when usage is taken
// as uniform within a step: an entry uses its units at one instant and crashes, and half of them count as gone halfway
// through the step although all of them leave the window at one instant.
func TestUsageLeftWithinAStep(t *testing.T) {
	usage := &wire.Usage{Used: 800, Leaving: []uint64{0, 800}}
	for age, want := range map[time.Duration][2]uint64{
		0:          {800, 800},
		step - 1:   {800, 800},
		step:       {800, 0},
		2*step - 1: {800, 0},
		2 * step:   {0, 0},
	} {
		require.Equal(t, want[0], usage.LeftAtMost(age, 8*time.Second), age.String())
		require.Equal(t, want[1], usage.LeftAtLeast(age, 8*time.Second), age.String())
	}
}

// Guards against usage of a crashed process that is released early or late. Its last report applies for a whole window,
// reduced step by step as Leaving states.
func TestLeftAtMostFollowsLeaving(t *testing.T) {
	usage := usageLeavingBySecond(800, 12, 12, 12, 12, 12, 12, 364, 364)
	for age, want := range map[time.Duration]uint64{
		0:                       800,
		time.Second:             788,
		4 * time.Second:         752,
		6 * time.Second:         728,
		6500 * time.Millisecond: 546,
		7 * time.Second:         364,
		8 * time.Second:         0,
		time.Minute:             0,
	} {
		require.Equal(t, want, usage.LeftAtMost(age, 8*time.Second), age.String())
	}
}

// Guards against an assumed distribution of usage for a report without Leaving. All of the usage may be new or may be
// about to leave the window, so the upper bound is all of it and the lower bound is zero.
func TestUsageLeftWithoutLeaving(t *testing.T) {
	usage := &wire.Usage{Used: 800}
	require.EqualValues(t, 800, usage.LeftAtMost(7*time.Second, 8*time.Second))
	require.Zero(t, usage.LeftAtLeast(0, 8*time.Second))
	require.Zero(t, usage.LeftAtMost(8*time.Second, 8*time.Second))
}

// Guards against a wrong bound of a cap, and against an integer overflow for very large rates and bursts.
func TestCapToleranceBound(t *testing.T) {
	tolerance := &wire.CapTolerance{WindowMs: 8000, OverrunPermille: 100, Allowance: 50}
	require.EqualValues(t, 1150, tolerance.Bound(&wire.Member{RatePerS: 100, Burst: 200}))
	require.Zero(t, (*wire.CapTolerance)(nil).Bound(nil))
	huge := tolerance.Bound(&wire.Member{RatePerS: 1<<64 - 1, Burst: 1<<64 - 1})
	require.Greater(t, huge, uint64(1)<<48, "no overflow")
}
