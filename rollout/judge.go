package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Scores are log-likelihood ratios: of the version being worse, against its being as good as the others. They start from
// zero again whenever they become negative (Page's CUSUM test), so that a version that becomes bad late is not excused by
// its earlier answers. A good version reaches a score s less often than once in e^s answers on average.
const (
	// certain reverts a version at once. e^14 is 1.2 million answers; a roll-out has some thousands.
	certain = 14
	// suspicious keeps a version from being completed early, and reverts it at the end.
	suspicious = 5
	// suspiciousOverall does the same with the failures of the whole time. In each step of the scores the expected share is the
	// larger one of two, which chance raises where the other versions have few answers; over the whole time that evens out. A
	// good version reaches it with each of the alternatives at most once in e^5 = 150 roll-outs.
	suspiciousOverall = 5
	// suspiciousOfFew reverts a version at the end that got too few answers to compare.
	suspiciousOfFew = 2.5
)

// alternatives are the shares of otherwise good answers that a bad version is taken to spoil. With the larger one, a very
// bad version is found within a few answers; the smaller one finds those that a comparison with a large share misses.
var alternatives = [...]float64{0.08, 0.35}

const (
	// minBaseline is the lowest share of bad answers that other versions are taken to have. A lower one would let three
	// failures in a row decide.
	minBaseline = 0.005
	// maxBaseline keeps the likelihoods finite when nearly all answers of the other versions are bad.
	maxBaseline = 0.95
	// unknownFailures and unknownSlow are the shares taken for other versions that have given no answer at all: those of
	// the worst services in use.
	unknownFailures, unknownSlow = 0.15, 0.05
	// priorAnswers is the weight of the prior in an estimated share, in answers.
	priorAnswers = 20
)

// Comparison of the time for the same work, as a CUSUM test of the logarithm of the ratio of both sides.
const (
	// timeBatch is the least number of answers of each side in one comparison.
	timeBatch = 10
	// referenceTimeRatio is the ratio above which answers speak against the version, and below which for it. Servers of one
	// service take 0.6 to 1.7 times the mean, and the version may run on slow ones; a bad version takes several times as long.
	referenceTimeRatio = 2.2
	// maxTimeRatio bounds what one batch counts, so that a single answer that was stuck does not decide.
	maxTimeRatio = 6
	// certainTime is the sum of logarithms, over answers, that reverts a version: 42 answers that take four times as long.
	// Servers that take 1.7 times the mean reach it less often than once in 2,000 times that the sum rises from zero.
	certainTime = 25
)

// sums are sums over answers.
type sums struct {
	answers, failures, slow, work, timeMS uint64
}

func (s sums) plus(o sums) sums {
	return sums{s.answers + o.answers, s.failures + o.failures, s.slow + o.slow, s.work + o.work, s.timeMS + o.timeMS}
}

// since returns the difference to earlier sums, 0 where a sum has not risen. Merged evidence can lag behind after a
// change of leader. Bad answers are answers, also where the sum of answers has not risen: after a restart of all control
// instances the answers of living entries are hidden until there are more of them than the log has of dead ones.
func (s sums) since(o sums) sums {
	fresh := sums{
		s.answers - min(s.answers, o.answers),
		s.failures - min(s.failures, o.failures),
		s.slow - min(s.slow, o.slow),
		s.work - min(s.work, o.work),
		s.timeMS - min(s.timeMS, o.timeMS),
	}
	fresh.answers = max(fresh.answers, fresh.failures+fresh.slow)
	return fresh
}

func (s sums) timePerWork() float64 { return float64(s.timeMS) / float64(s.work) }

// sides are the sums of the new version and of all others.
type sides struct{ new, old sums }

// tests are the scores of one class, or of all classes together.
type tests struct {
	failures, slow shareScores
	timeSum        float64 // of logarithms above that of referenceTimeRatio, over answers
}

// add adds what one step of one class says.
func (t *tests) add(g tests) {
	t.failures.add(g.failures)
	t.slow.add(g.slow)
	t.timeSum = max(0, t.timeSum+g.timeSum)
}

