package deploy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/experiment/plan"
)

// Symptom: a baseline's knob makes no difference.
// Sequence: an experiment file sets max_outstanding; the run takes the scheduler's default.
// Cause: the entry isn't told.
func TestKnobReachesTheEntry(t *testing.T) {
	d := &Deployment{plan: &plan.Plan{}}
	d.options.Policy = plan.Policy{Policy: "random_fifo", MaxOutstanding: 4}
	require.Equal(t, 4, d.entryOptions(nil, 0).MaxOutstanding)
}
