package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

func TestLongPromptDoesNotMakeAHigherTierLate(t *testing.T) {
	// Guards against answers that end after their deadline although they got a slot in time: a long prompt of a
	// lower tier that starts beside such an answer slows it down.
	longPrompt := workOf(func(w *wire.Work) { w.Tier, w.PromptTokens = 3, 8000 }) // takes a second
	answer := func(remaining uint32) *wire.Work {
		return workOf(func(w *wire.Work) { w.PromptTokens, w.OutputTokens, w.RemainingMs = 100, 50, remaining })
	}
	for name, c := range map[string]struct {
		remaining uint32
		offered   int
	}{
		"little time to spare": {1700, 0}, // the answer alone takes a second
		"ample time":           {8000, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(8))
			b.trainPace(20*time.Millisecond, 100)
			b.start(entryA, id("draft", 1), answer(c.remaining))
			b.progress(id("draft", 1), "x")
			require.Len(t, offeredIDs(b.reserve(entryA, id("packet", 1), longPrompt)), c.offered)
			if c.offered == 0 {
				require.Equal(t, string(blockedPace), b.gate.Status().Blocked)
				require.Len(t, offeredIDs(b.finish(id("draft", 1))), 1)
			}
		})
	}
}

func TestPaceOfLowerPromptsDoesNotRefuseAHigherTier(t *testing.T) {
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(8))
	b.trainPace(20*time.Millisecond, 100)
	b.start(entryA, id("packet", 1), workOf(func(w *wire.Work) { w.Tier, w.PromptTokens = 3, 8000 }))
	b.gate.pace.gap, b.gate.pace.gapSeenAt = 0.2, b.now // the gap that the prompt causes
	answer := workOf(func(w *wire.Work) { w.OutputTokens, w.RemainingMs = 50, 5000 })
	require.Empty(t, oversTo(b.reserve(entryB, id("draft", 1), answer), entryB))
}

func TestPresentPaceCountsForRunningAnswers(t *testing.T) {
	// Guards against late answers when prompts are computed one after the other beside them. Each prompt leaves
	// just enough time by itself, so the remaining time has to be computed from the present pace.
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(8))
	b.trainPace(20*time.Millisecond, 100)
	b.start(entryA, id("draft", 1), workOf(func(w *wire.Work) { w.OutputTokens, w.RemainingMs = 50, 4000 }))
	b.progress(id("draft", 1), "x")
	b.gate.pace.gap, b.gate.pace.gapSeenAt = 0.07, b.now
	longPrompt := workOf(func(w *wire.Work) { w.Tier, w.PromptTokens = 3, 8000 })
	require.Empty(t, offeredIDs(b.reserve(entryA, id("packet", 1), longPrompt)))
	require.Equal(t, string(blockedPace), b.gate.Status().Blocked)
}
