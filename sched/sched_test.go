package sched

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

func TestWholeAnswerOverFreeRoom(t *testing.T) {
	w := newWorld(t, Options{})
	w.serve("s1", kindModel, testModel, 1)
	w.arrive("r", summary)
	d := w.last("r", 1)
	w.frame(d.server, d.id, 0, "a", "b")
	w.complete(d.server, d.id, 0, "a", "b")
	require.Contains(t, w.answers, "r")
	assert.Equal(t, []string{"a", "b"}, w.events["r"])
}

func TestReservationsOfferAndWithdrawal(t *testing.T) {
	w := newWorld(t, Options{})
	for _, name := range []string{"s1", "s2", "s3", "s4"} {
		w.serve(name, kindModel, testModel, 0)
	}
	w.arrive("r", summary)
	reserves := w.reserves("r")
	require.Len(t, reserves, DefaultReservations)
	w.offer(reserves[1].server, reserves[1].id)
	d := w.last("r", 1)
	assert.Equal(t, reserves[1].server, d.server)
	assert.Len(t, w.withdraws("r"), DefaultReservations-1)
	w.offer(reserves[0].server, reserves[0].id)
	assert.Len(t, w.declines("r"), 1)
	assert.Len(t, w.dispatches("r"), 1)
	w.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED)
	assert.Empty(t, w.failures)
}
