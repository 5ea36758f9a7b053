package sched

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Evidence of roll-outs: how the attempts that this entry has sent to a pool since it learned of the order ended, by version
// and class. Control decides by the sums of all entries; this entry alone stops using a version that it finds bad.
//
// Only what speaks for or against the version's software counts. An answer that a server broke off, with its process running on,
// does. Not counted are attempts that never started, were cancelled, or were refused for load; those whose connection was reset, or
// whose agent or server process was lost; and those of requests during which servers crash.
const (
	// slowFactor is how many times as long as at the other versions an answer takes that counts as slow. Servers of one
	// version differ nearly threefold in speed between the fastest and the slowest, and by half of that from their average.
	slowFactor = 3
	// minReference is the number of answers of other versions to a class before an answer can count as slow: the time of one
	// answer of any version may be several times the average.
	minReference = 8
	// referenceWeight is the weight of a new sample in the running average of the other versions. The average follows the
	// load within some twenty answers, so that an overload of all versions makes no answer slow.
	referenceWeight = 1.0 / 16
	// outputTokenWork is the work of one output token in prompt tokens. Engines process some 50 to 360 prompt tokens in the
	// time of one decode step.
	outputTokenWork = 150
	// localBadLimit is the number of bad answers of a new version, beyond those that the old versions would have given, after
	// which this entry stops using it without waiting for control.
	localBadLimit = 12
	// expectedBadMargin multiplies the bad answers that the old versions would have given: with many failures of all versions
	// a good one exceeds their share by a dozen now and then.
	expectedBadMargin = 2
)

// rolloutEvidence holds the sums of one roll-out at this entry.
type rolloutEvidence struct {
	counts     map[evidenceKey]*evidenceCount
	references map[string]*reference // by class
}

type evidenceKey struct{ version, class string }

// evidenceCount sums the answers of one version to one class. Failures and slow answers are among the answers; work and time
// are those of the whole answers.
type evidenceCount struct {
	answers, failures, slow, work uint64
	time                          time.Duration
}

// bad returns the number of answers that speak against the version.
func (c *evidenceCount) bad() uint64 { return c.failures + c.slow }

// reference is the running average of the work and time of the answers of old versions to a class.
type reference struct {
	answers    int
	work, time float64 // time in seconds
}

func newRolloutEvidence() rolloutEvidence {
	return rolloutEvidence{counts: map[evidenceKey]*evidenceCount{}, references: map[string]*reference{}}
}

func (e *rolloutEvidence) count(version, class string) *evidenceCount {
	key := evidenceKey{version, class}
	c := e.counts[key]
	if c == nil {
		c = &evidenceCount{}
		e.counts[key] = c
	}
	return c
}

// bad returns the number of bad answers of a version to all classes.
func (e *rolloutEvidence) bad(version string) uint64 {
	n := uint64(0)
	for key, c := range e.counts {
		if key.version == version {
			n += c.bad()
		}
	}
	return n
}

// excess returns by how many the bad answers of the new version exceed a multiple of those that the old versions would have
// given to the same number of requests of each class.
func (e *rolloutEvidence) excess(to string) float64 {
	old := map[string]evidenceCount{}
	for key, c := range e.counts {
		if key.version != to {
			sum := old[key.class]
			sum.answers += c.answers
			sum.failures += c.bad()
			old[key.class] = sum
		}
	}
	excess := 0.0
	for _, key := range slices.SortedFunc(maps.Keys(e.counts), compareEvidenceKeys) {
		if key.version != to {
			continue
		}
		c, reference := e.counts[key], old[key.class]
		excess += float64(c.bad())
		if reference.answers > 0 {
			excess -= expectedBadMargin * float64(c.answers) * float64(reference.failures) / float64(reference.answers)
		}
	}
	return excess
}

// isSlow reports whether an answer took several times as long as the other versions need for the same work of its class.
func (e *rolloutEvidence) isSlow(class string, work uint64, took time.Duration) bool {
	r := e.references[class]
	if r == nil || r.answers < minReference || r.work <= 0 {
		return false
	}
	return took.Seconds() > slowFactor*r.time*float64(work)/r.work
}

// addReference adds an answer of an old version to the running average of its class.
func (e *rolloutEvidence) addReference(class string, work uint64, took time.Duration) {
	r := e.references[class]
	if r == nil {
		r = &reference{}
		e.references[class] = r
	}
	r.answers++
	weight := max(referenceWeight, 1/float64(r.answers))
	r.work += weight * (float64(work) - r.work)
	r.time += weight * (took.Seconds() - r.time)
}

// countedRollout returns the roll-out in progress that the current attempt is evidence of, or nil.
func (s *Scheduler) countedRollout(r *request) *rollout {
	a := r.attempt
	if a == nil || a.rollout == 0 {
		return nil
	}
	ro := s.rollouts[r.pool.key.target]
	if ro == nil || ro.id != a.rollout || !ro.inProgress() || s.isWatched(r) {
		return nil
	}
	return ro
}

// noteCompleted counts a whole answer of the current attempt. The status of a plain service may be that of a failure; one
// that refuses a call for load says nothing about its version.
func (s *Scheduler) noteCompleted(r *request) {
	ro := s.countedRollout(r)
	status := r.attemptStatus()
	if ro == nil || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		return
	}
	if status >= http.StatusInternalServerError {
		s.noteBad(ro, r, func(c *evidenceCount) { c.failures++ })
		return
	}
	s.noteAnswer(ro, r)
}

func (r *request) attemptStatus() int { return int(r.attempt.answerEnd.GetStatus()) }

