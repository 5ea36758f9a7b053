package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
)

// Guards against requests that are refused while other servers are idle. A crashed server refuses calls within a
// millisecond, so its slot is free again at once and the gate would go on offering it until two probes, half a
// second apart, have failed. With four of 18 servers crashed, that takes up to 1.5 s.
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

// A server that rejected a call is reachable.
func TestServerThatRejectsACallStaysReady(t *testing.T) {
	b := newReadyHarness(t)
	b.start(entryA, id("r1", 1), work())
	b.endRun(id("r1", 1), engine.Outcome{}, &engine.CallError{Class: engine.ErrNeverSent})
	b.advance(time.Millisecond)
	require.Equal(t, serverReady, b.gate.server.state)
}
