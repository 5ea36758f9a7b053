package gate

import (
	"math/bits"
	"time"
)

// Constants of the learnt pace.
const (
	paceBins   = 12 // batch sizes 1, 2, 3-4, 5-8, ... up to 2048
	paceWindow = 100 * time.Millisecond
	paceWarmup = 16 // windows that form a first baseline

	paceGain   = 0.02   // weight of a window like the past in the baseline
	driftGain  = 0.0005 // weight of one that is slower: hardware may get slow for good, but a straggler is no new past
	recentGain = 0.3    // weight of a window in the present ratio
	gapGain    = 0.3    // weight of a window in the present gap

	// fineShare is the part of Config.SlowRatio, as times of the baseline, below which the present pace is fine again.
	fineShare = 0.5
	// driftRatio is from which times of the past on a sample hardly moves the past.
	driftRatio = 1.5
	// slowWindows is how many windows in a row must be slow. A burst of long prompts slows any server for some of them; one
	// that is taken out for that leaves its load to the others, which then look slow too.
	slowWindows = 10
	ratioMost   = 20.0

	// leastPrompt and leastJudged are the shortest prompts in flight, in tokens, that tell the prefill rate, and that
	// may raise suspicion: of shorter ones most of the time goes into waiting for the engine's next step.
	leastPrompt = 256
	leastJudged = 2048
	// guessedRate is the prefill rate assumed before any is learnt, tokens a second.
	guessedRate = 4000.0
	// prefillWindow is how long the prompts in flight may take together, but for one that is longer by itself. Answers that
	// run beside them pause meanwhile: with 250 ms one in twenty long answers had a pause of over 400 ms under a burst.
	prefillWindow = 100 * time.Millisecond
	// prefillLeast is the bound on prompt tokens in flight at any rate.
	prefillLeast = 1024

	stallLeast = time.Second // shortest silence that counts as a stall
	stallRatio = 10.0        // in expected waits
	gapFresh   = 2 * time.Second
)

// pace is what is learnt of the server's speed. Its own past is the measure: a straggler shows as a ratio, whatever
// the speed of its hardware.
type pace struct {
	baseline    [paceBins]average // seconds between two tokens of a stream, by batch size, while no prompt is computed
	services    []*serviceTime    // in order of first use
	prefill     prefillPace       // time until the first token
	prefillBase average           // its past: seconds for a prompt token beyond the fixed part
	gap         float64           // seconds between two tokens of a stream at present, prompts or not
	gapAt       time.Time         // when it was seen last
	ratio       float64           // present pace in units of the past; 1 is as ever
	slowRun     int               // windows in a row beyond slowRatio
	quietSince  time.Time         // since when no prompt is computed
	window      window
}

// serviceTime is the time of the calls of one service.
type serviceTime struct {
	target string
	past   average // seconds
	sum    float64 // of this window
	busy   int     // runs at the starts of its calls, added up
	calls  int
}

// window collects the samples of a short time, so that one late packet to many streams counts once.
type window struct {
	began      time.Time
	gaps       float64 // seconds, by token
	tokens     int
	quiet      float64 // the part of gaps while no prompt was computed
	quietBatch float64
	quietN     int
	ratios     float64 // of calls and prompts to their past
	samples    int
}

// average is an average that forms quickly and then moves slowly.
type average struct {
	value float64
	count int
}

func (m *average) formed() bool { return m.count >= paceWarmup && m.value > 0 }

// learn takes a sample and returns how it stands to the past, 0 if there is too little of that.
func (m *average) learn(x float64) float64 {
	if !m.formed() {
		m.count++
		m.value += (x - m.value) / float64(m.count)
		return 0
	}
	ratio := x / m.value
	gain := paceGain
	if ratio >= driftRatio {
		gain = driftGain
	}
	m.value += gain * (x - m.value)
	return ratio
}

func newPace() pace { return pace{ratio: 1} }

func bin(batch int) int {
	return min(bits.Len(uint(max(batch, 1)-1)), paceBins-1)
}

