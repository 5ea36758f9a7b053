package entry

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Symptom: two engines work on one request, or a caller hears "not run" of work that ran. Sequence: the agent's process
// dies at each step of the attempt, and stays away; a second server could take the request at once. Cause: the loss of a
// link is taken for the end of the attempt.
func TestAgentDeathAtEachStep(t *testing.T) {
	steps := map[string]func(*dispatched){
		"after the dispatch": func(*dispatched) {},
		"after the start": func(d *dispatched) {
			started := &wire.Started{Attempt: d.d.GetAttempt(), Server: d.agent.server}
			d.agent.send(d.entry, &wire.AgentMessage{Kind: &wire.AgentMessage_Started{Started: started}})
		},
		"after a part of the answer": func(d *dispatched) { d.frame(0, "part") },
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1)
				first := r.addService(1)
				first.script(step, nil)
				done := r.goCall(1, checkPath, `{}`, gateCheck)
				synctest.Wait()
				second := r.addService(2)
				first.die()
				a := <-done
				require.NotEqual(t, 200, a.status)
				require.NotEqual(t, result.RanNo, a.code(t).Ran)
				require.Zero(t, second.ran(""))
			})
		})
	}
}

// Symptom: gate checks wait until their deadline although a server is free. Sequence: an agent with free room dies; more
// checks come. Cause: its last report of room still counts.
func TestDeadAgentGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		first, second := r.addService(1), r.addService(2)
		first.die()
		time.Sleep(time.Second)
		for range 10 {
			require.Equal(t, 200, r.call(1, http.MethodPost, checkPath, `{}`, gateCheck).status)
		}
		require.Equal(t, 10, second.ran(""))
	})
}

// The other side of the rule: a newer incarnation of the agent, which has ended what its engine ran, is a proof.
func TestRestartedAgentIsAProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		first := r.addModel(1)
		first.hold()
		done := r.goCall(1, chatPath, chatBody)
		synctest.Wait()
		second := r.addModel(2)
		first.die()
		first.script(nil, nil)
		first.restart()
		a := <-done
		require.Equal(t, 200, a.status, a.body)
		require.Equal(t, 2, first.ran("")+second.ran(""))
	})
}

// Symptom: a check runs at two services at a time. Sequence: the agent of one dies while its service is at the check;
// the agent's successor comes up; the check is sent to the other service. Cause: the successor was taken for a proof,
// but a plain service can neither list nor cancel what it runs.
func TestRestartedAgentOfAServiceIsNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		first := r.addService(1)
		first.hold()
		done := r.goCall(1, checkPath, `{"a":1}`, gateCheck)
		synctest.Wait()
		second := r.addService(2)
		first.die()
		first.script(nil, nil)
		first.restart()
		a := <-done
		require.Equal(t, result.OutcomeUnknown, a.code(t).Code)
		require.Equal(t, result.RanUnknown, a.code(t).Ran)
		require.Equal(t, 1, first.ran("")+second.ran(""))
	})
}

// Symptom: a request is cut, or runs twice, when a link is lost for a moment. Sequence: the connections break after the
// dispatch; both processes live; the link comes back; the agent sends the answer. Cause: the attempt is given up with its
// link.
func TestLostLinkOfALivingAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		agent := r.addService(1)
		agent.hold()
		done := r.goCall(1, checkPath, `{"a":1}`, gateCheck)
		synctest.Wait()
		r.net.Reset(agent.host)
		time.Sleep(500 * time.Millisecond)
		agent.all()[0].echo()
		require.Equal(t, `{"a":1}`, (<-done).body)
		require.Equal(t, 1, agent.ran(""))
	})
}

// Symptom: prefill is spent on work that nobody waits for. Sequence: a caller leaves while its request waits, runs, or
// streams. Cause: the caller's end isn't noticed or not passed on.
func TestCallerLeavesAndTheAttemptIsCancelled(t *testing.T) {
	for name, body := range map[string]string{"whole": chatBody, "stream": chatSSE} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1)
				agent := r.addModel(1)
				agent.script(func(d *dispatched) { d.frame(0, chatEvent("Hel")) }, nil)
				ctx, leave := context.WithCancel(context.Background())
				left := make(chan struct{})
				go func() {
					defer close(left)
					_, _ = r.do(r.request(ctx, 1, http.MethodPost, chatPath, body))
				}()
				synctest.Wait()
				require.Equal(t, 1, agent.ran(""))
				leave()
				<-left
				synctest.Wait()
				require.Equal(t, 1, agent.cancelled())
				require.Zero(t, r.entries[0].active.Load())
				require.Empty(t, r.entries[0].calls.all)
				require.Zero(t, r.entries[0].bodyBytes.Load())
			})
		})
	}
}

