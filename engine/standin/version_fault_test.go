package standin

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
)

// statusSink records the status of a service's answer.
type statusSink struct{ status int }

func (s *statusSink) Chunk(engine.Chunk) error { return nil }

func (s *statusSink) Answer(a engine.Answer) error {
	s.status = a.Status
	return nil
}

// callService makes a call and returns its status and duration.
func callService(t *testing.T, client *engine.HTTP, id, path string) (int, time.Duration) {
	t.Helper()
	request := serviceRequest(engine.AttemptID(id), "")
	request.Path = path
	sink := &statusSink{}
	start := time.Now()
	_, err := client.Run(context.Background(), request, sink)
	require.NoError(t, err)
	return sink.status, time.Since(start)
}

// Guards against tests of roll-outs whose bad versions are good: a fault must apply in the way, and only where and when, it is
// set to.
func TestVersionFaults(t *testing.T) {
	const path, other = "/v1/services/registry/check", "/v1/services/registry/issue"
	start := func(t *testing.T, fault VersionFault) *engine.HTTP {
		options := ServiceDefaults()
		options.ServiceTime = 10 * time.Millisecond
		options.Version, options.VersionFault = "v2", fault
		server, client := startServer(t, options)
		require.Equal(t, "v2", server.Announcement().Version)
		return client
	}
	failuresOf := func(t *testing.T, client *engine.HTTP, path string, n int) int {
		failures := 0
		for i := range n {
			if status, _ := callService(t, client, fmt.Sprint(path, i), path); status == 500 {
				failures++
			}
		}
		return failures
	}
	for name, check := range map[string]func(t *testing.T){
		"failures": func(t *testing.T) {
			require.InDelta(t, 60, failuresOf(t, start(t, VersionFault{Failures: 0.3}), path, 200), 20)
		},
		"slow": func(t *testing.T) {
			_, took := callService(t, start(t, VersionFault{Slow: 4}), "a.1", path)
			require.Equal(t, 40*time.Millisecond, took)
		},
		"later": func(t *testing.T) {
			client := start(t, VersionFault{Failures: 1, After: time.Minute})
			require.Zero(t, failuresOf(t, client, path, 10))
			time.Sleep(time.Minute)
			require.Equal(t, 10, failuresOf(t, client, path, 10))
		},
		"one route": func(t *testing.T) {
			client := start(t, VersionFault{Failures: 1, PathPrefix: path})
			require.Zero(t, failuresOf(t, client, other, 10))
			require.Equal(t, 10, failuresOf(t, client, path, 10))
		},
		"under load": func(t *testing.T) {
			client := start(t, VersionFault{Failures: 1, MinRunning: 3})
			require.Zero(t, failuresOf(t, client, path, 10))
			var wg sync.WaitGroup
			var mu sync.Mutex
			failures := 0
			for i := range 5 {
				wg.Go(func() {
					if status, _ := callService(t, client, fmt.Sprint("load.", i), path); status == 500 {
						mu.Lock()
						failures++
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			require.Equal(t, 3, failures, "the third and all after it")
		},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, check) })
	}
}

// The same for a model engine, whose slow answers take longer by a multiple of their own length.
func TestVersionFaultsOfAModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := func(fault VersionFault) (time.Duration, engine.End) {
			options := ModelDefaults()
			options.DecodePace, options.VersionFault = 10*time.Millisecond, fault
			_, client := startServer(t, options)
			start := time.Now()
			outcome, err := client.Run(t.Context(), completionRequest("a.1", 8, 20), tokenSink{})
			require.NoError(t, err)
			return time.Since(start), outcome.End
		}
		usual, _ := took(VersionFault{})
		slow, _ := took(VersionFault{Slow: 5})
		require.InDelta(t, 5*usual.Seconds(), slow.Seconds(), usual.Seconds()/4)
		_, end := took(VersionFault{Failures: 1})
		require.Equal(t, engine.EndFailed, end)
	})
}

// Guards against experiments that measure the exposure of a version wrongly: each run counts when it arrives, and a run that the
// fault spoils also when it ends.
func TestRunLogRecordsRunsAndSpoiledOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const path = "/v1/services/registry/check"
		log := NewRunLog(100)
		call := func(fault VersionFault, log *RunLog, n int) {
			options := ServiceDefaults()
			options.ServiceTime = 10 * time.Millisecond
			options.VersionFault, options.RunLog = fault, log
			_, client := startServer(t, options)
			for i := range n {
				callService(t, client, fmt.Sprint(i), path)
			}
		}
		call(VersionFault{}, nil, 1)
		call(VersionFault{}, log, 3)
		require.Len(t, log.Runs(), 3)
		require.Empty(t, log.Bad())
		call(VersionFault{Slow: 4}, log, 1)
		require.Len(t, log.Runs(), 4)
		require.Equal(t, 40*time.Millisecond, log.Bad()[0].Sub(log.Runs()[3]))
		call(VersionFault{Failures: 1, PathPrefix: "/other"}, log, 2)
		call(VersionFault{Failures: 1}, log, 2)
		require.Len(t, log.Runs(), 8)
		require.Len(t, log.Bad(), 3)
		call(VersionFault{Failures: 1}, log, 100)
		require.Len(t, log.Runs(), 100, "the limit")
	})
}

// Guards against old servers of an experiment that drain at the end of a roll-out, though the platform stops them at once.
func TestKillEndsRunsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := ServiceDefaults()
		options.ServiceTime = time.Hour
		server, client := startServer(t, options)
		start := time.Now()
		time.AfterFunc(time.Second, func() {
			server.Kill()
			server.Kill()
		})
		_, err := client.Run(t.Context(), serviceRequest("a.1", ""), &statusSink{})
		require.Error(t, err)
		require.Equal(t, time.Second, time.Since(start))
	})
}

// Guards against a slow version of a loaded engine that is slower by less than it is set to: with other runs in the batch, each run
// takes longer than alone, and its delay must grow with that.
func TestSlowVersionUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := func(fault VersionFault) time.Duration {
			options := ModelDefaults()
			options.DecodePace, options.DecodeSlope, options.VersionFault = 10*time.Millisecond, 10*time.Millisecond, fault
			_, client := startServer(t, options)
			var last time.Duration
			for round := range 3 { // the first one teaches the pace
				start := time.Now()
				var runs sync.WaitGroup
				for i := range 4 {
					runs.Go(func() {
						_, err := client.Run(t.Context(), completionRequest(engine.AttemptID(fmt.Sprint(round, ".", i)), 8, 20), tokenSink{})
						require.NoError(t, err)
					})
				}
				runs.Wait()
				last = time.Since(start)
			}
			return last
		}
		usual := took(VersionFault{})
		require.InDelta(t, 4*usual.Seconds(), took(VersionFault{Slow: 4}).Seconds(), usual.Seconds()/4)
	})
}

// Guards against a fault that has no effect because of a value out of range.
func TestVersionFaultValidation(t *testing.T) {
	for _, fault := range []VersionFault{{Failures: 1.1}, {Failures: -1}, {Slow: 0.5}, {After: -1}, {MinRunning: -1}} {
		options := ServiceDefaults()
		options.VersionFault = fault
		require.Error(t, options.Validate(), "%+v", fault)
	}
	require.NoError(t, VersionFault{Failures: 0.3, Slow: 4, After: time.Second, MinRunning: 2}.Validate())
}
