package ring_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/ring"
)

// Guards against a full ring that blocks its producer or drops an item without counting it.
func TestTryPushRefusesWhenFull(t *testing.T) {
	r := ring.New[int]("test", 2)
	require.True(t, r.TryPush(1))
	require.True(t, r.TryPush(2))
	require.False(t, r.TryPush(3))
	require.Equal(t, uint64(1), r.Refused())
	require.Equal(t, 2, r.Len())
	require.Equal(t, 2, r.Cap())
	require.Equal(t, "test", r.Name())
	require.Equal(t, 1, <-r.C())
}

// Guards against Push losing an item, or returning early, while the ring is full.
func TestPushWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := ring.New[int]("test", 1)
		require.True(t, r.TryPush(1))
		pushed := false
		go func() {
			pushed = r.Push(t.Context(), 2) == nil
		}()
		synctest.Wait()
		require.False(t, pushed)
		require.Equal(t, 1, <-r.C())
		synctest.Wait()
		require.True(t, pushed)
	})
}

// Guards against a daemon that doesn't stop because a goroutine blocks on a full or empty ring and ignores the end of
// the daemon's context.
func TestWaitsEndWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stop := errors.New("stop")
		ctx, cancel := context.WithCancelCause(t.Context())
		full := ring.New[int]("full", 1)
		full.TryPush(1)
		empty := ring.New[int]("empty", 1)
		errs := make(chan error, 3)
		go func() { errs <- full.Push(ctx, 2) }()
		go func() { _, err := empty.Pop(ctx); errs <- err }()
		go func() { _, err := empty.PopBatch(ctx, make([]int, 1)); errs <- err }()
		synctest.Wait()
		require.Empty(t, errs)
		cancel(stop)
		for range cap(errs) {
			require.ErrorIs(t, <-errs, stop)
		}
		require.ErrorIs(t, empty.Push(ctx, 1), stop)
		require.Zero(t, empty.Len())
	})
}

// Guards against a batch that blocks for more items once it has one, or that loses items beyond the buffer.
func TestPopBatchTakesAvailableItems(t *testing.T) {
	r := ring.New[int]("test", 4)
	for v := range 3 {
		r.TryPush(v)
	}
	buf := make([]int, 2)
	n, err := r.PopBatch(t.Context(), buf)
	require.NoError(t, err)
	require.Equal(t, []int{0, 1}, buf[:n])
	n, err = r.PopBatch(t.Context(), buf)
	require.NoError(t, err)
	require.Equal(t, []int{2}, buf[:n])
	n, err = r.PopBatch(t.Context(), nil)
	require.NoError(t, err)
	require.Zero(t, n)
}

// Guards against items that are lost or delivered twice with concurrent producers and consumers.
func TestManyProducersAndConsumers(t *testing.T) {
	const producers, each = 4, 500
	r := ring.New[int]("test", 3)
	ctx := t.Context()
	for range producers {
		go func() {
			for v := range each {
				_ = r.Push(ctx, v)
			}
		}()
	}
	sums := make([]int, producers)
	var group sync.WaitGroup
	for i := range sums {
		group.Go(func() {
			for range each {
				v, _ := r.Pop(ctx)
				sums[i] += v
			}
		})
	}
	group.Wait()
	total := 0
	for _, s := range sums {
		total += s
	}
	require.Equal(t, producers*each*(each-1)/2, total)
}

// Guards against a ring without capacity, which would refuse every TryPush.
func TestCapacityBelowOnePanics(t *testing.T) {
	require.Panics(t, func() { ring.New[int]("test", 0) })
}
