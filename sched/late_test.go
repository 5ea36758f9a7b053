package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a class that may be late but not lost being entirely late under overload: a request whose deadline
// has passed stays queued and a new one arrives. If they were ordered by deadline alone, the late one would go
// first.
func TestLateRequestsGoAfterTimelyRequests(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 0)
	h.arrive("late", appeal)
	h.advance(time.Duration(appeal.DeadlineMs) * time.Millisecond)
	h.arrive("timely", appeal)
	h.reportRoom("s1", kindModel, testModel, 1)
	require.Len(t, h.dispatches("timely"), 1)
	require.Empty(t, h.dispatches("late"))
	require.NotContains(t, h.failures, "late", "it isn't lost")
	h.reportRoom("s1", kindModel, testModel, 2)
	require.Len(t, h.dispatches("late"), 1)
}

// Guards against the same when all servers are full: the bounded number of requests with reservations has become
// late while others arrive. The late ones must give up their reservations, so that timely ones reach the gates.
func TestLateRequestsGiveUpTheirReservations(t *testing.T) {
	h := newHarness(t, Options{Reservations: 1, ReservationsPerServer: 1})
	h.addServer("s1", kindModel, testModel, 0)
	h.arrive("late", appeal)
	require.NotEmpty(t, h.reserves("late"))
	h.advance(time.Duration(appeal.DeadlineMs) * time.Millisecond)
	for i := range 3 {
		h.arrive(fmt.Sprint("timely-", i), appeal)
	}
	require.Empty(t, h.reserves("timely-0"))
	h.advance(2 * reservationInterval)
	require.NotEmpty(t, h.withdraws("late"))
	require.NotEmpty(t, h.reserves("timely-0"))
}
