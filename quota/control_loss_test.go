package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// controlLossAtCap is a simulation of seven entries in which an organisation begins to request seven times its cap.
// Seven seconds later all control instances and the entries on the same machines are killed, and restart within a
// second.
func controlLossAtCap(seed uint64) simPlan {
	return simPlan{
		seed:     seed,
		entries:  7,
		controls: 3,
		demand:   []float64{0.9, 0.9, 0.9, 7, 7, 7, 7, 7},
		skew:     0.9,
		units:    700,
		faults:   []simFault{{kind: faultKillControls, at: 16 * time.Second, duration: 300 * time.Millisecond}},
	}
}

// The cap must hold if all control instances and several entries are killed while an organisation at seven times its
// usual load has used it up. Control restarts with reports that are a second or more old, and the killed entries report
// nothing. With limits estimated from reports instead of reserved shares, the other entries admit the missing use
// again: 3.7% beyond the cap and its tolerated overrun.
func TestCapHoldsAfterLossOfControlAndEntries(t *testing.T) {
	for seed := range uint64(8) {
		s := newSim(controlLossAtCap(seed))
		s.run()
		over, found := s.worstOverrun()
		require.False(t, found, "seed %d: %s", seed, over)
	}
}
