package entry

import (
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// roomCodes are the refusals for want of room, which operators watch.
var roomCodes = []result.Code{
	result.NoServer, result.CannotFinishInTime, result.QueueFull, result.ShedForHigherTier, result.DeadlinePassedInQueue,
}

// declare makes the counters that are known from the start, at 0.
//
// A counter that appears with its first event can't show that event as a rise, and an alert on a rate stays silent for
// the first refusal of a kind. A reader would also take a missing name for a mistake of its own.
func (m *meter) declare(organisations []settings.Organisation) {
	for tier := uint32(settings.HighestTier); tier <= settings.LowestTier; tier++ {
		for _, code := range roomCodes {
			m.count(sched.Count{Counter: sched.Refusals, Code: code, Tier: tier})
		}
		for _, o := range organisations {
			m.count(sched.Count{Counter: sched.ServedTokens, Label: o.Name, Tier: tier})
		}
	}
	for _, reason := range sched.RetryReasons() {
		m.count(sched.Count{Counter: sched.Retries, Label: reason})
		m.count(sched.Count{Counter: sched.WastedPrefill, Label: reason})
	}
}

// declareClasses does the same for classes, once they are known.
func (m *meter) declareClasses(classes map[string]*wire.Class) {
	for name, class := range classes {
		for _, counter := range []sched.Counter{sched.Goodput, sched.Late, sched.Lost} {
			m.count(sched.Count{Counter: counter, Tier: class.GetTier(), Class: name})
		}
	}
}
