package sched

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Guards against refusing a tier as too late while a lower tier is served: requests of the lower tier wait at the
// gates, which report a long backlog, and a request of the higher tier arrives. A backlog that includes lower tiers
// must not count as its wait.
func TestLowerTierBacklogDoesNotRefuseHigherTier(t *testing.T) {
	for name, c := range map[string]struct {
		lowestWaiting uint32
		refused       bool
	}{
		"a lower tier waits": {3, false},
		"its own tier waits": {2, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, Options{})
			h.addServer("s1", kindModel, testModel, 4)
			room := readyRoom("s1", kindModel, testModel, 0)
			room.BacklogMs = 70_000
			room.LowestRunningTier, room.LowestWaitingTier = c.lowestWaiting, c.lowestWaiting
			h.receive("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
			for range minSamples {
				h.s.classFor(summary).outputTokens.add(50)
			}
			h.arriveAs("r", "org", summary, 10)
			_, refused := h.failures["r"]
			require.Equal(t, c.refused, refused)
		})
	}
}

// Guards against refusing a tier as too late while a lower tier is served: long prompts of the lower tier slow down
// all decoding, and a request of the higher tier arrives. The estimate at the slowed rate must not refuse it if an
// idle server could finish it in time.
func TestSlowDecodeDoesNotRefuseWhileLowerTiersAreServed(t *testing.T) {
	for name, c := range map[string]struct {
		lowestRunning uint32
		prompt        uint32
		refused       bool
	}{
		"a lower tier runs":             {3, 10, false},
		"only its own tier runs":        {2, 10, true},
		"too long for an idle server":   {3, 200_000, true},
		"not only the lowest tier runs": {1, 10, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, Options{})
			h.addServer("s1", kindModel, testModel, 4)
			room := readyRoom("s1", kindModel, testModel, 4)
			room.DecodeTokensPerS, room.LowestRunningTier = 0.5, c.lowestRunning
			h.receive("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
			for range minSamples {
				h.s.classFor(summary).outputTokens.add(50)
			}
			h.arriveAs("r", "org", summary, c.prompt)
			_, refused := h.failures["r"]
			require.Equal(t, c.refused, refused)
		})
	}
}
