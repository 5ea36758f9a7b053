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

// counter returns the value of a counter of the agent.
func (env *testEnv) counter(format string, args ...any) uint64 {
	return env.agent.meter.set.GetOrCreateCounter(fmt.Sprintf(format, args...)).Get()
}

// Each server's advice must be counted, or operators can't tell ignored advice from advice that never arrived.
func TestServerAdviceIsCounted(t *testing.T) {
	withModelEnv(t, func(env *testEnv, model *standin.Server, entry *fakeEntry) {
		require.NoError(t, model.SetFaults(standin.Faults{RateLimit: "3"}))
		entry.dispatch(completionDispatch("r1", 1))
		entry.awaitOver("r1", 1)
		counted := env.counter(`%s{route=%q}`, metricAdvice, backpressure.RouteRun) +
			env.counter(`%s{route=%q}`, metricAdvice, backpressure.RouteReport)
		require.EqualValues(t, 1, counted)

		require.NoError(t, model.SetFaults(standin.Faults{RateLimit: "soon"}))
		entry.dispatch(completionDispatch("r2", 1))
		entry.awaitOver("r2", 1)
		require.NotZero(t, env.counter(`%s{field=%q}`, metricMalformed, engine.HeaderRateLimit))
	})
}

// recordArrivals records when requests reach a simulated server, until the returned function is called.
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

// A server must not get more requests than its rate limit allows, under a continuous load of requests.
func TestServerRateLimitIsKept(t *testing.T) {
	const perSecond, window = 2.0, 4 * time.Second
	withModelEnv(t, func(env *testEnv, model *standin.Server, entry *fakeEntry) {
		require.NoError(t, model.SetFaults(standin.Faults{RateLimit: "2"}))
		entry.dispatch(completionDispatch("first", 1))
		entry.awaitOver("first", 1)
		got := dispatchSteadily(model, entry, "r", 20*time.Second)
		require.LessOrEqual(t, backpressure.MaxInWindow(got, window), int(perSecond*window.Seconds())+1)
		require.GreaterOrEqual(t, float64(len(got)), 0.9*perSecond*20, "the rate limit is used up")
	})
}

// dispatchSteadily dispatches 20 requests a second for a while, and returns when requests reached the server.
func dispatchSteadily(model *standin.Server, entry *fakeEntry, name string, duration time.Duration) []time.Time {
	times := recordArrivals(model)
	for i := range int(duration / (50 * time.Millisecond)) {
		entry.dispatch(completionDispatch(fmt.Sprint(name, i), 1))
		time.Sleep(50 * time.Millisecond)
	}
	return times()
}

// setAdvice makes control record a server's rate limit.
func (c *fakeControl) setAdvice(server string, perSecond float64, version uint64) {
	view := *c.View()
	view.Advice = map[string]*wire.ServerAdvice{
		server: {Server: server, RateLimited: true, RatePerS: perSecond, Version: version},
	}
	c.setView(&view)
}

