package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// newStreamHarness returns a harness with a dispatched request r whose caller requested a stream.
func newStreamHarness(t *testing.T, class *wire.Class) (*harness, sentMessage) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 4)
	h.addServer("s2", kindModel, testModel, 4)
	r := h.request("r", class)
	r.Stream = true
	h.step(Arrive{Request: r})
	return h, h.lastDispatch("r", 1)
}

// Guards against answers with missing or duplicate events, or with events of another answer. The frames a b c d
// arrive late, duplicated or reordered, among frames of other requests, attempts and agents.
func TestFramesInAnyOrder(t *testing.T) {
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
				h, d := newStreamHarness(t, summary)
				if endFirst {
					h.complete(d.server, d.id, 0, "a", "b", "c", "d")
				}
				h.frame(d.server, &wire.AttemptID{Request: "r", Number: 7}, 0, "x")
				h.frame(d.server, &wire.AttemptID{Request: "other", Number: 1}, 0, "y")
				h.frame(d.other(), d.id, 0, "z")
				for _, f := range row.frames {
					h.frame(d.server, d.id, f.offset, f.events...)
				}
				if !endFirst {
					h.complete(d.server, d.id, 0, "a", "b", "c", "d")
				}
				assert.Equal(t, []string{"a", "b", "c", "d"}, h.events["r"])
				assert.Contains(t, h.answers, "r")
			})
		}
	}
}

// Guards against delivering an incomplete or damaged answer as a whole one. The agent reports completion with a
// count, length or digest that doesn't match.
func TestIncompleteAnswerIsRejected(t *testing.T) {
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
			h, d := newTwoServerHarness(t, order)
			h.frame(d.server, d.id, 0, "a", "b")
			end := answerEndOf(0, "a", "b")
			row.end(end)
			h.over(d.server, &wire.Over{Attempt: d.id, Proof: wire.Proof_PROOF_COMPLETED, Answer: end})
			h.advance(gapTimeout)
			require.Contains(t, h.failures, "r")
			assert.Equal(t, row.code, h.failures["r"].Code)
			assert.Empty(t, h.events["r"])
		})
	}
	t.Run("no end at all", func(t *testing.T) {
		h, d := newTwoServerHarness(t, order)
		h.prove(d.server, d.id, wire.Proof_PROOF_COMPLETED)
		require.Contains(t, h.failures, "r")
		assert.Equal(t, result.AnswerIncomplete, h.failures["r"].Code)
	})
}

// Guards against an answer that begins with the damaged events of an earlier attempt: a whole answer has the wrong
// digest, the request may be repeated, and its caller has received nothing. The buffered events must be discarded.
func TestDamagedAnswerOfRepeatableRequestIsRetried(t *testing.T) {
	h, d := newTwoServerHarness(t, summary)
	h.frame(d.server, d.id, 0, "a", "x")
	h.complete(d.server, d.id, 0, "a", "b")
	next := h.lastDispatch("r", 2)
	h.frame(next.server, next.id, 0, "c", "d")
	h.complete(next.server, next.id, 0, "c", "d")
	assert.Contains(t, h.answers, "r")
	assert.Equal(t, []string{"c", "d"}, h.events["r"])
}

// Guards against ending a damaged stream as a whole answer: its events don't match the digest and the caller has
// already received them, so the request must fail.
func TestDamagedStreamFails(t *testing.T) {
	h, d := newStreamHarness(t, summary)
	h.frame(d.server, d.id, 0, "a", "x")
	h.complete(d.server, d.id, 0, "a", "b")
	require.Contains(t, h.failures, "r")
	assert.Equal(t, result.AnswerDigestMismatch, h.failures["r"].Code)
}

// Guards against a stream that stalls until its deadline: a frame in the middle is lost and later ones arrive. The
// attempt must be given up after gapTimeout.
func TestLostFrameIsRetried(t *testing.T) {
	h, d := newStreamHarness(t, summary)
	h.frame(d.server, d.id, 0, "a")
	h.frame(d.server, d.id, 2, "c")
	h.advance(gapTimeout)
	require.Len(t, h.cancels("r"), 1)
	h.prove(d.server, d.id, wire.Proof_PROOF_CANCELLED)
	next := h.lastDispatch("r", 2)
	h.frame(next.server, next.id, 1, "b", "c")
	h.complete(next.server, next.id, 1, "b", "c")
	assert.Contains(t, h.answers, "r")
	assert.Equal(t, []string{"a", "b", "c"}, h.events["r"])
}

// Guards against a stream that repeats its beginning, or that is lost with an engine: two events are delivered,
// then the agent restarts or the attempt is preempted. The next attempt must start after the last event.
func TestStreamResumesAfterLastEvent(t *testing.T) {
	rows := []struct {
		name   string
		do     func(h *harness, d sentMessage)
		resume string
	}{
		{"agent restarted", func(h *harness, d sentMessage) { h.restart(d.server) }, ""},
		{"engine failed", func(h *harness, d sentMessage) { h.prove(d.server, d.id, wire.Proof_PROOF_FAILED) }, ""},
		{"preempted, cache kept", func(h *harness, d sentMessage) {
			h.over(d.server, &wire.Over{Attempt: d.id, Proof: wire.Proof_PROOF_CANCELLED, PreemptedByTier: 1, Resumable: true})
		}, "r.1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			h, d := newStreamHarness(t, summary)
			h.frame(d.server, d.id, 0, "a", "b")
			row.do(h, d)
			next := h.lastDispatch("r", 2)
			m := h.sent[len(h.sent)-1].Message.GetDispatch()
			assert.Equal(t, uint32(2), m.GetResumeFrom())
			if next.server == d.server {
				assert.Equal(t, row.resume, m.GetResumeAttempt())
			}
			h.frame(d.server, d.id, 2, "late")
			h.frame(next.server, next.id, 2, "c")
			h.complete(next.server, next.id, 2, "c")
			assert.Contains(t, h.answers, "r")
			assert.Equal(t, []string{"a", "b", "c"}, h.events["r"])
		})
	}
}

