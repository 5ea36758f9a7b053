package entry

import (
	"cmp"
	"slices"

	"github.com/carawaypitch/carawaypitch/rendezvous"
	"github.com/carawaypitch/carawaypitch/wire"
)

// To how many agents an entry keeps links for each model or service.
//
// A link costs heartbeats and messages about room at both ends, whether or not work goes over it. With links from every entry to
// every agent their number grows with the product: 105 entries and 180 agents had 18,900 links, which took more processor
// time than the requests. An entry has 16 requests a second there; some dozen servers are as good a choice for it as all.
const (
	// linkedPerTarget is how many agents of a model or service an entry links to. Their servers have some 120 slots, where an
	// entry has some 30 requests under way under twice the usual load.
	linkedPerTarget = 24
	// linkedNear is how many of them are in its own availability zone, where there are so many. The rest is from all other
	// zones, so that a zone whose callers or servers are many more than usual shares with all others.
	linkedNear = 12
)

// agentSubset returns the agents that an entry keeps links to: all of few, else some of each target, by a hash of the entry and
// the agent. So each agent has links from about equally many entries, and one that comes or goes changes the links of few.
// Agents of servers that are needed are always among them. The order is that of agents.
func agentSubset(entry, zone string, agents []*wire.AgentRecord, needed map[string]bool) []*wire.AgentRecord {
	if len(agents) <= linkedPerTarget {
		return agents
	}
	chosen := make(map[string]bool, 2*linkedPerTarget)
	byTarget := make(map[string][]candidate)
	for _, agent := range agents {
		ranked := candidate{
			name:   agent.GetAgent(),
			isNear: agent.GetAvailabilityZone() == zone,
			rank:   rendezvous.Rank(entry, agent.GetAgent()),
		}
		for _, target := range targetsOf(agent) {
			byTarget[target] = append(byTarget[target], ranked)
		}
		chosen[agent.GetAgent()] = slices.ContainsFunc(agent.GetServers(), func(s *wire.ServerRecord) bool { return needed[s.GetServer()] })
	}
	for _, ranked := range byTarget {
		for _, agent := range chooseCandidates(ranked) {
			chosen[agent.name] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(agents), func(agent *wire.AgentRecord) bool { return !chosen[agent.GetAgent()] })
}

// candidate is an agent, or a server without one, as one entry sees it.
type candidate struct {
	name   string
	isNear bool // in the entry's availability zone
	rank   uint64
}

// chooseCandidates takes the near ones first, up to their bound, then the far ones, then more near ones if there are too few far.
func chooseCandidates(all []candidate) []candidate {
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name)) })
	var near, far []candidate
	for _, one := range all {
		if one.isNear {
			near = append(near, one)
		} else {
			far = append(far, one)
		}
	}
	fromNear := min(len(near), max(linkedNear, linkedPerTarget-len(far)))
	fromFar := min(len(far), linkedPerTarget-fromNear)
	return append(near[:fromNear:fromNear], far[:fromFar]...)
}

// targetsOf are the models or services that an agent's servers have. An agent without servers is like one of a target that has
// no name: it may have one soon.
func targetsOf(agent *wire.AgentRecord) []string {
	var targets []string
	for _, server := range agent.GetServers() {
		targets = append(targets, server.GetModels()...)
	}
	if len(targets) == 0 {
		return []string{""}
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}
