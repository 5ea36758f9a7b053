package sched

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Defaults for a server or class without samples.
const (
	defaultPrefillRate  = 2000 // tokens per second
	defaultDecodeRate   = 40   // tokens per second
	defaultOutputTokens = 128  // tokens
	defaultServiceTime  = 20 * time.Millisecond
)

// Parameters of the estimates.
const (
	estimateQuantile = 50 // percent: half of the answers are shorter
	minSamples       = 20 // fewer samples give no estimate
	windowSamples    = 512
	maxSample        = 1 << 22 // tokens, or microseconds of a service call
	correctionWeight = 0.1     // of a new sample
	minCorrection    = 0.2
	maxCorrection    = 10
	// estimateMaxAge is the age from which on times of earlier calls say nothing of the next one.
	estimateMaxAge   = 2 * time.Second
	crossZonePenalty = 2 * time.Millisecond // estimated cost of leaving the entry's availability zone
)

// runningMedian tracks the median of recent samples: one histogram is filled while the previous, full one provides
// the median.
type runningMedian struct {
	filling            *hdrhistogram.Histogram
	full               *hdrhistogram.Histogram
	median             int64
	samplesSinceMedian int // samples since the median was updated
}

const histogramDigits = 1

func newRunningMedian() *runningMedian {
	return &runningMedian{filling: hdrhistogram.New(1, maxSample, histogramDigits)}
}

func (m *runningMedian) add(value int64) {
	_ = m.filling.RecordValue(min(max(value, 1), maxSample))
	m.samplesSinceMedian++
	if m.filling.TotalCount() >= windowSamples {
		m.full, m.filling = m.filling, hdrhistogram.New(1, maxSample, histogramDigits)
	}
	if m.samplesSinceMedian >= minSamples {
		m.samplesSinceMedian = 0
		m.median = m.histogram().ValueAtQuantile(estimateQuantile)
	}
}

func (m *runningMedian) histogram() *hdrhistogram.Histogram {
	if m.full != nil {
		return m.full
	}
	return m.filling
}

// value returns the median, or def before there are enough samples.
func (m *runningMedian) value(def int64) int64 {
	if m.median == 0 {
		return def
	}
	return m.median
}

// known reports whether there are enough samples to refuse work based on the median.
func (m *runningMedian) known() bool {
	return m.median != 0
}

// recentMedian tracks the median of samples that are at most about twice estimateMaxAge old.
type recentMedian struct {
	*runningMedian
	began, last time.Time // first sample of the histogram being filled, and last sample
}

func newRecentMedian() *recentMedian { return &recentMedian{runningMedian: newRunningMedian()} }

func (m *recentMedian) add(now time.Time, value int64) {
	switch {
	case now.Sub(m.last) > estimateMaxAge:
		m.runningMedian, m.began = newRunningMedian(), now
	case now.Sub(m.began) > estimateMaxAge && m.filling.TotalCount() >= minSamples:
		m.full, m.filling, m.began = m.filling, hdrhistogram.New(1, maxSample, histogramDigits), now
	}
	m.last = now
	m.runningMedian.add(value)
}

// isRecent reports whether there are enough samples to refuse work based on the median, and the last one isn't old.
func (m *recentMedian) isRecent(now time.Time) bool {
	return m.known() && now.Sub(m.last) <= estimateMaxAge
}

// recentMean is a moving average, in seconds, which follows a change within some ten samples.
type recentMean struct{ seconds float64 }

func (m *recentMean) add(sample time.Duration) {
	if m.seconds == 0 {
		m.seconds = sample.Seconds()
		return
	}
	m.seconds += correctionWeight * (sample.Seconds() - m.seconds)
}

func (m *recentMean) value() time.Duration { return time.Duration(m.seconds * float64(time.Second)) }

// runCorrection is a moving average of the ratio of actual to predicted run times at a server, initially 1.
type runCorrection struct{ factor float64 }

func (c *runCorrection) add(actual, predicted time.Duration) {
	if predicted <= 0 || actual <= 0 {
		return
	}
	ratio := min(max(actual.Seconds()/predicted.Seconds(), minCorrection), maxCorrection)
	c.factor = c.value()*(1-correctionWeight) + ratio*correctionWeight
}

func (c *runCorrection) value() float64 {
	if c.factor == 0 {
		return 1
	}
	return c.factor
}

// estimateOutput estimates the number of output tokens. The caller's own expectation replaces the estimate, and its
// bound limits it.
func (s *Scheduler) estimateOutput(r *request) uint32 {
	if r.pool.key.kind == kindService {
		return 0
	}
	tokens := uint32(r.class.outputTokens.value(defaultOutputTokens))
	if r.OutputTokens > 0 {
		tokens = r.OutputTokens
	}
	if r.MaxTokens > 0 {
		tokens = min(tokens, r.MaxTokens)
	}
	return tokens
}

// hasEstimate reports whether estimates for the request's class are based on samples.
func (r *request) hasEstimate() bool {
	if r.pool.key.kind == kindService {
		return r.class.serviceTimes.known()
	}
	return r.class.outputTokens.known()
}

// mayRefuseByEstimate reports whether estimates for the request's class are recent enough to refuse it. A refused call gives no
// sample: by the times of a slow period all calls would be refused without end. A call that is the only one of the pool at this
// entry is not refused, so that its time renews the estimate.
func (s *Scheduler) mayRefuseByEstimate(r *request) bool {
	if r.pool.key.kind == kindService {
		return r.class.serviceTimes.isRecent(s.now) && s.hasOthers(r)
	}
	return r.hasEstimate()
}

