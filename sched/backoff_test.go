package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// reportBackoff delivers a Room report of a server that has requested back-off.
func (h *harness) reportBackoff(server string, backoff time.Duration) {
	h.t.Helper()
	room := readyRoom(server, kindModel, testModel, 0)
	room.Throttle = wire.Throttle_THROTTLE_BACKOFF
	room.BacklogMs = uint32(backoff.Milliseconds())
	h.receive(server, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
}

// A request that has a reservation at a server in back-off must reserve at another one, without counting a retry.
func TestReservationsMoveFromServerInBackoff(t *testing.T) {
	h := newHarness(t, Options{Reservations: 1})
	h.step(Config{Version: 1, Classes: []*wire.Class{summary}})
	h.addServer("a", kindModel, testModel, 0)
	h.arrive("r", summary)
	require.Len(t, h.reserves("r"), 1)
	h.addServer("b", kindModel, testModel, 0)
	h.reportBackoff("a", 3*time.Second)
	require.Len(t, h.withdraws("r"), 1)
	reserved := h.reserves("r")
	require.Len(t, reserved, 2)
	require.Equal(t, "b", reserved[1].server)
	for _, c := range h.counts {
		require.NotEqual(t, Retries, c.Counter)
	}
}

// While every server is in back-off, refused callers must get retry delays that are spread over time, and be told
// that nothing ran.
func TestRetryAfterIsSpreadWhileAllServersAreInBackoff(t *testing.T) {
	h := newHarness(t, Options{})
	shortDeadline := &wire.Class{Name: "hurried", Tier: 2, DeadlineMs: 1000, LateMax: 0.01, LostMax: 0.01, Repeatable: true, Kind: kindModel}
	h.step(Config{Version: 1, Classes: []*wire.Class{shortDeadline}})
	for _, server := range []string{"a", "b"} {
		h.addServer(server, kindModel, testModel, 0)
		h.reportBackoff(server, 3*time.Second)
	}
	for i := range minSamples {
		h.s.classFor(shortDeadline).outputTokens.add(int64(10 + i))
	}
	var waits []time.Duration
	for i := range 10 {
		name := fmt.Sprint("r", i)
		h.arrive(name, shortDeadline)
		err := h.failures[name]
		require.NotNil(t, err)
		require.Equal(t, result.RanNo, err.Ran)
		require.GreaterOrEqual(t, err.RetryAfter, 3*time.Second)
		waits = append(waits, err.RetryAfter)
	}
	for i := range waits[1:] {
		require.Greater(t, waits[i+1], waits[i])
	}
}
