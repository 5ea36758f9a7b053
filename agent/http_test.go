package agent

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

func announcementText(t *testing.T, change map[string]any) string {
	t.Helper()
	encoded, err := json.Marshal(validAnnouncement())
	require.NoError(t, err)
	fields := make(map[string]any)
	require.NoError(t, json.Unmarshal(encoded, &fields))
	for name, value := range change {
		fields[name] = value
	}
	encoded, err = json.Marshal(fields)
	require.NoError(t, err)
	return string(encoded)
}

// Symptom: an agent answers a faulty call with a page, a success, or a crash.
// Sequence: a server of another version, or a stranger, calls the agent.
// Cause: the call was not checked, or its refusal has no number.
func TestInvalidHTTPCalls(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.startAgent()
		tests := []struct {
			method, path string
			body         any
			status       int
			code         result.Code
		}{
			{"POST", "/v1/announce", "", 400, result.MalformedBody},
			{"POST", "/v1/announce", "{", 400, result.MalformedBody},
			{"POST", "/v1/announce", "[]", 400, result.MalformedBody},
			{"POST", "/v1/announce", `{"server":1}`, 400, result.MalformedBody},
			{"POST", "/v1/announce", announcementText(t, map[string]any{"slots": 0}), 400, result.MalformedBody},
			{"POST", "/v1/announce", announcementText(t, map[string]any{"slots": 1.5}), 400, result.MalformedBody},
			{"POST", "/v1/announce", announcementText(t, map[string]any{"kind": "x"}), 400, result.MalformedBody},
			{"POST", "/v1/announce", announcementText(t, map[string]any{"address": "host:1"}), 400, result.MalformedBody},
			{"POST", "/v1/announce", announcementText(t, map[string]any{"capabilities": nil}), 400, result.MalformedBody},
			{"POST", "/v1/announce", strings.Repeat("x", maxAnnouncementBytes+1), 413, result.BodyTooLarge},
			{"GET", "/v1/announce", nil, 405, result.MethodNotAllowed},
			{"POST", "/v1/leave", "{}", 404, result.UnknownServer},
			{"POST", "/v1/leave", "", 400, result.MalformedBody},
			{"POST", "/v1/leave", `{"server":"server-9"}`, 404, result.UnknownServer},
			{"GET", "/v1/leave/server-9", nil, 404, result.UnknownServer},
			{"GET", "/v1/nothing", nil, 404, result.NotFound},
		}
		for _, test := range tests {
			status, body := w.call(test.method, test.path, test.body)
			name := fmt.Sprintf("%s %s %.60v", test.method, test.path, test.body)
			assert.Equal(t, test.status, status, name)
			var refusal result.Error
			require.NoError(t, json.Unmarshal([]byte(body), &refusal), name)
			assert.Equal(t, test.code, refusal.Code, name)
		}
		status, _ := w.call("GET", "/healthz", nil)
		assert.Equal(t, 200, status)
		_, metrics := w.call("GET", "/metrics", nil)
		assert.Contains(t, metrics, metricRefusals+`{code="1509",tier="0"} 3`)
	})
}

// Symptom: an agent's memory and directory record grow without bound.
// Sequence: a stranger announces one server after another.
// Cause: the number of servers had no bound.
func TestTooManyServersAreRefused(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.startAgent()
		for i := range maxServers {
			status, _ := w.call("POST", "/v1/announce", announcementText(t, map[string]any{"server": fmt.Sprint("s", i)}))
			require.Equal(t, 200, status)
		}
		status, body := w.call("POST", "/v1/announce", announcementText(t, map[string]any{"server": "one-more"}))
		assert.Equal(t, 503, status)
		assert.Contains(t, body, `"code":1206`)
	})
}

// Symptom: a request runs on two engines.
// Sequence: a server announces another address while the engine at the first one runs an attempt; cancels go to the new
// engine, which has no such stream, and that passes for a proof.
// Cause: the agent changed to the new address while attempts at the old one were not over.
func TestAddressChangeWaitsForPreviousEngine(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.startAgent()
		w.startEngine(slowModel())
		w.waitReady()
		text := announcementText(t, map[string]any{"address": "10.0.0.8:9000"})
		status, body := w.call("POST", "/v1/announce", text)
		assert.Equal(t, 409, status)
		assert.Contains(t, body, `"code":1802`)

		w.network.Cut(engineHost, agentHost)
		w.waitUntil("the old address is gone", func() bool { return len(w.control.registered()) == 0 })
		status, _ = w.call("POST", "/v1/announce", text)
		assert.Equal(t, 200, status)
		time.Sleep(5 * time.Second)
		assert.Empty(t, w.control.registered(), "nobody answers at the new address")
		status, _ = w.call("POST", "/v1/announce", announcementText(t, map[string]any{"address": "10.0.0.9:9000"}))
		assert.Equal(t, 409, status, "the new address was not proved free")
	})
}
