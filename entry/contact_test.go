package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/clock"
	"github.com/carawaypitch/carawaypitch/sched"
)

// Guards against a retry budget that takes an old contact with control for a new one after the machine was suspended: the
// scheduler's clock didn't go on meanwhile.
func TestSchedulerLearnsOfSuspensionWithRetryBudget(t *testing.T) {
	now := time.Now()
	e := &Entry{now: func() time.Time { return now }}
	e.settings.Limits.RetryRatio = 0.2
	e.contact.confirmed.Store(int64(clock.SinceBoot()))
	first, told := e.contactEvent(sched.Tick{})
	require.True(t, told)
	now = now.Add(contactCheckInterval)
	_, told = e.contactEvent(sched.Tick{})
	require.False(t, told, "nothing new")
	e.contact.toldAt = e.contact.toldAt.Add(time.Minute) // as if the two clocks had drifted apart
	now = now.Add(contactCheckInterval)
	again, told := e.contactEvent(sched.Tick{})
	require.True(t, told)
	require.WithinDuration(t, first.ConfirmedAt, again.ConfirmedAt, time.Second)
	e.settings.Limits.RetryRatio = 0
	e.contact.toldAt = e.contact.toldAt.Add(time.Minute)
	now = now.Add(contactCheckInterval)
	_, told = e.contactEvent(sched.Tick{})
	require.False(t, told, "neither a budget nor a roll-out")
}
