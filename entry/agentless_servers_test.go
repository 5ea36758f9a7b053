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

// unattendedView has servers without an agent and entries, over three zones in turn.
func unattendedView(servers, entries int) *session.View {
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

// takers are how many entries take each server, and the most that one entry takes.
func takers(view *session.View) (byServer map[string]int, most, least int) {
	byServer = make(map[string]int)
	least = len(view.Announcements)
	for name, record := range view.Entries {
		chosen := newUnattended(name, record.GetAvailabilityZone(), 0).choose(view)
		most, least = max(most, len(chosen)), min(least, len(chosen))
		for _, announcement := range chosen {
			byServer[announcement.GetServer()]++
		}
	}
	return byServer, most, least
}

// Symptom: entries of a large fleet spend their memory and processor time on servers that they hardly use, more with each server that
// is added anywhere. Sequence: 2,700 model servers without an agent, 150 entries. Cause: each entry's own agent took all of
// them. The pattern: servers grow with the machines, and so do entries; what one entry takes must not.
func TestServersWithoutAnAgentAreSharedOut(t *testing.T) {
	for _, fleet := range []struct{ servers, entries int }{{270, 15}, {900, 50}, {2700, 150}} {
		t.Run(fmt.Sprint(fleet.servers), func(t *testing.T) {
			byServer, most, least := takers(unattendedView(fleet.servers, fleet.entries))
			require.Len(t, byServer, fleet.servers, "no server is left out")
			for server, n := range byServer {
				require.GreaterOrEqual(t, n, min(takersPerServer, fleet.entries/3), server)
			}
			mean := fleet.servers * takersPerServer / fleet.entries
			require.LessOrEqual(t, most, 2*mean+linkedPerTarget, "the same at each size")
			require.GreaterOrEqual(t, least, linkedPerTarget, "each entry has a choice")
		})
	}
}

func TestFewServersWithoutAnAgentAreAllTaken(t *testing.T) {
	_, _, least := takers(unattendedView(linkedPerTarget, 100))
	require.Equal(t, linkedPerTarget, least)
}

// Symptom: places of servers stand idle after entries are lost. Sequence: servers are shared out; a third of the entries is removed from
// the directory. Cause: a choice that isn't made again.
func TestServersOfLostEntriesAreTakenByOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := unattendedView(900, 50)
		choices := make(map[string]*unattended)
		for name, record := range view.Entries {
			choices[name] = newUnattended(name, record.GetAvailabilityZone(), time.Second)
			require.Empty(t, choices[name].choose(view), "an agent may just be starting")
		}
		time.Sleep(time.Second)
		for name := range view.Entries {
			choices[name].choose(view)
		}
		for i := range 16 {
			delete(view.Entries, fmt.Sprint("entry-", i))
		}
		taken := make(map[string]int)
		for name := range view.Entries {
			for _, announcement := range choices[name].choose(view) {
				taken[announcement.GetServer()]++
			}
		}
		for server := range 900 {
			require.GreaterOrEqual(t, taken[fmt.Sprint("server-", server)], takersPerServer)
		}
	})
}
