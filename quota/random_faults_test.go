package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawPlan draws a simulation of an organisation that requests up to eight times its cap, with up to four faults.
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
			kind:     rapid.SampledFrom(simFaults).Draw(t, "kind"),
			at:       time.Duration(rapid.IntRange(1000, 20000).Draw(t, "at")) * time.Millisecond,
			duration: time.Duration(rapid.IntRange(200, 6000).Draw(t, "for")) * time.Millisecond,
			index:    rapid.IntRange(0, 7).Draw(t, "which"),
		})
	}
	return plan
}

// The cap must hold in every window under random schedules of faults. Use -rapid.checks to run thousands of them.
func TestCapHoldsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(drawPlan(t))
		s.run()
		if over, found := s.worstOverrun(); found {
			t.Fatalf("%s", over)
		}
	})
}
