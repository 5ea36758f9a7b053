package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/agent"
	"github.com/carawaypitch/carawaypitch/rendezvous"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// entriesPerServer is how many entries are assigned each model server without an agent, in addition to the entries that
// prefer it. All slots of the server stay reachable while two of them are unavailable.
const entriesPerServer = 3

// agentlessSelector chooses which of the model servers without an agent this entry's local agent serves: those assigned
// to the entry among all entries of the server's availability zone, so that every server is served, and a preferred
// subset as with agents, so that every entry has servers.
//
// Each selected server costs a gate with a goroutine, probes and memory. If every entry selected all of them, this cost
// would grow with the product of servers and entries, for servers that an entry rarely uses.
type agentlessSelector struct {
	entry, zone string
	list        func(*session.View) []*wire.Announcement
	needed      func(*session.View) map[string]bool // further runs that are always chosen; nil for none

	// The assignment of a server depends on the set of entries only.
	zoneByEntry   map[string]string   // zone of each entry, as of the last refreshEntries
	entriesByZone map[string][]string // names of the entries in each zone
	assigned      map[string]bool     // whether a run is assigned to this entry
}

func newAgentlessSelector(entry, zone string, wait time.Duration) *agentlessSelector {
	return &agentlessSelector{entry: entry, zone: zone, list: agent.WithoutAgent(wait)}
}

// choose returns the servers that this entry serves. It must not be called concurrently.
func (s *agentlessSelector) choose(view *session.View) []*wire.Announcement {
	found := s.list(view)
	if len(found) <= linksPerTarget {
		return found
	}
	s.refreshEntries(view)
	chosen := s.preferred(found)
	if s.needed != nil {
		maps.Copy(chosen, s.needed(view))
	}
	assigned := make(map[string]bool, len(found))
	for _, announcement := range found {
		run := announcement.Run().String()
		isAssigned, known := s.assigned[run]
		if !known {
			isAssigned = s.isAssignedHere(run, announcement.GetAvailabilityZone())
		}
		assigned[run] = isAssigned
		chosen[run] = chosen[run] || isAssigned
	}
	s.assigned = assigned
	return slices.DeleteFunc(found, func(a *wire.Announcement) bool { return !chosen[a.Run().String()] })
}

// refreshEntries discards the assignments if the set of entries or their zones have changed.
func (s *agentlessSelector) refreshEntries(view *session.View) {
	unchanged := len(view.Entries) == len(s.zoneByEntry)
	for name, entry := range view.Entries {
		zone, known := s.zoneByEntry[name]
		unchanged = unchanged && known && zone == entry.GetAvailabilityZone()
	}
	if unchanged {
		return
	}
	s.zoneByEntry = make(map[string]string, len(view.Entries))
	s.entriesByZone = make(map[string][]string)
	for name, entry := range view.Entries {
		zone := entry.GetAvailabilityZone()
		s.zoneByEntry[name] = zone
		s.entriesByZone[zone] = append(s.entriesByZone[zone], name)
	}
	s.assigned = nil
}

// preferred returns the runs that this entry prefers.
func (s *agentlessSelector) preferred(found []*wire.Announcement) map[string]bool {
	byPool := make(map[string][]candidate)
	for _, announcement := range found {
		run := announcement.Run().String()
		pool := announcement.GetPool()
		byPool[pool] = append(byPool[pool], candidate{
			name:       run,
			isSameZone: announcement.GetAvailabilityZone() == s.zone,
			rank:       rendezvous.Rank(s.entry, run),
		})
	}
	chosen := make(map[string]bool)
	for _, ranked := range byPool {
		for _, one := range chooseCandidates(ranked, linksPerTarget) {
			chosen[one.name] = true
		}
	}
	return chosen
}

// isAssignedHere reports whether the server's run is assigned to this entry. The first entriesPerServer entries of the
// server's zone, in the rendezvous order of the run, are assigned to it; if that zone has no entry, entries of all
// zones are considered.
func (s *agentlessSelector) isAssignedHere(run, zone string) bool {
	candidates := s.entriesByZone[zone]
	if len(candidates) == 0 {
		candidates = slices.Collect(maps.Keys(s.zoneByEntry))
	} else if zone != s.zone {
		return false
	}
	ownRank, rankedBefore := rendezvous.Rank(run, s.entry), 0
	for _, name := range candidates {
		if rendezvous.Rank(run, name) < ownRank {
			rankedBefore++
		}
		if rankedBefore == entriesPerServer {
			return false
		}
	}
	return true
}
