package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// away has a gate tell that its server asked to keep away for a while.
func (w *world) away(server string, backoff time.Duration) {
	w.t.Helper()
	room := readyRoom(server, kindModel, testModel, 0)
	room.Throttle = wire.Throttle_THROTTLE_BACKOFF
	room.BacklogMs = uint32(backoff.Milliseconds())
	w.say(server, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
}

// A request that waits at a server that asks for rest must wait at another one, without a retry counted.
func TestReservationsLeaveAServerThatAsksToKeepAway(t *testing.T) {
	w := newWorld(t, Options{Reservations: 1})
	w.step(Config{Version: 1, Classes: []*wire.Class{summary}})
	w.serve("a", kindModel, testModel, 0)
	w.arrive("r", summary)
	require.Len(t, w.reserves("r"), 1)
	w.serve("b", kindModel, testModel, 0)
	w.away("a", 3*time.Second)
	require.Len(t, w.withdraws("r"), 1)
	reserved := w.reserves("r")
	require.Len(t, reserved, 2)
	require.Equal(t, "b", reserved[1].server)
	for _, c := range w.counts {
		require.NotEqual(t, Retries, c.Counter)
	}
}

// Where every server asks to keep away, callers are told when to come back, spread over time, and that nothing ran.
func TestCallersReturnSpreadOnceEveryServerTakesWorkAgain(t *testing.T) {
	w := newWorld(t, Options{})
	hurried := &wire.Class{Name: "hurried", Tier: 2, DeadlineMs: 1000, LateMax: 0.01, LostMax: 0.01, Repeatable: true, Kind: kindModel}
	w.step(Config{Version: 1, Classes: []*wire.Class{hurried}})
	for _, server := range []string{"a", "b"} {
		w.serve(server, kindModel, testModel, 0)
		w.away(server, 3*time.Second)
	}
	for i := range learnSamples {
		w.s.classFor(hurried).outputs.add(int64(10 + i))
	}
	var waits []time.Duration
	for i := range 10 {
		name := fmt.Sprint("r", i)
		w.arrive(name, hurried)
		err := w.failures[name]
		require.NotNil(t, err)
		require.Equal(t, result.RanNo, err.Ran)
		require.GreaterOrEqual(t, err.RetryAfter, 3*time.Second)
		waits = append(waits, err.RetryAfter)
	}
	for i := range waits[1:] {
		require.Greater(t, waits[i+1], waits[i])
	}
}
