package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
)

// Symptom: while some backend servers are down, requests are refused though others are idle. Pattern: four of 18 servers
// crash at once under load; for 1.5 s each refuses calls within a millisecond.
// Sequence: a server crashes; the first call to it can't connect; its place is free again at once, and the gate goes on
// offering it.
// Cause: only probes made a server suspect, two in a row, half a second apart.
func TestUnreachableServerGetsNoNewWorkAtOnce(t *testing.T) {
	b := newReadyHarness(t)
	require.Positive(t, b.gate.free())
	b.start(entryA, id("r1", 1), work())
	b.endRun(id("r1", 1), engine.Outcome{}, &engine.CallError{Class: engine.ErrNeverSent, Err: engine.ErrUnreachable})
	require.Equal(t, serverSuspect, b.gate.server.state)
	require.Zero(t, b.gate.free())

	b.step(Probed{OK: true})
	require.Equal(t, serverReady, b.gate.server.state, "the next probe that succeeds clears it")
	require.Positive(t, b.gate.free())
}

// A server that turned a call away is there.
func TestServerThatRejectsACallStaysReady(t *testing.T) {
	b := newReadyHarness(t)
	b.start(entryA, id("r1", 1), work())
	b.endRun(id("r1", 1), engine.Outcome{}, &engine.CallError{Class: engine.ErrNeverSent})
	b.advance(time.Millisecond)
	require.Equal(t, serverReady, b.gate.server.state)
}
