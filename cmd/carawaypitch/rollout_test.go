package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/operator"
)

var testRollout = operator.Rollout{
	Service: "registry", To: "v2", State: operator.RolloutReverted, Reason: "failures: many",
	Versions: []operator.VersionAnswers{{Version: "", Answers: 900}, {Version: "v2", Answers: 60, Failures: 50, Slow: 1}},
}

// Guards against a status in which a roll-out or the answers of one of its versions are missing, and an empty table
// without any.
func TestStatusShowsRollouts(t *testing.T) {
	var out bytes.Buffer
	rolloutStatusTable(&out, operator.Status{})
	require.Empty(t, out.String())
	rolloutStatusTable(&out, operator.Status{Rollouts: []operator.Rollout{testRollout, {Service: "desk", To: "v3", State: operator.RolloutInProgress}}})
	require.Contains(t, out.String(), "registry\tv2\treverted\t-\t900\t0\t0\tfailures: many\n")
	require.Contains(t, out.String(), "registry\tv2\treverted\tv2\t60\t50\t1\tfailures: many\n")
	require.Contains(t, out.String(), "desk\tv3\tin_progress\t-\t0\t0\t0\t-\n")
}

// Guards against a list of servers that doesn't tell those of a version that was reverted from the others.
func TestServersShowVersions(t *testing.T) {
	var out bytes.Buffer
	servers := []operator.Server{{Server: "registry-01", Kind: "service", Condition: "ready"}}
	serversTable(&out, servers)
	require.NotContains(t, out.String(), "VERSION")
	out.Reset()
	serversTable(&out, append(servers, operator.Server{Server: "registry-02", Version: "v2"}))
	require.Contains(t, out.String(), "ORDER\tVERSION\n")
	require.Contains(t, out.String(), "-\t-\nregistry-02")
	require.Contains(t, out.String(), "-\tv2\n")
}

// Guards against a script that takes a reverted roll-out for a completed one, and a watch that never ends or prints the
// same line again and again.
func TestWatchEndsWithTheRollout(t *testing.T) {
	for _, end := range []string{operator.RolloutCompleted, operator.RolloutReverted} {
		calls := 0
		control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls++
			now := testRollout
			now.State = operator.RolloutInProgress
			if calls > 3 {
				now.State = end
			}
			require.Equal(t, "/v1/rollouts/registry", r.URL.Path)
			_ = json.NewEncoder(w).Encode(now)
		}))
		var out bytes.Buffer
		command := &rolloutCommand{interval: time.Millisecond}
		err := command.watch(t.Context(), operator.New([]string{control.URL}, "key", nil), "registry", &out)
		control.Close()
		require.Equal(t, end == operator.RolloutReverted, err != nil)
		require.Equal(t, 4, calls)
		require.Equal(t, 2, bytes.Count(out.Bytes(), []byte("\n")), out.String())
	}
}
