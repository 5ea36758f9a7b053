package agent

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

const testWindow = 4000

func credit(request string, bytes uint64) *wire.Credit {
	return &wire.Credit{Attempt: &wire.AttemptID{Request: request, Number: 1}, Bytes: bytes, Window: testWindow}
}

func (e *fakeEntry) credit(c *wire.Credit) {
	e.send(&wire.EntryMessage{Kind: &wire.EntryMessage_Credit{Credit: c}})
}

func (e *fakeEntry) receivedBytes(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	size := 0
	for _, event := range e.events[attemptKey{request, 1}] {
		size += len(event)
	}
	return size
}

// withFastModelEnv runs a test with a model engine of 1000 tokens a second, a linked entry and free room.
func withFastModelEnv(t *testing.T, test func(env *testEnv, entry *fakeEntry)) {
	t.Helper()
	withEnv(t, func(env *testEnv) {
		env.startAgent()
		options := slowModel()
		options.DecodePace = time.Millisecond
		env.startEngine(options)
		env.waitReady()
		entry := env.startEntry(entryHost, "entry-1")
		entry.awaitRoom("server-1")
		test(env, entry)
	})
}

// readAll confirms what has arrived, until the attempt is over.
func (e *fakeEntry) readAll(request string) *wire.Over {
	e.env.t.Helper()
	e.env.waitUntil("the answer ends", func() bool {
		e.credit(credit(request, uint64(e.receivedBytes(request))))
		return e.over(request, 1) != nil
	})
	return e.over(request, 1)
}

// A server's answer must stay at the server while its caller doesn't read. Otherwise the entry or the agent holds it.
func TestAnswerWaitsForCredit(t *testing.T) {
	withFastModelEnv(t, func(env *testEnv, entry *fakeEntry) {
		entry.credit(credit("r1", 0))
		entry.dispatch(longCompletionDispatch("r1", 1))
		time.Sleep(time.Second)
		held := entry.receivedBytes("r1")
		assert.LessOrEqual(t, held, testWindow)
		assert.Greater(t, held, testWindow-400, "one event less at most")
		time.Sleep(time.Second)
		assert.Equal(t, held, entry.receivedBytes("r1"))

		entry.credit(credit("r1", 1000))
		time.Sleep(100 * time.Millisecond)
		assert.LessOrEqual(t, entry.receivedBytes("r1"), testWindow+1000)
		assert.Greater(t, entry.receivedBytes("r1"), held)
		entry.credit(credit("r1", 500))
		time.Sleep(100 * time.Millisecond)
		assert.LessOrEqual(t, entry.receivedBytes("r1"), testWindow+1000, "an older credit changes nothing")

		over := entry.readAll("r1")
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, over.GetProof())
		assert.EqualValues(t, entry.receivedBytes("r1"), over.GetAnswer().GetBytes())
	})
}

// A version of the entry that knows no credits would otherwise wait for its answers forever.
func TestEntryWithoutCreditsIsServedWithoutAWindow(t *testing.T) {
	withFastModelEnv(t, func(_ *testEnv, entry *fakeEntry) {
		entry.dispatch(longCompletionDispatch("r1", 1))
		over := entry.awaitOver("r1", 1)
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, over.GetProof())
		assert.Greater(t, entry.receivedBytes("r1"), 10*testWindow)
	})
}

// A link that breaks while the window is full must not end the attempt: the entry's first credit on the next link lets it
// go on, and no event is missing or comes twice.
func TestAnswerGoesOnWithNewCreditsAfterALostLink(t *testing.T) {
	withFastModelEnv(t, func(env *testEnv, entry *fakeEntry) {
		entry.credit(credit("r1", 0))
		entry.dispatch(longCompletionDispatch("r1", 1))
		time.Sleep(time.Second)
		before, _ := entry.links()
		env.network.Reset(entryHost)
		env.waitUntil("the link is open again", func() bool {
			links, _ := entry.links()
			return links > before
		})
		time.Sleep(100 * time.Millisecond)
		assert.LessOrEqual(t, entry.receivedBytes("r1"), 2*testWindow, "what was sent is sent again, and no more")
		entry.mu.Lock()
		entry.events = map[attemptKey][]string{} // a real entry drops the second copy by its offsets
		entry.mu.Unlock()
		sent := uint64(testWindow)
		env.waitUntil("the answer ends", func() bool {
			sent += 1000
			entry.credit(credit("r1", sent))
			return entry.over("r1", 1) != nil
		})
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, entry.over("r1", 1).GetProof())
	})
}

// The end of a cancelled stream is behind what its caller has not read. If the agent didn't read on, the proof would be
// late and the server's slot stay taken.
func TestRunThatWaitsForItsCallerIsCancelled(t *testing.T) {
	withFastModelEnv(t, func(env *testEnv, entry *fakeEntry) {
		entry.credit(credit("r1", 0))
		entry.dispatch(longCompletionDispatch("r1", 1))
		time.Sleep(500 * time.Millisecond)
		entry.cancel("r1", 1)
		assert.Equal(t, wire.Proof_PROOF_CANCELLED, entry.awaitOver("r1", 1).GetProof())
		env.waitUntil("the engine call has returned", func() bool {
			env.agent.credits.mu.Lock()
			defer env.agent.credits.mu.Unlock()
			return len(env.agent.credits.runs) == 0
		})
	})
}

