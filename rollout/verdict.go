package rollout

import (
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Decision is what becomes of a roll-out.
type Decision int

// Decisions.
const (
	Continue Decision = iota
	Complete
	Revert
)

// State returns the state in which a roll-out ends by the decision.
func (d Decision) State() wire.RolloutState {
	switch d {
	case Complete:
		return wire.RolloutState_ROLLOUT_STATE_COMPLETED
	case Revert:
		return wire.RolloutState_ROLLOUT_STATE_REVERTED
	default:
		return wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS
	}
}

// Reason is what a decision was made by. It is the value of a metric label, and the first word of the reason that is
// stored with the roll-out.
type Reason string

// Reasons. The first three revert a roll-out as soon as the result is certain.
const (
	ReasonFailures       Reason = "failures"        // a larger share of failures than the other versions
	ReasonSlow           Reason = "slow"            // a larger share of slow answers
	ReasonTime           Reason = "time"            // several times as long for the same work
	ReasonSuspicion      Reason = "suspicion"       // not certain, but likely to be bad when the time ran out
	ReasonNoServers      Reason = "no_servers"      // none of the version when the time ran out
	ReasonNothingAgainst Reason = "nothing_against" // compared with enough answers
	ReasonFewAnswers     Reason = "few_answers"     // too few to compare, and none of them bad
)

// Verdict is a decision with its reason. Detail has the figures.
type Verdict struct {
	Decision Decision
	Reason   Reason
	Detail   string
}

// String returns the reason in the form that is stored with a roll-out.
func (v Verdict) String() string {
	if v.Detail == "" {
		return string(v.Reason)
	}
	return string(v.Reason) + ": " + v.Detail
}

// Observation is what is known of a roll-out at a time.
type Observation struct {
	Counts []*wire.RolloutCount // sums since the order, each at least as high as in the observation before
	UnixMS uint64               // leader's clock
	// Servers is the number of servers of the new version that take work.
	Servers int
}

// Timing of verdicts.
const (
	// A version may become bad later, so it is watched as long as is safe. A fifth of the time is left for a leader that
	// fails at that moment.
	completionNumerator, completionDenominator = 4, 5
	// maxEndMargin is the time before the end at which the last verdict is made. An acknowledgement may take 5 s when a
	// leader fails, and 1 s otherwise. endMarginShare bounds it for short roll-outs.
	maxEndMargin   = 3 * time.Second
	endMarginShare = 10
	// stepInterval is the least time between two comparisons. Shorter ones hold too few answers of the other versions to
	// say what they did in the meantime.
	stepInterval = 500 * time.Millisecond
)

// minAnswers is the number of answers of the new version below which a version is not completed before the end. With none
// of 60 bad, the share of bad ones is below 5% with 95% confidence (rule of three).
const minAnswers = 60

// Judge compares the versions of one roll-out. It holds the scores of the tests between observations; a judge that starts
// in the middle, after a change of leader, takes all evidence as one step. It is not safe for concurrent use.
type Judge struct {
	to                    string
	orderedMS, durationMS uint64
	classes               map[string]*comparison
	all                   tests // over all classes, since a version that is bad in all of them shows earlier there
	lastStepMS            uint64
}

// NewJudge returns a judge of a roll-out in progress.
func NewJudge(r *wire.Rollout) *Judge {
	return &Judge{
		to:         r.GetTo(),
		orderedMS:  r.GetOrderedUnixMs(),
		durationMS: r.GetDurationMs(),
		classes:    make(map[string]*comparison),
	}
}

// Decide returns the verdict on an observation. Times must not go back.
func (j *Judge) Decide(o Observation) Verdict {
	elapsed := o.UnixMS - min(o.UnixMS, j.orderedMS)
	last := elapsed >= j.durationMS-j.endMarginMS()
	if last || o.UnixMS >= j.lastStepMS+uint64(stepInterval.Milliseconds()) {
		j.lastStepMS = o.UnixMS
		j.step(o)
	}
	worst := j.worst()
	switch {
	case worst.score >= certain:
		return Verdict{Revert, worst.reason, worst.String()}
	case last:
		return j.lastVerdict(o, worst)
	case elapsed < j.durationMS/completionDenominator*completionNumerator,
		o.Servers == 0, j.answers() < minAnswers, worst.score >= suspicious, j.overall().score >= suspiciousOverall:
		return Verdict{}
	}
	return Verdict{Complete, ReasonNothingAgainst, j.describeAnswers()}
}

func (j *Judge) endMarginMS() uint64 {
	return min(uint64(maxEndMargin.Milliseconds()), j.durationMS/endMarginShare)
}

// lastVerdict decides shortly before the end, when a roll-out can't stay undecided.
func (j *Judge) lastVerdict(o Observation, worst finding) Verdict {
	enough := j.answers() >= minAnswers
	switch {
	case o.Servers == 0:
		// Completing would leave the service without any server: the old ones stop, and there are no others.
		return Verdict{Revert, ReasonNoServers, j.describeAnswers()}
	case worst.score >= suspicious, !enough && worst.score >= suspiciousOfFew:
		return Verdict{Revert, ReasonSuspicion, worst.String()}
	case j.overall().score >= suspiciousOverall:
		return Verdict{Revert, ReasonSuspicion, j.overall().String()}
	case enough:
		return Verdict{Complete, ReasonNothingAgainst, j.describeAnswers()}
	default:
		return Verdict{Complete, ReasonFewAnswers, j.describeAnswers()}
	}
}