// hasOthers reports whether other requests of the pool wait or run at this entry.
func (s *Scheduler) hasOthers(r *request) bool {
	others := r.pool.load.running
	for tier := range r.pool.tiers {
		others += r.pool.tiers[tier].count
	}
	if r.queue != nil {
		others--
	}
	return others > 0
}

// attemptCost returns the tokens charged to the organisation for an attempt. A service call costs 1.
func (s *Scheduler) attemptCost(r *request, to *server) int64 {
	prompt := int64(r.PromptTokens) - int64(s.cachedTokens(r, to))
	return max(prompt, 0) + int64(r.estimatedOutput) + 1
}

// estimateRunTime estimates how long the attempt takes at the server from its start.
func (s *Scheduler) estimateRunTime(r *request, v *server) time.Duration {
	if s.placesByLength(r) {
		return s.expectedRunTime(r, s.paceOf(r.pool, v), s.cachedTokens(r, v))
	}
	return time.Duration(float64(s.uncorrectedRunTime(r, v)) * v.correction.value())
}

// uncorrectedRunTime is estimateRunTime at the rates that the gate reports, without the correction learnt by this
// entry.
func (s *Scheduler) uncorrectedRunTime(r *request, v *server) time.Duration {
	return s.runTimeAt(r, v, v.room.GetDecodeTokensPerS())
}

// runTimeAt is uncorrectedRunTime at the given decode rate, in tokens per second.
func (s *Scheduler) runTimeAt(r *request, v *server, decode float32) time.Duration {
	if r.pool.key.kind == kindService {
		return time.Duration(r.class.serviceTimes.value(defaultServiceTime.Microseconds())) * time.Microsecond
	}
	remainingTokens := max(float64(r.estimatedOutput)-float64(r.eventsReceived), 1)
	return s.timeToFirstToken(r, v) + time.Duration(remainingTokens/rateOr(decode, defaultDecodeRate)*float64(time.Second))
}

// timeToFirstToken estimates how long the server takes for the prompt until the first token.
func (s *Scheduler) timeToFirstToken(r *request, v *server) time.Duration {
	prompt := max(float64(r.PromptTokens)-float64(s.cachedTokens(r, v)), 0)
	ms := float64(v.room.GetPrefillFixedMs())
	seconds := ms/1000 + prompt/rateOr(v.room.GetPrefillTokensPerS(), defaultPrefillRate)
	return time.Duration(seconds * float64(time.Second))
}

func rateOr(reported float32, def float64) float64 {
	if reported <= 0 {
		return def
	}
	return float64(reported)
}

// estimateFinish estimates the time from now until the answer is complete.
func (s *Scheduler) estimateFinish(r *request, v *server) time.Duration {
	d := s.estimateRunTime(r, v)
	if s.usableRoom(v) <= 0 {
		d += time.Duration(v.room.GetBacklogMs()) * time.Millisecond
	}
	if v.agent.zone != s.options.AvailabilityZone {
		d += crossZonePenalty
	}
	return d
}

// updateEstimates adds the samples of a complete answer.
func (s *Scheduler) updateEstimates(r *request, end *wire.AnswerEnd) {
	a := r.attempt
	took := s.now.Sub(a.sentAt)
	if r.pool.key.kind == kindService {
		r.class.serviceTimes.add(s.now, took.Microseconds())
		r.class.meanServiceTime.add(took)
		if r.Stream && a.firstOffset == 0 && r.firstEventAt.After(a.sentAt) {
			r.class.firstEventTimes.add(s.now, r.firstEventAt.Sub(a.sentAt).Microseconds())
		}
	} else {
		r.class.outputTokens.add(int64(end.GetOutputTokens()))
		r.class.runTimes.add(took.Milliseconds())
	}
	s.learnLength(r, end.GetOutputTokens())
	if a.firstOffset == 0 {
		a.server.correction.add(took, s.predictedRun(r, end.GetOutputTokens()))
	}
}

// reconcileCharge replaces the estimated charge of the current attempt by its actual cost.
func (s *Scheduler) reconcileCharge(r *request, proof wire.Proof) {
	a := r.attempt
	s.clocks[r.tier].Reconcile(r.Organisation, a.cost, s.actualCost(r, proof))
}

func (s *Scheduler) actualCost(r *request, proof wire.Proof) int64 {
	a := r.attempt
	switch {
	case proof == wire.Proof_PROOF_NEVER_STARTED:
		return 0
	case a.answerEnd.GetPromptTokens() > 0:
		prompt := int64(a.answerEnd.GetPromptTokens()) - int64(a.answerEnd.GetCachedTokens())
		return prompt + int64(a.answerEnd.GetOutputTokens()) + 1
	default:
		return max(a.cost-int64(r.estimatedOutput), 0) + int64(r.eventsReceived-min(a.firstOffset, r.eventsReceived))
	}
}

// rate is an event rate as a moving average that decays over rateWindow.
type rate struct {
	perSecond float64
	at        time.Time
}

const rateWindow = 5 * time.Second

func (r *rate) add(now time.Time) {
	r.perSecond = r.value(now) + 1/rateWindow.Seconds()
	r.at = now
}

// value returns the rate per second as of now.
func (r *rate) value(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	windows := now.Sub(r.at).Seconds() / rateWindow.Seconds()
	return r.perSecond * decay(windows)
}
