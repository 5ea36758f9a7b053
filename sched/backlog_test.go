package sched

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

func TestBacklogOfLowerTiersRefusesNoHigherWork(t *testing.T) {
	// Symptom: drafts are refused because they can't finish in time while packets of a lower tier are served.
	// Sequence: packets wait at the gates, so that each tells of a long backlog; a draft arrives.
	// Cause: the backlog of the lowest tier counted as the wait of every tier.
	for name, c := range map[string]struct {
		lowestWaiting uint32
		refused       bool
	}{
		"a lower tier waits": {3, false},
		"its own tier waits": {2, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, Options{})
			w.serve("s1", kindModel, testModel, 4)
			room := readyRoom("s1", kindModel, testModel, 0)
			room.BacklogMs = 70_000
			room.LowestRunningTier, room.LowestWaitingTier = c.lowestWaiting, c.lowestWaiting
			w.say("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
			for range learnSamples {
				w.s.classFor(summary).outputs.add(50)
			}
			w.arriveAs("r", "org", summary, 10)
			_, refused := w.failures["r"]
			require.Equal(t, c.refused, refused)
		})
	}
}

func TestSlowPaceRefusesNoWorkWhileLowerTiersAreServed(t *testing.T) {
	// Symptom: drafts are refused because they can't finish in time while packets of a lower tier are served.
	// Sequence: long prompts of packets slow the tokens of all answers down; a draft arrives.
	// Cause: the draft was predicted at that pace, and nothing slowed the packets down for it.
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
			w := newWorld(t, Options{})
			w.serve("s1", kindModel, testModel, 4)
			room := readyRoom("s1", kindModel, testModel, 4)
			room.DecodeTokensPerS, room.LowestRunningTier = 0.5, c.lowestRunning
			w.say("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
			for range learnSamples {
				w.s.classFor(summary).outputs.add(50)
			}
			w.arriveAs("r", "org", summary, c.prompt)
			_, refused := w.failures["r"]
			require.Equal(t, c.refused, refused)
		})
	}
}
