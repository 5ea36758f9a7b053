package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// streamed is a world with a dispatched request r whose caller wants a stream.
func streamed(t *testing.T, class *wire.Class) (*world, sentTo) {
	w := newWorld(t, Options{})
	w.serve("s1", kindModel, testModel, 4)
	w.serve("s2", kindModel, testModel, 4)
	r := w.request("r", class)
	r.Stream = true
	w.step(Arrive{Request: r})
	return w, w.last("r", 1)
}

func TestFramesInAnyOrder(t *testing.T) {
	// Symptom: a caller gets a fragment, events twice, or another caller's events.
	// Sequence: the frames a b c d of an answer come late, doubled or reordered, with strange ones among them.
	// Cause: a frame taken without a look at its request, attempt or offset.
	type f struct {
		offset uint64
		events []string
	}
	rows := []struct {
		name   string
		frames []f
	}{
		{"in order", []f{{0, []string{"a", "b"}}, {2, []string{"c"}}, {3, []string{"d"}}}},
		{"doubled", []f{{0, []string{"a", "b"}}, {0, []string{"a", "b"}}, {2, []string{"c", "d"}}, {2, []string{"c"}}}},
		{"reordered", []f{{3, []string{"d"}}, {2, []string{"c"}}, {0, []string{"a", "b"}}}},
		{"overlapping", []f{{0, []string{"a", "b"}}, {1, []string{"b", "c"}}, {0, []string{"a", "b", "c", "d"}}}},
		{"held ones overlapping", []f{{2, []string{"c", "d"}}, {1, []string{"b", "c"}}, {0, []string{"a"}}}},
	}
	for _, row := range rows {
		for _, endFirst := range []bool{false, true} {
			t.Run(row.name, func(t *testing.T) {
				w, d := streamed(t, summary)
				if endFirst {
					w.complete(d.server, d.id, 0, "a", "b", "c", "d")
				}
				w.frame(d.server, &wire.AttemptID{Request: "r", Number: 7}, 0, "x")
				w.frame(d.server, &wire.AttemptID{Request: "other", Number: 1}, 0, "y")
				w.frame(d.other(), d.id, 0, "z")
				for _, f := range row.frames {
					w.frame(d.server, d.id, f.offset, f.events...)
				}
				if !endFirst {
					w.complete(d.server, d.id, 0, "a", "b", "c", "d")
				}
				assert.Equal(t, []string{"a", "b", "c", "d"}, w.events["r"])
				assert.Contains(t, w.answers, "r")
			})
		}
	}
}

func TestAnswerThatIsNotWhole(t *testing.T) {
	// Symptom: a fragment, or a damaged answer, is given out as a whole one.
	// Sequence: the rows, each with a word of the agent that the answer is complete.
	// Cause: count, length or digest not compared.
	rows := []struct {
		name string
		end  func(e *wire.AnswerEnd)
		code result.Code
	}{
		{"more events announced", func(e *wire.AnswerEnd) { e.Events++ }, result.AnswerIncomplete},
		{"fewer events announced", func(e *wire.AnswerEnd) { e.Events-- }, result.AnswerIncomplete},
		{"other length", func(e *wire.AnswerEnd) { e.Bytes++ }, result.AnswerDigestMismatch},
		{"other digest", func(e *wire.AnswerEnd) { e.Digest++ }, result.AnswerDigestMismatch},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			w, d := twoServers(t, order)
			w.frame(d.server, d.id, 0, "a", "b")
			end := endOf(0, "a", "b")
			row.end(end)
			w.over(d.server, &wire.Over{Attempt: d.id, Proof: wire.Proof_PROOF_COMPLETED, Answer: end})
			w.pass(gapBound)
			require.Contains(t, w.failures, "r")
			assert.Equal(t, row.code, w.failures["r"].Code)
			assert.Empty(t, w.events["r"])
		})
	}
	t.Run("no end at all", func(t *testing.T) {
		w, d := twoServers(t, order)
		w.prove(d.server, d.id, wire.Proof_PROOF_COMPLETED)
		require.Contains(t, w.failures, "r")
		assert.Equal(t, result.AnswerIncomplete, w.failures["r"].Code)
	})
}

