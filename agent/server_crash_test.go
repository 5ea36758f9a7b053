package agent

import (
	"context"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/standin"
)

// scriptedLoads is a client whose load calls return these errors, and then the last one repeatedly.
type scriptedLoads struct {
	engine.Client
	errs  []error
	calls int
}

func (l *scriptedLoads) Load(context.Context) (engine.Load, error) {
	err := l.errs[min(l.calls, len(l.errs)-1)]
	l.calls++
	return engine.Load{}, err
}

func TestOnlyRefusedConnectionProvesProcessEnded(t *testing.T) {
	refused := errors.Wrap(syscall.ECONNREFUSED, "dial")
	unknown := errors.Wrap(engine.ErrOutcomeUnknown, "reset")
	for name, test := range map[string]struct {
		errs  []error
		ended bool
	}{
		"refused":                    {[]error{refused}, true},
		"reset, then refused":        {[]error{unknown, unknown, refused}, true},
		"answers":                    {[]error{nil}, false},
		"answers without a report":   {[]error{errors.Wrap(engine.ErrUnsupported, "load")}, false},
		"no answer":                  {[]error{context.DeadlineExceeded}, false},
		"reset repeatedly":           {[]error{unknown}, false},
		"reset, then answers":        {[]error{unknown, nil, refused}, false},
		"refused after the last try": {[]error{unknown, unknown, unknown, unknown, unknown, refused}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				require.Equal(t, test.ended, processEnded(t.Context(), &scriptedLoads{errs: test.errs}))
			})
		})
	}
}

// A crash of an engine must be counted and logged with the requests that it ran, or operators can't find its cause. An
// answer that breaks off without a crash must not be counted.
func TestCrashIsCounted(t *testing.T) {
	withModelEnv(t, func(env *testEnv, model *standin.Server, entry *fakeEntry) {
		entry.dispatch(longCompletionDispatch("r1", 1))
		entry.dispatch(longCompletionDispatch("r2", 1))
		env.waitUntil("the streams run", func() bool { return entry.eventCount("r1", 1) > 3 && entry.eventCount("r2", 1) > 3 })
		crashes := env.agent.meter.set.GetOrCreateCounter(metricCrashes)
		model.Crash(time.Second)
		env.waitUntil("the crash is counted", func() bool { return crashes.Get() == 1 })
		entry.awaitOver("r1", 1)
		entry.awaitOver("r2", 1)

		require.NoError(t, model.SetFaults(standin.Faults{CutAnswer: 1}))
		entry.dispatch(longCompletionDispatch("r3", 1))
		entry.awaitOver("r3", 1)
		require.EqualValues(t, 1, crashes.Get())
	})
}
