package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Guards against a new leader that completes a version by evidence older than that of the log: one that cannot commit for
// longer than completionDelay, or that was replaced and elected again between two rounds.
func TestNewLeaderCompletesOnlyByTheWholeLog(t *testing.T) {
	var l Leadership
	now := time.Unix(1_700_000_000, 0)
	standing := Standing{Leads: true, Term: 3, Last: 20, Applied: 12}
	l.Observe(standing, now)
	now = now.Add(2 * completionDelay)
	l.Observe(standing, now)
	require.False(t, l.MayComplete(standing, now), "entries of earlier leaders are not applied")
	standing.Last, standing.Applied = 22, 20
	l.Observe(standing, now)
	require.True(t, l.MayComplete(standing, now))

	standing.Term, standing.Last = 5, 25
	l.Observe(standing, now)
	require.False(t, l.MayComplete(standing, now), "another leader was in between")
	standing.Applied = 25
	require.False(t, l.MayComplete(standing, now), "entries have not reported yet")
	require.True(t, l.MayComplete(standing, now.Add(completionDelay)))

	standing.Leads = false
	l.Observe(standing, now)
	require.False(t, l.MayComplete(standing, now.Add(completionDelay)))
}

// Guards against failures that are dropped since no answers seem to have come with them: after a restart of all control
// instances, the answers of the living entries stay hidden until there are more of them than the log has of dead ones.
func TestFailuresCountWhileAnswersAreHidden(t *testing.T) {
	record := &wire.Rollout{Pool: "p", To: "v2", OrderedUnixMs: 1000, DurationMs: 60_000, Counts: []*wire.RolloutCount{
		{Version: "v1", Class: "one", Answers: 2000, Work: 2000, TimeMs: 2000},
		{Version: "v2", Class: "one", Answers: 100, Work: 100, TimeMs: 100},
	}}
	trial := NewTrial(record)
	now := time.UnixMilli(2000)
	var step Step
	for failures := uint64(0); failures <= 20 && step.Verdict.Decision == Continue; failures++ {
		heard := []*wire.RolloutCount{{Version: "v2", Class: "one", Answers: 4 * failures, Failures: failures}}
		step = trial.Next(Look{Record: record, Heard: heard, Servers: 1, UnixMS: uint64(now.UnixMilli()), Leads: true}, now)
		now = now.Add(time.Second)
	}
	require.Equal(t, Revert, step.Verdict.Decision)
	require.Equal(t, ReasonFailures, step.Verdict.Reason)
}

// Guards against a version that fails twice as often as the others and is completed, since in each single step the failures of
// the others may have been more than on average.
func TestFailuresOfTheWholeTimeCount(t *testing.T) {
	j := NewJudge(&wire.Rollout{To: "v2", OrderedUnixMs: startMS, DurationMs: 100_000})
	var answers, failures, others uint64
	var v Verdict
	for second := uint64(1); second <= 97; second++ {
		answers += 4
		if second%2 == 0 {
			failures, others = failures+1, others+8
		}
		v = j.Decide(Observation{UnixMS: startMS + 1000*second, Servers: 1, Counts: []*wire.RolloutCount{
			testCount("v1", 20*answers, others), testCount("v2", answers, failures),
		}})
		if second < 97 {
			require.Equal(t, Verdict{}, v, "second %d", second)
		}
	}
	require.Equal(t, Revert, v.Decision)
	require.Contains(t, v.String(), "suspicion: since the order")
}
