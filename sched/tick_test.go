package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Symptom: entries without work spend over a hundredth of a core. Sequence: nothing is asked for. Cause: a tick each 10 ms. The
// pattern it answers is a fleet of many entries with some requests a second each; a request in hand is looked at when it is due.
func TestTicksComeWhenSomethingIsDue(t *testing.T) {
	w := newWorld(t, Options{Entry: "e1"})
	require.Equal(t, MaxTickInterval, w.s.NextTick())
	r := w.request("r1", &wire.Class{Name: "c", Tier: 2, DeadlineMs: 50, Kind: kindModel})
	r.Deadline = w.now.Add(50 * time.Millisecond)
	w.list("s1", kindModel, r.Target)
	w.step(Arrive{Request: r})
	require.LessOrEqual(t, w.s.NextTick(), 50*time.Millisecond)
	require.GreaterOrEqual(t, w.s.NextTick(), MinTickInterval)
}
