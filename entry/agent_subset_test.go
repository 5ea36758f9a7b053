package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// makeAgents returns agents with one server each, distributed over the zones in turn.
func makeAgents(size, zones int, target string) []*wire.AgentRecord {
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
	agents := makeAgents(linksPerTarget, 3, "m")
	require.Equal(t, agents, agentSubset("entry-1", "zone-0", agents, nil, linksPerTarget))
}

// With a link from each entry to each agent, entries of a large fleet spend more processor time on links than on
// requests. With 105 entries in five zones and 180 model servers, each entry must have servers to choose from in its
// own zone and in others, and each server must be linked to enough entries.
func TestLinksOfManyAgentsAreBoundedAndBalanced(t *testing.T) {
	const entries, zones = 105, 5
	const slots = 5 // of a server; all can be filled even if each entry has one request at a time
	agents := makeAgents(180, zones, "m")
	links := make(map[string]int)
	for i := range entries {
		zone := fmt.Sprint("zone-", i%zones)
		chosen := agentSubset(fmt.Sprint("entry-", i), zone, agents, nil, linksPerTarget)
		require.Len(t, chosen, linksPerTarget)
		near := 0
		for _, agent := range chosen {
			links[agent.GetAgent()]++
			if agent.GetAvailabilityZone() == zone {
				near++
			}
		}
		require.Equal(t, linksPerTarget/sameZoneDivisor, near)
	}
	mean := entries * linksPerTarget / len(agents)
	for _, agent := range agents {
		require.GreaterOrEqual(t, links[agent.GetAgent()], slots)
		require.Less(t, links[agent.GetAgent()], 2*mean)
	}
}

func TestAddedAgentChangesFewLinks(t *testing.T) {
	agents := makeAgents(181, 5, "m")
	changed := 0
	for i := range 105 {
		name, zone := fmt.Sprint("entry-", i), fmt.Sprint("zone-", i%5)
		before := make(map[*wire.AgentRecord]bool)
		for _, agent := range agentSubset(name, zone, agents[:180], nil, linksPerTarget) {
			before[agent] = true
		}
		for _, agent := range agentSubset(name, zone, agents, nil, linksPerTarget) {
			if !before[agent] {
				changed++
			}
		}
	}
	require.Less(t, changed, 2*105*linksPerTarget/181)
}

func TestEachTargetHasItsAgents(t *testing.T) {
	agents := append(makeAgents(100, 5, "m"), makeAgents(3, 3, "rare")...)
	chosen := agentSubset("entry-1", "zone-1", agents, nil, linksPerTarget)
	require.Len(t, chosen, linksPerTarget+3)
}

// A caller that resends at another entry would not learn the outcome if the new entry had no link to the server that
// ran the request for an entry that crashed.
func TestNeededServersAreLinked(t *testing.T) {
	agents := makeAgents(180, 5, "m")
	all := make(map[string]bool)
	for _, agent := range agents {
		all[agent.GetServers()[0].GetServer()] = true
	}
	require.Len(t, agentSubset("entry-1", "zone-1", agents, all, linksPerTarget), 180)
}

// A zone with few servers links to more in other zones, and a zone with many links to more of its own if the other
// zones have few.
func TestZonesWithFewServersLinkToOtherZones(t *testing.T) {
	agents := makeAgents(100, 2, "m")
	require.Len(t, agentSubset("entry-1", "zone-9", agents, nil, linksPerTarget), linksPerTarget)
	for _, agent := range agents[:90] {
		agent.AvailabilityZone = "zone-0"
	}
	for _, agent := range agents[90:] {
		agent.AvailabilityZone = "zone-1"
	}
	require.Len(t, agentSubset("entry-1", "zone-0", agents, nil, linksPerTarget), linksPerTarget)
}