func TestDamagedAnswerOfRepeatableWorkIsMadeAnew(t *testing.T) {
	// Symptom: the second answer starts with the damaged events of the first.
	// Sequence: a whole answer has the wrong digest; the work may be repeated and the caller has seen nothing.
	// Cause: what was kept isn't dropped.
	w, d := twoServers(t, summary)
	w.frame(d.server, d.id, 0, "a", "x")
	w.complete(d.server, d.id, 0, "a", "b")
	next := w.last("r", 2)
	w.frame(next.server, next.id, 0, "c", "d")
	w.complete(next.server, next.id, 0, "c", "d")
	assert.Contains(t, w.answers, "r")
	assert.Equal(t, []string{"c", "d"}, w.events["r"])
}

func TestDamagedStreamIsNeverEndedAsWhole(t *testing.T) {
	w, d := streamed(t, summary)
	w.frame(d.server, d.id, 0, "a", "x")
	w.complete(d.server, d.id, 0, "a", "b")
	require.Contains(t, w.failures, "r")
	assert.Equal(t, result.AnswerDigestMismatch, w.failures["r"].Code)
}

func TestLostFrame(t *testing.T) {
	// Symptom: a stream stands still until its deadline.
	// Sequence: a frame in the middle is lost, later ones come.
	// Cause: nobody gives up on the lost one.
	w, d := streamed(t, summary)
	w.frame(d.server, d.id, 0, "a")
	w.frame(d.server, d.id, 2, "c")
	w.pass(gapBound)
	require.Len(t, w.cancels("r"), 1)
	w.prove(d.server, d.id, wire.Proof_PROOF_CANCELLED)
	next := w.last("r", 2)
	w.frame(next.server, next.id, 1, "b", "c")
	w.complete(next.server, next.id, 1, "b", "c")
	assert.Contains(t, w.answers, "r")
	assert.Equal(t, []string{"a", "b", "c"}, w.events["r"])
}

func TestStreamGoesOnElsewhere(t *testing.T) {
	// Symptom: a reader sees the beginning of an answer twice, or loses it when an engine dies.
	// Sequence: two events are delivered, then the agent restarts or the attempt is preempted.
	// Cause: the next attempt doesn't start where the last one stopped.
	rows := []struct {
		name   string
		do     func(w *world, d sentTo)
		resume string
	}{
		{"agent restarted", func(w *world, d sentTo) { w.restart(d.server) }, ""},
		{"engine failed", func(w *world, d sentTo) { w.prove(d.server, d.id, wire.Proof_PROOF_FAILED) }, ""},
		{"preempted, cache kept", func(w *world, d sentTo) {
			w.over(d.server, &wire.Over{Attempt: d.id, Proof: wire.Proof_PROOF_CANCELLED, PreemptedByTier: 1, Resumable: true})
		}, "r.1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			w, d := streamed(t, summary)
			w.frame(d.server, d.id, 0, "a", "b")
			row.do(w, d)
			next := w.last("r", 2)
			m := w.sent[len(w.sent)-1].Message.GetDispatch()
			assert.Equal(t, uint32(2), m.GetResumeFrom())
			if next.server == d.server {
				assert.Equal(t, row.resume, m.GetResumeAttempt())
			}
			w.frame(d.server, d.id, 2, "late")
			w.frame(next.server, next.id, 2, "c")
			w.complete(next.server, next.id, 2, "c")
			assert.Contains(t, w.answers, "r")
			assert.Equal(t, []string{"a", "b", "c"}, w.events["r"])
		})
	}
}

