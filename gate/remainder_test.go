package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Guards against a run that has passed its expected length and counts as about to end, and against a remainder that differs
// from that of an older version when the entry sends no upper length.
func TestRemainderFollowsTheDistribution(t *testing.T) {
	known := &wire.Work{OutputTokens: 200, OutputTokensUpper: 400}
	require.InDelta(t, 200, remainingTokens(known, 0, medianRemainder), 1e-6)
	require.InEpsilon(t, 400, remainingTokens(known, 0, upperRemainder), 1e-3)
	for _, generated := range []uint32{200, 400, 800, 5000} {
		expected, upper := remainingTokens(known, generated, medianRemainder), remainingTokens(known, generated, upperRemainder)
		require.GreaterOrEqual(t, upper, expected, "%d tokens", generated)
		require.Greater(t, expected, 20.0, "%d tokens", generated)
	}
	unknown := &wire.Work{OutputTokens: 200}
	require.EqualValues(t, 150, remainingTokens(unknown, 50, upperRemainder))
	require.Zero(t, remainingTokens(unknown, 250, medianRemainder))
	bounded := &wire.Work{OutputTokens: 200, OutputTokensUpper: 200}
	require.EqualValues(t, 150, remainingTokens(bounded, 50, medianRemainder))
	require.Zero(t, remainingTokens(&wire.Work{OutputTokensUpper: 400}, 10, medianRemainder))
}

// Guards against a forecast of free slots by which a run ends at once because it is longer than expected, and against a
// suspended run that is resumed too late for the length that it may still have.
func TestRunPastItsExpectedLengthHasARemainder(t *testing.T) {
	b := newReadyHarness(t)
	b.trainPace(10*time.Millisecond, 400)
	b.start(entryA, id("r", 1), workOf(func(w *wire.Work) { w.OutputTokens, w.OutputTokensUpper, w.AbandonMs = 20, 100, 60_000 }))
	b.streamTokens(id("r", 1), 20*time.Millisecond, 40)
	run := b.gate.find(id("r", 1))
	require.Greater(t, b.gate.remainingTime(run), 200*time.Millisecond)
	require.Greater(t, b.gate.upperRemainingTime(run), b.gate.remainingTime(run))
	next, known := b.gate.nextFree()
	require.True(t, known)
	require.Equal(t, b.gate.remainingTime(run), next)
	run.deadline = b.now.Add(3 * time.Second)
	require.LessOrEqual(t, b.gate.resumeBy(run), run.deadline.Add(-b.gate.upperRemainingTime(run)))
}
