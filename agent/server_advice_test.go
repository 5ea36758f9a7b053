package agent

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/standin"
)

// counter returns a counter of the agent.
func (w *world) counter(format string, args ...any) uint64 {
	return w.agent.meter.set.GetOrCreateCounter(fmt.Sprintf(format, args...)).Get()
}

// A word of a server that no counter shows can't be told from one that never came.
func TestAdviceOfAServerIsCounted(t *testing.T) {
	modelWorld(t, func(w *world, model *standin.Server, entry *fakeEntry) {
		require.NoError(t, model.SetFaults(standin.Faults{RateLimit: "3"}))
		entry.dispatch(completion("r1", 1))
		entry.awaitOver("r1", 1)
		heard := w.counter(`%s{route=%q}`, metricAdvice, backpressure.RouteRun) +
			w.counter(`%s{route=%q}`, metricAdvice, backpressure.RouteReport)
		require.EqualValues(t, 1, heard)

		require.NoError(t, model.SetFaults(standin.Faults{RateLimit: "soon"}))
		entry.dispatch(completion("r2", 1))
		entry.awaitOver("r2", 1)
		require.NotZero(t, w.counter(`%s{field=%q}`, metricMalformed, engine.HeaderRateLimit))
	})
}
