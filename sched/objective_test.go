package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

func (h *harness) arriveWithObjective(id string, class *wire.Class, objective time.Duration) {
	h.t.Helper()
	r := h.request(id, class)
	r.Objective = h.now.Add(objective)
	h.step(Arrive{Request: r})
}

// Guards against late answers under overload: more requests arrive than the pool can serve. If they were queued
// until their deadline, which is many times the objective, requests that are already late would take the slots.
func TestRequestIsQueuedNoLongerThanItsObjective(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 0)
	h.arriveWithObjective("a", summary, 300*time.Millisecond)
	h.advance(280 * time.Millisecond)
	require.Empty(t, h.failures)
	h.advance(40 * time.Millisecond)
	require.Equal(t, result.DeadlinePassedInQueue, h.failures["a"].Code)
	require.Equal(t, result.RanNo, h.failures["a"].Ran)
	require.NotZero(t, h.failures["a"].RetryAfter)
}

// Guards against ending a retry at its objective: a server has failed the request, after which a late answer is
// still useful.
func TestObjectiveDoesNotEndARetry(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 1)
	h.arriveWithObjective("a", summary, 300*time.Millisecond)
	first := h.lastDispatch("a", 1)
	h.receive("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Started{Started: &wire.Started{Attempt: first.id, Server: "s1"}}})
	h.reportRoom("s1", kindModel, testModel, 0)
	h.prove("s1", first.id, wire.Proof_PROOF_FAILED)
	h.advance(time.Second)
	require.Empty(t, h.failures)
	h.reportRoom("s1", kindModel, testModel, 1)
	h.lastDispatch("a", 2)
}

// Guards against ordering by arrival or deadline within a class: the request with the earlier objective arrives
// later and must be dispatched first.
func TestEarlierObjectiveGoesFirst(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 0)
	h.arriveWithObjective("late", summary, 900*time.Millisecond)
	h.arriveWithObjective("soon", summary, 400*time.Millisecond)
	h.reportRoom("s1", kindModel, testModel, 1)
	require.Len(t, h.dispatches("soon"), 1)
	require.Empty(t, h.dispatches("late"))
}

// Guards against a retry that hits the same fault: one of two servers fails some of its requests, and the failure
// frees a slot there. The retry must go to the other server.
func TestRetryGoesToAnotherServer(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindService, testService, 4)
	h.addServer("s2", kindService, testService, 4)
	h.arrive("a", gateCheck)
	first := h.lastDispatch("a", 1)
	h.prove(first.server, first.id, wire.Proof_PROOF_FAILED)
	require.NotEqual(t, first.server, h.lastDispatch("a", 2).server)
}

// Guards against a retry that is never sent: the only server failed the first attempt and must get the second one.
func TestRetryGoesToTheSameServerIfThereIsNoOther(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindService, testService, 4)
	h.arrive("a", gateCheck)
	h.prove("s1", h.lastDispatch("a", 1).id, wire.Proof_PROOF_FAILED)
	h.advance(time.Second)
	h.lastDispatch("a", 2)
}

// Guards against more attempts than the request allows: each of them fails, and after the second the request must
// fail with the error of the attempt.
func TestMaxAttempts(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindService, testService, 4)
	r := h.request("a", gateCheck)
	r.MaxAttempts = 2
	h.step(Arrive{Request: r})
	for n := 1; n <= 2; n++ {
		h.advance(300 * time.Millisecond)
		h.prove("s1", h.lastDispatch("a", n).id, wire.Proof_PROOF_FAILED)
	}
	h.advance(time.Second)
	h.lastDispatch("a", 2)
	require.Equal(t, result.EngineFailed, h.failures["a"].Code)
}

// Guards against streams that break off: a stopping entry accepts requests until its load balancer notices, and
// exits before a long stream ends. A request that would outlast the process must be refused.
func TestRequestThatOutlastsAStoppingEntryIsRefused(t *testing.T) {
	for _, row := range []struct {
		name   string
		learnt bool // whether the class's answer lengths are known
		tokens uint32
		left   time.Duration
		code   result.Code
	}{
		{"the entry isn't stopping", true, 2000, 0, 0},
		{"short enough", true, 20, 5 * time.Second, 0},
		{"too long", true, 2000, 5 * time.Second, result.Stopping},
		{"short by its caller's bound", false, 20, 5 * time.Second, 0},
		{"too long by its caller's bound", false, 2000, 5 * time.Second, result.Stopping},
		{"nothing known", false, 0, time.Millisecond, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, Options{})
			h.addServer("s1", kindModel, testModel, 1)
			for range 20 {
				if row.learnt {
					h.s.classFor(summary).outputTokens.add(50)
				}
			}
			r := h.request("a", summary)
			r.MaxTokens = row.tokens
			r.Deadline = h.now.Add(time.Minute)
			if row.left > 0 {
				r.EntryStopsBy = h.now.Add(row.left)
			}
			h.step(Arrive{Request: r})
			if row.code == 0 {
				require.Len(t, h.dispatches("a"), 1)
				return
			}
			require.Equal(t, row.code, h.failures["a"].Code)
			require.Equal(t, result.RanNo, h.failures["a"].Ran)
			require.Empty(t, h.dispatches("a"))
		})
	}
}

