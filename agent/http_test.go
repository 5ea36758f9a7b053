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

// An invalid call, as from a server of another version or an unknown client, must be refused with a result code. A
// call that isn't validated could succeed or crash the agent.
func TestInvalidHTTPCalls(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent()
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
			status, body := env.call(test.method, test.path, test.body)
			name := fmt.Sprintf("%s %s %.60v", test.method, test.path, test.body)
			assert.Equal(t, test.status, status, name)
			var refusal result.Error
			require.NoError(t, json.Unmarshal([]byte(body), &refusal), name)
			assert.Equal(t, test.code, refusal.Code, name)
		}
		status, _ := env.call("GET", "/healthz", nil)
		assert.Equal(t, 200, status)
		_, metrics := env.call("GET", "/metrics", nil)
		assert.Contains(t, metrics, metricRefusals+`{code="1509",tier="0"} 3`)
	})
}

// The number of servers is limited. Otherwise a client that announces one server after another would grow the agent's
// memory and directory record without bound.
func TestTooManyServersAreRefused(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent()
		for i := range maxServers {
			status, _ := env.call("POST", "/v1/announce", announcementText(t, map[string]any{"server": fmt.Sprint("s", i)}))
			require.Equal(t, 200, status)
		}
		status, body := env.call("POST", "/v1/announce", announcementText(t, map[string]any{"server": "one-more"}))
		assert.Equal(t, 503, status)
		assert.Contains(t, body, `"code":1206`)
	})
}

// A server's new address must not be used while attempts at the old one may run. Cancels would go to the new engine,
// whose "no such stream" would be taken as a proof, and two engines would run one request.
func TestAddressChangeWaitsForPreviousEngine(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent()
		env.startEngine(slowModel())
		env.waitReady()
		text := announcementText(t, map[string]any{"address": "10.0.0.8:9000"})
		status, body := env.call("POST", "/v1/announce", text)
		assert.Equal(t, 409, status)
		assert.Contains(t, body, `"code":1802`)

		env.network.Cut(engineHost, agentHost)
		env.waitUntil("the server at the old address is gone", func() bool { return len(env.control.registered()) == 0 })
		status, _ = env.call("POST", "/v1/announce", text)
		assert.Equal(t, 200, status)
		time.Sleep(5 * time.Second)
		assert.Empty(t, env.control.registered(), "nothing answers at the new address")
		status, _ = env.call("POST", "/v1/announce", announcementText(t, map[string]any{"address": "10.0.0.9:9000"}))
		assert.Equal(t, 409, status, "the engine at the new address is not confirmed free")
	})
}
