package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// longChat has a deadline that long answers meet on fast servers only.
var longChat = &wire.Class{Name: "long-chat", Tier: 2, DeadlineMs: 15_000, Repeatable: true, Kind: kindModel}

// addServerAtRate adds a server with a decode rate, in tokens per second, and room for one attempt.
func (h *harness) addServerAtRate(server string, decodeRate float32) {
	h.t.Helper()
	h.listServer(server, kindModel, testModel)
	h.linkUp(server, 1)
	room := readyRoom(server, kindModel, testModel, 1)
	room.DecodeTokensPerS = decodeRate
	h.receive(server, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
}

func (h *harness) arriveWithExpectedOutput(id string, outputs uint32) {
	h.t.Helper()
	r := h.request(id, longChat)
	r.OutputTokens = outputs
	h.step(Arrive{Request: r})
}

// Guards against long answers that reach their deadline at slow servers after holding a slot for the whole time.
// The servers differ threefold in speed and only the slow one has room; a dispatch must consider the expected
// length of the answer.
func TestLongAnswerWaitsForAServerWhereItEndsInTime(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServerAtRate("fast", 250)
	h.addServerAtRate("slow", 90)
	h.arriveWithExpectedOutput("first", 1000)
	require.Equal(t, "fast", h.lastDispatch("first", 1).server)
	h.arriveWithExpectedOutput("second", 1000)
	require.Empty(t, h.dispatches("second"), "at the slow one it would take 11 s of 15, and may be twice as long")
	h.arriveWithExpectedOutput("short", 100)
	require.Equal(t, "slow", h.lastDispatch("short", 1).server)
}

// Guards against an answer that waits or goes to a slower server because it fits at none: it must go to the server
// that finishes it first.
func TestAnswerThatFitsNowhereGoesToTheBestServer(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServerAtRate("slow", 60)
	h.addServerAtRate("slower", 20)
	h.arriveWithExpectedOutput("a", 2000)
	require.Equal(t, "slow", h.lastDispatch("a", 1).server)
	h.arriveWithExpectedOutput("b", 2000)
	h.advance(100 * time.Millisecond)
	require.Empty(t, h.dispatches("b"))
}

// Guards against estimates above the caller's own bound: a request that expects more tokens than it allows must be
// estimated at its bound.
func TestExpectedOutputIsBoundedByMaxTokens(t *testing.T) {
	h := newHarness(t, Options{})
	r := h.request("a", longChat)
	r.OutputTokens, r.MaxTokens = 5000, 300
	require.EqualValues(t, 300, h.s.newEstimationRequest(r).estimatedOutput)
}
