package gate

import (
	"math"

	"github.com/carawaypitch/carawaypitch/wire"
)

// The expected remainder of a run follows from its expected and its upper length: their logarithm is taken as normally
// distributed, and the run is known to be longer than what it has generated. A run that has passed its expected length
// isn't about to end.

const (
	// upperDeviations is the number of standard deviations from the median to the value that 90 of 100 answers don't exceed.
	upperDeviations = 1.2816
	// maxLengthQuantile bounds the quantile that is asked of the distribution of lengths.
	maxLengthQuantile = 0.999
	// medianRemainder and upperRemainder are shares of the answers that, having got as far as a run, don't exceed its
	// expected and its upper remainder.
	medianRemainder = 0.5
	upperRemainder  = 0.9
)

// remainingTokens returns how many output tokens a run will still generate: a value that the given share of such runs doesn't
// exceed, and at least the part overrunDivisor of what it has generated. Without an upper length it is the difference to the
// expected length.
func remainingTokens(w *wire.Work, generated uint32, share float64) float64 {
	median, upper, done := float64(w.GetOutputTokens()), float64(w.GetOutputTokensUpper()), float64(generated)
	if median < 1 || upper <= median {
		return max(median-done, 0)
	}
	deviation := math.Log(upper/median) / upperDeviations
	passed := 0.0
	if done > 0 {
		passed = normalShare(math.Log(done/median) / deviation)
	}
	at := min(passed+share*(1-passed), maxLengthQuantile)
	return max(median*math.Exp(deviation*normalQuantile(at))-done, done/overrunDivisor)
}

// normalShare returns the share of a standard normal distribution below x.
func normalShare(x float64) float64 { return 0.5 * math.Erfc(-x/math.Sqrt2) }

// normalQuantile is the inverse of normalShare.
func normalQuantile(share float64) float64 { return math.Sqrt2 * math.Erfinv(2*share-1) }
