package gate

import (
	"math/bits"
	"time"
)

// Constants of the learnt pace.
const (
	paceBins   = 12 // batch sizes 1, 2, 3-4, 5-8, ... up to 2048
	paceWindow = 100 * time.Millisecond
	paceWarmup = 16 // windows that establish a baseline

	paceGain = 0.02 // weight of a window close to the baseline
	// slowGain is the weight of a slower window. It is low, so that a straggler doesn't become the baseline, and
	// not 0, since hardware may slow down for good.
	slowGain   = 0.0005
	recentGain = 0.3 // weight of a window in the present ratio
	gapGain    = 0.3 // weight of a window in the present gap

	// recoveredShare is the share of Config.SlowRatio below which the server counts as recovered.
	recoveredShare = 0.5
	// slowSampleRatio is the ratio to the baseline from which on a sample counts as slow and has the weight slowGain.
	slowSampleRatio = 1.5
	// suspectWindows is the number of consecutive slow windows that make the server suspect. A burst of long
	// prompts slows any server for some windows; taking it out for that would shift its load to the other servers,
	// which would then look slow too.
	suspectWindows = 10
	maxRatio       = 20.0

	// minRatePrompt and minSlownessPrompt are the least numbers of prompt tokens in flight from which the prefill
	// rate is learnt and slowness is judged. With shorter prompts most of the time is spent waiting for the
	// engine's next step.
	minRatePrompt     = 256
	minSlownessPrompt = 2048
	// defaultPrefillRate is the prefill rate assumed before any is learnt, in tokens a second.
	defaultPrefillRate = 4000.0
	// prefillWindow bounds the time that the prompts in flight may take together; a single longer prompt is still
	// admitted. Answers that run beside them pause meanwhile: with 250 ms, one in twenty long answers pauses for
	// over 400 ms during a burst.
	prefillWindow = 100 * time.Millisecond
	// minPrefillBound is the least bound on prompt tokens in flight, at any rate.
	minPrefillBound = 1024

	minStall   = time.Second // shortest silence that counts as a stall
	stallRatio = 10.0        // silence that counts as a stall, in expected waits
	gapMaxAge  = 2 * time.Second
)

// pace holds the learnt speed of the server. It is compared with the server's own baseline, so that a straggler
// shows as a ratio independent of the speed of its hardware.
type pace struct {
	baseline        [paceBins]average // seconds between two tokens of a stream, by batch size, while no prompt is computed
	services        []*serviceTime    // in order of first use
	prefill         prefillModel      // model of the time to the first token
	prefillBaseline average           // baseline of the seconds for a prompt token beyond the fixed part
	gap             float64           // present seconds between two tokens of a stream, with or without prompts
	gapSeenAt       time.Time         // when gap was last updated
	ratio           float64           // present pace relative to the baseline; 1 means unchanged
	slowCount       int               // consecutive windows at or above Config.SlowRatio
	decodeOnlySince time.Time         // since when no prompt is computed
	window          window
}

// serviceTime holds the learnt duration of the calls of one service.
type serviceTime struct {
	target      string
	baseline    average // seconds
	total       float64 // seconds of the calls in this window
	concurrency int     // sum of the number of runs at the start of each call
	calls       int
}

// window collects the samples of a short time, so that one late packet that affects many streams counts once.
type window struct {
	start        time.Time
	gaps         float64 // sum of seconds, by token
	tokens       int
	decodeGaps   float64 // part of gaps while no prompt was computed
	decodeBatch  float64
	decodeTokens int
	ratioSum     float64 // sum of the ratios of calls and prompts to their baseline
	samples      int
}

// average is an average that adapts quickly until it is established and slowly afterwards.
type average struct {
	value float64
	count int
}

func (m *average) established() bool { return m.count >= paceWarmup && m.value > 0 }

// learn adds a sample and returns its ratio to the average, 0 if the average is not established.
func (m *average) learn(x float64) float64 {
	if !m.established() {
		m.count++
		m.value += (x - m.value) / float64(m.count)
		return 0
	}
	ratio := x / m.value
	gain := paceGain
	if ratio >= slowSampleRatio {
		gain = slowGain
	}
	m.value += gain * (x - m.value)
	return ratio
}

func newPace() pace { return pace{ratio: 1} }

func batchBin(batch int) int {
	return min(bits.Len(uint(max(batch, 1)-1)), paceBins-1)
}

