package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

// Symptom: a pass is issued twice, or its caller hears that it was not. Sequence: the call runs at a registry; its entry
// and the agents of all registries are killed together; the agents restart; the caller sends the call again, with the
// same key, at the other entry, several times. Cause: neither who dispatched the call nor who ran it is there to tell,
// and the record, or a newer incarnation, was taken for the word that nothing ran.
func TestEntryAndAgentsKilledWhileIssuing(t *testing.T) {
	c := startCluster(t)
	c.setRegistryFaults(map[string]any{"slow": 300}) // about 1.5 s a call
	lost := make(chan error, 1)
	go func() {
		_, err := c.caller(0).issuePass("pass-3")
		lost <- err
	}()
	c.eventually(func() bool { return c.passRuns("pass-3") == 1 }, "the call doesn't reach a registry")
	c.entries[0].kill()
	for _, i := range registries {
		c.agents[i].kill()
	}
	require.Error(t, <-lost)
	for _, i := range registries {
		c.agents[i].start()
	}
	c.setRegistryFaults(map[string]any{})
	for range 3 {
		got, err := c.caller(1).issuePass("pass-3")
		require.NoError(t, err)
		requireConsistentReply(t, got, c.passRuns("pass-3"))
		require.Equal(t, result.RanUnknown, got.resultError(t).Ran, "nobody is left to tell: %s", got.Body)
	}
	require.Equal(t, 1, c.passRuns("pass-3"))
}
