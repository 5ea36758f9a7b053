package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Callers on their first try have used no time, including those of an organisation with a shorter timeout than others.
func TestFirstTryHasNoElapsedTime(t *testing.T) {
	p := newTimeoutTracker()
	for range 200 {
		require.Zero(t, p.elapsedBefore("permit", "a", 4*time.Second))
		require.Zero(t, p.elapsedBefore("permit", "b", 2*time.Second))
		require.Zero(t, p.elapsedBefore("chat", "a", 15*time.Second))
	}
}

// Under overload as many answers would be late for their callers as in time if a retry were counted from its arrival
// here. Callers are refused at their objective and retry with their remaining time, each after a different delay.
func TestElapsedTimeOfRetryIsEstimated(t *testing.T) {
	const limit = 4 * time.Second
	p := newTimeoutTracker()
	for i := range 400 {
		organisation := fmt.Sprint("member-", i%16) // an entry of a large fleet sees few tries of each
		require.Zero(t, p.elapsedBefore("permit", organisation, limit), "first try")
		away := 850*time.Millisecond + time.Duration(i*37%1000)*time.Millisecond
		used := p.elapsedBefore("permit", organisation, limit-away)
		if i > commonTimeoutCount {
			require.Equal(t, away, used)
		}
	}
}

// Callers of an organisation with a shorter timeout than others are not taken for retries, even if they are few.
func TestOrganisationWithShorterTimeoutIsNotTakenForRetry(t *testing.T) {
	p := newTimeoutTracker()
	for i := range 4000 {
		require.Zero(t, p.elapsedBefore("permit", "a", 4*time.Second))
		if i%100 == 0 && p.elapsedBefore("permit", "b", 2*time.Second) != 0 {
			require.Less(t, i/100, commonTimeoutCount, "the shorter timeout must be common by then")
		}
	}
}

// Callers of one class may start with several timeouts: each one that is common counts as initial.
func TestSeveralCommonTimeouts(t *testing.T) {
	p := newTimeoutTracker()
	for range timeoutWindowSize {
		p.elapsedBefore("permit", "a", 4*time.Second)
		p.elapsedBefore("permit", "a", 2*time.Second)
	}
	require.Zero(t, p.elapsedBefore("permit", "a", 4*time.Second))
	require.Zero(t, p.elapsedBefore("permit", "a", 2*time.Second))
	require.Equal(t, 500*time.Millisecond, p.elapsedBefore("permit", "a", 1500*time.Millisecond))
	require.Equal(t, time.Second, p.elapsedBefore("permit", "a", 3*time.Second))
}

// After a change of the callers' timeout, the new one is recognised within one window of tries.
func TestChangedTimeoutIsLearned(t *testing.T) {
	p := newTimeoutTracker()
	for range 2 * timeoutWindowSize {
		p.elapsedBefore("permit", "a", 4*time.Second)
	}
	for range timeoutWindowSize {
		p.elapsedBefore("permit", "a", 3*time.Second)
	}
	require.Zero(t, p.elapsedBefore("permit", "a", 3*time.Second))
}

func TestCallerWithoutTimeoutHasNoElapsedTime(t *testing.T) {
	p := newTimeoutTracker()
	require.Zero(t, p.elapsedBefore("permit", "a", 0))
	require.Empty(t, p.windows)
}

func TestTrackedTimeoutsAreBounded(t *testing.T) {
	p := newTimeoutTracker()
	for i := range 3 * maxTimeoutKeys {
		p.elapsedBefore("permit", time.Duration(i).String(), time.Second)
	}
	require.LessOrEqual(t, len(p.windows), maxTimeoutKeys)
}
