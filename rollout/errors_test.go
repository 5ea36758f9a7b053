package rollout

import (
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"

	"github.com/stretchr/testify/assert"

	"github.com/carawaypitch/carawaypitch/wire"
)

// decider is one way to decide.
type decider interface {
	Decide(Observation) Verdict
}

// waysInUse is the number of ways at the front of weighed that are in use.
const waysInUse = 2

// weighed are the ways that were weighed.
var weighed = []struct {
	name string
	make func(*wire.Rollout) decider
}{
	{"cusum", func(r *wire.Rollout) decider { return NewJudge(r) }},
	{"cusum, control restarts once", func(r *wire.Rollout) decider { return &restartingJudge{Judge: NewJudge(r), rollout: r} }},
	{"likelihood ratio of sums", func(r *wire.Rollout) decider { return &sumsDecider{rollout: r, score: likelihoodScore} }},
	{"z test at each look", func(r *wire.Rollout) decider { return &sumsDecider{rollout: r, score: zScore} }},
}

// restartingJudge is replaced by a new judge after six tenths of the time, as when all control instances restart at
// once: shortly after a version became bad, when the old judge knew the most that a new one does not.
type restartingJudge struct {
	*Judge
	rollout  *wire.Rollout
	replaced bool
}

func (j *restartingJudge) Decide(o Observation) Verdict {
	if !j.replaced && o.UnixMS-j.rollout.GetOrderedUnixMs() >= j.rollout.GetDurationMs()*6/10 {
		j.Judge, j.replaced = NewJudge(j.rollout), true
	}
	return j.Judge.Decide(o)
}

// sumsDecider decides by the sums since the order alone, with the ends of the Judge.
type sumsDecider struct {
	rollout *wire.Rollout
	score   func(new, old sums) (score, suspicious, certain float64)
}

func (d *sumsDecider) Decide(o Observation) Verdict {
	elapsed := o.UnixMS - d.rollout.GetOrderedUnixMs()
	byClass := make(map[string]sides)
	var answers uint64
	for _, c := range o.Counts {
		s, counted := byClass[c.GetClass()], sums{c.GetAnswers(), c.GetFailures(), c.GetSlow(), c.GetWork(), c.GetTimeMs()}
		if c.GetVersion() == d.rollout.GetTo() {
			s.new = counted
			answers += counted.answers
		} else {
			s.old = counted
		}
		byClass[c.GetClass()] = s
	}
	isSuspicious := false
	for _, s := range byClass {
		score, suspicious, certain := d.score(s.new, s.old)
		ratio, known := s.timeRatio()
		if score >= certain || known && s.new.answers >= 50 && ratio >= 2.5 {
			return Verdict{Decision: Revert}
		}
		isSuspicious = isSuspicious || score >= suspicious
	}
	switch {
	case elapsed >= d.rollout.GetDurationMs()-3000 && isSuspicious:
		return Verdict{Decision: Revert}
	case elapsed >= d.rollout.GetDurationMs()-3000, elapsed >= d.rollout.GetDurationMs()*4/5 && !isSuspicious && answers >= minAnswers:
		return Verdict{Decision: Complete}
	}
	return Verdict{}
}

// likelihoodScore is Wald's sequential test on the sums.
func likelihoodScore(new, old sums) (score, atEnd, atOnce float64) {
	for _, bad := range [][2]uint64{{new.failures, old.failures}, {new.slow, old.slow}} {
		base := baseline(trials{}, trials{old.answers, bad[1]}, trials{old.answers, bad[1]}, unknownFailures)
		gain := gainOf(trials{new.answers, bad[0]}, base)
		score = max(score, gain.highest())
	}
	return score, suspicious, certain
}

// zScore compares two shares with a bound for 200 looks (Bonferroni, error probability 0.001): 4.9 standard errors.
func zScore(new, old sums) (score, atEnd, atOnce float64) {
	for _, bad := range [][2]uint64{{new.failures, old.failures}, {new.slow, old.slow}} {
		if new.answers < 10 || old.answers < 10 {
			continue
		}
		pooled := max(float64(bad[0]+bad[1])/float64(new.answers+old.answers), minBaseline)
		deviation := math.Sqrt(pooled * (1 - pooled) * (1/float64(new.answers) + 1/float64(old.answers)))
		score = max(score, (float64(bad[0])/float64(new.answers)-float64(bad[1])/float64(old.answers))/deviation)
	}
	return score, 3.5, 4.9
}