// Guards against a token missing from the middle of an answer: the first event of a chat names the role and has no
// token, one token is delivered, a frame is duplicated, and the agent restarts. The next engine must skip the
// tokens delivered, not as many tokens as there were events.
func TestStreamResumesAtTheRightToken(t *testing.T) {
	h, d := newStreamHarness(t, summary)
	f := frameOf(d.id, 0, "role", "a")
	f.Tokens = []uint32{0, 1}
	h.receive(d.server, &wire.AgentMessage{Kind: &wire.AgentMessage_Frame{Frame: f}})
	again := frameOf(d.id, 1, "a", "b")
	again.Tokens = []uint32{1, 1}
	h.receive(d.server, &wire.AgentMessage{Kind: &wire.AgentMessage_Frame{Frame: again}})
	h.restart(d.server)
	h.lastDispatch("r", 2)
	m := h.sent[len(h.sent)-1].Message.GetDispatch()
	assert.Equal(t, uint32(3), m.GetResumeFrom())
	assert.Equal(t, uint32(2), m.GetResumeTokens())
}

// Guards against joining the first half of one run with the second half of another: two events are delivered, the
// agent restarts, and no server can resume. A server that computes the answer anew must not get the stream.
func TestStreamIsNotJoinedFromTwoRuns(t *testing.T) {
	h, d := newStreamHarness(t, summary)
	h.frame(d.server, d.id, 0, "a", "b")
	h.reportRoomWithoutResume(d.other(), 4)
	h.linkUp(d.server, 2)
	h.reportRoomWithoutResume(d.server, 0)
	assert.Len(t, h.dispatches("r"), 1)
	assert.Contains(t, h.failures, "r")
}

// reportRoomWithoutResume delivers a Room report of a server that can't resume.
func (h *harness) reportRoomWithoutResume(server string, free uint32) {
	h.t.Helper()
	room := readyRoom(server, kindModel, testModel, free)
	room.Resume = false
	h.receive(server, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
}

// Guards against the same when another server could resume but has no room: the request must wait for that server.
func TestStreamWaitsForServerThatCanResume(t *testing.T) {
	h, d := newStreamHarness(t, summary)
	h.frame(d.server, d.id, 0, "a", "b")
	h.addServer("s3", kindModel, testModel, 0)
	h.reportRoomWithoutResume(d.other(), 4)
	h.linkUp(d.server, 2)
	h.reportRoomWithoutResume(d.server, 0)
	assert.Len(t, h.dispatches("r"), 1)
	require.Len(t, h.reserves("r"), 1)
	h.offer("s3", h.reserves("r")[0].id)
	assert.Equal(t, "s3", h.lastDispatch("r", 2).server)
}

// Guards against unbounded buffers: an answer larger than MaxAnswerBytes must be cancelled, fail, and not be
// retried.
func TestAnswerOverSizeLimitFails(t *testing.T) {
	h := newHarness(t, Options{MaxAnswerBytes: 3})
	h.addServer("s1", kindModel, testModel, 4)
	h.arrive("r", summary)
	d := h.lastDispatch("r", 1)
	h.frame(d.server, d.id, 0, "ab", "cd")
	require.Len(t, h.cancels("r"), 1)
	h.prove(d.server, d.id, wire.Proof_PROOF_CANCELLED)
	require.Contains(t, h.failures, "r")
	assert.Equal(t, result.AnswerTooLarge, h.failures["r"].Code)
	assert.Len(t, h.dispatches("r"), 1)
}

// Guards against unbounded memory: the first frame is lost and the engine keeps sending. The number of held frames
// must stay bounded.
func TestHeldFramesAreBounded(t *testing.T) {
	h, d := newStreamHarness(t, appeal)
	for i := range uint64(2 * maxHeldFrames) {
		h.frame(d.server, d.id, i+1, "x")
	}
	assert.LessOrEqual(t, len(h.s.requests["r"].attempt.heldFrames), maxHeldFrames)
	assert.Len(t, h.cancels("r"), 1)
}

// Guards against discarding a whole answer and running the request again: a Cancel was sent, and then the rest of
// the answer arrives.
func TestAnswerThatArrivesAfterCancelIsAccepted(t *testing.T) {
	h, d := newTwoServerHarness(t, summary)
	h.frame(d.server, d.id, 0, "a")
	h.prove(d.server, d.id, wire.Proof_PROOF_UNPROVEN)
	h.frame(d.server, d.id, 1, "b")
	h.complete(d.server, d.id, 0, "a", "b")
	assert.Contains(t, h.answers, "r")
	h.advance(time.Second)
	assert.Len(t, h.dispatches("r"), 1)
}
