package sched

import "math"

// An expected length of an answer is its median and a value that most answers don't exceed. Both follow from the
// caller's hint, corrected by what this entry has learned about the hints of the class, or without a hint from the
// lengths of the class. The bound that the caller states limits both.

const (
	// upperQuantile is the share of the answers that don't exceed the upper length.
	upperQuantile = 0.9
	// defaultUpperRatio is the upper length over the median before enough answers are known: callers' hints are
	// right at the median, and one answer in ten is about twice as long.
	defaultUpperRatio = 2
	// Answers without a hint vary more.
	defaultUnhintedUpperRatio = 4

	lengthBins     = 128
	lengthBinWidth = 0.125 // of the natural logarithm
	// lowestRatio and lowestLength are the logarithms at which the bins begin: a ratio of one to 1,100, and one token.
	lowestRatio  = -7
	lowestLength = 0
)

// outputLength is the expected length of an answer in tokens.
type outputLength struct {
	median uint32
	upper  uint32 // that 90 of 100 such answers don't exceed
}

// logHistogram counts samples by their logarithm. Older samples lose weight, so that it follows a change within about
// windowSamples.
type logHistogram struct {
	low   float64 // logarithm at which the first bin begins
	bins  [lengthBins]float32
	total float32
}

func (h *logHistogram) add(value float64) {
	if value <= 0 {
		return
	}
	bin := int((math.Log(value) - h.low) / lengthBinWidth)
	h.bins[min(max(bin, 0), lengthBins-1)]++
	h.total++
	if h.total < windowSamples {
		return
	}
	for i := range h.bins {
		h.bins[i] /= 2
	}
	h.total /= 2
}

// known reports whether there are enough samples for quantiles.
func (h *logHistogram) known() bool { return h.total >= minSamples }

// quantile returns the value that the given share of the samples doesn't exceed, interpolated within its bin.
func (h *logHistogram) quantile(share float64) float64 {
	left := float32(share) * h.total
	for i, count := range h.bins {
		if count > 0 && left <= count {
			return math.Exp(h.low + (float64(i)+float64(left/count))*lengthBinWidth)
		}
		left -= count
	}
	return math.Exp(h.low + lengthBins*lengthBinWidth)
}

// lengthModel holds what is learned about the lengths of the answers of one class.
type lengthModel struct {
	ratios  logHistogram // actual length over the hint
	shares  logHistogram // actual length over the caller's bound
	lengths logHistogram // of all answers
}

func newLengthModel() *lengthModel {
	return &lengthModel{
		ratios: logHistogram{low: lowestRatio}, shares: logHistogram{low: lowestRatio}, lengths: logHistogram{low: lowestLength},
	}
}

func (m *lengthModel) add(hint, bound, tokens uint32) {
	m.lengths.add(float64(tokens))
	if bound > 0 {
		m.shares.add(float64(tokens) / float64(bound))
	}
	if hint > 0 {
		m.ratios.add(float64(tokens) / float64(hint))
	}
}

// expect returns the length to expect with the given hint, 0 for none, and the bound that the caller states, 0 for none.
func (m *lengthModel) expect(hint, bound uint32) outputLength {
	median, upper := float64(defaultOutputTokens), float64(defaultOutputTokens*defaultUnhintedUpperRatio)
	switch {
	case hint > 0 && m.ratios.known():
		median, upper = float64(hint)*m.ratios.quantile(0.5), float64(hint)*m.ratios.quantile(upperQuantile)
	case hint > 0:
		median, upper = float64(hint), float64(hint)*defaultUpperRatio
	case bound > 0 && m.shares.known():
		median, upper = float64(bound)*m.shares.quantile(0.5), float64(bound)*m.shares.quantile(upperQuantile)
	case m.lengths.known():
		median, upper = m.lengths.quantile(0.5), m.lengths.quantile(upperQuantile)
	}
	most := float64(math.MaxUint32)
	if bound > 0 {
		most = float64(bound)
	}
	return outputLength{median: uint32(min(max(median, 1), most)), upper: uint32(min(max(upper, 1), most))}
}

// setLength sets the request's expected output tokens.
func (s *Scheduler) setLength(r *request) {
	r.estimatedOutput = s.estimateOutput(r)
	if !s.placesByLength(r) {
		return
	}
	length := r.class.lengthModel().expect(r.OutputTokens, r.MaxTokens)
	r.estimatedOutput, r.upperOutput = length.median, length.upper
}

func (c *class) lengthModel() *lengthModel {
	if c.lengths == nil {
		c.lengths = newLengthModel()
	}
	return c.lengths
}

// learnLength adds the length of a complete answer.
func (s *Scheduler) learnLength(r *request, tokens uint32) {
	if s.placesByLength(r) && tokens > 0 {
		r.class.lengthModel().add(r.OutputTokens, r.MaxTokens, tokens)
	}
}

// learnLeastLength adds the part of an answer that was received until it was cut at its deadline, if it already
// exceeds the expected length. Without these samples the long answers that servers don't finish in time would be missing,
// and the learned upper length would be too low.
func (s *Scheduler) learnLeastLength(r *request) {
	if r.tokensReceived > r.estimatedOutput {
		s.learnLength(r, r.tokensReceived)
	}
}
