package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

func TestHigherTierTakesTheOffer(t *testing.T) {
	// Symptom: a gate check waits for the next slot while an appeal takes the one at hand.
	// Sequence: a gate offers a slot to an appeal; meanwhile a tier-1 request has reserved there as well.
	// Cause: the offer bound to the request that it names.
	w := newWorld(t, Options{})
	w.serve("s1", kindModel, testModel, 0)
	w.arrive("low", appeal)
	w.arrive("top", urgentModel)
	w.offer("s1", w.reserves("low")[0].id)
	assert.Len(t, w.dispatches("top"), 1)
	assert.Empty(t, w.dispatches("low"))
	assert.Len(t, w.declines("low"), 1)
	assert.Len(t, w.reserves("low"), 2, "it waits there again")
}

func TestReservationsAreBounded(t *testing.T) {
	w := newWorld(t, Options{Reservations: 1, ReservationsPerServer: 2})
	w.serve("s1", kindModel, testModel, 0)
	for i := range 100 {
		w.arrive(fmt.Sprint(i), appeal)
	}
	placed := 0
	for i := range 100 {
		placed += len(w.reserves(fmt.Sprint(i)))
	}
	assert.Equal(t, 2, placed)
	w.arrive("top", urgentModel)
	assert.Len(t, w.reserves("top"), 1, "the bound doesn't hold tier 1 back")
	w.step(CallerLeft{Request: "0"})
	assert.Len(t, w.reserves("1"), 1)
	w.step(CallerLeft{Request: "1"})
	assert.Len(t, w.reserves("2"), 1)
}

func TestBaselinesKeepTheTruth(t *testing.T) {
	for _, policy := range []Policy{PolicyRoundRobin, PolicyLeastLoad, PolicyRandomFIFO} {
		w := newWorld(t, Options{Policy: policy, MaxOutstanding: 2})
		w.serve("s1", kindModel, testModel, 0)
		w.serve("s2", kindModel, testModel, 0)
		for i := range 6 {
			w.arrive(fmt.Sprint(i), []*wire.Class{appeal, summary, urgentModel}[i%3])
		}
		require.Len(t, w.running(), 4)
		assert.Empty(t, w.reserves("0"))
		assert.Len(t, w.dispatches("0"), 1, "first in, first out")
		assert.Empty(t, w.dispatches("5"))
		d := w.last("0", 1)
		w.down(d.server)
		w.pass(time.Second)
		w.last("0", 1)
		w.up(d.server, 2)
		w.room(d.server, kindModel, testModel, 0)
		w.last("0", 2)
	}
}