// A restarted agent must apply the recorded rate limit, instead of sending without one until the server's first
// answer.
func TestRestartedAgentKeepsRecordedRateLimit(t *testing.T) {
	withModelEnv(t, func(env *testEnv, model *standin.Server, entry *fakeEntry) {
		env.killAgent()
		env.control.setAdvice("server-1", 1, 7)
		env.startAgent()
		env.waitReady()
		env.waitUntil("the new agent is linked", func() bool { links, _ := entry.links(); return links == 2 })
		env.waitUntil("its server is ready", func() bool {
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

// A rate limit that one sender receives must be recorded in the directory for the others.
func TestRateLimitIsRecorded(t *testing.T) {
	withModelEnv(t, func(env *testEnv, model *standin.Server, entry *fakeEntry) {
		require.NoError(t, model.SetFaults(standin.Faults{RateLimit: "3"}))
		env.control.setFailures(2)
		entry.dispatch(completionDispatch("r1", 1))
		entry.awaitOver("r1", 1)
		notes := func() (notes []*wire.ServerAdvice) {
			for _, command := range env.control.commands() {
				if note := command.GetNoteServerAdvice(); note != nil {
					notes = append(notes, note.GetAdvice())
				}
			}
			return notes
		}
		env.waitUntil("the advice is proposed until it is committed", func() bool { return len(notes()) == 3 })
		require.Equal(t, 3.0, notes()[2].GetRatePerS())
		require.True(t, notes()[2].GetRateLimited())
	})
}

// Entries that send to the same plain service share its rate limit. If each of them used all of it, the service would
// get a multiple of its limit.
func TestSendersShareServerRateLimit(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.senders = 4
		env.startAgent()
		model := env.startEngine(slowModel())
		env.waitReady()
		entry := env.startEntry(entryHost, "entry-1")
		entry.awaitRoom("server-1")
		require.NoError(t, model.SetFaults(standin.Faults{RateLimit: "8"}))
		entry.dispatch(completionDispatch("first", 1))
		entry.awaitOver("first", 1)
		times := dispatchSteadily(model, entry, "r", 20*time.Second)
		require.LessOrEqual(t, backpressure.MaxInWindow(times, 4*time.Second), 9)
		require.GreaterOrEqual(t, len(times), 36)
	})
}

// A server that asks for a backoff must get nothing until it ends, and then one trial request.
func TestServerBackoffPausesDispatch(t *testing.T) {
	withModelEnv(t, func(env *testEnv, model *standin.Server, entry *fakeEntry) {
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
		require.LessOrEqual(t, after, 2, "one trial request after each backoff")
		require.NotZero(t, after)
		require.Equal(t, wire.ServerCondition_SERVER_CONDITION_READY, entry.room("server-1").GetCondition())

		require.NoError(t, model.SetFaults(standin.Faults{}))
		time.Sleep(3 * time.Second)
		require.Greater(t, len(dispatchSteadily(model, entry, "again", 5*time.Second)), 10, "the server gets work again")
	})
}

// A server that says in an answer that it is draining must get no new work, even if its announcements and the
// directory don't say so.
func TestDrainingAnswerStopsNewWork(t *testing.T) {
	withModelEnv(t, func(env *testEnv, model *standin.Server, entry *fakeEntry) {
		require.NoError(t, model.SetFaults(standin.Faults{Draining: true}))
		entry.dispatch(completionDispatch("first", 1))
		entry.awaitOver("first", 1)
		require.NoError(t, model.SetFaults(standin.Faults{}))
		time.Sleep(time.Second)
		require.Empty(t, dispatchSteadily(model, entry, "r", 5*time.Second))
	})
}

// The first successful answer of a server must end the trial at the start.
func TestFirstAnswerEndsTrial(t *testing.T) {
	withModelEnv(t, func(env *testEnv, model *standin.Server, entry *fakeEntry) {
		entry.dispatch(completionDispatch("first", 1))
		env.waitUntil("the first request is answered", func() bool { return entry.eventCount("first", 1) > 0 })
		for i := range 3 {
			entry.dispatch(longCompletionDispatch(fmt.Sprint("r", i), 1))
		}
		env.waitUntil("all requests run concurrently", func() bool {
			return entry.startCount("r0", 1)+entry.startCount("r1", 1)+entry.startCount("r2", 1) == 3
		})
	})
}

// An agent that starts beside a server that is recorded as draining must not send work to it.
func TestRecordedDrainingIsAppliedAtStart(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		view := followView(2, newAnnouncement("m1", "models", followedAddress))
		view.Advice = map[string]*wire.ServerAdvice{"m1": {Server: "m1", Draining: true, Version: 2}}
		env.control.setView(view)
		env.startFollowingAgent()
		env.waitUntil("the server is leaving", func() bool {
			s := env.agent.servers.get("m1")
			return s != nil && s.view.Load().leaving
		})
	})
}

// Draining that an answer reports must be recorded in the directory where each start of a server has another name.
func TestDrainingIsRecorded(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.control.setView(followView(2, newAnnouncement("m1", "models", followedAddress)))
		env.startFollowingAgent()
		s := func() *server { return env.agent.servers.get("m1") }
		env.waitUntil("the server is announced", func() bool { return s() != nil && s().view.Load().announced() })
		o := backpressure.Observation{Advice: backpressure.Advice{Draining: true}, Route: backpressure.RouteRun}
		require.NoError(t, s().push(env.t.Context(), observationInput{client: s().view.Load().client, observation: o}))
		env.waitUntil("draining is proposed", func() bool {
			return slices.ContainsFunc(env.control.commands(), func(c *wire.Command) bool {
				return c.GetNoteServerAdvice().GetAdvice().GetDraining()
			})
		})
	})
}
