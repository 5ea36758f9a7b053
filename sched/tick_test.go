package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Guards against idle entries that use over a hundredth of a core: with a tick every 10 ms a fleet of many entries
// with some requests per second each would mostly process empty ticks. A live request must still be handled when
// its timer expires.
func TestNextTickFollowsNextTimer(t *testing.T) {
	h := newHarness(t, Options{Entry: "e1"})
	require.Equal(t, MaxTickInterval, h.s.NextTick())
	r := h.request("r1", &wire.Class{Name: "c", Tier: 2, DeadlineMs: 50, Kind: kindModel})
	r.Deadline = h.now.Add(50 * time.Millisecond)
	h.listServer("s1", kindModel, r.Target)
	h.step(Arrive{Request: r})
	require.LessOrEqual(t, h.s.NextTick(), 50*time.Millisecond)
	require.GreaterOrEqual(t, h.s.NextTick(), MinTickInterval)
}
