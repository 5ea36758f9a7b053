package clock_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/clock"
)

// Guards against a clock that goes backwards between two reads, which would make an expired lease valid again.
func TestSinceBootIsMonotonic(t *testing.T) {
	last := clock.SinceBoot()
	require.Positive(t, last)
	for range 1000 {
		now := clock.SinceBoot()
		require.GreaterOrEqual(t, now, last)
		last = now
	}
}