// Callers that don't read must not make their server look slow to others.
func TestWaitingForCallersIsNoStragglingOfTheServer(t *testing.T) {
	withFastModelEnv(t, func(env *testEnv, entry *fakeEntry) {
		entry.dispatch(longCompletionDispatch("r0", 1)) // establishes the server's usual pace
		entry.awaitOver("r0", 1)
		for _, request := range []string{"r1", "r2"} {
			entry.credit(credit(request, 0))
			entry.dispatch(longCompletionDispatch(request, 1))
		}
		time.Sleep(20 * time.Second)
		assert.Equal(t, wire.ServerCondition_SERVER_CONDITION_READY, entry.room("server-1").GetCondition())
		_, metrics := env.call("GET", "/metrics", nil)
		assert.Contains(t, metrics, metricWaitedRuns+" 2")
	})
}

// Credits of attempts that never begin here must not accumulate.
func TestEarlyCreditsAreBounded(t *testing.T) {
	c := newCredits()
	for i := range 3 * maxEarlyCredits {
		c.receive(credit(strings.Repeat("x", i%7)+string(rune(i)), 0))
	}
	assert.Len(t, c.early, maxEarlyCredits)
	assert.Len(t, c.order, maxEarlyCredits)
}

// A resumed run continues the positions of its attempt: with a new window, the entry would be sent twice as much.
func TestResumedRunKeepsItsWindow(t *testing.T) {
	r := newRun(completionDispatch("r1", 1), nil, nil)
	r.applyCredit(credit("r1", 0))
	_, err := r.put(make([]byte, testWindow), 1, nil, nil)
	require.NoError(t, err)
	r.liftWindow()
	next := r.resumed(engine.Suspension{})
	assert.True(t, next.window.isFull(1))
	next.applyCredit(credit("r1", 1))
	assert.False(t, next.window.isFull(1))
}

// Bodies that don't fit are refused before anything of them runs, and leave room for answers.
func TestBodiesBeyondTheBoundNeverStart(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent(func(s *settings.Agent) {
			s.Limits.MaxBody = 100
			s.Memory.HeldBytes = settings.Size(4*len(chatBody)/3 + 40)
		})
		env.startEngine(slowModel())
		env.waitReady()
		entry := env.startEntry(entryHost, "entry-1")
		entry.awaitRoom("server-1")
		entry.dispatch(completionDispatch("r1", 1))
		env.waitUntil("the run begins", func() bool { return env.ledger.Running() == 1 })
		entry.dispatch(completionDispatch("r2", 1))
		refused := entry.awaitOver("r2", 1)
		assert.Equal(t, wire.Proof_PROOF_NEVER_STARTED, refused.GetProof())
		assert.EqualValues(t, result.OverMemoryShare, refused.GetCode())
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, entry.awaitOver("r1", 1).GetProof())
		entry.dispatch(completionDispatch("r3", 1))
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, entry.awaitOver("r3", 1).GetProof(), "the room is free again")
		assert.Zero(t, env.agent.held.ledger.Total())
	})
}

// An agent that holds as much as it may reads more slowly, and loses nothing.
func TestEventsWaitForRoomInTheAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHeld(1000)
		newSink := func(request string) *runSink {
			r := newRun(withBody(completionDispatch(request, 1), ""), nil, nil)
			require.True(t, h.admitBody(r))
			return &runSink{run: r, notify: func(*engineRun) error { return nil }, held: h}
		}
		one, two := newSink("r1"), newSink("r2")
		require.NoError(t, one.Chunk(engine.Chunk{Data: make([]byte, 600)}))
		done := make(chan error, 1)
		go func() { done <- two.Chunk(engine.Chunk{Data: make([]byte, 600)}) }()
		synctest.Wait()
		assert.Empty(t, done)
		_, _, size := one.run.takeCounted()
		h.releaseEvents(one.run, size)
		require.NoError(t, <-done)
		go func() { done <- one.Chunk(engine.Chunk{Data: make([]byte, 600)}) }()
		synctest.Wait()
		assert.Empty(t, done)
		h.closeRun(two.run)
		require.NoError(t, <-done)
		h.closeRun(one.run)
		assert.Zero(t, h.ledger.Total())
		large := newSink("r3")
		require.NoError(t, large.Chunk(engine.Chunk{Data: make([]byte, 5000)}), "an event larger than the bound doesn't wait forever")
	})
}

// What full rings refuse counts as held too.
func TestUnsentMessagesAreCounted(t *testing.T) {
	s, links, _ := newLimitedLinkServer(t, 0)
	h := newHeld(1 << 20)
	s.unsent.held, s.unsent.account = h, h.openUnsent("server-1")
	s.sendAll(frameMessage(0, make([]byte, 1000)))
	assert.Greater(t, h.ledger.Total(), int64(1000))
	links.room = 1
	s.sendUnsent()
	assert.Zero(t, h.ledger.Total())
}

// A server that reads nothing of a body would keep its run, and the body, until the deadline. Part of the body was sent, so
// the outcome is unknown.
func TestServerThatReadsNothingOfABodyEndsItsRun(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent(func(s *settings.Agent) { s.Memory.HeldBytes = 64 * settings.MiB })
		env.startEngine(slowModel())
		env.waitReady()
		entry := env.startEntry(entryHost, "entry-1")
		entry.awaitRoom("server-1")
		env.network.CutOneWay(agentHost, engineHost)
		d := withBody(completionDispatch("r1", 1), strings.Replace(chatBody, "May", strings.Repeat("May ", 200_000), 1))
		entry.dispatch(d)
		env.waitUntil("the attempt is reported as unproven", func() bool {
			return entry.over("r1", 1).GetProof() == wire.Proof_PROOF_UNPROVEN
		})
		assert.Zero(t, env.ledger.Starts()["r1.1"])
	})
}