// arriveLongPrompt submits a request with a prompt of the given length to a pool of one server with the given free
// slots and prefill rate.
func arriveLongPrompt(t *testing.T, prompt uint32, free uint32, prefillRate float32) *harness {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, free)
	room := readyRoom("s1", kindModel, testModel, free)
	room.PrefillTokensPerS = prefillRate
	h.receive("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
	for range minSamples {
		h.s.classFor(summary).outputTokens.add(50)
	}
	r := h.request("a", summary)
	r.PromptTokens = prompt
	r.Objective = h.now.Add(800 * time.Millisecond)
	r.Deadline = h.now.Add(15 * time.Second)
	h.step(Arrive{Request: r})
	return h
}

// Guards against refusing the longest prompts at every retry while all servers are free. Prompts have a long tail,
// up to 55,000 tokens with a mean of 6,600, and the longest take more than the objective to compute on any server.
// With room available they must be served, since a late answer is still useful.
func TestLateAnswerIsNotRefusedWhileThereIsRoom(t *testing.T) {
	h := arriveLongPrompt(t, 55_000, 1, 55_000)
	require.Empty(t, h.failures)
	require.Len(t, h.dispatches("a"), 1)
}

// Guards against queueing a request that can't be in time when there is no room: it would take the slot of one that
// can.
func TestLateAnswerIsRefusedWithoutRoom(t *testing.T) {
	h := arriveLongPrompt(t, 55_000, 0, 55_000)
	require.Equal(t, result.CannotFinishInTime, h.failures["a"].Code)
	require.Equal(t, result.RanNo, h.failures["a"].Ran)
}

// Guards against refusing long prompts after a restart of all agents: until a server has reported its prefill rate,
// the default rate, far below the actual one, must not refuse a request.
func TestDefaultPrefillRateRefusesNoRequest(t *testing.T) {
	for _, free := range []uint32{0, 1} {
		h := arriveLongPrompt(t, 55_000, free, 0)
		require.Empty(t, h.failures)
	}
}

// Guards against a trace without the pauses between events, which make an answer late although it began in time.
func TestLongestPauseIsTraced(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 1)
	r := h.request("a", summary)
	r.Stream = true
	h.step(Arrive{Request: r})
	id := h.lastDispatch("a", 1).id
	h.frame("s1", id, 0, "x")
	h.advance(50 * time.Millisecond)
	h.frame("s1", id, 1, "y")
	h.advance(500 * time.Millisecond)
	h.frame("s1", id, 2, "z")
	require.Equal(t, 500*time.Millisecond, h.s.trace(h.s.requests["a"]).LongestPause)
}

// Guards against refusing a request beside an idle server because its objective passed while its body was read.
func TestRequestThatArrivesPastItsObjectiveIsServed(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 1)
	h.arriveWithObjective("a", summary, -time.Second)
	h.lastDispatch("a", 1)
	require.Empty(t, h.failures)
}

// Guards against a request that arrives past its objective and takes the place of one that may be in time, and against ending it at
// once while it may still be served by its deadline.
func TestRequestThatArrivesPastItsObjectiveGoesLast(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 0)
	h.arriveWithObjective("late", summary, -time.Second)
	h.advance(time.Second)
	require.Empty(t, h.failures)
	h.arriveWithObjective("in time", summary, 300*time.Millisecond)
	h.reportRoom("s1", kindModel, testModel, 1)
	require.Len(t, h.dispatches("in time"), 1)
	require.Empty(t, h.dispatches("late"))
	h.advance(time.Duration(summary.GetDeadlineMs()) * time.Millisecond)
	require.Equal(t, result.DeadlinePassedInQueue, h.failures["late"].Code)
	require.Equal(t, result.RanNo, h.failures["late"].Ran)
}