// Symptom: requests in flight are cut when an instance is replaced. Sequence: the order to stop comes while one request
// runs and one streams. Cause: the process ends, or its links do, before they do.
func TestGracefulStopFinishesWhatIsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		service, model := r.addService(1), r.addModel(2)
		service.hold()
		model.script(func(d *dispatched) { d.frame(0, chatEvent("Hel")) }, nil)
		whole := r.goCall(1, issuePath, `{"a":1}`, passIssue, key("k"))
		stream := r.goCall(1, chatPath, chatSSE)
		synctest.Wait()
		stopped := make(chan error, 1)
		go func() { stopped <- r.stops[0]() }()
		time.Sleep(time.Second)

		ready := r.call(1, http.MethodGet, "/readyz", "")
		require.Equal(t, 503, ready.status)
		require.Equal(t, result.Stopping, ready.code(t).Code)
		require.Equal(t, 200, r.call(1, http.MethodGet, "/healthz", "").status)
		refused := r.call(1, http.MethodPost, checkPath, `{}`, gateCheck).code(t)
		require.Equal(t, result.Stopping, refused.Code)
		require.Equal(t, result.RanNo, refused.Ran)

		service.all()[0].echo()
		require.Equal(t, `{"a":1}`, (<-whole).body)
		model.all()[0].frame(1, chatEnd)
		model.all()[0].end("text/event-stream", chatEvent("Hel"), chatEnd)
		require.Contains(t, (<-stream).body, "[DONE]")
		require.NoError(t, <-stopped)
		_, err := r.client.Do(r.request(context.Background(), 1, http.MethodGet, "/healthz", ""))
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
	})
}

// Symptom: a process that should stop stays. Sequence: a request never ends. Cause: the drain has no bound.
func TestDrainIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 0)
		r.addEntry(func(s *settings.Entry) { s.Timing.Drain = time.Second })
		agent := r.addModel(1)
		agent.deaf()
		done := r.goCall(1, chatPath, chatBody)
		synctest.Wait()
		start := time.Now()
		require.NoError(t, r.stops[0]())
		require.Less(t, time.Since(start), 6*time.Second)
		a := <-done
		require.NoError(t, a.err)
		require.Equal(t, result.UnprovenAttemptAtDeadline, a.code(t).Code, "the caller hears what is known, not a broken connection")
		require.Equal(t, result.RanUnknown, a.code(t).Ran)
	})
}

// Symptom: callers are refused for seconds by an entry that stops, though others serve. Sequence: they keep their
// connections, and balancers choose an entry for new ones only. Cause: answers that don't end the connection.
func TestCallersOfAStoppingEntryConnectAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 0)
		r.addEntry(func(s *settings.Entry) { s.Timing.Leave = time.Second })
		r.addService(1)
		before := r.call(1, http.MethodPost, checkPath, `{}`, gateCheck)
		require.Equal(t, 200, before.status)
		require.False(t, before.close)
		stopped := make(chan error, 1)
		go func() { stopped <- r.stops[0]() }()
		synctest.Wait()
		leaving := r.call(1, http.MethodPost, checkPath, `{}`, gateCheck)
		require.NoError(t, <-stopped)
		require.Equal(t, 200, leaving.status, "balancers haven't noticed yet")
		require.True(t, leaving.close)
	})
}

func TestNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		agent := r.addService(1)
		agent.hold()
		require.Equal(t, 200, r.call(1, http.MethodGet, "/readyz", "").status)
		inFlight := r.goCall(1, checkPath, `{}`, gateCheck)
		synctest.Wait()
		for _, code := range []result.Code{result.Starting, result.CutOffFromControl} {
			r.control.set(func() { r.control.ready = result.New(code, "") })
			ready := r.call(1, http.MethodGet, "/readyz", "")
			require.Equal(t, 503, ready.status)
			require.Equal(t, code, ready.code(t).Code)
			require.Equal(t, code, r.call(1, http.MethodPost, checkPath, `{}`, gateCheck).code(t).Code)
		}
		agent.all()[0].echo()
		require.Equal(t, 200, (<-inFlight).status, "what is in flight goes on")
		require.Equal(t, 1, agent.ran(""))
	})
}

