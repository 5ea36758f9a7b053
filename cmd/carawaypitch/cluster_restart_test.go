package main

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/operator"
)

// A rolling restart in the documented order: the control followers, the leader, the entries, then each registry service
// with its agent, each after the one before is ready. Callers are refused if a process reports ready before it serves, or
// drops requests at SIGTERM.
func TestRollingRestartRefusesNoCaller(t *testing.T) {
	c := startCluster(t)
	c.eventually(func() bool { return c.targetStatus(0, "registry").ReadyServers == 2 }, "the services are not ready")
	leader := c.waitLeader(0)
	for _, i := range []int{(leader + 1) % controlInstances, (leader + 2) % controlInstances, leader} {
		c.restartWhileServing(c.controls[i], c.controlURLs[i], 0)
	}
	for i := range c.entries {
		c.restartWhileServing(c.entries[i], c.entryURLs[i], 1-i)
	}
	for i, name := range []string{"registry-1", "registry-2"} {
		c.restartServer(i+1, name) // engine 0 is the model
	}
}

// restartWhileServing stops a process, which must exit with 0, starts it again and waits until it is ready. The entry with
// index serving must answer gate checks before and after the start.
func (c *cluster) restartWhileServing(p *process, url string, serving int) {
	c.t.Helper()
	p.stop()
	c.requireGateCheckOK(serving)
	p.start()
	c.eventually(func() bool { return returnsOK(url + "/readyz") }, "%s is not ready after the restart", url)
	c.requireGateCheckOK(serving)
}

// restartServer drains backend server i, restarts it with its agent and waits until it is ready again.
func (c *cluster) restartServer(i int, name string) {
	c.t.Helper()
	_, err := c.operatorClient().Drain(c.t.Context(), name, operator.NewChangeID())
	require.NoError(c.t, err)
	c.eventually(func() bool { return c.condition(name) == "drained" }, "%s is not drained", name)
	c.requireGateCheckOK(0)
	c.engines[i].stop()
	// The drain persists across an agent restart. It ends only when the agent that drained reports the server as gone.
	c.eventually(func() bool { return c.condition(name) == "" }, "%s is still listed", name)
	c.agents[i].stop()
	c.requireGateCheckOK(0)
	c.agents[i].start()
	c.engines[i].start()
	c.eventually(func() bool { return returnsOK(c.agentURLs[i] + "/readyz") }, "the agent of %s is not ready after the restart", name)
	c.eventually(func() bool { return c.condition(name) == "ready" }, "%s is not ready after the restart", name)
	c.requireGateCheckOK(0)
}

// requireGateCheckOK requires that a gate check at an entry succeeds.
func (c *cluster) requireGateCheckOK(entry int) {
	c.t.Helper()
	got, err := c.caller(entry).gateCheck()
	require.NoError(c.t, err)
	require.Equal(c.t, http.StatusOK, got.Status, "%s", got.Body)
}

// condition returns the condition of a backend server in the directory, or "" if it is not listed or control does not
// answer.
func (c *cluster) condition(name string) string {
	servers, err := c.operatorClient().Servers(c.t.Context())
	if err != nil {
		return ""
	}
	for _, server := range servers.Servers {
		if server.Server == name {
			return server.Condition
		}
	}
	return ""
}
