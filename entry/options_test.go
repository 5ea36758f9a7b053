package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/sched"
)

// Symptom: a baseline is measured with another knob than was asked for. Sequence: the bench sets it in Options. Cause:
// the scheduler got its default.
func TestOptionsReachTheScheduler(t *testing.T) {
	e := new(Entry)
	options := e.schedulerOptions(Options{Policy: sched.PolicyLeastLoad, MaxOutstanding: 4, Seed: 7})
	require.Equal(t, sched.PolicyLeastLoad, options.Policy)
	require.Equal(t, 4, options.MaxOutstanding)
	require.Equal(t, uint64(7), options.Seed)
}
