package sched

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

func (w *world) reserving(organisation string, tier int) int {
	n := 0
	for _, r := range w.s.requests {
		if r.Organisation == organisation && r.tier == tier && len(r.reservations) > 0 {
			n++
		}
	}
	return n
}

func TestReservationsAreSpreadOverOrganisations(t *testing.T) {
	// Symptom: of two organisations with the same demand the one with an entry of its own gets more.
	// Sequence: two organisations with long backlogs share an entry; all its reservations are of the first one.
	// Cause: an organisation is charged at the dispatch, so that reserving left its tag the lowest; the gates saw nothing
	// of the other one.
	w := newWorld(t, Options{Reservations: 1, ReservationsPerServer: 8})
	for _, organisation := range []string{"first", "second"} {
		for i := range 20 {
			w.arriveAs(fmt.Sprint(organisation, i), organisation, appeal, 1000)
		}
	}
	w.serve("s1", kindModel, testModel, 0)
	require.Equal(t, 4, w.reserving("first", 2))
	require.Equal(t, 4, w.reserving("second", 2))
}

func TestReservationsOfOneTierLeaveRoomForAnother(t *testing.T) {
	// Symptom: the gates know of no work of a lower tier, or of one organisation's only, while a higher tier waits.
	// Sequence: a higher tier fills the bound of reservations.
	// Cause: one bound for all tiers.
	w := newWorld(t, Options{Reservations: 1, ReservationsPerServer: 2})
	w.serve("s1", kindModel, testModel, 0)
	room := readyRoom("s1", kindModel, testModel, 0)
	room.LowestWaitingTier = 3
	w.say("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
	for i := range 5 {
		w.arriveAs(fmt.Sprint("summary", i), "org", summary, 10)
	}
	w.arriveAs("appeal", "org", appeal, 10)
	require.Equal(t, 2, w.reserving("org", 1))
	require.Equal(t, 1, w.reserving("org", 2))
}
