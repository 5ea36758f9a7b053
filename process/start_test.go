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

// Guards against a restart loop that takes all processor time: a process that exits whenever a resource is missing is
// restarted by the platform at once, hundreds of times in half a minute.
func TestStartWithRetryBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := memory.New()
		logger := &log.Logger{Handler: lines, Level: log.InfoLevel}
		attempts := 0
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := StartWithRetry(ctx, logger, func() (int, error) {
			attempts++
			return 0, errors.New("no room")
		})
		require.Error(t, err)
		require.LessOrEqual(t, attempts, 62)
		require.Len(t, lines.Entries, 1, "an unchanged error is logged once")
	})
}

// Guards against giving up after the first failure, and against a new error that isn't logged.
func TestStartWithRetrySucceedsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := memory.New()
		logger := &log.Logger{Handler: lines, Level: log.InfoLevel}
		causes := []error{errors.New("address in use"), errors.New("disk full"), errors.New("disk full"), nil}
		started, err := StartWithRetry(t.Context(), logger, func() (int, error) {
			cause := causes[0]
			causes = causes[1:]
			return 7, cause
		})
		require.NoError(t, err)
		require.Equal(t, 7, started)
		require.Len(t, lines.Entries, 2)
	})
}
