package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Guards against tier 1 waiting for the next slot while a lower tier takes the one at hand: a gate offers a slot to
// a request of tier 3, and meanwhile a tier 1 request has reserved there as well. The slot must go to the higher
// tier.
func TestHigherTierIsServedWithOfferedSlot(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 0)
	h.arrive("low", appeal)
	h.arrive("top", urgentModel)
	h.offer("s1", h.reserves("low")[0].id)
	assert.Len(t, h.dispatches("top"), 1)
	assert.Empty(t, h.dispatches("low"))
	assert.Len(t, h.declines("low"), 1)
	assert.Len(t, h.reserves("low"), 2, "it reserves there again")
}

// Guards against messages and gate queues that grow with a backlog: the number of requests with reservations must
// stay bounded, except in tier 1, and a reservation that becomes free must go to the next request.
func TestReservationsAreBounded(t *testing.T) {
	h := newHarness(t, Options{Reservations: 1, ReservationsPerServer: 2})
	h.addServer("s1", kindModel, testModel, 0)
	for i := range 100 {
		h.arrive(fmt.Sprint(i), appeal)
	}
	placed := 0
	for i := range 100 {
		placed += len(h.reserves(fmt.Sprint(i)))
	}
	assert.Equal(t, 2, placed)
	h.arrive("top", urgentModel)
	assert.Len(t, h.reserves("top"), 1, "tier 1 is exempt from the bound")
	h.step(CallerLeft{Request: "0"})
	assert.Len(t, h.reserves("1"), 1)
	h.step(CallerLeft{Request: "1"})
	assert.Len(t, h.reserves("2"), 1)
}

// Guards against baseline policies that dispatch past MaxOutstanding or out of order, or that start a second
// attempt before the first is proved over.
func TestBaselinePoliciesKeepAttemptRules(t *testing.T) {
	for _, policy := range []Policy{PolicyRoundRobin, PolicyLeastLoad, PolicyRandomFIFO} {
		h := newHarness(t, Options{Policy: policy, MaxOutstanding: 2})
		h.addServer("s1", kindModel, testModel, 0)
		h.addServer("s2", kindModel, testModel, 0)
		for i := range 6 {
			h.arrive(fmt.Sprint(i), []*wire.Class{appeal, summary, urgentModel}[i%3])
		}
		require.Len(t, h.running(), 4)
		assert.Empty(t, h.reserves("0"))
		assert.Len(t, h.dispatches("0"), 1, "first in, first out")
		assert.Empty(t, h.dispatches("5"))
		d := h.lastDispatch("0", 1)
		h.linkDown(d.server)
		h.advance(time.Second)
		h.lastDispatch("0", 1)
		h.linkUp(d.server, 2)
		h.reportRoom(d.server, kindModel, testModel, 0)
		h.lastDispatch("0", 2)
	}
}
