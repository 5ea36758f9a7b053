package process

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

// Symptom: a process is started hundreds of times in half a minute, and its machine has no time for anything else. Sequence:
// what it needs to start is missing for good; the platform starts it again at once. Cause: it ended with each failure.
func TestStartWaitsLongerEachTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := memory.New()
		logger := &log.Logger{Handler: lines, Level: log.InfoLevel}
		tries := 0
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := StartWithRetry(ctx, logger, func() (int, error) {
			tries++
			return 0, errors.New("no room")
		})
		require.Error(t, err)
		require.LessOrEqual(t, tries, 62)
		require.Len(t, lines.Entries, 1, "a reason is told once")
	})
}

func TestStartSucceedsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := memory.New()
		logger := &log.Logger{Handler: lines, Level: log.InfoLevel}
		causes := []error{errors.New("address in use"), errors.New("disk full"), errors.New("disk full"), nil}
		made, err := StartWithRetry(t.Context(), logger, func() (int, error) {
			cause := causes[0]
			causes = causes[1:]
			return 7, cause
		})
		require.NoError(t, err)
		require.Equal(t, 7, made)
		require.Len(t, lines.Entries, 2)
	})
}