func TestStreamGoesOnAtTheRightToken(t *testing.T) {
	// Symptom: one token is missing from the middle of an answer.
	// Sequence: a chat's first event, which names the role and has no token, and one token are delivered; a frame comes
	// twice; the agent restarts and the stream goes on elsewhere.
	// Cause: the next engine was told to go on after as many tokens as events had been delivered.
	w, d := streamed(t, summary)
	f := frameOf(d.id, 0, "role", "a")
	f.Tokens = []uint32{0, 1}
	w.say(d.server, &wire.AgentMessage{Kind: &wire.AgentMessage_Frame{Frame: f}})
	again := frameOf(d.id, 1, "a", "b")
	again.Tokens = []uint32{1, 1}
	w.say(d.server, &wire.AgentMessage{Kind: &wire.AgentMessage_Frame{Frame: again}})
	w.restart(d.server)
	w.last("r", 2)
	m := w.sent[len(w.sent)-1].Message.GetDispatch()
	assert.Equal(t, uint32(3), m.GetResumeFrom())
	assert.Equal(t, uint32(2), m.GetResumeTokens())
}

func TestStreamIsNotPatchedFromTwoRuns(t *testing.T) {
	// Symptom: a reader gets the first half of one answer and the second half of another.
	// Sequence: two events are delivered, the agent restarts, and no server can resume.
	// Cause: a server that computes the answer anew taken for one that continues it.
	w, d := streamed(t, summary)
	w.frame(d.server, d.id, 0, "a", "b")
	w.roomToBeginAnew(d.other(), 4)
	w.up(d.server, 2)
	w.roomToBeginAnew(d.server, 0)
	assert.Len(t, w.dispatches("r"), 1)
	assert.Contains(t, w.failures, "r")
}

// roomToBeginAnew is the room of a server that can't resume.
func (w *world) roomToBeginAnew(server string, free uint32) {
	w.t.Helper()
	room := readyRoom(server, kindModel, testModel, free)
	room.Resume = false
	w.say(server, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
}

func TestStreamGoesOnOnlyWhereItCanBeResumed(t *testing.T) {
	// Symptom: the same, where another server could resume but has no room just now.
	w, d := streamed(t, summary)
	w.frame(d.server, d.id, 0, "a", "b")
	w.serve("s3", kindModel, testModel, 0)
	w.roomToBeginAnew(d.other(), 4)
	w.up(d.server, 2)
	w.roomToBeginAnew(d.server, 0)
	assert.Len(t, w.dispatches("r"), 1)
	require.Len(t, w.reserves("r"), 1)
	w.offer("s3", w.reserves("r")[0].id)
	assert.Equal(t, "s3", w.last("r", 2).server)
}

func TestAnswerOverTheBound(t *testing.T) {
	w := newWorld(t, Options{MaxAnswerBytes: 3})
	w.serve("s1", kindModel, testModel, 4)
	w.arrive("r", summary)
	d := w.last("r", 1)
	w.frame(d.server, d.id, 0, "ab", "cd")
	require.Len(t, w.cancels("r"), 1)
	w.prove(d.server, d.id, wire.Proof_PROOF_CANCELLED)
	require.Contains(t, w.failures, "r")
	assert.Equal(t, result.AnswerTooLarge, w.failures["r"].Code)
	assert.Len(t, w.dispatches("r"), 1)
}

func TestHeldFramesAreBounded(t *testing.T) {
	// Symptom: an entry runs out of memory.
	// Sequence: the first frame is lost and the engine goes on for a long time.
	// Cause: later frames held without a bound.
	w, d := streamed(t, appeal)
	for i := range uint64(2 * maxHeldFrames) {
		w.frame(d.server, d.id, i+1, "x")
	}
	assert.LessOrEqual(t, len(w.s.requests["r"].attempt.pending), maxHeldFrames)
	assert.Len(t, w.cancels("r"), 1)
}

func TestAnswerOvertakesItsCancel(t *testing.T) {
	w, d := twoServers(t, summary)
	w.frame(d.server, d.id, 0, "a")
	w.prove(d.server, d.id, wire.Proof_PROOF_UNPROVEN)
	w.frame(d.server, d.id, 1, "b")
	w.complete(d.server, d.id, 0, "a", "b")
	assert.Contains(t, w.answers, "r")
	w.pass(time.Second)
	assert.Len(t, w.dispatches("r"), 1)
}