// Symptom: a request is judged by a class as it was before a change that other processes have in force. Sequence: an
// agent shows a higher version; the entry's own update is late. Cause: the entry doesn't wait for it.
func TestHigherVersionIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.addService(1)
		r.entries[0].observe(2)
		require.Equal(t, result.ConfigurationOlder, r.call(1, http.MethodPost, checkPath, `{}`, gateCheck).code(t).Code)
		waiting := r.goCall(1, checkPath, `{}`, gateCheck)
		synctest.Wait()
		r.control.publish(func(v *session.View) { v.ConfigVersion = 2 })
		require.Equal(t, 200, (<-waiting).status)
	})
}

func TestDeadlineIsOnlyShortened(t *testing.T) {
	cases := map[string]time.Duration{"": 2 * time.Second, "100": 100 * time.Millisecond, "60000": 2 * time.Second}
	for header, want := range cases {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 1)
			r.addService(1).deaf()
			start := time.Now()
			a := r.call(1, http.MethodPost, checkPath, `{}`, gateCheck, headerDeadline+": "+header)
			require.Equal(t, result.UnprovenAttemptAtDeadline, a.code(t).Code)
			require.Equal(t, result.RanUnknown, a.code(t).Ran)
			require.InDelta(t, want.Seconds(), time.Since(start).Seconds(), 0.05)
		})
	}
}

// Symptom: memory grows by the answers of callers that don't read, or the scheduler stops for them. Sequence: a caller
// asks for a stream, reads nothing, and the engine goes on. Cause: events wait without a bound, or are pushed with a
// call that blocks.
func TestCallerThatDoesNotReadIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 0)
		r.addEntry(func(s *settings.Entry) { s.Limits.MaxAnswer = 100_000 })
		agent, service := r.addModel(1), r.addService(2)
		agent.script(func(d *dispatched) { d.frame(0, chatEvent("Hel")) }, nil)
		response, err := r.client.Do(r.request(context.Background(), 1, http.MethodPost, chatPath, chatSSE))
		require.NoError(t, err)
		defer response.Body.Close()
		r.net.CutOneWay(entryHost(1), callerHost)
		long := chatEvent(strings.Repeat("x", 10_000))
		for i := range 100 {
			agent.all()[0].frame(uint64(i+1), long)
			synctest.Wait()
		}
		slow := r.entries[0].calls.get(agent.all()[0].d.GetAttempt().GetRequest())
		require.True(t, slow.overflowed())
		require.Empty(t, slow.events)
		r.callFrom("10.0.9.8")
		require.Equal(t, 200, r.call(1, http.MethodPost, checkPath, `{}`, gateCheck).status)
		require.Equal(t, 1, service.ran(""))
		time.Sleep(2 * writeTimeout)
		require.Equal(t, 1, agent.cancelled())
		require.Empty(t, r.entries[0].calls.all)
	})
}

func TestLowerTiersLeaveRoomForTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 0)
		r.addEntry(func(s *settings.Entry) { s.Limits.MaxQueuedBytes = 1000 })
		r.addModel(1)
		r.addService(2)
		r.entries[0].bodyBytes.Store(800)
		e := r.call(1, http.MethodPost, chatPath, chatBody).code(t)
		require.Equal(t, result.QueueFull, e.Code)
		require.Equal(t, 200, r.call(1, http.MethodPost, checkPath, `{}`, gateCheck).status)
		require.EqualValues(t, 800, r.entries[0].bodyBytes.Load())
	})
}

func TestMetricsOfTheContract(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.addService(1)
		r.call(1, http.MethodPost, checkPath, `{}`, gateCheck)
		r.call(1, http.MethodPost, checkPath, `{`, gateCheck)
		text := r.call(1, http.MethodGet, "/metrics", "").body
		for _, line := range []string{
			`carawaypitch_goodput_total{tier="1",class="gate-check"} 1`,
			`carawaypitch_refusals_total{code="1003",tier="1"} 1`,
			`carawaypitch_served_tokens_total{organisation="compost",tier="1"} 5`,
			`carawaypitch_config_version 1`,
		} {
			require.True(t, strings.Contains(text, line+"\n"), line+"\n"+text)
		}
	})
}
