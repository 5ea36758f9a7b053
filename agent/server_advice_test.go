package agent

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/wire"
)

// counter returns a counter of the agent.
func (w *testEnv) counter(format string, args ...any) uint64 {
	return w.agent.meter.set.GetOrCreateCounter(fmt.Sprintf(format, args...)).Get()
}

// A word of a server that no counter shows can't be told from one that never came.
func TestServerAdviceIsCounted(t *testing.T) {
	withModelEnv(t, func(w *testEnv, model *standin.Server, entry *fakeEntry) {
		require.NoError(t, model.SetFaults(standin.Faults{RateLimit: "3"}))
		entry.dispatch(completionDispatch("r1", 1))
		entry.awaitOver("r1", 1)
		counted := w.counter(`%s{route=%q}`, metricAdvice, backpressure.RouteRun) +
			w.counter(`%s{route=%q}`, metricAdvice, backpressure.RouteReport)
		require.EqualValues(t, 1, counted)

		require.NoError(t, model.SetFaults(standin.Faults{RateLimit: "soon"}))
		entry.dispatch(completionDispatch("r2", 1))
		entry.awaitOver("r2", 1)
		require.NotZero(t, w.counter(`%s{field=%q}`, metricMalformed, engine.HeaderRateLimit))
	})
}

// recordArrivals notes when requests reach a stand-in, until the returned function is called.
func recordArrivals(model *standin.Server) func() []time.Time {
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

// A server that names a rate limit must not get more than that while requests for it never end.
func TestServerRateLimitIsKept(t *testing.T) {
	const perSecond, window = 2.0, 4 * time.Second
	withModelEnv(t, func(w *testEnv, model *standin.Server, entry *fakeEntry) {
		require.NoError(t, model.SetFaults(standin.Faults{RateLimit: "2"}))
		entry.dispatch(completionDispatch("first", 1))
		entry.awaitOver("first", 1)
		got := dispatchSteadily(model, entry, "r", 20*time.Second)
		require.LessOrEqual(t, backpressure.MaxInWindow(got, window), int(perSecond*window.Seconds())+1)
		require.GreaterOrEqual(t, float64(len(got)), 0.9*perSecond*20, "the limit is used")
	})
}

// dispatchSteadily dispatches 20 requests a second for a while, and returns when requests reached the server.
func dispatchSteadily(model *standin.Server, entry *fakeEntry, name string, during time.Duration) []time.Time {
	times := recordArrivals(model)
	for i := range int(during / (50 * time.Millisecond)) {
		entry.dispatch(completionDispatch(fmt.Sprint(name, i), 1))
		time.Sleep(50 * time.Millisecond)
	}
	return times()
}

// setAdvice has control record what a server asks.
func (c *fakeControl) setAdvice(server string, perSecond float64, version uint64) {
	view := *c.View()
	view.Advice = map[string]*wire.ServerAdvice{
		server: {Server: server, RateLimited: true, RatePerS: perSecond, Version: version},
	}
	c.setView(&view)
}

// An agent that starts again must not send as if its server had asked nothing until its own first answer.
func TestRestartedAgentKeepsRecordedRateLimit(t *testing.T) {
	withModelEnv(t, func(w *testEnv, model *standin.Server, entry *fakeEntry) {
		w.killAgent()
		w.control.setAdvice("server-1", 1, 7)
		w.startAgent()
		w.waitReady()
		w.waitUntil("the new agent is linked", func() bool { links, _ := entry.links(); return links == 2 })
		w.waitUntil("its server is ready", func() bool {
			return entry.room("server-1").GetCondition() == wire.ServerCondition_SERVER_CONDITION_READY
		})
		times := recordArrivals(model)
		for i := range 5 {
			entry.dispatch(completionDispatch(fmt.Sprint("at once ", i), 1))
		}
		time.Sleep(time.Second / 2)
		require.LessOrEqual(t, len(times()), 1)
	})
}

// What one sender hears must reach the directory, so that others know it.
func TestRateLimitIsRecorded(t *testing.T) {
	withModelEnv(t, func(w *testEnv, model *standin.Server, entry *fakeEntry) {
		require.NoError(t, model.SetFaults(standin.Faults{RateLimit: "3"}))
		w.control.setFailures(2)
		entry.dispatch(completionDispatch("r1", 1))
		entry.awaitOver("r1", 1)
		notes := func() (notes []*wire.ServerAdvice) {
			for _, command := range w.control.commands() {
				if note := command.GetNoteServerAdvice(); note != nil {
					notes = append(notes, note.GetAdvice())
				}
			}
			return notes
		}
		w.waitUntil("it is proposed until it is committed", func() bool { return len(notes()) == 3 })
		require.Equal(t, 3.0, notes()[2].GetRatePerS())
		require.True(t, notes()[2].GetRateLimited())
	})
}

// Entries that send to the same plain service share its limit: each of them using all of it is as many times too much.
func TestSendersShareServerRateLimit(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.senders = 4
		w.startAgent()
		model := w.startEngine(slowModel())
		w.waitReady()
		entry := w.startEntry(entryHost, "entry-1")
		entry.awaitRoom("server-1")
		require.NoError(t, model.SetFaults(standin.Faults{RateLimit: "8"}))
		entry.dispatch(completionDispatch("first", 1))
		entry.awaitOver("first", 1)
		times := dispatchSteadily(model, entry, "r", 20*time.Second)
		require.LessOrEqual(t, backpressure.MaxInWindow(times, 4*time.Second), 9)
		require.GreaterOrEqual(t, len(times), 36)
	})
}

