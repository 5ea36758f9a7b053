package entry

import (
	"cmp"
	"slices"

	"github.com/carawaypitch/carawaypitch/linkset"
	"github.com/carawaypitch/carawaypitch/rendezvous"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Number of agents that an entry keeps links to for each model or service.
//
// A link costs heartbeats and room messages at both ends, whether or not it carries requests. With links from every
// entry to every agent, their number grows with the product: 105 entries and 180 agents have 18,900 links, which take
// more processor time than the requests. At that size an entry handles 16 requests a second, for which a couple of
// dozen servers offer as good a choice as all of them.
const (
	// linksPerTarget is the number of agents of a model or service that an entry links to at usual load.
	linksPerTarget = linkset.Base
	// sameZoneDivisor is the part of them that is in the entry's own availability zone, if it has that many. The
	// others are in other zones, so that a zone with unusually many callers or servers shares load with the rest.
	sameZoneDivisor = 2
)

// agentSubset returns the agents that an entry keeps links to: all of them if there are few, otherwise a subset of count for
// each target, which is part of any larger one, chosen by a hash of the entry and the agent. Each agent thus has links from about the same number of
// entries, and adding or removing an agent changes few links. The agents of the servers in needed are always included.
// The order is that of agents.
func agentSubset(entry, zone string, agents []*wire.AgentRecord, needed map[string]bool, count int) []*wire.AgentRecord {
	if len(agents) <= count {
		return agents
	}
	chosen := make(map[string]bool, 2*count)
	byTarget := make(map[string][]candidate)
	for _, agent := range agents {
		ranked := candidate{
			name:       agent.GetAgent(),
			isSameZone: agent.GetAvailabilityZone() == zone,
			rank:       rendezvous.Rank(entry, agent.GetAgent()),
		}
		for _, target := range targetsOf(agent) {
			byTarget[target] = append(byTarget[target], ranked)
		}
		chosen[agent.GetAgent()] = slices.ContainsFunc(agent.GetServers(), func(s *wire.ServerRecord) bool { return needed[s.GetServer()] })
	}
	for _, ranked := range byTarget {
		for _, agent := range chooseCandidates(ranked, count) {
			chosen[agent.name] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(agents), func(agent *wire.AgentRecord) bool { return !chosen[agent.GetAgent()] })
}

// candidate is an agent, or a server without an agent, as ranked by one entry.
type candidate struct {
	name       string
	isSameZone bool // in the entry's availability zone
	rank       uint64
}

// chooseCandidates takes count candidates: of the same zone first, up to their bound, then those of other zones, then more of
// the same zone if the other zones have too few.
func chooseCandidates(all []candidate, count int) []candidate {
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name)) })
	var sameZone, otherZones []candidate
	for _, one := range all {
		if one.isSameZone {
			sameZone = append(sameZone, one)
		} else {
			otherZones = append(otherZones, one)
		}
	}
	fromSameZone := min(len(sameZone), max(count/sameZoneDivisor, count-len(otherZones)))
	fromOtherZones := min(len(otherZones), count-fromSameZone)
	return append(sameZone[:fromSameZone:fromSameZone], otherZones[:fromOtherZones]...)
}

// targetsOf returns the models or services that an agent's servers offer. An agent without servers belongs to the
// target with the empty name, since it may be assigned a server soon.
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
