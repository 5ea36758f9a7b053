package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

func (w *world) arriveWithObjective(id string, class *wire.Class, objective time.Duration) {
	w.t.Helper()
	r := w.request(id, class)
	r.Objective = w.now.Add(objective)
	w.step(Arrive{Request: r})
}

// Symptom: under overload nearly every answer is late. Sequence: more requests arrive than the pool can serve; each waits
// in the queue up to its deadline, which is many times its objective, and takes a place when it is late already.
// Cause: a queue bounded by the deadline alone.
func TestRequestIsQueuedNoLongerThanItsObjective(t *testing.T) {
	w := newWorld(t, Options{})
	w.serve("s1", kindModel, testModel, 0)
	w.arriveWithObjective("a", summary, 300*time.Millisecond)
	w.pass(280 * time.Millisecond)
	require.Empty(t, w.failures)
	w.pass(40 * time.Millisecond)
	require.Equal(t, result.DeadlinePassedInQueue, w.failures["a"].Code)
	require.Equal(t, result.RanNo, w.failures["a"].Ran)
	require.NotZero(t, w.failures["a"].RetryAfter)
}

// A request that a server has failed is worth a late answer: its objective doesn't end it.
func TestObjectiveDoesNotEndARetry(t *testing.T) {
	w := newWorld(t, Options{})
	w.serve("s1", kindModel, testModel, 1)
	w.arriveWithObjective("a", summary, 300*time.Millisecond)
	first := w.last("a", 1)
	w.say("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Started{Started: &wire.Started{Attempt: first.id, Server: "s1"}}})
	w.room("s1", kindModel, testModel, 0)
	w.prove("s1", first.id, wire.Proof_PROOF_FAILED)
	w.pass(time.Second)
	require.Empty(t, w.failures)
	w.room("s1", kindModel, testModel, 1)
	w.last("a", 2)
}

func TestEarlierObjectiveGoesFirst(t *testing.T) {
	w := newWorld(t, Options{})
	w.serve("s1", kindModel, testModel, 0)
	w.arriveWithObjective("late", summary, 900*time.Millisecond)
	w.arriveWithObjective("soon", summary, 400*time.Millisecond)
	w.room("s1", kindModel, testModel, 1)
	require.Len(t, w.dispatches("soon"), 1)
	require.Empty(t, w.dispatches("late"))
}

// Symptom: the retry of a check fails like the first try. Sequence: one of two servers fails a part of its requests; the
// failure frees a place there, so the retry goes to it again. Cause: a failed server that is as good as any other.
func TestRetryGoesToAnotherServer(t *testing.T) {
	w := newWorld(t, Options{})
	w.serve("s1", kindService, testService, 4)
	w.serve("s2", kindService, testService, 4)
	w.arrive("a", gateCheck)
	first := w.last("a", 1)
	w.prove(first.server, first.id, wire.Proof_PROOF_FAILED)
	require.NotEqual(t, first.server, w.last("a", 2).server)
}

func TestRetryGoesToTheSameServerIfThereIsNoOther(t *testing.T) {
	w := newWorld(t, Options{})
	w.serve("s1", kindService, testService, 4)
	w.arrive("a", gateCheck)
	w.prove("s1", w.last("a", 1).id, wire.Proof_PROOF_FAILED)
	w.pass(time.Second)
	w.last("a", 2)
}

func TestMaxAttempts(t *testing.T) {
	w := newWorld(t, Options{})
	w.serve("s1", kindService, testService, 4)
	r := w.request("a", gateCheck)
	r.MaxAttempts = 2
	w.step(Arrive{Request: r})
	for n := 1; n <= 2; n++ {
		w.pass(300 * time.Millisecond)
		w.prove("s1", w.last("a", n).id, wire.Proof_PROOF_FAILED)
	}
	w.pass(time.Second)
	w.last("a", 2)
	require.Equal(t, result.EngineFailed, w.failures["a"].Code)
}

// Symptom: a stream breaks off in its middle. Sequence: an entry that stops still takes requests, until its balancer has
// noticed; one of them is a long stream, and the process ends before it does. Cause: a request taken without a look at
// the time that the entry has left.
func TestRequestThatOutlastsAStoppingEntryIsRefused(t *testing.T) {
	for _, row := range []struct {
		name   string
		learnt bool // how long the class's answers are
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
			w := newWorld(t, Options{})
			w.serve("s1", kindModel, testModel, 1)
			for range 20 {
				if row.learnt {
					w.s.classFor(summary).outputs.add(50)
				}
			}
			r := w.request("a", summary)
			r.MaxTokens = row.tokens
			r.Deadline = w.now.Add(time.Minute)
			if row.left > 0 {
				r.EntryStopsBy = w.now.Add(row.left)
			}
			w.step(Arrive{Request: r})
			if row.code == 0 {
				require.Len(t, w.dispatches("a"), 1)
				return
			}
			require.Equal(t, row.code, w.failures["a"].Code)
			require.Equal(t, result.RanNo, w.failures["a"].Ran)
			require.Empty(t, w.dispatches("a"))
		})
	}
}

