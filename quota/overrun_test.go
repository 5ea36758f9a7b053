package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawPlan draws a play: an organisation that asks for up to eight times its cap, and up to four faults.
func drawPlan(t *rapid.T) simPlan {
	plan := simPlan{
		seed:     rapid.Uint64Max(1<<20).Draw(t, "seed"),
		entries:  rapid.IntRange(2, 8).Draw(t, "entries"),
		controls: 3,
		demand:   rapid.SliceOfN(rapid.Float64Range(0.2, 8), 1, 9).Draw(t, "demand"),
		skew:     rapid.Float64Range(0.5, 1).Draw(t, "skew"),
		units:    rapid.Float64Range(100, 1500).Draw(t, "units"),
	}
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		plan.faults = append(plan.faults, simFault{
			kind:  rapid.SampledFrom(simFaults).Draw(t, "kind"),
			at:    time.Duration(rapid.IntRange(1000, 20000).Draw(t, "at")) * time.Millisecond,
			span:  time.Duration(rapid.IntRange(200, 6000).Draw(t, "for")) * time.Millisecond,
			which: rapid.IntRange(0, 7).Draw(t, "which"),
		})
	}
	return plan
}

// TestNoCapIsOverrun plays drawn schedules of faults. Thousands are played by hand with -rapid.checks.
func TestNoCapIsOverrun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(drawPlan(t))
		s.play()
		if over, found := s.worst(); found {
			t.Fatalf("%s", over)
		}
	})
}
