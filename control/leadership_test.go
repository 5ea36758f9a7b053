package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/quorum/replica"
)

// Guards against a new leader that completes a version by evidence older than that of the log: one that cannot commit for
// longer than completionDelay, or that was replaced and elected again between two rounds.
func TestNewLeaderCompletesOnlyByTheWholeLog(t *testing.T) {
	var l leadership
	now := time.Unix(1_700_000_000, 0)
	status := replica.Status{Term: 3, Last: 20, Applied: 12}
	l.observe(status, true, now)
	now = now.Add(2 * completionDelay)
	l.observe(status, true, now)
	require.False(t, l.mayComplete(status, now), "entries of earlier leaders are not applied")
	status.Last, status.Applied = 22, 20
	l.observe(status, true, now)
	require.True(t, l.mayComplete(status, now))

	status.Term, status.Last = 5, 25
	l.observe(status, true, now)
	require.False(t, l.mayComplete(status, now), "another leader was in between")
	status.Applied = 25
	require.False(t, l.mayComplete(status, now), "entries have not reported yet")
	require.True(t, l.mayComplete(status, now.Add(completionDelay)))

	l.observe(status, false, now)
	require.False(t, l.mayComplete(status, now.Add(completionDelay)))
}
