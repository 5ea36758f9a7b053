package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