// timeScore returns how strongly the times speak against the version, on the scale of the other scores.
func (t *tests) timeScore() float64 { return t.timeSum / certainTime * certain }

// comparison compares the versions for one class.
type comparison struct {
	sides // at the last step
	tests
	batch                 sides   // since the last comparison of times
	failureBase, slowBase float64 // expected shares of bad answers in the last step
}

// step compares what has come since the last step.
func (j *Judge) step(o Observation) {
	classes := make(map[string]sides)
	var total sums
	for _, c := range o.Counts {
		counted := sums{c.GetAnswers(), c.GetFailures(), c.GetSlow(), c.GetWork(), c.GetTimeMs()}
		s := classes[c.GetClass()]
		if c.GetVersion() == j.to {
			s.new = s.new.plus(counted)
		} else {
			s.old = s.old.plus(counted)
			total = total.plus(counted)
		}
		classes[c.GetClass()] = s
	}
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		if j.classes[class] == nil {
			j.classes[class] = new(comparison)
		}
		j.all.add(j.classes[class].step(classes[class], total))
	}
}

// step takes in the sums of a class, and returns what has come since the last step says. total is that of the other
// versions over all classes.
func (c *comparison) step(now sides, total sums) tests {
	fresh := sides{now.new.since(c.new), now.old.since(c.old)}
	c.sides = now
	if fresh.new.answers > 0 {
		c.failureBase = baseline(
			trials{fresh.old.answers, fresh.old.failures},
			trials{now.old.answers, now.old.failures},
			trials{total.answers, total.failures}, unknownFailures)
		c.slowBase = baseline(
			trials{fresh.old.answers, fresh.old.slow},
			trials{now.old.answers, now.old.slow},
			trials{total.answers, total.slow}, unknownSlow)
	}
	gain := tests{
		failures: gainOf(trials{fresh.new.answers, fresh.new.failures}, c.failureBase),
		slow:     gainOf(trials{fresh.new.answers, fresh.new.slow}, c.slowBase),
		timeSum:  c.stepTime(fresh),
	}
	c.add(gain)
	return gain
}

// stepTime compares the times for the same work once both sides have a whole batch, and returns what it adds to the sum.
func (c *comparison) stepTime(fresh sides) float64 {
	c.batch = sides{c.batch.new.plus(fresh.new), c.batch.old.plus(fresh.old)}
	if c.batch.new.answers < timeBatch || c.batch.old.answers < timeBatch {
		return 0
	}
	batch := c.batch
	c.batch = sides{}
	ratio, known := batch.timeRatio()
	if !known {
		return 0
	}
	return math.Log(min(max(ratio, 1.0/maxTimeRatio), maxTimeRatio)/referenceTimeRatio) * float64(batch.new.answers)
}

// timeRatio returns the time of the new version for the same work, as a multiple of that of the others.
func (s sides) timeRatio() (ratio float64, known bool) {
	if s.new.work == 0 || s.old.work == 0 || s.new.timeMS == 0 || s.old.timeMS == 0 {
		return 0, false
	}
	return s.new.timePerWork() / s.old.timePerWork(), true
}

// trials are answers of which some are bad.
type trials struct{ answers, bad uint64 }

// share returns the share of bad answers, drawn towards a prior while there are few.
func (t trials) share(prior float64) float64 {
	return (float64(t.bad) + priorAnswers*prior) / (float64(t.answers) + priorAnswers)
}

// baseline returns the share of bad answers that a version as good as the others would have in a step. It is the larger
// one of the share in the step itself, since a disturbance of the whole service concerns all versions alike, and of the
// share so far, raised by its own standard error. While the class has few answers the share of all classes helps.
func baseline(step, class, total trials, unknown float64) float64 {
	prior := unknown
	if total.answers > 0 {
		prior = total.share(unknown)
	}
	soFar := class.share(prior)
	deviation := math.Sqrt(soFar * (1 - soFar) / (float64(class.answers) + priorAnswers))
	return min(max(soFar+deviation, step.share(soFar), minBaseline), maxBaseline)
}

