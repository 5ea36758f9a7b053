package outbox

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Control is unavailable for a minute. Items must be retried until it is back, or reports of crashes would be lost.
// They must be committed in order and soon after.
func TestItemsAreRetriedUntilControlIsAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		availableAt := time.Now().Add(time.Minute)
		var committed []string
		var committedAt time.Time
		retries := 0
		o := New(Options{
			Log:     &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
			OnRetry: func() { retries++ },
			Propose: func(_ context.Context, command *wire.Command) (*wire.CommandResult, error) {
				if time.Now().Before(availableAt) {
					return nil, errors.New("no leader")
				}
				committed = append(committed, command.GetNoteCrash().GetCrash().GetId())
				committedAt = time.Now()
				return &wire.CommandResult{}, nil
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- o.Run(ctx) }()
		for _, id := range []string{"a", "b"} {
			o.Put(CrashReport(&wire.NoteCrash{Crash: &wire.Crash{Id: id, Server: "s"}}))
		}
		time.Sleep(30 * time.Second)
		require.Empty(t, committed)
		require.EqualValues(t, 2, o.Pending())
		time.Sleep(time.Minute)
		require.Equal(t, []string{"a", "b"}, committed, "in the order in which they were queued")
		require.LessOrEqual(t, committedAt.Sub(availableAt), retryMax)
		require.Zero(t, o.Pending())
		require.Positive(t, retries)
		cancel()
		require.NoError(t, <-done)
	})
}

// A full queue must refuse further items, count them, and not report them as pending.
func TestFullRingRefusesItems(t *testing.T) {
	refused := 0
	o := New(Options{
		Log:       &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		OnRefused: func(string) { refused++ },
	})
	for range capacity + 3 {
		o.Put(CrashReport(&wire.NoteCrash{}))
	}
	require.Equal(t, 3, refused)
	require.EqualValues(t, capacity, o.Pending())
}
