package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// failAll lets n requests arrive and fails every attempt of them, as a service does whose servers all fail. It returns
// how many attempts were made beyond the first of each.
func failAll(w *world, prefix string, n int) int {
	retries := 0
	for i := range n {
		id := fmt.Sprint(prefix, i)
		w.arrive(id, gateCheck)
		for tried := 1; len(w.dispatches(id)) == tried; tried++ {
			d := w.last(id, tried)
			w.say(d.server, &wire.AgentMessage{Kind: &wire.AgentMessage_Started{
				Started: &wire.Started{Attempt: d.id, Server: d.server},
			}})
			w.prove(d.server, d.id, wire.Proof_PROOF_FAILED)
			w.pass(MinTickInterval)
			w.room(d.server, kindService, testService, 4)
		}
		retries += len(w.dispatches(id)) - 1
	}
	return retries
}

// Symptom: a service that fails is kept down by retries: each request reaches it several times. Sequence: all its servers
// fail what they get; every entry sends each request again as often as it may. Cause: retries bounded for each request
// only.
func TestRetriesKeepToTheBudget(t *testing.T) {
	options := Options{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 40}
	w := newWorld(t, options)
	w.serve("s1", kindService, testService, 4)
	w.step(Directory{Agents: w.records, Entries: 4})
	// 50 requests in one window: 0.2 of them and a fourth of the allowance, of which retryShare is used.
	require.Equal(t, 16, failAll(w, "a", 50))
	require.Len(t, w.failures, 50, "all others fail at once")
}

func TestRetryBudgetComesBackWithTheWindow(t *testing.T) {
	w := newWorld(t, Options{RetryRatio: 0.01, RetryWindow: 10 * time.Second, RetryAllowance: 5})
	w.serve("s1", kindService, testService, 4)
	first := failAll(w, "a", 10)
	require.Equal(t, 4, first)
	w.pass(11 * time.Second)
	w.room("s1", kindService, testService, 4)
	require.Equal(t, first, failAll(w, "b", 10))
}

func TestRetriesAreUnboundedByDefault(t *testing.T) {
	w := newWorld(t, Options{})
	w.serve("s1", kindService, testService, 4)
	require.Equal(t, 10*(maxStarts-1), failAll(w, "a", 10))
}

// Symptom: requests are refused that another server has room for. Sequence: some servers crash; each call to one of them
// ends at once without a connection; the entry tries again elsewhere until its part of the pool's budget of retries is used
// up. Cause: the agent says that an attempt starts before it calls, and that counted as an arrival at the server.
func TestAttemptThatNeverLeftTheAgentUsesNoRetry(t *testing.T) {
	w := newWorld(t, Options{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 2})
	w.serve("s1", kindModel, testModel, 40)
	w.serve("s2", kindModel, testModel, 40)
	for i := range 20 {
		name := fmt.Sprint("r", i)
		w.arrive(name, summary)
		for n := 1; len(w.dispatches(name)) == n && w.last(name, n).server == "s1"; n++ {
			d := w.last(name, n)
			w.say("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Started{Started: &wire.Started{Attempt: d.id, Server: "s1"}}})
			w.over("s1", &wire.Over{Attempt: d.id, Proof: wire.Proof_PROOF_NEVER_STARTED, Unsent: true})
			w.room("s1", kindModel, testModel, 40)
		}
		require.Empty(t, w.failures)
	}
	require.NotEmpty(t, w.dispatches("r19"))
}