// outcome is how one schedule ended.
type outcome struct {
	decision Decision
	reason   Reason
	seconds  int     // from the first spoiled answer, or from the order, to the verdict
	spoiled  float64 // answers until the verdict
	late     bool    // later than 3 s after the 50th spoiled answer; 2 s are left for commit and delivery
}

func play(s *schedule, d decider) outcome {
	firstBad, fiftieth := -1, -1
	for second := range s.seconds {
		s.step(second)
		if firstBad < 0 && s.spoiledAnswers > 0 {
			firstBad = second
		}
		if fiftieth < 0 && s.spoiledAnswers >= 50 {
			fiftieth = second
		}
		if v := d.Decide(s.observation(second + 1)); v.Decision != Continue {
			return outcome{v.Decision, v.Reason, second + 1 - max(firstBad, 0), s.spoiledAnswers, fiftieth >= 0 && second > fiftieth+3}
		}
	}
	return outcome{decision: Continue}
}

// scheduleCount is the number of schedules for each way and badness.
const scheduleCount = 2000

// playAll plays all schedules of one kind by one way.
func playAll(bad badness, way func(*wire.Rollout) decider, firstSeed uint64) []outcome {
	outcomes := make([]outcome, scheduleCount)
	var group sync.WaitGroup
	limit := make(chan struct{}, min(runtime.GOMAXPROCS(0), 4))
	for i := range outcomes {
		limit <- struct{}{}
		group.Go(func() {
			defer func() { <-limit }()
			s := newSchedule(firstSeed+uint64(i), bad)
			outcomes[i] = play(s, way(s.rollout()))
		})
	}
	group.Wait()
	return outcomes
}

// verdictErrors are the bounds on shares of wrong and late verdicts.
type verdictErrors struct{ wrong, late float64 }

// Guards against verdicts that are wrong in either direction or too late: a good version that is reverted because of noise,
// slower machines or a disturbance of the whole service, and a bad one that is completed, or found after too many bad
// answers. With -v, prints the figures of all ways that were weighed.
func TestVerdictErrors(t *testing.T) {
	bounds := map[badness]verdictErrors{
		good:          {wrong: 0.005},
		failsAtOnce:   {wrong: 0.001, late: 0.02},
		slowFourTimes: {wrong: 0.001, late: 0.02},
		// On servers of 0.6 times the mean time, a version that takes four times as long is hard to tell from a good one on
		// servers of 1.7 times the mean. Only the entries can, which know the speeds of their servers.
		slowUnflagged: {wrong: 0.01, late: 0.15},
		failsLate:     {wrong: 0.005, late: 0.03},
		failsOneClass: {wrong: 0.001, late: 0.02},
		failsInLoad:   {wrong: 0.005, late: 0.03},
	}
	firstSeed, _ := strconv.ParseUint(os.Getenv("ROLLOUT_SEED"), 10, 64)
	var table strings.Builder
	w := tabwriter.NewWriter(&table, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "way\tversion\tschedules\twrong\tafter 50 spoiled\tlate\ts to verdict, median\t95%")
	ways := weighed
	if !testing.Verbose() {
		ways = ways[:waysInUse] // the others are for the printed table only
	}
	for i, way := range ways {
		for _, bad := range allBadness {
			outcomes := playAll(bad, way.make, firstSeed)
			wrong, informed, late, seconds := 0, 0, 0, []int{}
			reasons := map[Reason]int{}
			for _, o := range outcomes {
				if (o.decision == Revert) != (bad != good) || o.decision == Continue {
					wrong++
					reasons[o.reason]++
					if o.spoiled >= 50 {
						informed++
					}
				}
				if o.late && bad != good {
					late++
				}
				seconds = append(seconds, o.seconds)
			}
			slices.Sort(seconds)
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", way.name, bad, len(outcomes), wrong, informed, late, seconds[len(seconds)/2], seconds[len(seconds)*95/100])
			if i < waysInUse {
				if i > 0 && bad == failsLate {
					bounds[bad] = verdictErrors{wrong: 0.01, late: 0.03} // a new judge sees the earlier good answers in one sum with the bad ones
				}
				assert.LessOrEqual(t, float64(wrong), bounds[bad].wrong*float64(len(outcomes)), "%s: wrong verdicts %v", bad, reasons)
				assert.LessOrEqual(t, float64(late), bounds[bad].late*float64(len(outcomes)), "%s: late verdicts", bad)
			}
		}
	}
	_ = w.Flush()
	t.Logf("\n%s", table.String())
}
