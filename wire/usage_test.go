package wire_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// step is what a value of when use leaves stands for, in a window of 8 s.
const step = 8 * time.Second / wire.LeavingSteps

// bySecond spreads what leaves the window in each second over its steps.
func bySecond(used uint64, seconds ...uint64) *wire.Usage {
	word := &wire.Usage{Used: used}
	for _, units := range seconds {
		for range time.Second / step {
			word.Leaving = append(word.Leaving, units/uint64(time.Second/step))
		}
	}
	return word
}

// Symptom: an organisation goes beyond its cap and what is tolerated. Sequence: its entries have used much in the last two
// seconds and die; a second later control counts an eighth less of it, and gives that to others, though nothing has left the
// window. Cause: use that was taken to be spread over the window, or over a second, evenly. What is surely in the window, and
// what is surely gone, are two figures.
func TestWhatIsLeftInAWindow(t *testing.T) {
	even := []uint64{100, 100, 100, 100, 100, 100, 100, 100}
	lately := []uint64{0, 0, 0, 0, 0, 0, 400, 400}
	cases := map[string]struct {
		leaving []uint64
		age     time.Duration
		want    uint64
	}{
		"just told":           {even, 0, 800},
		"even, half a second": {even, 500 * time.Millisecond, 750},
		"risen lately":        {lately, time.Second, 800},
		"all of it old":       {[]uint64{800, 0, 0, 0, 0, 0, 0, 0}, time.Second, 0},
		"half of the rest":    {even, 4500 * time.Millisecond, 350},
		"the whole window":    {lately, 8 * time.Second, 0},
		"longer":              {even, time.Minute, 0},
		"a word not yet told": {even, -time.Second, 800},
	}
	for name, c := range cases {
		word := bySecond(800, c.leaving...)
		most, least := word.LeftAtMost(c.age, 8*time.Second), word.LeftAtLeast(c.age, 8*time.Second)
		require.Equal(t, c.want, most, name)
		require.LessOrEqual(t, least, c.want, name)
		if c.age >= 0 {
			later := word.LeftAtMost(c.age+step, 8*time.Second)
			require.Equal(t, later, least, "%s: what is left a step later is there at least", name)
		}
	}
}

// Symptom: an organisation goes beyond its cap by what one entry had used at one moment. Sequence: the entry used all of it in
// an instant and died; it leaves the window in an instant too, but half of its step counted as gone when half of the step was
// over. Cause: a step that was taken to be even.
func TestNothingOfAStepIsGoneBeforeItsEnd(t *testing.T) {
	word := &wire.Usage{Used: 800, Leaving: []uint64{0, 800}}
	for age, want := range map[time.Duration][2]uint64{
		0:          {800, 800},
		step - 1:   {800, 800},
		step:       {800, 0},
		2*step - 1: {800, 0},
		2 * step:   {0, 0},
	} {
		require.Equal(t, want[0], word.LeftAtMost(age, 8*time.Second), age.String())
		require.Equal(t, want[1], word.LeftAtLeast(age, 8*time.Second), age.String())
	}
}

// The last word of a process that died stands for a whole window, by when its use leaves it.
func TestLastWordTellsWhenItsUseLeaves(t *testing.T) {
	word := bySecond(800, 12, 12, 12, 12, 12, 12, 364, 364)
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
		require.Equal(t, want, word.LeftAtMost(age, 8*time.Second), age.String())
	}
}

// An entry that doesn't tell when its use leaves has used it, as far as anybody knows, just now or all long ago.
func TestWordWithoutTimesTellsNothingOfThem(t *testing.T) {
	word := &wire.Usage{Used: 800}
	require.EqualValues(t, 800, word.LeftAtMost(7*time.Second, 8*time.Second))
	require.Zero(t, word.LeftAtLeast(0, 8*time.Second))
	require.Zero(t, word.LeftAtMost(8*time.Second, 8*time.Second))
}

func TestBoundOfACap(t *testing.T) {
	tolerance := &wire.CapTolerance{WindowMs: 8000, OverrunPermille: 100, Allowance: 50}
	require.EqualValues(t, 1150, tolerance.Bound(&wire.Member{RatePerS: 100, Burst: 200}))
	require.Zero(t, (*wire.CapTolerance)(nil).Bound(nil))
	huge := tolerance.Bound(&wire.Member{RatePerS: 1<<64 - 1, Burst: 1<<64 - 1})
	require.Greater(t, huge, uint64(1)<<48, "no overflow")
}