// noteProgress takes the time of tokens.
func (g *Gate) noteProgress(a *attempt, tokens uint32) {
	if tokens == 0 || a.work.GetService() {
		return
	}
	if a.run.firstToken.IsZero() {
		g.noteFirstToken(a)
		tokens--
		a.run.tokens++
	}
	if tokens > 0 {
		g.noteGap(a, int(tokens))
	}
	a.run.tokens += tokens
	a.run.lastToken = g.now
}

// noteFirstToken ends a prefill.
func (g *Gate) noteFirstToken(a *attempt) {
	a.run.firstToken = g.now
	a.run.lastToken = g.now
	g.prefillDone(a)
	g.room.dirty = true
	took := g.now.Sub(a.run.started).Seconds()
	if a.run.prefillAhead >= leastPrompt && a.uncached() > 0 && took > 0 {
		g.pace.notePrefill(a.run.prefillAhead, took, len(g.runs) == 1)
	}
}

// notePrefill takes the time of a prompt. Only of one that was computed alone does it tell whether the server has become
// slow: beside others, an engine shares its steps between prompts and running answers.
func (p *pace) notePrefill(tokens int64, took float64, alone bool) {
	p.prefill.learn(tokens, took)
	if tokens < leastJudged || !alone {
		return
	}
	// The time for one token stands to its past as the pace does.
	if ratio := p.prefillBase.learn(max(took-p.prefill.fixed, 0) / float64(tokens)); ratio > 0 {
		p.window.add(ratio)
	}
}

// noteGap takes the time since the last token of a stream. While a prompt is computed it tells of that, and not of
// the pace.
func (g *Gate) noteGap(a *attempt, tokens int) {
	gap := g.now.Sub(a.run.lastToken).Seconds()
	w := &g.pace.window
	w.gaps += gap
	w.tokens += tokens
	if g.use.prefill > 0 || a.run.lastToken.Before(g.pace.quietSince) {
		return
	}
	w.quiet += gap
	w.quietN += tokens
	w.quietBatch += float64(len(g.runs) * tokens)
}

func (w *window) add(ratio float64) {
	w.ratios += min(ratio, ratioMost)
	w.samples++
}

// roll closes a window.
func (p *pace) roll(g *Gate) {
	if p.window.began.IsZero() {
		p.window.began = g.now
	}
	if g.now.Sub(p.window.began) < paceWindow {
		return
	}
	p.rollTokens(g)
	p.rollServices(g)
	if p.window.samples == 0 && p.window.tokens == 0 {
		p.noteStall(g)
	}
	if p.window.samples > 0 {
		p.judge(p.window.ratios/float64(p.window.samples), g.config.SlowRatio)
	}
	p.window = window{began: g.now}
	g.judgePace()
}

func (p *pace) rollTokens(g *Gate) {
	w := &p.window
	if w.tokens > 0 {
		gap := w.gaps / float64(w.tokens)
		if p.gap == 0 || g.now.Sub(p.gapAt) > gapFresh {
			p.gap = gap
		}
		p.gap += gapGain * (gap - p.gap)
		p.gapAt = g.now
	}
	if w.quietN == 0 {
		return
	}
	gap := w.quiet / float64(w.quietN)
	batch := w.quietBatch / float64(w.quietN)
	g.limit.observe(gap, batch)
	if ratio := p.baseline[bin(int(batch+0.5))].learn(gap); ratio > 0 {
		w.add(ratio)
	}
}

func (p *pace) rollServices(g *Gate) {
	for _, s := range p.services {
		if s.calls == 0 {
			continue
		}
		took := s.sum / float64(s.calls)
		busy := float64(s.busy) / float64(s.calls)
		s.sum, s.busy, s.calls = 0, 0, 0
		g.limit.observe(took, busy)
		if ratio := s.past.learn(took); ratio > 0 {
			p.window.add(ratio)
		}
	}
}

func (p *pace) judge(ratio, slowRatio float64) {
	p.ratio += recentGain * (ratio - p.ratio)
	if ratio < slowRatio {
		p.slowRun = 0
		return
	}
	p.slowRun++
}

