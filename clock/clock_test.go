package clock_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/clock"
)

func TestSinceBootNeverGoesBack(t *testing.T) {
	last := clock.SinceBoot()
	require.Positive(t, last)
	for range 1000 {
		now := clock.SinceBoot()
		require.GreaterOrEqual(t, now, last)
		last = now
	}
}
