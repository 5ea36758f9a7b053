package pause

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a timer that a later FireWithin postpones: work that is due would be done late.
func TestTimerFireWithinOnlyShortens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		timer := NewTimer(time.Second)
		defer timer.Stop()
		timer.FireWithin(time.Minute)
		timer.FireWithin(100 * time.Millisecond)
		timer.FireWithin(500 * time.Millisecond)
		<-timer.C()
		require.Equal(t, 100*time.Millisecond, time.Since(start))
		timer.Rearm(2 * time.Second)
		<-timer.C()
		require.Equal(t, 2100*time.Millisecond, time.Since(start))
	})
}
