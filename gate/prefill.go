package gate

const (
	// prefillDecay is the weight that a prompt's time keeps with each later one: about the last twenty tell the pace.
	prefillDecay = 0.95
	// minPrefillVariance is the least variance of prompt lengths, in squares of their mean, that tells the fixed part of
	// the time from the part that grows with the prompt. With less of it all time counts as growing.
	minPrefillVariance = 0.05
	// prefillOutlierFactor is how many times shorter or longer than expected a prompt's time counts at most. A prompt that was in
	// the cache though nobody knew takes a hundredth, and would show an engine that computes millions of tokens a second; an
	// engine that has really changed is followed within some prompts all the same.
	prefillOutlierFactor = 1.5
)

// prefillModel learns how long a prompt takes until its first token: a fixed part, for the way to the engine and its next
// step, and a part that grows with the prompt. It is a least-squares line through the last prompts.
//
// As tokens through time alone, the fixed part of short prompts looks like a slow engine: at 65 ms and 92 tokens a
// millisecond, prompts of 1,000 tokens showed 13 tokens a millisecond. Prompts of 20,000 and more, the most valuable ones,
// were then refused on idle servers since they seemed to take two seconds and took a third of one; and a bound on prompts in
// flight of 250 ms let one short prompt in at a time. One would notice by refusals of long prompts with a free server.
type prefillModel struct {
	weight                      float64
	tokens, time                float64 // weighted sums
	tokensSquared, tokensByTime float64 // of squares and products
	fixed                       float64 // seconds
	rate                        float64 // prompt tokens a second beyond that, 0 if not learnt
}

// learn takes the time of one prompt, in seconds, with the tokens in flight before it.
func (p *prefillModel) learn(tokens int64, took float64) {
	x := float64(tokens)
	if p.rate > 0 {
		expected := p.fixed + x/p.rate
		took = min(max(took, expected/prefillOutlierFactor), prefillOutlierFactor*expected)
	}
	p.weight = prefillDecay*p.weight + 1
	p.tokens = prefillDecay*p.tokens + x
	p.time = prefillDecay*p.time + took
	p.tokensSquared = prefillDecay*p.tokensSquared + x*x
	p.tokensByTime = prefillDecay*p.tokensByTime + x*took
	p.fit()
}

// fit draws the line. Where the prompts tell no fixed part, all of the time grows with the tokens.
func (p *prefillModel) fit() {
	meanTokens, meanTime := p.tokens/p.weight, p.time/p.weight
	p.fixed, p.rate = 0, meanTokens/meanTime
	variance := p.tokensSquared/p.weight - meanTokens*meanTokens
	if variance < minPrefillVariance*meanTokens*meanTokens {
		return
	}
	slope := (p.tokensByTime/p.weight - meanTokens*meanTime) / variance
	fixed := meanTime - slope*meanTokens
	if slope <= 0 || fixed < 0 {
		return
	}
	p.fixed, p.rate = fixed, 1/slope
}