// observeProgress records the times of tokens.
func (g *Gate) observeProgress(a *attempt, tokens uint32) {
	if tokens == 0 || a.work.GetService() {
		return
	}
	if a.run.firstToken.IsZero() {
		g.observeFirstToken(a)
		tokens--
		a.run.tokens++
	}
	if tokens > 0 {
		g.observeGap(a, int(tokens))
	}
	a.run.tokens += tokens
	a.run.lastToken = g.now
}

// observeFirstToken records the end of a prefill.
func (g *Gate) observeFirstToken(a *attempt) {
	a.run.firstToken = g.now
	a.run.lastToken = g.now
	g.endPrefill(a)
	g.room.dirty = true
	took := g.now.Sub(a.run.started).Seconds()
	if a.run.prefillAtStart >= minRatePrompt && a.uncachedTokens() > 0 && took > 0 {
		g.pace.observePrefill(a.run.prefillAtStart, took, len(g.runs) == 1)
	}
}

// observePrefill records the time of a prompt. Only a prompt that was computed alone shows whether the server has
// become slow: beside others, the engine divides its steps between prompts and running answers.
func (p *pace) observePrefill(tokens int64, took float64, alone bool) {
	p.prefill.learn(tokens, took)
	if tokens < minSlownessPrompt || !alone {
		return
	}
	// The ratio of the time for one token to its baseline has the same meaning as that of the pace.
	if ratio := p.prefillBaseline.learn(max(took-p.prefill.fixed, 0) / float64(tokens)); ratio > 0 {
		p.window.add(ratio)
	}
}

// observeGap records the time since the last token of a stream. While a prompt is computed, the gap is not a sample
// of the pace.
func (g *Gate) observeGap(a *attempt, tokens int) {
	if a.suspension.resumed != nil || a.run.readerWaited {
		return // the time that the run was suspended, or waited for its caller
	}
	gap := g.now.Sub(a.run.lastToken).Seconds()
	w := &g.pace.window
	w.gaps += gap
	w.tokens += tokens
	if g.usage.prefillTokens > 0 || a.run.lastToken.Before(g.pace.decodeOnlySince) {
		return
	}
	w.decodeGaps += gap
	w.decodeTokens += tokens
	w.decodeBatch += float64(len(g.runs) * tokens)
}

func (w *window) add(ratio float64) {
	w.ratioSum += min(ratio, maxRatio)
	w.samples++
}

// closeWindow evaluates the window once it is complete, and starts the next one.
func (p *pace) closeWindow(g *Gate) {
	if p.window.start.IsZero() {
		p.window.start = g.now
	}
	if g.now.Sub(p.window.start) < paceWindow {
		return
	}
	p.closeTokens(g)
	p.closeServices(g)
	if p.window.samples == 0 && p.window.tokens == 0 {
		p.observeStall(g)
	}
	if p.window.samples > 0 {
		p.updateRatio(p.window.ratioSum/float64(p.window.samples), g.config.SlowRatio)
	}
	p.window = window{start: g.now}
	g.judgePace()
}

func (p *pace) closeTokens(g *Gate) {
	w := &p.window
	if w.tokens > 0 {
		gap := w.gaps / float64(w.tokens)
		if p.gap == 0 || g.now.Sub(p.gapSeenAt) > gapMaxAge {
			p.gap = gap
		}
		p.gap += gapGain * (gap - p.gap)
		p.gapSeenAt = g.now
	}
	if w.decodeTokens == 0 {
		return
	}
	gap := w.decodeGaps / float64(w.decodeTokens)
	batch := w.decodeBatch / float64(w.decodeTokens)
	g.limit.observe(gap, batch)
	if ratio := p.baseline[batchBin(int(batch+0.5))].learn(gap); ratio > 0 {
		w.add(ratio)
	}
}

func (p *pace) closeServices(g *Gate) {
	for _, s := range p.services {
		if s.calls == 0 {
			continue
		}
		took := s.total / float64(s.calls)
		concurrency := float64(s.concurrency) / float64(s.calls)
		s.total, s.concurrency, s.calls = 0, 0, 0
		g.limit.observe(took, concurrency)
		if ratio := s.baseline.learn(took); ratio > 0 {
			p.window.add(ratio)
		}
	}
}

func (p *pace) updateRatio(ratio, slowRatio float64) {
	p.ratio += recentGain * (ratio - p.ratio)
	if ratio < slowRatio {
		p.slowCount = 0
		return
	}
	p.slowCount++
}

