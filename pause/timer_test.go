package pause

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTimerIsBroughtForwardAndNeverPutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		timer := NewTimer(time.Second)
		defer timer.Stop()
		timer.FireWithin(time.Minute)
		timer.FireWithin(100 * time.Millisecond)
		timer.FireWithin(500 * time.Millisecond)
		<-timer.C()
		require.Equal(t, 100*time.Millisecond, time.Since(begun))
		timer.Rearm(2 * time.Second)
		<-timer.C()
		require.Equal(t, 2100*time.Millisecond, time.Since(begun))
	})
}
