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
	b := newReadyHarness(t)
	b.start(entryA, id("chat", 1), workOf(func(w *wire.Work) { w.PromptTokens = 4096 }))
	b.now = b.now.Add(500 * time.Microsecond)
	b.step(EngineProgress{Attempt: id("chat", 1), Events: [][]byte{[]byte("role")}, Tokens: []uint32{0}})
	require.Zero(t, b.gate.pace.prefill.rate)
	require.EqualValues(t, 4096, b.gate.usage.prefillTokens, "it is not computed yet")
	b.advance(512 * time.Millisecond)
	b.step(EngineProgress{Attempt: id("chat", 1), Events: [][]byte{[]byte("x")}, Tokens: []uint32{1}})
	require.InDelta(t, 8000, b.gate.pace.prefill.rate, 400)
	require.Zero(t, b.gate.usage.prefillTokens)
}

func TestOneCachedPromptDoesNotSetThePrefillRate(t *testing.T) {
	// Symptom: long prompts are let in without bound for a while.
	// Sequence: a prompt that nobody knew to be cached has its first token after a millisecond.
	// Cause: rates were averaged, and one of millions outweighs all others.
	b := newReadyHarness(t)
	b.trainPace(20*time.Millisecond, 20)
	before := b.gate.pace.prefill.rate
	b.start(entryA, id("cached", 1), workOf(func(w *wire.Work) { w.PromptTokens = 4096 }))
	b.now = b.now.Add(time.Millisecond)
	b.progress(id("cached", 1), "x")
	require.InEpsilon(t, before, b.gate.pace.prefill.rate, 0.3)
}

// Symptom: prompts of 20,000 tokens and more are refused while all servers are free.
// Sequence: an engine takes 65 ms for the way to its next step and 92 tokens a millisecond from then on, and has computed
// prompts of some hundred to ten thousand tokens, mostly short ones.
// Cause: the time was learnt as so many tokens a second, which short prompts show to be seven times too few.
func TestFixedPartOfThePrefillTimeIsLearnt(t *testing.T) {
	const fixed, perSecond = 65 * time.Millisecond, 92_000.0
	took := func(tokens int64) float64 { return fixed.Seconds() + float64(tokens)/perSecond }
	var p prefillModel
	for range 5 {
		for _, tokens := range []int64{300, 900, 1400, 1900, 2500, 3200, 4700, 9000} {
			p.learn(tokens, took(tokens))
		}
	}
	require.InEpsilon(t, fixed.Seconds(), p.fixed, 0.05)
	require.InEpsilon(t, perSecond, p.rate, 0.05)
	require.InEpsilon(t, took(50_000), p.fixed+50_000/p.rate, 0.05, "a long prompt is predicted from short ones")
}

// Symptom: none; an engine that has become slow is still taken for fast.
// Cause: the bound on surprises must not keep the pace from following.
func TestPrefillModelFollowsAnEngineThatChanged(t *testing.T) {
	var p prefillModel
	lengths := []int64{500, 2000, 8000}
	for range 20 {
		for _, tokens := range lengths {
			p.learn(tokens, 0.05+float64(tokens)/80_000)
		}
	}
	for range 40 {
		for _, tokens := range lengths {
			p.learn(tokens, 0.05+float64(tokens)/8000)
		}
	}
	require.InEpsilon(t, 8000, p.rate, 0.1)
}

// Prompts of one length can't tell the two parts apart.
func TestPromptsOfOneLengthGiveNoFixedPart(t *testing.T) {
	var p prefillModel
	for range 10 {
		p.learn(1000, 0.1)
	}
	require.Zero(t, p.fixed)
	require.InEpsilon(t, 10_000, p.rate, 0.01)
}