// A server that asks for rest must get nothing until its time is over, and then one request to see whether it takes work again.
func TestServerBackoffPausesDispatch(t *testing.T) {
	withModelEnv(t, func(w *testEnv, model *standin.Server, entry *fakeEntry) {
		require.NoError(t, model.SetFaults(standin.Faults{RefuseFor: "3"}))
		entry.dispatch(completionDispatch("first", 1))
		entry.awaitOver("first", 1)
		asked := time.Now()
		times := dispatchSteadily(model, entry, "r", 8*time.Second)
		var within, after int
		for _, at := range times {
			if at.Sub(asked) < 3*time.Second {
				within++
				continue
			}
			after++
		}
		require.Zero(t, within)
		require.LessOrEqual(t, after, 2, "one request each time the rest is over")
		require.NotZero(t, after)
		require.Equal(t, wire.ServerCondition_SERVER_CONDITION_READY, entry.room("server-1").GetCondition())

		require.NoError(t, model.SetFaults(standin.Faults{}))
		time.Sleep(3 * time.Second)
		require.Greater(t, len(dispatchSteadily(model, entry, "again", 5*time.Second)), 10, "it gets work again")
	})
}

// A server that says in its answers that it leaves must get nothing new, also where nobody else says so.
func TestDrainingAnswerStopsNewWork(t *testing.T) {
	withModelEnv(t, func(w *testEnv, model *standin.Server, entry *fakeEntry) {
		require.NoError(t, model.SetFaults(standin.Faults{Draining: true}))
		entry.dispatch(completionDispatch("first", 1))
		entry.awaitOver("first", 1)
		require.NoError(t, model.SetFaults(standin.Faults{}))
		time.Sleep(time.Second)
		require.Empty(t, dispatchSteadily(model, entry, "r", 5*time.Second))
	})
}

// The first answer of a sound server opens it: trials at the start must not last longer than that.
func TestFirstAnswerEndsTrial(t *testing.T) {
	withModelEnv(t, func(w *testEnv, model *standin.Server, entry *fakeEntry) {
		entry.dispatch(completionDispatch("first", 1))
		w.waitUntil("it is answered", func() bool { return entry.eventCount("first", 1) > 0 })
		for i := range 3 {
			entry.dispatch(longCompletionDispatch(fmt.Sprint("r", i), 1))
		}
		w.waitUntil("all run beside each other", func() bool {
			return entry.startCount("r0", 1)+entry.startCount("r1", 1)+entry.startCount("r2", 1) == 3
		})
	})
}

// A process that starts beside a server that has said that it leaves must not send it anything, and others must know it too.
func TestRecordedDrainingIsAppliedAtStart(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		view := followView(2, newAnnouncement("m1", "models", followedAddress))
		view.Advice = map[string]*wire.ServerAdvice{"m1": {Server: "m1", Draining: true, Version: 2}}
		w.control.setView(view)
		w.startFollowingAgent()
		w.waitUntil("it leaves", func() bool {
			s := w.agent.servers.get("m1")
			return s != nil && s.view.Load().leaving
		})
	})
}

// What an answer says of leaving must reach the directory where each start of a server has another name.
func TestDrainingIsRecorded(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.control.setView(followView(2, newAnnouncement("m1", "models", followedAddress)))
		w.startFollowingAgent()
		s := func() *server { return w.agent.servers.get("m1") }
		w.waitUntil("it is known", func() bool { return s() != nil && s().view.Load().announced() })
		o := backpressure.Observation{Advice: backpressure.Advice{Draining: true}, Route: backpressure.RouteRun}
		require.NoError(t, s().push(w.t.Context(), observationInput{client: s().view.Load().client, observation: o}))
		w.waitUntil("it is proposed", func() bool {
			return slices.ContainsFunc(w.control.commands(), func(c *wire.Command) bool {
				return c.GetNoteServerAdvice().GetAdvice().GetDraining()
			})
		})
	})
}
