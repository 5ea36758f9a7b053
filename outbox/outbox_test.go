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

// Symptom: what servers crashed under is forgotten after a loss of control. Sequence: nobody commits proposals for a minute; then
// control is back. Cause: proposals given up after some tries.
func TestItemsAreCommittedOnceControlIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		back := time.Now().Add(time.Minute)
		var committed []string
		var at time.Time
		retried := 0
		r := New(Options{
			Log:     &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
			OnRetry: func() { retried++ },
			Propose: func(_ context.Context, command *wire.Command) (*wire.CommandResult, error) {
				if time.Now().Before(back) {
					return nil, errors.New("no leader")
				}
				committed = append(committed, command.GetNoteCrash().GetCrash().GetId())
				at = time.Now()
				return &wire.CommandResult{}, nil
			},
		})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- r.Run(ctx) }()
		for _, id := range []string{"a", "b"} {
			r.Put(CrashReport(&wire.NoteCrash{Crash: &wire.Crash{Id: id, Server: "s"}}))
		}
		time.Sleep(30 * time.Second)
		require.Empty(t, committed)
		require.EqualValues(t, 2, r.Pending())
		time.Sleep(time.Minute)
		require.Equal(t, []string{"a", "b"}, committed, "in their order")
		require.LessOrEqual(t, at.Sub(back), retryMax)
		require.Zero(t, r.Pending())
		require.Positive(t, retried)
		stop()
		require.NoError(t, <-done)
	})
}

func TestFullRingRefusesItems(t *testing.T) {
	refused := 0
	r := New(Options{
		Log:       &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		OnRefused: func(string) { refused++ },
	})
	for range capacity + 3 {
		r.Put(CrashReport(&wire.NoteCrash{}))
	}
	require.Equal(t, 3, refused)
	require.EqualValues(t, capacity, r.Pending())
}
