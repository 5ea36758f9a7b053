package sched

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/carawaypitch/carawaypitch/wire"
)

// What is assumed of a server or class of which nothing is known yet.
const (
	defaultPrefillRate = 2000 // tokens a second
	defaultDecodeRate  = 40   // tokens a second
	defaultOutput      = 128  // tokens
	defaultService     = 20 * time.Millisecond
)

// Learning.
const (
	outputQuantile = 50 // percent: half of the answers are shorter
	learnSamples   = 20 // fewer teach nothing
	windowSamples  = 512
	maxLearnt      = 1 << 22 // tokens, or microseconds of a service call
	paceWeight     = 0.1     // of a new sample
	paceLow        = 0.2
	paceHigh       = 10
	crossZone      = 2 * time.Millisecond // preference for the own availability zone
)

// quantiles learns a distribution from the last samples: a histogram is filled while the one before it, which is
// full, gives the answers.
type quantiles struct {
	filling *hdrhistogram.Histogram
	full    *hdrhistogram.Histogram
	median  int64
	fresh   int // samples since the median was taken
}

const learntDigits = 1

func newQuantiles() *quantiles {
	return &quantiles{filling: hdrhistogram.New(1, maxLearnt, learntDigits)}
}

func (q *quantiles) add(value int64) {
	_ = q.filling.RecordValue(min(max(value, 1), maxLearnt))
	q.fresh++
	if q.filling.TotalCount() >= windowSamples {
		q.full, q.filling = q.filling, hdrhistogram.New(1, maxLearnt, learntDigits)
	}
	if q.fresh >= learnSamples {
		q.fresh = 0
		q.median = q.source().ValueAtQuantile(outputQuantile)
	}
}

func (q *quantiles) source() *hdrhistogram.Histogram {
	if q.full != nil {
		return q.full
	}
	return q.filling
}

// value returns the median, or def before enough was learnt.
func (q *quantiles) value(def int64) int64 {
	if q.median == 0 {
		return def
	}
	return q.median
}

// known tells whether enough was learnt to refuse work on its strength.
func (q *quantiles) known() bool {
	return q.median != 0
}

// pace is how much longer attempts take at a server than was predicted, 1 for as long.
type pace struct{ factor float64 }

func (p *pace) add(actual, predicted time.Duration) {
	if predicted <= 0 || actual <= 0 {
		return
	}
	ratio := min(max(actual.Seconds()/predicted.Seconds(), paceLow), paceHigh)
	p.factor = p.value()*(1-paceWeight) + ratio*paceWeight
}

func (p *pace) value() float64 {
	if p.factor == 0 {
		return 1
	}
	return p.factor
}

// estimateOutput is how many tokens the answer probably has. The caller's own expectation and bound count.
func (s *Scheduler) estimateOutput(r *request) uint32 {
	if r.pool.key.kind == kindService {
		return 0
	}
	tokens := uint32(r.class.outputs.value(defaultOutput))
	if r.OutputTokens > 0 {
		tokens = r.OutputTokens
	}
	if r.MaxTokens > 0 {
		tokens = min(tokens, r.MaxTokens)
	}
	return tokens
}

// certain tells whether an estimate for the request rests on something.
func (r *request) certain() bool {
	if r.pool.key.kind == kindService {
		return r.class.service.known()
	}
	return r.class.outputs.known()
}

// cost is what the organisation is charged for an attempt, in tokens. A service call counts as one.
func (s *Scheduler) cost(r *request, to *server) int64 {
	prompt := int64(r.PromptTokens) - int64(s.cachedTokens(r, to))
	return max(prompt, 0) + int64(r.outputs) + 1
}

// estimateRun is how long the attempt probably takes at the server from its start.
func (s *Scheduler) estimateRun(r *request, v *server) time.Duration {
	return time.Duration(float64(s.plainRun(r, v)) * v.pace.value())
}

// plainRun is the same by the rates that the gate reports, without this entry's own correction.
func (s *Scheduler) plainRun(r *request, v *server) time.Duration {
	return s.runAt(r, v, v.room.GetDecodeTokensPerS())
}

// runAt is the same at a pace of its own, in tokens a second.
func (s *Scheduler) runAt(r *request, v *server, decode float32) time.Duration {
	if r.pool.key.kind == kindService {
		return time.Duration(r.class.service.value(defaultService.Microseconds())) * time.Microsecond
	}
	output := max(float64(r.outputs)-float64(r.delivered), 1)
	return s.startAt(r, v) + time.Duration(output/rateOr(decode, defaultDecodeRate)*float64(time.Second))
}

// startAt is how long a prompt probably takes at the server until the first token.
func (s *Scheduler) startAt(r *request, v *server) time.Duration {
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

// estimateFinish is how long from now until the answer is probably whole.
func (s *Scheduler) estimateFinish(r *request, v *server) time.Duration {
	d := s.estimateRun(r, v)
	if s.usable(v) <= 0 {
		d += time.Duration(v.room.GetBacklogMs()) * time.Millisecond
	}
	if v.agent.zone != s.options.AvailabilityZone {
		d += crossZone
	}
	return d
}

// learn takes what a whole answer shows.
func (s *Scheduler) learn(r *request, end *wire.AnswerEnd) {
	a := r.attempt
	took := s.now.Sub(a.sentAt)
	if r.pool.key.kind == kindService {
		r.class.service.add(took.Microseconds())
	} else {
		r.class.outputs.add(int64(end.GetOutputTokens()))
		r.class.runs.add(took.Milliseconds())
	}
	if a.first == 0 {
		a.server.pace.add(took, a.plain)
	}
}

// trueUp replaces the charge of the present attempt by what it came to.
func (s *Scheduler) trueUp(r *request, proof wire.Proof) {
	a := r.attempt
	s.clocks[r.tier].Reconcile(r.Organisation, a.cost, s.actualCost(r, proof))
}

func (s *Scheduler) actualCost(r *request, proof wire.Proof) int64 {
	a := r.attempt
	switch {
	case proof == wire.Proof_PROOF_NEVER_STARTED:
		return 0
	case a.end.GetPromptTokens() > 0:
		prompt := int64(a.end.GetPromptTokens()) - int64(a.end.GetCachedTokens())
		return prompt + int64(a.end.GetOutputTokens()) + 1
	default:
		return max(a.cost-int64(r.outputs), 0) + int64(r.delivered-min(a.first, r.delivered))
	}
}

// rate counts how often something happens, by an average that fades over rateWindow.
type rate struct {
	perSecond float64
	at        time.Time
}

const rateWindow = 5 * time.Second

func (c *rate) add(now time.Time) {
	c.perSecond = c.value(now) + 1/rateWindow.Seconds()
	c.at = now
}

// value is the number a second, as of now.
func (c *rate) value(now time.Time) float64 {
	if c.at.IsZero() {
		return 0
	}
	gone := now.Sub(c.at).Seconds() / rateWindow.Seconds()
	return c.perSecond * fade(gone)
}
