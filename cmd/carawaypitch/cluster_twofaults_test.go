package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

// While a call runs at a registry, its entry and the agents of all registries are killed. The agents restart, and the
// caller retries several times with the same key at the other entry. The outcome is then recorded in no remaining
// process; if the operation record or a newer incarnation of an agent counted as evidence that nothing ran, the pass would
// be issued twice or reported as not issued.
func TestEntryAndAgentsKilledWhileIssuing(t *testing.T) {
	c := startCluster(t)
	c.setRegistryFaults(map[string]any{"slow": 300}) // about 1.5 s a call
	callErr := make(chan error, 1)
	go func() {
		_, err := c.caller(0).issuePass("pass-3")
		callErr <- err
	}()
	c.eventually(func() bool { return c.passRuns("pass-3") == 1 }, "the call does not reach a registry")
	c.entries[0].kill()
	for _, i := range registries {
		c.agents[i].kill()
	}
	require.Error(t, <-callErr)
	for _, i := range registries {
		c.agents[i].start()
	}
	c.setRegistryFaults(map[string]any{})
	for range 3 {
		got, err := c.caller(1).issuePass("pass-3")
		require.NoError(t, err)
		requireConsistentReply(t, got, c.passRuns("pass-3"))
		require.Equal(t, result.RanUnknown, got.resultError(t).Ran, "the outcome must be reported as unknown: %s", got.Body)
	}
	require.Equal(t, 1, c.passRuns("pass-3"))
}
