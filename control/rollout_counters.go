package control

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// addRolloutGauges registers the number of roll-outs in each state.
func addRolloutGauges(c *Control) {
	for _, s := range []wire.RolloutState{
		wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS,
		wire.RolloutState_ROLLOUT_STATE_COMPLETED,
		wire.RolloutState_ROLLOUT_STATE_REVERTED,
	} {
		name := fmt.Sprintf("carawaypitch_rollouts{state=%q}", s.Name())
		c.options.Metrics.GetOrCreateGauge(name, func() float64 { return float64(c.rolloutsIn(s)) })
	}
}

func (c *Control) rolloutsIn(in wire.RolloutState) (number int) {
	c.machine.read(func(s *state.State) {
		for _, record := range s.Rollouts() {
			if record.GetState() == in {
				number++
			}
		}
	})
	return number
}

func (c *counters) rolloutEnded(reason string) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("carawaypitch_rollout_verdicts_total{reason=%q}", reason))
}

// setRolloutAnswers sets the counters of answers by version to what the log has, and adds their names to names.
func (c *counters) setRolloutAnswers(record *wire.Rollout, names map[string]bool) {
	for _, v := range answersByVersion(record.GetCounts()) {
		for outcome, value := range map[string]uint64{"all": v.Answers, "failed": v.Failures, "slow": v.Slow} {
			name := fmt.Sprintf("carawaypitch_rollout_answers_total{service=%q,version=%q,outcome=%q}", record.GetPool(), v.Version, outcome)
			names[name] = true
			c.set.GetOrCreateCounter(name).Set(value)
		}
	}
}

// forgetRollout removes the counters of a roll-out that another one has replaced. Otherwise each version that a service
// ever had would keep some.
func (c *counters) forgetRollout(names map[string]bool) {
	for name := range names {
		c.set.UnregisterMetric(name)
	}
}
