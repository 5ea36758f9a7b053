package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

func TestOpeningOfAnAnswerIsNoToken(t *testing.T) {
	// Symptom: servers that aren't slow are suspect, and the first tier is late behind long prompts.
	// Sequence: a chat's first event names the role and comes at once; the prompt is computed only then.
	// Cause: an event with no token counted as the first one, so that the prefill rate was learnt as millions of tokens
	// a second.
	b := openBench(t)
	b.start(entryA, id("chat", 1), workOf(func(w *wire.Work) { w.PromptTokens = 4096 }))
	b.now = b.now.Add(500 * time.Microsecond)
	b.step(EngineProgress{Attempt: id("chat", 1), Events: [][]byte{[]byte("role")}, Tokens: []uint32{0}})
	require.Zero(t, b.gate.pace.prefillRate)
	require.EqualValues(t, 4096, b.gate.use.prefill, "it is not computed yet")
	b.pass(512 * time.Millisecond)
	b.step(EngineProgress{Attempt: id("chat", 1), Events: [][]byte{[]byte("x")}, Tokens: []uint32{1}})
	require.InDelta(t, 8000, b.gate.pace.prefillRate, 400)
	require.Zero(t, b.gate.use.prefill)
}

func TestOneCachedPromptDoesNotMakeThePrefillRate(t *testing.T) {
	// Symptom: long prompts are let in without bound for a while.
	// Sequence: a prompt that nobody knew to be cached has its first token after a millisecond.
	// Cause: rates were averaged, and one of millions outweighs all others.
	b := openBench(t)
	b.teach(20*time.Millisecond, 20)
	before := b.gate.pace.prefillRate
	b.start(entryA, id("cached", 1), workOf(func(w *wire.Work) { w.PromptTokens = 4096 }))
	b.now = b.now.Add(time.Millisecond)
	b.progress(id("cached", 1), "x")
	require.InEpsilon(t, before, b.gate.pace.prefillRate, 0.3)
}