// noteAnswer counts a good answer, with its work and time. Of an answer that another attempt began only the number counts:
// its work is not known.
func (s *Scheduler) noteAnswer(ro *rollout, r *request) {
	a, class := r.attempt, r.Class.GetName()
	if a.firstOffset > 0 {
		s.addAnswer(ro, r)
		return
	}
	work, took := s.answerWork(r), s.now.Sub(a.runningSince())
	c := ro.evidence.count(a.version, class)
	c.work += work
	c.time += took
	isSlow := ro.evidence.isSlow(class, work, took)
	if ro.roleOf(a.version) == roleOld {
		ro.evidence.addReference(class, work, took)
	}
	if isSlow {
		s.noteBad(ro, r, func(c *evidenceCount) { c.slow++ })
		return
	}
	s.addAnswer(ro, r)
}

// addAnswer counts an answer or failure of the current attempt.
func (s *Scheduler) addAnswer(ro *rollout, r *request) *evidenceCount {
	a := r.attempt
	c := ro.evidence.count(a.version, r.Class.GetName())
	c.answers++
	s.countRollout(RolloutAnswers, ro.pool, ro.roleOf(a.version))
	return c
}

// noteFailed counts an attempt that the backend server ended with an error, unless the server's process ended or the attempt
// was being cancelled.
func (s *Scheduler) noteFailed(r *request, m *wire.Over) {
	ro := s.countedRollout(r)
	if ro == nil || m.GetCrash() != nil || r.attempt.cancelAsked || r.attempt.broken {
		return
	}
	s.noteBad(ro, r, func(c *evidenceCount) { c.failures++ })
}

// noteBrokenOff records that the server broke the answer of the current attempt off. A reset may be due to the network.
func (s *Scheduler) noteBrokenOff(r *request, m *wire.Over) {
	cause := framing.Cause(m.GetBrokenOff())
	if cause == "" || r.attempt.brokenOff != "" {
		return
	}
	r.attempt.brokenOff = cause
	r.brokenOff++
	if cause != framing.Reset {
		s.noteFailed(r, m)
	}
}

// noteCutOff counts an attempt that runs while its request is given up at its deadline, if it has taken several times as long
// as the other versions need for what it has done so far. Without that, a version so slow that no answer of it ends in time
// would leave no evidence.
func (s *Scheduler) noteCutOff(r *request) {
	ro := s.countedRollout(r)
	if ro == nil || !r.attempt.started || r.attempt.firstOffset > 0 || r.attempt.cancelAsked || !r.attempt.downSince.IsZero() {
		return
	}
	if ro.evidence.isSlow(r.Class.GetName(), s.expectedWork(r), s.now.Sub(r.attempt.runningSince())) {
		s.noteBad(ro, r, func(c *evidenceCount) { c.slow++ })
	}
}

// noteBad counts a bad answer, and stops the use of a new version that has given too many here.
func (s *Scheduler) noteBad(ro *rollout, r *request, add func(*evidenceCount)) {
	version := r.attempt.version
	add(s.addAnswer(ro, r))
	s.countRollout(RolloutBad, ro.pool, ro.roleOf(version))
	if version != ro.to || ro.stopped || ro.evidence.excess(ro.to) < localBadLimit {
		return
	}
	ro.stopped = true
	s.rolloutsStale = true
	s.emitRolloutStep(RolloutStopped, ro, "bad answers at this entry")
	s.recallUnstarted(ro)
}

// answerWork returns the work of the current attempt's whole answer: the prompt tokens that the server computed and the
// output tokens, weighed; one call of a plain service.
func (s *Scheduler) answerWork(r *request) uint64 {
	if r.pool.key.kind == kindService {
		return 1
	}
	end := r.attempt.answerEnd
	prompt := uint64(r.PromptTokens)
	if end.GetPromptTokens() > 0 {
		prompt = uint64(end.GetPromptTokens() - min(end.GetCachedTokens(), end.GetPromptTokens()))
	}
	return max(prompt+outputTokenWork*uint64(end.GetOutputTokens()), 1)
}

// expectedWork returns the work of the current attempt, had it delivered the whole answer that is expected of it.
func (s *Scheduler) expectedWork(r *request) uint64 {
	if r.pool.key.kind == kindService {
		return 1
	}
	return max(uint64(r.PromptTokens)+outputTokenWork*uint64(max(r.estimatedOutput, r.tokensReceived)), 1)
}

// runningSince returns when the agent reported that it calls the server, which leaves out the wait at the gate.
func (a *attempt) runningSince() time.Time {
	if a.startedAt.IsZero() {
		return a.sentAt
	}
	return a.startedAt
}

// RolloutEvidence returns the sums of the roll-outs in progress, sorted by pool, version and class.
func (s *Scheduler) RolloutEvidence() []*wire.RolloutEvidence {
	var all []*wire.RolloutEvidence
	for _, ro := range s.rolloutOrder {
		if !ro.inProgress() {
			continue
		}
		all = append(all, &wire.RolloutEvidence{Pool: ro.pool, Id: ro.id, Counts: ro.evidence.wire()})
	}
	return all
}

// HasRolloutInProgress reports whether a roll-out is in progress as of the last Step.
func (s *Scheduler) HasRolloutInProgress() bool {
	for _, ro := range s.rolloutOrder {
		if ro.inProgress() {
			return true
		}
	}
	return false
}

func (e *rolloutEvidence) wire() []*wire.RolloutCount {
	var counts []*wire.RolloutCount
	for _, key := range slices.SortedFunc(maps.Keys(e.counts), compareEvidenceKeys) {
		c := e.counts[key]
		counts = append(counts, &wire.RolloutCount{
			Version: key.version, Class: key.class, Answers: c.answers, Failures: c.failures, Slow: c.slow, Work: c.work,
			TimeMs: uint64(c.time.Milliseconds()),
		})
	}
	return counts
}

func compareEvidenceKeys(a, b evidenceKey) int {
	return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.class, b.class))
}
