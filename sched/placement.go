package sched

import (
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// With Options.ByLength an answer is placed by its expected and its upper length. An answer whose upper length doesn't
// end in time at a server goes there only if no server of the pool does better. While requests wait, other answers leave
// the fast servers to those that need them, see fast_servers.go.

// promptPauseDivisor is the part of a tolerated pause that one prompt may take at a server, as a divisor. Another prompt may
// be computed at the same time.
const promptPauseDivisor = 2

// Reasons of a placement, as labels of Count with Placements.
const (
	placementFits = "fits"
	placementFast = "only_fast_servers"
	placementNone = "fits_nowhere"
)

// PlacementReasons returns all labels of the counter Placements.
func PlacementReasons() []string { return []string{placementFits, placementFast, placementNone} }

// Speeds of a server relative to the pool's median, as labels of Count with CutAtDeadline.
const (
	speedSlow  = "slow"
	speedUsual = "usual"
	speedFast  = "fast"
)

// ServerSpeeds returns all labels of the counter CutAtDeadline.
func ServerSpeeds() []string { return []string{speedSlow, speedUsual, speedFast} }

// placement is the decision of the last dispatch, for the log.
type placement struct {
	reason string
	finish time.Duration // expected, from the dispatch
	slack  time.Duration // from the end of the upper length to the deadline
}

// placementChoice holds what is computed once for all servers considered in a choice for a request. Neither the servers
// nor the request change meanwhile.
type placementChoice struct {
	request *request // nil outside of a choice
	known   bool     // fastest and cached are set
	fastest pace
	cached  uint32
}

// beginChoice begins a choice among servers for a request, possibly within another one. The result is for endChoice.
func (s *Scheduler) beginChoice(r *request) (outer *request) {
	outer = s.choice.request
	if outer != r {
		s.choice = placementChoice{request: r}
	}
	return outer
}

// endChoice ends a choice and returns to the one around it, if there is one.
func (s *Scheduler) endChoice(outer *request) {
	if s.choice.request != outer {
		s.choice = placementChoice{request: outer}
	}
}

// placesByLength reports whether the request is placed by its length.
func (s *Scheduler) placesByLength(r *request) bool {
	return s.options.ByLength && s.options.Policy == PolicyTargets && r.pool.key.kind == kindModel
}

// upperRunTime returns how long the upper length of the rest of the answer takes at a pace.
func (s *Scheduler) upperRunTime(r *request, p pace, cached uint32) time.Duration {
	return p.runTime(float64(r.PromptTokens)-float64(cached), float64(r.upperOutput)-float64(r.tokensReceived))
}

// expectedRunTime returns how long the expected length of the rest of the answer takes at a pace.
func (s *Scheduler) expectedRunTime(r *request, p pace, cached uint32) time.Duration {
	return p.runTime(float64(r.PromptTokens)-float64(cached), float64(r.estimatedOutput)-float64(r.tokensReceived))
}

// promptTime returns how long a server at a pace computes the prompt. Answers that run there pause meanwhile.
func (r *request) promptTime(p pace, cached uint32) time.Duration {
	return time.Duration(max(float64(r.PromptTokens)-float64(cached), 0) / p.prefill * float64(time.Second))
}

// delaysOthers reports whether a prompt that takes the given time makes the answers that run beside it late.
func (r *request) delaysOthers(prompt time.Duration) bool {
	return r.Pause > 0 && prompt > r.Pause/promptPauseDivisor
}

// suits reports whether the upper length of the answer ends before the deadline at a pace, and the prompt doesn't make
// the answers that run beside it late.
func (s *Scheduler) suits(r *request, p pace, cached uint32) bool {
	return s.upperRunTime(r, p, cached) <= s.remainingTime(r) && !r.delaysOthers(r.promptTime(p, cached))
}

// suitsServer is suits at a server under load.
func (s *Scheduler) suitsServer(r *request, v *server) bool {
	return s.suits(r, s.loadedPaceOf(r.pool, v), s.cachedTokens(r, v))
}

// fitsByLength reports whether the request may go to a server: it suits the server, or no server of the pool does better.
func (s *Scheduler) fitsByLength(r *request, v *server) bool {
	p, cached := s.loadedPaceOf(r.pool, v), s.cachedTokens(r, v)
	upper, prompt := s.upperRunTime(r, p, cached), r.promptTime(p, cached)
	inTime, harmless := upper <= s.remainingTime(r), !r.delaysOthers(prompt)
	if inTime && harmless {
		return true
	}
	best, bestCached := s.fastestFor(r)
	return (inTime || float64(upper) <= paceTolerance*float64(s.upperRunTime(r, best, bestCached))) &&
		(harmless || float64(prompt) <= paceTolerance*float64(r.promptTime(best, bestCached)))
}

// fastestFor returns the pace of the server that ends the upper length first among those that the request may use, and
// the prompt tokens that are cached there. During a choice it is computed once.
func (s *Scheduler) fastestFor(r *request) (best pace, cached uint32) {
	if len(r.Candidates) == 0 && len(r.avoided) == 0 && len(r.Prefix) == 0 && r.eventsReceived == 0 {
		return s.pacesOf(r.pool).fastest, 0
	}
	if s.choice.request != r {
		return s.scanFastest(r)
	}
	if !s.choice.known {
		s.choice.fastest, s.choice.cached = s.scanFastest(r)
		s.choice.known = true
	}
	return s.choice.fastest, s.choice.cached
}

// scanFastest is fastestFor by a scan of all servers of the pool.
func (s *Scheduler) scanFastest(r *request) (best pace, cached uint32) {
	shortest := time.Duration(-1)
	for _, v := range r.pool.servers {
		if !v.ready || !s.mayPlace(r, v) {
			continue
		}
		p, tokens := s.loadedPaceOf(r.pool, v), s.cachedTokens(r, v)
		if run := s.upperRunTime(r, p, tokens); shortest < 0 || run < shortest {
			shortest, best, cached = run, p, tokens
		}
	}
	return best, cached
}

// needsFastServer reports whether the request doesn't suit the pool's slow servers.
func (s *Scheduler) needsFastServer(r *request) bool {
	return s.placesByLength(r) && !s.suits(r, s.pacesOf(r.pool).slow, 0)
}

// fewServers reports whether only few servers of the pool can finish the answer in time, this one among them.
func (s *Scheduler) fewServers(r *request, v *server) bool {
	return s.needsFastServer(r) && s.suitsServer(r, v)
}

// describePlacement adds what the placement is based on to a message.
func (s *Scheduler) describePlacement(w *wire.Work, r *request, to *server) {
	if !s.placesByLength(r) {
		return
	}
	w.OutputTokensUpper = r.upperOutput
	w.FewServers = s.fewServers(r, to)
}

// notePlacement records and counts a dispatch.
func (s *Scheduler) notePlacement(r *request, to *server) {
	if !s.placesByLength(r) {
		return
	}
	if s.hasPace(to) {
		r.attempt.sentPace, r.attempt.sentCached = to.reportedPace(), s.cachedTokens(r, to)
	}
	upper := s.upperRunTime(r, s.loadedPaceOf(r.pool, to), s.cachedTokens(r, to))
	r.placement = placement{finish: s.estimateRunTime(r, to), slack: s.remainingTime(r) - upper, reason: placementFits}
	switch {
	case !s.suitsServer(r, to):
		r.placement.reason = placementNone
	case s.needsFastServer(r):
		r.placement.reason = placementFast
	}
	s.emit(Count{Counter: Placements, Tier: r.Class.GetTier(), Class: r.Class.GetName(), Label: r.placement.reason, Add: 1})
}

// noteCutAtDeadline counts an answer that is cut at its deadline while it runs.
func (s *Scheduler) noteCutAtDeadline(r *request) {
	if !s.placesByLength(r) || r.attempt == nil || !r.attempt.started {
		return
	}
	s.learnLeastLength(r)
	s.emit(Count{
		Counter: CutAtDeadline, Tier: r.Class.GetTier(), Class: r.Class.GetName(), Label: s.speedOf(r.pool, r.attempt.server), Add: 1,
	})
}

func (s *Scheduler) speedOf(p *pool, v *server) string {
	decode, median := s.loadedPaceOf(p, v).decode, s.pacesOf(p).loaded.decode
	switch {
	case decode*paceTolerance < median:
		return speedSlow
	case decode > paceTolerance*median:
		return speedFast
	default:
		return speedUsual
	}
}

// predictedRun returns the run time of the current attempt that was to be expected at the rates that the gate reported,
// for the correction of these rates; 0 if it isn't known. Placed by length, it is that of the actual length: otherwise the
// correction would count answers that were longer than expected as a slow server.
//
// Calls of a service are compared with the present mean of their class. Compared with its median, which is a default at first and
// follows a change seconds later, the correction would count the same change a second time once the median has followed.
func (s *Scheduler) predictedRun(r *request, tokens uint32) time.Duration {
	a := r.attempt
	if r.pool.key.kind == kindService {
		return r.class.meanServiceTime.value()
	}
	if !s.placesByLength(r) {
		return a.uncorrectedRun
	}
	if a.sentPace.decode <= 0 {
		return 0
	}
	return a.sentPace.runTime(float64(r.PromptTokens)-float64(a.sentCached), float64(tokens))
}
