package linkset

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an entry that most callers reach and that keeps the few links of its usual load, and against links that
// are opened and closed with each burst.
func TestLinksFollowRequestsInFlight(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var d Demand
	observe := func(after time.Duration, requests int) bool {
		now = now.Add(after)
		return d.Observe(now, requests, 5)
	}
	require.False(t, observe(0, 0))
	require.Equal(t, Base, d.Count())
	require.False(t, observe(time.Second, 30), "twice the usual load")
	require.True(t, observe(time.Second, 300))
	require.GreaterOrEqual(t, 5*d.Count(), slotsPerRequest*300)
	grown := d.Count()
	for range 10 {
		require.False(t, observe(time.Second, 10))
		require.False(t, observe(time.Second, 250))
	}
	require.Equal(t, grown, d.Count())
	for range int(shrinkDelay/time.Second) - 1 {
		require.False(t, observe(time.Second, 10))
	}
	require.True(t, observe(time.Second, 10))
	require.Equal(t, Base, d.Count())
	require.False(t, observe(time.Second, 10))
}
