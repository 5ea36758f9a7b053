package sched

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Guards against losing an answer on the direct path: a request is dispatched to advertised room and its answer
// must be delivered whole.
func TestDispatchToAdvertisedRoom(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 1)
	h.arrive("r", summary)
	d := h.lastDispatch("r", 1)
	h.frame(d.server, d.id, 0, "a", "b")
	h.complete(d.server, d.id, 0, "a", "b")
	require.Contains(t, h.answers, "r")
	assert.Equal(t, []string{"a", "b"}, h.events["r"])
}

// Guards against a second dispatch on the reservation path: a request reserves at several servers, one offers a
// slot, the other reservations must be withdrawn and a late offer declined.
func TestReservationsOfferAndWithdrawal(t *testing.T) {
	h := newHarness(t, Options{})
	for _, name := range []string{"s1", "s2", "s3", "s4"} {
		h.addServer(name, kindModel, testModel, 0)
	}
	h.arrive("r", summary)
	reserves := h.reserves("r")
	require.Len(t, reserves, DefaultReservations)
	h.offer(reserves[1].server, reserves[1].id)
	d := h.lastDispatch("r", 1)
	assert.Equal(t, reserves[1].server, d.server)
	assert.Len(t, h.withdraws("r"), DefaultReservations-1)
	h.offer(reserves[0].server, reserves[0].id)
	assert.Len(t, h.declines("r"), 1)
	assert.Len(t, h.dispatches("r"), 1)
	h.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED)
	assert.Empty(t, h.failures)
}
