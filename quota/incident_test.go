package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loseControlAtACap is a play of seven entries, at which an organisation begins to ask for seven times its cap; seven seconds
// later all control instances and the entries beside them are killed, and are back within a second.
func loseControlAtACap(seed uint64) simPlan {
	return simPlan{
		seed:     seed,
		entries:  7,
		controls: 3,
		demand:   []float64{0.9, 0.9, 0.9, 7, 7, 7, 7, 7},
		skew:     0.9,
		units:    700,
		faults:   []simFault{{kind: faultKillControls, at: 16 * time.Second, span: 300 * time.Millisecond}},
	}
}

// Symptom: an organisation at seven times its usual has 3.7% more sent and run in a window than its cap with the tolerated
// overrun allows. Sequence: it has used up its cap when all control instances are killed, and with them the entries on the
// same machines. Control comes back with what the entries had told a second or more before; the killed entries tell
// nothing any more, and the others are told of less use than there was and admit the difference again.
// Cause: what each entry may use was an estimate of what the others had used, and nothing held by it alone. An estimate is
// wrong as soon as those who knew are gone.
func TestCapHoldsOverALossOfControlAndEntries(t *testing.T) {
	for seed := range uint64(8) {
		s := newSim(loseControlAtACap(seed))
		s.play()
		over, found := s.worst()
		require.False(t, found, "seed %d: %s", seed, over)
	}
}