// noteStall takes silence for a slow token: a server that stops altogether sends no sample at all. How long it may be
// silent has to be learnt first.
func (p *pace) noteStall(g *Gate) {
	if len(g.runs) == 0 {
		return
	}
	last, wait, known := g.lastSign()
	if !known {
		return
	}
	expected := max(stallRatio*wait, stallLeast.Seconds())
	if silence := g.now.Sub(last).Seconds(); silence > expected {
		p.window.add(max(silence/expected, 1) * g.config.SlowRatio)
	}
}

// lastSign is when the engine last gave a sign of life to any run, and how long the next may take, in seconds.
func (g *Gate) lastSign() (last time.Time, wait float64, known bool) {
	wait = g.pace.tokenTime(len(g.runs), g.now).Seconds()
	for _, a := range g.runs {
		if a.run.lastToken.After(last) {
			last = a.run.lastToken
		}
		if a.run.started.After(last) {
			last = a.run.started
		}
		if a.work.GetService() {
			wait = max(wait, g.predict(a.work).Seconds())
		}
	}
	known = wait > 0 && (g.use.prefill == 0 || g.pace.prefill.rate > 0)
	return last, wait + g.pace.prefillTime(g.use.prefill).Seconds(), known
}

// judgePace makes the server suspect, or clears it.
func (g *Gate) judgePace() {
	p := &g.pace
	if p.ratio >= g.config.SlowRatio && p.slowRun >= slowWindows {
		g.doubt(doubtPace, onSlow)
		return
	}
	if p.ratio < fineShare*g.config.SlowRatio {
		g.trust(doubtPace, onRecovered)
	}
}

// noteService takes the time of a service call.
func (g *Gate) noteService(a *attempt) {
	s := g.pace.service(a.work.GetTarget())
	if s == nil {
		s = &serviceTime{target: a.work.GetTarget()}
		g.pace.services = append(g.pace.services, s)
	}
	took := g.now.Sub(a.run.started).Seconds()
	if s.past.count == 0 {
		s.past.learn(took)
	}
	s.sum += took
	s.busy += a.run.busy
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

func (p *pace) prefillRateOrGuess() float64 {
	if p.prefill.rate > 0 {
		return p.prefill.rate
	}
	return guessedRate
}

// prefillBound is how many uncached prompt tokens may be in flight.
func (p *pace) prefillBound() int64 {
	return max(int64(p.prefillRateOrGuess()*prefillWindow.Seconds()), prefillLeast)
}

// prefillTime is how long so many prompt tokens take beside what the engine does anyway; 0 before the rate is learnt.
func (p *pace) prefillTime(tokens int64) time.Duration {
	if p.prefill.rate <= 0 || tokens <= 0 {
		return 0
	}
	return seconds(float64(tokens) / p.prefill.rate)
}

// startTime is how long a prompt takes from its start until the first token; 0 before that is learnt.
func (p *pace) startTime(tokens int64) time.Duration {
	return seconds(p.prefill.fixed) + p.prefillTime(tokens)
}

// tokenTime is the time between two tokens of a stream at a batch size; 0 before any is learnt. What was seen just
// now counts if it is more: prompts that are computed in between slow the others down.
func (p *pace) tokenTime(batch int, now time.Time) time.Duration {
	learnt := p.quietTime(batch)
	if now.Sub(p.gapAt) <= gapFresh {
		learnt = max(learnt, seconds(p.gap))
	}
	return learnt
}

// quietTime is the same while no prompt is computed.
func (p *pace) quietTime(batch int) time.Duration {
	learnt := 0.0
	for b := bin(batch); b >= 0 && learnt == 0; b-- {
		learnt = p.baseline[b].value
	}
	return seconds(learnt)
}

// decodeRate is the pace of one stream at present, in tokens a second, 0 if not learnt.
func (p *pace) decodeRate() float64 {
	if p.gap <= 0 {
		return 0
	}
	return 1 / p.gap
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