// shareScores are the scores of a share of bad answers against each of the alternatives.
type shareScores [len(alternatives)]float64

// gainOf returns what answers add to the scores, where a version as good as the others has the baseline's share of bad
// ones.
func gainOf(t trials, base float64) (gain shareScores) {
	if t.answers == 0 {
		return gain
	}
	goodAnswers := float64(t.answers - min(t.bad, t.answers))
	for i, spoiled := range alternatives {
		alternative := base + spoiled*(1-base)
		gain[i] = float64(t.bad)*math.Log(alternative/base) + goodAnswers*math.Log((1-alternative)/(1-base))
	}
	return gain
}

func (s *shareScores) add(gain shareScores) {
	for i := range s {
		s[i] = max(0, s[i]+gain[i])
	}
}

func (s *shareScores) highest() float64 { return slices.Max(s[:]) }

// finding is the strongest evidence against a version.
type finding struct {
	score    float64
	reason   Reason
	describe func(Reason) string
}

// worst returns the strongest evidence over all tests, of each class and of all classes together.
func (j *Judge) worst() finding {
	findings := j.all.findings(func(Reason) string { return "all classes: " + j.describeAnswers() })
	for _, class := range slices.Sorted(maps.Keys(j.classes)) {
		c := j.classes[class]
		findings = append(findings, c.findings(func(r Reason) string { return "class " + class + ": " + c.describe(r) })...)
	}
	return slices.MaxFunc(findings, func(a, b finding) int { return cmp.Compare(a.score, b.score) })
}

// overall returns how strongly the failures since the order speak against the version, over all classes.
func (j *Judge) overall() finding {
	var total sums
	for _, c := range j.classes {
		total = total.plus(c.old)
	}
	var score shareScores
	for _, c := range j.classes {
		old := trials{c.old.answers, c.old.failures}
		base := baseline(old, old, trials{total.answers, total.failures}, unknownFailures)
		for i, gain := range gainOf(trials{c.new.answers, c.new.failures}, base) {
			score[i] += gain
		}
	}
	return finding{score.highest(), ReasonFailures, func(Reason) string { return "since the order: " + j.describeAnswers() }}
}

func (t *tests) findings(describe func(Reason) string) []finding {
	return []finding{
		{t.failures.highest(), ReasonFailures, describe},
		{t.slow.highest(), ReasonSlow, describe},
		{t.timeScore(), ReasonTime, describe},
	}
}

func (f finding) String() string { return fmt.Sprintf("%s, score %.1f", f.describe(f.reason), f.score) }

// describe returns the figures of a class that a test compared.
func (c *comparison) describe(reason Reason) string {
	switch reason {
	case ReasonFailures:
		return fmt.Sprintf("%d failures of %d answers, others %d of %d, expected share %.3f",
			c.new.failures, c.new.answers, c.old.failures, c.old.answers, c.failureBase)
	case ReasonSlow:
		return fmt.Sprintf("%d slow of %d answers, others %d of %d, expected share %.3f",
			c.new.slow, c.new.answers, c.old.slow, c.old.answers, c.slowBase)
	default:
		ratio, _ := c.timeRatio()
		return fmt.Sprintf("%.1f times as long for the same work since the order, %d answers", ratio, c.new.answers)
	}
}

// answers returns the number of answers of the new version.
func (j *Judge) answers() (total uint64) {
	for _, c := range j.classes {
		total += c.new.answers
	}
	return total
}

func (j *Judge) describeAnswers() string {
	var all sides
	for _, c := range j.classes {
		all = sides{all.new.plus(c.new), all.old.plus(c.old)}
	}
	ratio, _ := all.timeRatio()
	return fmt.Sprintf("%d failures and %d slow of %d answers, others %d and %d of %d, %.1f times as long for the same work",
		all.new.failures, all.new.slow, all.new.answers, all.old.failures, all.old.slow, all.old.answers, ratio)
}
