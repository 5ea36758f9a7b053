package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLateRequestsGoAfterThoseThatMayBeInTime(t *testing.T) {
	// Symptom: of a class that may be late but not lost nothing is in time under overload.
	// Sequence: more come than can be served; those whose deadline has passed wait on.
	// Cause: they were served by deadline alone, so that the latest of them went first.
	w := newWorld(t, Options{})
	w.serve("s1", kindModel, testModel, 0)
	w.arrive("late", appeal)
	w.pass(time.Duration(appeal.DeadlineMs) * time.Millisecond)
	w.arrive("timely", appeal)
	w.room("s1", kindModel, testModel, 1)
	require.Len(t, w.dispatches("timely"), 1)
	require.Empty(t, w.dispatches("late"))
	require.NotContains(t, w.failures, "late", "it isn't lost")
	w.room("s1", kindModel, testModel, 2)
	require.Len(t, w.dispatches("late"), 1)
}

func TestLateRequestsGiveUpTheirReservations(t *testing.T) {
	// Symptom: the same, with all servers full.
	// Sequence: the bounded number of requests with reservations have turned late; others come.
	// Cause: they kept their reservations, and nothing that could be in time got to a gate.
	w := newWorld(t, Options{Reservations: 1, ReservationsPerServer: 1})
	w.serve("s1", kindModel, testModel, 0)
	w.arrive("late", appeal)
	require.NotEmpty(t, w.reserves("late"))
	w.pass(time.Duration(appeal.DeadlineMs) * time.Millisecond)
	for i := range 3 {
		w.arrive(fmt.Sprint("timely-", i), appeal)
	}
	require.Empty(t, w.reserves("timely-0"))
	w.pass(2 * reservationRenewal)
	require.NotEmpty(t, w.withdraws("late"))
	require.NotEmpty(t, w.reserves("timely-0"))
}
