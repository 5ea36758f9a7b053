package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// listSuspending lists n servers in two availability zones, of which every other one has a free slot.
func (h *harness) listSuspending(n int, suspends bool) {
	h.t.Helper()
	for i := range n {
		name := fmt.Sprint("s", i)
		h.addServer(name, kindModel, testModel, uint32(i%2))
		record := h.records[len(h.records)-1]
		record.AvailabilityZone = fmt.Sprint("zone-", i/2%2)
		record.Servers[0].Address = fmt.Sprintf("http://10.0.0.%d:80", i)
		record.Servers[0].Suspends = suspends
	}
	h.step(Directory{Agents: h.records})
}

func (h *harness) workAt(in *Request, server string) *wire.Work {
	r := h.s.newEstimationRequest(in)
	return h.s.describeWork(r, h.s.servers[server])
}

// Guards against a suspension that fails for want of a target although others have room, against a copy to the server
// that runs the request, and against addresses with a scheme, which servers don't accept.
func TestSuspendTargetsPreferFreeSlotsInTheZone(t *testing.T) {
	h := newHarness(t, Options{})
	h.listSuspending(12, true)
	free, near := 0, 0
	for range 200 {
		targets := h.workAt(h.request("r", summary), "s1").GetSuspendTargets()
		require.NotEmpty(t, targets)
		require.LessOrEqual(t, len(targets), maxSuspendTargets)
		seen := map[string]bool{}
		for i, address := range targets {
			var number int
			_, err := fmt.Sscanf(address, "10.0.0.%d:80", &number)
			require.NoError(t, err, address)
			require.NotEqual(t, 1, number, "the server itself")
			require.False(t, seen[address], "named twice: %v", targets)
			seen[address] = true
			if i == 0 && number%2 == 1 {
				free++
			}
			if i == 0 && number%2 == 1 && number/2%2 == 0 {
				near++
			}
		}
	}
	// A pick has a chance of 5 in 12 to have a free slot, and of 2 in 12 to be in the zone as well. Of eight picks none
	// is with a chance of 1.3% and 23%.
	require.Greater(t, free, 185)
	require.Greater(t, near, 130)
}

// Guards against a changed message, and a changed sequence of random choices, at servers that don't suspend runs.
func TestSuspendTargetsAreNamedOnlyWhereRunsAreSuspended(t *testing.T) {
	h := newHarness(t, Options{})
	h.listSuspending(12, false)
	require.Empty(t, h.workAt(h.request("r", summary), "s1").GetSuspendTargets())
	alone := newHarness(t, Options{})
	alone.listSuspending(1, true)
	require.Empty(t, alone.workAt(alone.request("r", summary), "s0").GetSuspendTargets())
}

// Guards against a gate that doesn't know when a first event is due, or suspends runs whose callers leave at once.
func TestWorkDescribesObjectiveAndTolerance(t *testing.T) {
	h := newHarness(t, Options{})
	h.listSuspending(2, true)
	in := h.request("r", summary)
	in.Objective = h.now.Add(400 * time.Millisecond)
	in.Pause, in.Abandon = 300*time.Millisecond, 2*time.Second
	w := h.workAt(in, "s0")
	require.EqualValues(t, 400, w.GetObjectiveMs())
	require.EqualValues(t, 300, w.GetPauseMs())
	require.EqualValues(t, 2000, w.GetAbandonMs())
	h.now = h.now.Add(100 * time.Millisecond)
	h.step(Tick{})
	require.EqualValues(t, 300, h.workAt(in, "s0").GetObjectiveMs())
	h.now = h.now.Add(time.Second)
	h.step(Tick{})
	require.Zero(t, h.workAt(in, "s0").GetObjectiveMs(), "once it has passed")
}
