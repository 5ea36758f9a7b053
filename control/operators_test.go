package control_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

// Guards against a change that is applied twice when it is sent again, and against a change with an old version that
// overwrites a newer one.
func TestClassChangesOnSingleInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		n := c.leader()

		var list struct {
			Version uint64        `json:"version"`
			Classes []classAnswer `json:"classes"`
		}
		c.get(n, "/v1/classes").decode(t, &list)
		require.Equal(t, "gate-check", list.Classes[0].Name)
		require.Equal(t, list.Version, list.Classes[0].Version)

		var class classAnswer
		a := c.put(n, "gate-check", classBody(500), list.Version, "one")
		require.Equal(t, http.StatusOK, a.status, string(a.body))
		a.decode(t, &class)
		require.Equal(t, 500, class.DeadlineMS)
		require.Greater(t, class.Version, list.Version)

		again := c.put(n, "gate-check", classBody(500), list.Version, "one")
		require.Equal(t, a.body, again.body, "a change sent again gets the first answer")

		lost := c.put(n, "gate-check", classBody(600), list.Version, "two")
		require.Equal(t, http.StatusConflict, lost.status)
		require.Equal(t, int(result.VersionConflict), lost.code(t))
		var inForce struct {
			Version uint64 `json:"version"`
		}
		lost.decode(t, &inForce)
		require.Equal(t, class.Version, inForce.Version)

		deleted := c.call(n, http.MethodDelete, "/v1/classes/gate-check", "", changeHeaders(class.Version, "three"))
		require.Equal(t, http.StatusOK, deleted.status, string(deleted.body))
		require.Equal(t, http.StatusNotFound, c.get(n, "/v1/classes/gate-check").status)
	})
}

// Guards against invalid calls that are accepted, or refused without naming what is wrong.
func TestRefusedCalls(t *testing.T) {
	good := classBody(500)
	headers := func(version, change string) map[string]string {
		out := map[string]string{}
		if version != "" {
			out["If-Match"] = version
		}
		if change != "" {
			out["Change-Id"] = change
		}
		return out
	}
	cases := []struct {
		name, method, path, body string
		headers                  map[string]string
		code                     result.Code
		mentions                 string // expected in the message
	}{
		{"no key", "GET", "/v1/classes", "", map[string]string{"Authorization": ""}, result.OperatorKeyWrong, ""},
		{"wrong key", "GET", "/v1/classes", "", map[string]string{"Authorization": "Bearer x"}, result.OperatorKeyWrong, ""},
		{"key without Bearer", "GET", "/v1/classes", "", map[string]string{"Authorization": operatorKey}, result.OperatorKeyWrong, ""},
		{"weight", "PUT", "/v1/classes/a", `{"tier": 1, "weight": 3}`, headers("0", "c"), result.FieldRefused, "weight"},
		{"servers", "PUT", "/v1/classes/a", `{"servers": ["x"], "tier": 1}`, headers("0", "c"), result.FieldRefused, "servers"},
		{"not JSON", "PUT", "/v1/classes/a", `{"tier"`, headers("0", "c"), result.MalformedBody, ""},
		{"null", "PUT", "/v1/classes/a", `null`, headers("0", "c"), result.MalformedBody, ""},
		{"wrong type", "PUT", "/v1/classes/a", `{"tier": "high"}`, headers("0", "c"), result.InvalidClass, "tier"},
		{"other name", "PUT", "/v1/classes/a", `{"name": "b"}`, headers("0", "c"), result.InvalidClass, "name"},
		{"tier 4", "PUT", "/v1/classes/a", `{"tier": 4, "deadline_ms": 1, "kind": "model"}`, headers("0", "c"), result.InvalidClass, "tier"},
		{"no If-Match", "PUT", "/v1/classes/a", good, headers("", "c"), result.IfMatchMissing, ""},
		{"If-Match *", "PUT", "/v1/classes/a", good, headers("*", "c"), result.BadHeader, "If-Match"},
		{"no Change-Id", "PUT", "/v1/classes/a", good, headers("0", ""), result.ChangeIDMissing, ""},
		{"unknown class", "GET", "/v1/classes/a", "", nil, result.UnknownClass, ""},
		{"delete unknown class", "DELETE", "/v1/classes/a", "", headers("0", "d"), result.UnknownClass, ""},
		{"delete default class", "DELETE", "/v1/classes/kept", "", headers("0", "c"), result.ClassInUse, "union"},
		{"clear unknown crashes", "POST", "/v1/poison/clear", `{"organisation":"union","fingerprint":"2a"}`, nil, result.NotFound, ""},
		{"clear without a number", "POST", "/v1/poison/clear", `{"target":"sample","fingerprint":"x"}`, nil, result.FieldRefused, ""},
		{"drain unknown server", "POST", "/v1/servers/a/drain", "", nil, result.UnknownServer, ""},
		{"unknown path", "GET", "/v1/weights", "", nil, result.NotFound, ""},
		{"wrong method", "POST", "/v1/classes", "", nil, result.MethodNotAllowed, ""},
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.startAll()
		defer c.stopAll()
		n := c.leader()
		for _, test := range cases {
			a := c.call(n, test.method, test.path, test.body, test.headers)
			require.Equal(t, int(test.code), a.code(t), "%s: %s", test.name, a.body)
			require.Equal(t, test.code.Info().Status, a.status, test.name)
			require.Contains(t, string(a.body), test.mentions, test.name)
		}
		require.Zero(t, c.status(n).ConfigVersion, "a refused call changed the configuration")
	})
}

// The probes and metrics of the platform must be served without an operator key.
func TestPlatformEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, gateCheckClass())
		c.startAll()
		n := c.leader()
		open := map[string]string{"Authorization": ""}
		require.Equal(t, http.StatusOK, c.call(n, "GET", "/healthz", "", open).status)
		require.Equal(t, http.StatusOK, c.call(n, "GET", "/readyz", "", open).status)
		require.Contains(t, string(c.call(n, "GET", "/metrics", "", open).body), "carawaypitch_config_version")
		require.Contains(t, string(c.get(n, "/v1/organisations").body), `"union"`)
		c.stopAll()
	})
}

// Guards against changes that were answered before they were on disk, and against versions that start again from the
// beginning. The process restarts on its disk after hundreds of changes.
func TestRestartAfterManyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, gateCheckClass())
		c.startAll()
		n := c.leader()
		var class classAnswer
		c.get(n, "/v1/classes/gate-check").decode(t, &class)
		first := class.Version
		var last answer
		for i := range 300 {
			last = c.put(n, "gate-check", classBody(100+i), class.Version, "change-"+time.Duration(i).String())
			require.Equal(t, http.StatusOK, last.status, string(last.body))
			last.decode(t, &class)
		}
		c.stop(n)
		c.start(n)
		c.leader()
		var after classAnswer
		c.get(n, "/v1/classes/gate-check").decode(t, &after)
		require.Equal(t, class, after)
		again := c.put(n, "gate-check", classBody(100), first, "change-"+time.Duration(0).String())
		require.Equal(t, http.StatusOK, again.status, "a change id is remembered over a restart")
		again.decode(t, &after)
		require.Equal(t, 100, after.DeadlineMS)
		c.get(n, "/v1/classes/gate-check").decode(t, &after)
		require.Equal(t, class, after, "the change is not applied again")
		c.stopAll()
	})
}
