package main

import (
	"encoding/json"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/dev"
)

// rolloutStatus is the output of `rollout -json status`.
type rolloutStatus struct {
	State    string
	Reason   string
	Versions []struct {
		Version           string
		Answers, Failures uint64
	}
}

func runRollout(t *testing.T, info dev.Info, args ...string) []byte {
	t.Helper()
	args = append([]string{"rollout", "-control", info.Controls[0], "-key", info.OperatorKey}, args...)
	out, err := exec.Command(binaryPath, args...).CombinedOutput()
	require.NoError(t, err, "%s", out)
	return out
}

// callUntil sends checks through all entries until stop is closed.
func callUntil(info dev.Info, stop <-chan struct{}) *sync.WaitGroup {
	const callers = 8
	var calls sync.WaitGroup
	for n := range callers {
		c := caller{info.Entries[n%len(info.Entries)], info.Organisations[0].Key}
		calls.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_, _ = c.gateCheck()
				}
			}
		})
	}
	return &calls
}

// Guards against parts of a roll-out that work by themselves and not together: an order, entries that send a share of their
// requests to the new version, evidence that reaches control, a verdict, and entries that go by it. A version that fails half
// of its requests must be reverted after few of them, and a good one completed within its time.
func TestRolloutAcrossProcessesOfDev(t *testing.T) {
	for _, row := range []struct {
		name  string
		fault []string
		want  string
	}{
		{"good", nil, "completed"},
		{"fails", []string{"-new-failures", "0.5"}, "reverted"},
		{"slow", []string{"-new-slow", "8"}, "reverted"},
		{"fails on the route that is called", []string{"-new-failures", "0.5", "-new-fault-path", "/check"}, "reverted"},
		{"fails on another route", []string{"-new-failures", "0.5", "-new-fault-path", "/issue"}, "completed"},
	} {
		t.Run(row.name, func(t *testing.T) {
			info := startDev(t, append([]string{"-version", "v1", "-new-version", "v2", "-new-services", "2"}, row.fault...)...)
			stop := make(chan struct{})
			calls := callUntil(info, stop)
			defer calls.Wait()
			defer close(stop)
			runRollout(t, info, "-duration", "5s", "start", "registry", "v2")
			var held rolloutStatus
			require.Eventually(t, func() bool {
				out := runRollout(t, info, "-json", "status", "registry")
				var all []rolloutStatus
				if json.Unmarshal(out, &all) != nil {
					all = make([]rolloutStatus, 1)
					require.NoError(t, json.Unmarshal(out, &all[0]), "%s", out)
				}
				held = all[0]
				return held.State != "in_progress"
			}, 30*time.Second, 100*time.Millisecond)
			require.Equal(t, row.want, held.State, "%+v", held)
			total, exposed := uint64(0), uint64(0)
			for _, v := range held.Versions {
				total += v.Answers
				if v.Version == "v2" {
					exposed += v.Answers
				}
			}
			require.LessOrEqual(t, float64(exposed), 0.1*float64(total)+50)
		})
	}
}