// longPromptAt arrives as a prompt that takes so long to compute at the pace of a server that has one, on a pool with so
// many free places.
func longPromptAt(t *testing.T, prompt uint32, free uint32, prefillRate float32) *world {
	w := newWorld(t, Options{})
	w.serve("s1", kindModel, testModel, free)
	room := readyRoom("s1", kindModel, testModel, free)
	room.PrefillTokensPerS = prefillRate
	w.say("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
	for range learnSamples {
		w.s.classFor(summary).outputs.add(50)
	}
	r := w.request("a", summary)
	r.PromptTokens = prompt
	r.Objective = w.now.Add(800 * time.Millisecond)
	r.Deadline = w.now.Add(15 * time.Second)
	w.step(Arrive{Request: r})
	return w
}

// Symptom: the longest prompts are refused while all servers are free, come back when they were told to, and are refused
// again. Pattern: prompts with a long tail, up to 55,000 tokens beside a mean of 6,600; the longest take more than the
// objective to compute, on any server. Cause: refused since the answer can't begin within its objective, though nobody
// waits and a late answer is worth something.
func TestLateAnswerIsNotRefusedWhileThereIsRoom(t *testing.T) {
	w := longPromptAt(t, 55_000, 1, 55_000)
	require.Empty(t, w.failures)
	require.Len(t, w.dispatches("a"), 1)
}

// Without room it would take the place of one that can be in time.
func TestLateAnswerIsRefusedWithoutRoom(t *testing.T) {
	w := longPromptAt(t, 55_000, 0, 55_000)
	require.Equal(t, result.CannotFinishInTime, w.failures["a"].Code)
	require.Equal(t, result.RanNo, w.failures["a"].Ran)
}

// Symptom: after a restart of all agents long prompts are refused until short ones have shown the servers' pace. Cause: a
// pace that is assumed until one is learnt, and that is far below that of the servers.
func TestNobodyIsRefusedOnAnAssumedPace(t *testing.T) {
	for _, free := range []uint32{0, 1} {
		w := longPromptAt(t, 55_000, free, 0)
		require.Empty(t, w.failures)
	}
}

// The line about the end of a request tells of pauses between events, by which an answer may be late though it began in time.
func TestLongestPauseIsTraced(t *testing.T) {
	w := newWorld(t, Options{})
	w.serve("s1", kindModel, testModel, 1)
	r := w.request("a", summary)
	r.Stream = true
	w.step(Arrive{Request: r})
	id := w.last("a", 1).id
	w.frame("s1", id, 0, "x")
	w.pass(50 * time.Millisecond)
	w.frame("s1", id, 1, "y")
	w.pass(500 * time.Millisecond)
	w.frame("s1", id, 2, "z")
	require.Equal(t, 500*time.Millisecond, w.s.trace(w.s.requests["a"]).LongestPause)
}
