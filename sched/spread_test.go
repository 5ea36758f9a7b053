package sched

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

func (h *harness) reservedCount(organisation string, tier int) int {
	n := 0
	for _, r := range h.s.requests {
		if r.Organisation == organisation && r.tier == tier && len(r.reservations) > 0 {
			n++
		}
	}
	return n
}

// Guards against unequal shares between organisations of equal demand: two organisations with long backlogs share
// an entry. An organisation is charged at dispatch, so without a cost for reservations its tag would stay the
// lowest, all reservations would be of one organisation, and the gates wouldn't see the other.
func TestReservationsAreSpreadOverOrganisations(t *testing.T) {
	h := newHarness(t, Options{Reservations: 1, ReservationsPerServer: 8})
	for _, organisation := range []string{"first", "second"} {
		for i := range 20 {
			h.arriveAs(fmt.Sprint(organisation, i), organisation, appeal, 1000)
		}
	}
	h.addServer("s1", kindModel, testModel, 0)
	require.Equal(t, 4, h.reservedCount("first", 2))
	require.Equal(t, 4, h.reservedCount("second", 2))
}

// Guards against gates that don't see the demand of a lower tier while a higher tier waits: a higher tier uses up
// its bound of reservations. The bound must be per tier.
func TestReservationBoundIsPerTier(t *testing.T) {
	h := newHarness(t, Options{Reservations: 1, ReservationsPerServer: 2})
	h.addServer("s1", kindModel, testModel, 0)
	room := readyRoom("s1", kindModel, testModel, 0)
	room.LowestWaitingTier = 3
	h.receive("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
	for i := range 5 {
		h.arriveAs(fmt.Sprint("summary", i), "org", summary, 10)
	}
	h.arriveAs("appeal", "org", appeal, 10)
	require.Equal(t, 2, h.reservedCount("org", 1))
	require.Equal(t, 1, h.reservedCount("org", 2))
}
