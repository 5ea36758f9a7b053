package agent

import (
	"fmt"
	"testing"
	"time"

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

// arrivals notes when requests reach a stand-in, until the returned function is called.
func arrivals(model *standin.Server) func() []time.Time {
	var times []time.Time
	before := model.Stats().Requests
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case now := <-time.After(time.Millisecond):
				for range int(model.Stats().Requests-before) - len(times) {
					times = append(times, now)
				}
			}
		}
	}()
	return func() []time.Time {
		close(stop)
		<-done
		return times
	}
}

// mostWithin is the largest number of times in any window of a length.
func mostWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// A server that names a rate limit must not get more than that while requests for it never end.
func TestServerGetsNoMoreThanItsRateLimit(t *testing.T) {
	const perSecond, window = 2.0, 4 * time.Second
	modelWorld(t, func(w *world, model *standin.Server, entry *fakeEntry) {
		require.NoError(t, model.SetFaults(standin.Faults{RateLimit: "2"}))
		entry.dispatch(completion("first", 1))
		entry.awaitOver("first", 1)
		times := arrivals(model)
		for i := range 400 {
			entry.dispatch(completion(fmt.Sprint("r", i), 1))
			time.Sleep(50 * time.Millisecond)
		}
		got := times()
		require.LessOrEqual(t, mostWithin(got, window), int(perSecond*window.Seconds())+1)
		require.GreaterOrEqual(t, float64(len(got)), 0.9*perSecond*20, "the limit is used")
	})
}
