package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// fleet is a number of agents with one server each, over zones in turn.
func fleet(size, zones int, target string) []*wire.AgentRecord {
	agents := make([]*wire.AgentRecord, size)
	for i := range agents {
		agents[i] = &wire.AgentRecord{
			Agent:            fmt.Sprintf("agent-%s-%03d", target, i),
			AvailabilityZone: fmt.Sprint("zone-", i%zones),
			Servers:          []*wire.ServerRecord{{Server: fmt.Sprintf("%s-%03d", target, i), Models: []string{target}}},
		}
	}
	return agents
}

func TestFewAgentsAreAllLinked(t *testing.T) {
	agents := fleet(linkedPerTarget, 3, "m")
	require.Equal(t, agents, agentSubset("entry-1", "zone-0", agents, nil))
}

// Symptom: entries spend more processor time on links than on requests. Sequence: a fleet of hundreds. Cause: a link from each
// entry to each agent. The load: 105 entries in five zones before 180 model servers. Each entry must have a choice in its own
// zone and beyond it, and no server may be left to a few entries.
func TestLinksOfALargeFleetAreBoundedAndSpread(t *testing.T) {
	const entries, zones = 105, 5
	const slots = 5 // of a server: all can be taken also when each entry has one request at a time
	agents := fleet(180, zones, "m")
	links := make(map[string]int)
	for i := range entries {
		zone := fmt.Sprint("zone-", i%zones)
		chosen := agentSubset(fmt.Sprint("entry-", i), zone, agents, nil)
		require.Len(t, chosen, linkedPerTarget)
		near := 0
		for _, agent := range chosen {
			links[agent.GetAgent()]++
			if agent.GetAvailabilityZone() == zone {
				near++
			}
		}
		require.Equal(t, linkedNear, near)
	}
	mean := entries * linkedPerTarget / len(agents)
	for _, agent := range agents {
		require.GreaterOrEqual(t, links[agent.GetAgent()], slots)
		require.Less(t, links[agent.GetAgent()], 2*mean)
	}
}

func TestOneAgentMoreChangesFewLinks(t *testing.T) {
	agents := fleet(181, 5, "m")
	changed := 0
	for i := range 105 {
		name, zone := fmt.Sprint("entry-", i), fmt.Sprint("zone-", i%5)
		before := make(map[*wire.AgentRecord]bool)
		for _, agent := range agentSubset(name, zone, agents[:180], nil) {
			before[agent] = true
		}
		for _, agent := range agentSubset(name, zone, agents, nil) {
			if !before[agent] {
				changed++
			}
		}
	}
	require.Less(t, changed, 2*105*linkedPerTarget/181)
}

func TestEachTargetHasItsAgents(t *testing.T) {
	agents := append(fleet(100, 5, "m"), fleet(3, 3, "rare")...)
	chosen := agentSubset("entry-1", "zone-1", agents, nil)
	require.Len(t, chosen, linkedPerTarget+3)
}

// Symptom: a caller who comes back to another entry hears nothing of a request that ran. Sequence: the entry that had it died; the
// server that ran it is none of those that the next entry is linked to. Cause: nobody there to ask.
func TestNeededServersAreLinked(t *testing.T) {
	agents := fleet(180, 5, "m")
	all := make(map[string]bool)
	for _, agent := range agents {
		all[agent.GetServers()[0].GetServer()] = true
	}
	require.Len(t, agentSubset("entry-1", "zone-1", agents, all), 180)
}

// A zone that has few servers of its own takes more from the others, and the other way round.
func TestZonesWithoutServersUseTheOthers(t *testing.T) {
	agents := fleet(100, 2, "m")
	require.Len(t, agentSubset("entry-1", "zone-9", agents, nil), linkedPerTarget)
	for _, agent := range agents[:90] {
		agent.AvailabilityZone = "zone-0"
	}
	for _, agent := range agents[90:] {
		agent.AvailabilityZone = "zone-1"
	}
	require.Len(t, agentSubset("entry-1", "zone-0", agents, nil), linkedPerTarget)
}
