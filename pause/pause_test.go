package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a wait that ends at the wrong time, or that continues after its context has ended.
func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		require.True(t, For(context.Background(), time.Minute))
		require.Equal(t, time.Minute, time.Since(start))

		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		start = time.Now()
		require.False(t, For(ctx, time.Minute))
		require.Equal(t, time.Second, time.Since(start))
	})
}

// Guards against a loop that runs before its first interval has passed, or that goes on after its context has ended.
func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 3500*time.Millisecond)
		defer cancel()
		var ticks []time.Duration
		Every(ctx, time.Second, func(now time.Time) { ticks = append(ticks, now.Sub(start)) })
		require.Equal(t, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, ticks)
		require.Equal(t, 3500*time.Millisecond, time.Since(start))
	})
}
