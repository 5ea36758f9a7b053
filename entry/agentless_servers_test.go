package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// agentlessView returns a view with servers that have no agent and with entries, distributed over three zones in turn.
func agentlessView(servers, entries int) *session.View {
	view := &session.View{
		Announcements: make(map[string]*wire.Announcement),
		Entries:       make(map[string]*wire.EntryRecord),
		Desired:       &wire.DesiredState{Pools: []*wire.Pool{{Name: "m", Kind: "model"}}},
	}
	for i := range servers {
		a := &wire.Announcement{Server: fmt.Sprint("server-", i), Pool: "m", Address: fmt.Sprint(i), AvailabilityZone: fmt.Sprint("zone-", i%3)}
		view.Announcements[a.Run().String()] = a
	}
	for i := range entries {
		name := fmt.Sprint("entry-", i)
		view.Entries[name] = &wire.EntryRecord{Entry: name, Incarnation: 1, AvailabilityZone: fmt.Sprint("zone-", i%3)}
	}
	return view
}

// countSelections returns how many entries select each server, and the largest and smallest number of servers that one
// entry selects.
func countSelections(view *session.View) (byServer map[string]int, most, least int) {
	byServer = make(map[string]int)
	least = len(view.Announcements)
	for name, record := range view.Entries {
		chosen := newAgentlessSelector(name, record.GetAvailabilityZone(), 0).choose(view)
		most, least = max(most, len(chosen)), min(least, len(chosen))
		for _, announcement := range chosen {
			byServer[announcement.GetServer()]++
		}
	}
	return byServer, most, least
}

// If each entry's local agent selected every agentless server, its memory and processor time would grow with every
// server added to the fleet. Up to 2,700 model servers and 150 entries: the number that one entry selects must not grow
// with the fleet.
func TestAgentlessServersAreDistributed(t *testing.T) {
	for _, fleet := range []struct{ servers, entries int }{{270, 15}, {900, 50}, {2700, 150}} {
		t.Run(fmt.Sprint(fleet.servers), func(t *testing.T) {
			byServer, most, least := countSelections(agentlessView(fleet.servers, fleet.entries))
			require.Len(t, byServer, fleet.servers, "every server is selected")
			for server, n := range byServer {
				require.GreaterOrEqual(t, n, min(entriesPerServer, fleet.entries/3), server)
			}
			meanPerEntry := fleet.servers * entriesPerServer / fleet.entries
			require.LessOrEqual(t, most, 2*meanPerEntry+linksPerTarget, "bounded independently of the fleet size")
			require.GreaterOrEqual(t, least, linksPerTarget, "each entry has servers to choose from")
		})
	}
}

func TestFewAgentlessServersAreAllSelected(t *testing.T) {
	_, _, least := countSelections(agentlessView(linksPerTarget, 100))
	require.Equal(t, linksPerTarget, least)
}

// If assignments were not recomputed when entries leave the directory, the slots of the servers assigned to those
// entries would stay unused. Here a third of the entries is removed.
func TestServersOfRemovedEntriesAreReassigned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := agentlessView(900, 50)
		choices := make(map[string]*agentlessSelector)
		for name, record := range view.Entries {
			choices[name] = newAgentlessSelector(name, record.GetAvailabilityZone(), time.Second)
			require.Empty(t, choices[name].choose(view), "no selection during the grace period")
		}
		time.Sleep(time.Second)
		for name := range view.Entries {
			choices[name].choose(view)
		}
		for i := range 16 {
			delete(view.Entries, fmt.Sprint("entry-", i))
		}
		selected := make(map[string]int)
		for name := range view.Entries {
			for _, announcement := range choices[name].choose(view) {
				selected[announcement.GetServer()]++
			}
		}
		for server := range 900 {
			require.GreaterOrEqual(t, selected[fmt.Sprint("server-", server)], entriesPerServer)
		}
	})
}
