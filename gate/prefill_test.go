package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

func TestOpeningOfAnAnswerIsNoToken(t *testing.T) {
	// Guards against a learnt prefill rate of millions of tokens a second, by which healthy servers look slow and
	// the first tier is late behind long prompts. The first event of a chat only names the role and arrives before
	// the prompt is computed, so it must not count as the first token.
	b := newReadyHarness(t)
	b.start(entryA, id("chat", 1), workOf(func(w *wire.Work) { w.PromptTokens = 4096 }))
	b.now = b.now.Add(500 * time.Microsecond)
	b.step(EngineProgress{Attempt: id("chat", 1), Events: [][]byte{[]byte("role")}, Tokens: []uint32{0}})
	require.Zero(t, b.gate.pace.prefill.rate)
	require.EqualValues(t, 4096, b.gate.usage.prefillTokens, "the prompt is not computed yet")
	b.advance(512 * time.Millisecond)
	b.step(EngineProgress{Attempt: id("chat", 1), Events: [][]byte{[]byte("x")}, Tokens: []uint32{1}})
	require.InDelta(t, 8000, b.gate.pace.prefill.rate, 400)
	require.Zero(t, b.gate.usage.prefillTokens)
}

func TestOneCachedPromptDoesNotSetThePrefillRate(t *testing.T) {
	// Guards against long prompts that are admitted without bound: a prompt that was unexpectedly cached has its
	// first token after a millisecond, and in a plain average of rates it would outweigh all others.
	b := newReadyHarness(t)
	b.trainPace(20*time.Millisecond, 20)
	before := b.gate.pace.prefill.rate
	b.start(entryA, id("cached", 1), workOf(func(w *wire.Work) { w.PromptTokens = 4096 }))
	b.now = b.now.Add(time.Millisecond)
	b.progress(id("cached", 1), "x")
	require.InEpsilon(t, before, b.gate.pace.prefill.rate, 0.3)
}

// Guards against refusing prompts of 20,000 tokens and more on idle servers. An engine needs 65 ms until its next
// step and then computes 92 tokens a millisecond; learnt as a plain rate from mostly short prompts of some hundred
// to ten thousand tokens, its speed would be seven times too low.
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
	require.InEpsilon(t, took(50_000), p.fixed+50_000/p.rate, 0.05, "time of a long prompt, predicted from short ones")
}

// Guards against an engine that has become slow and still counts as fast: the bound on outliers must not prevent
// the model from following.
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

// Prompts of one length don't determine the two parts of the time.
func TestPromptsOfOneLengthGiveNoFixedPart(t *testing.T) {
	var p prefillModel
	for range 10 {
		p.learn(1000, 0.1)
	}
	require.Zero(t, p.fixed)
	require.InEpsilon(t, 10_000, p.rate, 0.01)
}
