package gate

const (
	// prefillDecay is the weight that a prompt's time keeps with each later prompt: about the last twenty determine
	// the model.
	prefillDecay = 0.95
	// minPrefillVariance is the least variance of prompt lengths, relative to the square of their mean, with which
	// the fixed part of the time can be told from the part that grows with the prompt. Below it all of the time
	// counts as growing.
	minPrefillVariance = 0.05
	// prefillOutlierFactor bounds how many times shorter or longer than expected a prompt's time counts. A prompt
	// that was unexpectedly cached takes a hundredth of the expected time, which would suggest a rate of millions of
	// tokens a second. An engine that has really changed is still followed within a few prompts.
	prefillOutlierFactor = 1.5
)

// prefillModel learns the time of a prompt until its first token: a fixed part, for the transfer to the engine and
// the wait for its next step, and a part that grows with the prompt. It is a least-squares line through the last
// prompts.
//
// A plain ratio of tokens to time would make short prompts look like a slow engine because of the fixed part: with
// 65 ms and 92 tokens a millisecond, prompts of 1,000 tokens yield 13 tokens a millisecond. Prompts of 20,000
// tokens and more would then be refused on idle servers, since they would be predicted to take two seconds instead
// of a third of one, and a bound of 250 ms on prompts in flight would admit one short prompt at a time.
type prefillModel struct {
	weight                      float64
	tokens, time                float64 // weighted sums
	tokensSquared, tokensByTime float64 // weighted sums of squares and products
	fixed                       float64 // seconds
	rate                        float64 // prompt tokens a second beyond the fixed part, 0 if not learnt
}

// learn adds the time of one prompt, in seconds, with the number of prompt tokens in flight at its start, its own
// included.
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

// fit computes the line. If the prompts don't determine a fixed part, all of the time grows with the tokens.
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
