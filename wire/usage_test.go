package wire_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Symptom: an organisation whose use has just risen goes beyond its cap and what is tolerated. Sequence: each entry has
// used much in the last two seconds and tells so; a second later control counts an eighth less of it, though nothing has
// left the window. Cause: use that was taken to be spread over the window evenly.
func TestWhatIsLeftInAWindow(t *testing.T) {
	cases := map[string]struct {
		used, leaving float64
		age           time.Duration
		want          float64
	}{
		"just told":           {800, 100, 0, 800},
		"even, half a second": {800, 100, 500 * time.Millisecond, 750},
		"risen lately":        {800, 0, time.Second, 800},
		"all of it old":       {800, 800, time.Second, 0},
		"half of the rest":    {800, 100, 4500 * time.Millisecond, 350},
		"the whole window":    {800, 0, 8 * time.Second, 0},
		"longer":              {800, 100, time.Minute, 0},
	}
	for name, c := range cases {
		require.InDelta(t, c.want, wire.LeftInWindow(c.used, c.leaving, c.age, 8*time.Second), 0.01, name)
	}
}

// Symptom: an organisation goes beyond its cap and what is tolerated after a loss of all processes. Sequence: it has used
// most of its cap in the two seconds before; four seconds later half of that is taken to have left the window. Cause: the
// last word of a process that died was taken to be spread evenly, though it had known when its use would leave.
func TestLastWordTellsWhenItsUseLeaves(t *testing.T) {
	word := &wire.Usage{Used: 800, Leaving: 10, LeavingLater: []uint64{10, 10, 10, 10, 10, 370, 370}}
	for age, want := range map[time.Duration]float64{
		0:                       800,
		time.Second:             790,
		4 * time.Second:         760,
		6 * time.Second:         740,
		6500 * time.Millisecond: 555,
		7 * time.Second:         370,
		8 * time.Second:         0,
		time.Minute:             0,
	} {
		require.InDelta(t, want, word.Left(age, 8*time.Second), 0.01, age.String())
	}
	even := &wire.Usage{Used: 800, Leaving: 100}
	require.InDelta(t, 350, even.Left(4500*time.Millisecond, 8*time.Second), 0.01)
}
