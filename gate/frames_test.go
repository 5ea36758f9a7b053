package gate

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/wire"
)

func framesOf(actions []Action, request string) []*wire.Frame {
	var out []*wire.Frame
	for _, s := range actionsOf[Send](actions) {
		if f := s.Message.GetFrame(); f != nil && f.Attempt.Request == request {
			out = append(out, f)
		}
	}
	return out
}

func TestFramesContinueOverAttempts(t *testing.T) {
	// Guards against a caller that receives events twice or misses some when an attempt is continued by another
	// one: offsets have to continue over attempts instead of starting at 0.
	b := newReadyHarness(t)
	b.dispatchOf(entryA, &wire.Dispatch{Attempt: id("r", 2), Work: work(), ResumeFrom: 7})
	b.progress(id("r", 2), "h", "i")
	b.progress(id("r", 2))
	b.progress(id("r", 2), "j")
	outcome := engine.Outcome{
		End: engine.EndCompleted, Status: 200, Tokens: 10, PromptTokens: 90, CachedPromptTokens: 80,
	}
	end := onlyOver(t, b.endRun(id("r", 2), outcome, nil), entryA, completedProof).Answer
	frames := framesOf(b.actions, "r")
	require.Len(t, frames, 2)
	require.EqualValues(t, 7, frames[0].Offset)
	require.EqualValues(t, 9, frames[1].Offset)
	want := &wire.AnswerEnd{
		Events: 10, Bytes: 3, Digest: xxhash.Sum64String("hij"), Status: 200, ContentType: "text/event-stream",
		PromptTokens: 90, CachedTokens: 80, OutputTokens: 10,
	}
	require.EqualExportedValues(t, want, end)
}

func TestFramesAfterACancel(t *testing.T) {
	b := newReadyHarness(t)
	b.start(entryA, id("r", 1), work())
	b.callerLeft(entryA, id("r", 1))
	require.Empty(t, framesOf(b.progress(id("r", 1), "x"), "r"), "events after a cancel are not sent")
	finished := onlyOver(t, b.finish(id("r", 1)), entryA, completedProof)
	require.EqualValues(t, 1, finished.Answer.Events, "the answer's end counts all events, so that a gap is detected")
}

func TestKeptEventsAreBounded(t *testing.T) {
	b := newReadyHarnessWith(t, Config{NoPredecessor: true, MaxResendBytes: 3}, sampleRecord(1))
	b.start(entryA, id("r", 1), work())
	b.progress(id("r", 1), "ab", "cd")
	require.Empty(t, framesOf(b.step(EntryConnected{Entry: entryA}), "r"))
	require.Nil(t, b.gate.runs[0].frames.kept)
}
