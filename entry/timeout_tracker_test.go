package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Callers that set out with the same time are not behind, also those of an organisation that gives them less than others do.
func TestCallersThatSetOutHaveUsedNothing(t *testing.T) {
	p := newPatience()
	for range 200 {
		require.Zero(t, p.used("permit", "a", 4*time.Second))
		require.Zero(t, p.used("permit", "b", 2*time.Second))
		require.Zero(t, p.used("chat", "a", 15*time.Second))
	}
}

// Symptom: of a class under overload as many answers are late by their callers' count as are in time. Sequence: callers are refused at
// their objective and come back with what is left of their time, each after a time of its own. Cause: a try counted from its
// arrival here.
func TestCallersThatComeBackHaveUsedTheRest(t *testing.T) {
	const limit = 4 * time.Second
	p := newPatience()
	for i := range 400 {
		organisation := fmt.Sprint("member-", i%16) // an entry of a large fleet sees few tries of each
		require.Zero(t, p.used("permit", organisation, limit), "one that sets out")
		away := 850*time.Millisecond + time.Duration(i*37%1000)*time.Millisecond
		used := p.used("permit", organisation, limit-away)
		if i > patienceCommon {
			require.Equal(t, away, used)
		}
	}
}

// Callers of an organisation that gives them less time than the others do aren't behind, also where they are few.
func TestOrganisationWithLessTimeIsNotBehind(t *testing.T) {
	p := newPatience()
	for i := range 4000 {
		require.Zero(t, p.used("permit", "a", 4*time.Second))
		if i%100 == 0 && p.used("permit", "b", 2*time.Second) != 0 {
			require.Less(t, i/100, patienceCommon, "known by then")
		}
	}
}

// Callers of one class may set out with several limits: each that is common is one to set out with.
func TestSeveralCommonLimits(t *testing.T) {
	p := newPatience()
	for range patienceTries {
		p.used("permit", "a", 4*time.Second)
		p.used("permit", "a", 2*time.Second)
	}
	require.Zero(t, p.used("permit", "a", 4*time.Second))
	require.Zero(t, p.used("permit", "a", 2*time.Second))
	require.Equal(t, 500*time.Millisecond, p.used("permit", "a", 1500*time.Millisecond))
	require.Equal(t, time.Second, p.used("permit", "a", 3*time.Second))
}

// After the callers' limit has changed, it is known again within the tries that are remembered.
func TestNewLimitIsLearnt(t *testing.T) {
	p := newPatience()
	for range 2 * patienceTries {
		p.used("permit", "a", 4*time.Second)
	}
	for range patienceTries {
		p.used("permit", "a", 3*time.Second)
	}
	require.Zero(t, p.used("permit", "a", 3*time.Second))
}

func TestCallersWithoutALimitAreNeverBehind(t *testing.T) {
	p := newPatience()
	require.Zero(t, p.used("permit", "a", 0))
	require.Empty(t, p.tries)
}

func TestRememberedLimitsAreBounded(t *testing.T) {
	p := newPatience()
	for i := range 3 * patienceKeys {
		p.used("permit", time.Duration(i).String(), time.Second)
	}
	require.LessOrEqual(t, len(p.tries), patienceKeys)
}
