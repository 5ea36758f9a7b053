package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// longChat has a deadline that only fast servers keep with long answers.
var longChat = &wire.Class{Name: "long-chat", Tier: 2, DeadlineMs: 15_000, Repeatable: true, Kind: kindModel}

// serveAt lists a server of a pace, in tokens a second, with room for one attempt.
func (w *world) serveAt(server string, pace float32) {
	w.t.Helper()
	w.list(server, kindModel, testModel)
	w.up(server, 1)
	room := readyRoom(server, kindModel, testModel, 1)
	room.DecodeTokensPerS = pace
	w.say(server, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
}

func (w *world) arriveExpecting(id string, outputs uint32) {
	w.t.Helper()
	r := w.request(id, longChat)
	r.OutputTokens = outputs
	w.step(Arrive{Request: r})
}

// Symptom: the longest answers are cut at their deadline, after each has held a place for all that time. Sequence: servers
// differ threefold in speed; only a slow one has room just then. Cause: a place taken without a look at how long the
// answer will be.
func TestLongAnswerWaitsForAServerWhereItEndsInTime(t *testing.T) {
	w := newWorld(t, Options{})
	w.serveAt("fast", 250)
	w.serveAt("slow", 90)
	w.arriveExpecting("first", 1000)
	require.Equal(t, "fast", w.last("first", 1).server)
	w.arriveExpecting("second", 1000)
	require.Empty(t, w.dispatches("second"), "at the slow one it would take 11 s of 15, and may be twice as long")
	w.arriveExpecting("short", 100)
	require.Equal(t, "slow", w.last("short", 1).server)
}

// An answer that fits nowhere goes where it ends soonest.
func TestAnswerThatFitsNowhereGoesToTheBestServer(t *testing.T) {
	w := newWorld(t, Options{})
	w.serveAt("slow", 60)
	w.serveAt("slower", 20)
	w.arriveExpecting("a", 2000)
	require.Equal(t, "slow", w.last("a", 1).server)
	w.arriveExpecting("b", 2000)
	w.pass(100 * time.Millisecond)
	require.Empty(t, w.dispatches("b"))
}

func TestCallersExpectationIsBoundedByWhatTheyAllow(t *testing.T) {
	w := newWorld(t, Options{})
	r := w.request("a", longChat)
	r.OutputTokens, r.MaxTokens = 5000, 300
	require.EqualValues(t, 300, w.s.sketch(r).outputs)
}
