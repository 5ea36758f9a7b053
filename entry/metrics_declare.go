package entry

import (
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// capacityCodes are the codes of refusals for lack of capacity, which operators monitor.
var capacityCodes = []result.Code{
	result.NoServer, result.CannotFinishInTime, result.QueueFull, result.ShedForHigherTier, result.DeadlinePassedInQueue,
}

// declare creates the counters whose labels are known at the start, with value 0.
//
// A counter that appears with its first event doesn't show that event as an increase, so that an alert on a rate misses
// the first refusal of a kind. A missing name would also look like a mistake in the query.
func (m *meter) declare(organisations []settings.Organisation) {
	for tier := uint32(settings.HighestTier); tier <= settings.LowestTier; tier++ {
		for _, code := range capacityCodes {
			m.count(sched.Count{Counter: sched.Refusals, Code: code, Tier: tier})
		}
		for _, o := range organisations {
			m.count(sched.Count{Counter: sched.ServedTokens, Label: o.Name, Tier: tier})
		}
	}
	for _, reason := range sched.RetryReasons() {
		m.count(sched.Count{Counter: sched.Retries, Label: reason})
		m.count(sched.Count{Counter: sched.RetriesRefused, Label: reason})
		m.count(sched.Count{Counter: sched.WastedPrefill, Label: reason})
	}
}

// declareClasses does the same for the counters of classes, once these are known.
func (m *meter) declareClasses(classes map[string]*wire.Class) {
	for name, class := range classes {
		for _, counter := range []sched.Counter{sched.Goodput, sched.Late, sched.Lost} {
			m.count(sched.Count{Counter: counter, Tier: class.GetTier(), Class: name})
		}
		for _, outcome := range sched.ForecastOutcomes() {
			m.count(sched.Count{Counter: sched.Forecasts, Tier: class.GetTier(), Class: name, Label: outcome})
		}
	}
}

// declarePlacements does the same for the counters of placements by length.
func (m *meter) declarePlacements(classes map[string]*wire.Class) {
	for name, class := range classes {
		for _, reason := range sched.PlacementReasons() {
			m.count(sched.Count{Counter: sched.Placements, Tier: class.GetTier(), Class: name, Label: reason})
		}
		for _, speed := range sched.ServerSpeeds() {
			m.count(sched.Count{Counter: sched.CutAtDeadline, Tier: class.GetTier(), Class: name, Label: speed})
		}
	}
}
