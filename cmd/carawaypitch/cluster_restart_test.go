package main

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/operator"
)

// Symptom: callers are refused during a rolling restart that follows the operators' page. Sequence: the control
// followers, the leader, the entries, then each registry service with its agent are restarted one at a time, each after
// the one before is ready. Cause: a process that calls itself ready before it serves, or one that drops work at SIGTERM.
func TestRollingRestartRefusesNoCaller(t *testing.T) {
	c := startCluster(t)
	c.eventually(func() bool { return c.targetStatus(0, "registry").ReadyServers == 2 }, "the services aren't ready")
	leader := c.waitLeader(0)
	for _, i := range []int{(leader + 1) % controlInstances, (leader + 2) % controlInstances, leader} {
		c.restartWhileServing(c.controls[i], c.controlURLs[i], 0)
	}
	for i := range c.entries {
		c.restartWhileServing(c.entries[i], c.entryURLs[i], 1-i)
	}
	for i, name := range []string{"registry-1", "registry-2"} {
		c.restartServer(i+1, name) // the model comes first
	}
}

// restartWhileServing stops a process, which must exit with 0, and starts it again; the other entry serves meanwhile.
func (c *cluster) restartWhileServing(p *process, url string, serving int) {
	c.t.Helper()
	p.stop()
	c.requireGateCheckOK(serving)
	p.start()
	c.eventually(func() bool { return returnsOK(url + "/readyz") }, "%s isn't ready again", url)
	c.requireGateCheckOK(serving)
}

// restartServer drains a backend server, restarts it with its agent and waits until it gets work again.
func (c *cluster) restartServer(i int, name string) {
	c.t.Helper()
	_, err := c.operatorClient().Drain(c.t.Context(), name, operator.NewChangeID())
	require.NoError(c.t, err)
	c.eventually(func() bool { return c.condition(name) == "drained" }, "%s doesn't drain", name)
	c.requireGateCheckOK(0)
	c.engines[i].stop()
	// The drain outlives the agent, and ends when the agent that drained says that the server is gone.
	c.eventually(func() bool { return c.condition(name) == "" }, "%s is still listed", name)
	c.agents[i].stop()
	c.requireGateCheckOK(0)
	c.agents[i].start()
	c.engines[i].start()
	c.eventually(func() bool { return returnsOK(c.agentURLs[i] + "/readyz") }, "the agent of %s isn't ready again", name)
	c.eventually(func() bool { return c.condition(name) == "ready" }, "%s doesn't come back", name)
	c.requireGateCheckOK(0)
}

func (c *cluster) requireGateCheckOK(entry int) {
	c.t.Helper()
	got, err := c.caller(entry).gateCheck()
	require.NoError(c.t, err)
	require.Equal(c.t, http.StatusOK, got.Status, "%s", got.Body)
}

// condition gives the condition of a backend server in the directory, "" while it isn't known.
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
