package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/sched"
)

// A baseline would be measured with the wrong parameter if the scheduler used its default instead of the value in
// Options.
func TestOptionsReachTheScheduler(t *testing.T) {
	e := new(Entry)
	options := e.schedulerOptions(Options{Policy: sched.PolicyLeastLoad, MaxOutstanding: 4, Seed: 7})
	require.Equal(t, sched.PolicyLeastLoad, options.Policy)
	require.Equal(t, 4, options.MaxOutstanding)
	require.Equal(t, uint64(7), options.Seed)
}

// Guards against a placement setting that has no effect.
func TestPlacementReachesTheScheduler(t *testing.T) {
	e := new(Entry)
	require.False(t, e.schedulerOptions(Options{}).ByLength)
	e.settings.Placement.ByLength = true
	require.True(t, e.schedulerOptions(Options{}).ByLength)
}