// observeStall counts silence as a slow token, since a server that stops altogether yields no samples. It needs a
// learnt expectation of how long the server may be silent.
func (p *pace) observeStall(g *Gate) {
	if len(g.runs) == 0 {
		return
	}
	last, wait, known := g.lastProgress()
	if !known {
		return
	}
	expected := max(stallRatio*wait, minStall.Seconds())
	if silence := g.now.Sub(last).Seconds(); silence > expected {
		p.window.add(max(silence/expected, 1) * g.config.SlowRatio)
	}
}

// lastProgress returns when the engine last made progress on any run, and how long the next progress may take, in
// seconds.
func (g *Gate) lastProgress() (last time.Time, wait float64, known bool) {
	wait = g.pace.tokenTime(len(g.runs), g.now).Seconds()
	judged := 0
	for _, a := range g.runs {
		if a.run.readerWaited {
			continue // its silence may be its caller's
		}
		judged++
		if a.run.lastToken.After(last) {
			last = a.run.lastToken
		}
		if a.run.started.After(last) {
			last = a.run.started
		}
		if a.suspension.resumedAt.After(last) {
			last = a.suspension.resumedAt
		}
		if a.work.GetService() {
			wait = max(wait, g.predictRuntime(a.work).Seconds())
		}
	}
	known = judged > 0 && wait > 0 && (g.usage.prefillTokens == 0 || g.pace.prefill.rate > 0)
	return last, wait + g.pace.prefillTime(g.usage.prefillTokens).Seconds(), known
}

// judgePace makes the server suspect, or clears that suspicion, by its pace.
func (g *Gate) judgePace() {
	p := &g.pace
	if p.ratio >= g.config.SlowRatio && p.slowCount >= suspectWindows {
		g.addSuspicion(suspectPace, onSlow)
		return
	}
	if p.ratio < recoveredShare*g.config.SlowRatio {
		g.removeSuspicion(suspectPace, onRecovered)
	}
}

// observeService records the time of a service call.
func (g *Gate) observeService(a *attempt) {
	if a.run.readerWaited {
		return
	}
	s := g.pace.service(a.work.GetTarget())
	if s == nil {
		s = &serviceTime{target: a.work.GetTarget()}
		g.pace.services = append(g.pace.services, s)
	}
	took := g.now.Sub(a.run.started).Seconds()
	if s.baseline.count == 0 {
		s.baseline.learn(took)
	}
	s.total += took
	s.concurrency += a.run.concurrency
	s.calls++
}

func (p *pace) service(target string) *serviceTime {
	for _, s := range p.services {
		if s.target == target {
			return s
		}
	}
	return nil
}

func (p *pace) prefillRateOrDefault() float64 {
	if p.prefill.rate > 0 {
		return p.prefill.rate
	}
	return defaultPrefillRate
}

// prefillBound returns how many uncached prompt tokens may be in flight.
func (p *pace) prefillBound() int64 {
	return max(int64(p.prefillRateOrDefault()*prefillWindow.Seconds()), minPrefillBound)
}

// prefillTime returns how long the given prompt tokens take in addition to the engine's other work, 0 before the
// rate is learnt.
func (p *pace) prefillTime(tokens int64) time.Duration {
	if p.prefill.rate <= 0 || tokens <= 0 {
		return 0
	}
	return seconds(float64(tokens) / p.prefill.rate)
}

// timeToFirstToken returns how long a prompt takes from its start until the first token, 0 before that is learnt.
func (p *pace) timeToFirstToken(tokens int64) time.Duration {
	return seconds(p.prefill.fixed) + p.prefillTime(tokens)
}

// tokenTime returns the time between two tokens of a stream at a batch size, 0 before any is learnt. The present
// gap counts if it is longer, since prompts that are computed in between slow running answers down.
func (p *pace) tokenTime(batch int, now time.Time) time.Duration {
	learnt := p.decodeOnlyTokenTime(batch)
	if now.Sub(p.gapSeenAt) <= gapMaxAge {
		learnt = max(learnt, seconds(p.gap))
	}
	return learnt
}

// decodeOnlyTokenTime returns the learnt time between two tokens of a stream at a batch size while no prompt is
// computed, 0 before any is learnt.
func (p *pace) decodeOnlyTokenTime(batch int) time.Duration {
	learnt := 0.0
	for b := batchBin(batch); b >= 0 && learnt == 0; b-- {
		learnt = p.baseline[b].value
	}
	return seconds(learnt)
}

// decodeRate returns the present pace of one stream in tokens a second, 0 if it is not learnt.
func (p *pace) decodeRate() float64 {
	if p.gap <= 0 {
		return 0
	}
	return 1 / p.gap
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
