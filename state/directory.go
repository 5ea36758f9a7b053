package state

import (
	"cmp"
	"slices"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
	"google.golang.org/protobuf/proto"
)

// Prefixes of names in the directory history.
const (
	agentPrefix = "a/"
	entryPrefix = "e/"
)

// registerAgent puts an agent with its servers into the directory. An incarnation older than the last known one is
// refused: entries take a newer incarnation as proof that the attempts of the older one are over, so the directory
// must never return to the older one.
func (s *State) registerAgent(agent *wire.AgentRecord) *wire.CommandResult {
	if problem := s.checkAgent(agent); problem != "" {
		return refuse(result.BadMessage, "%s", problem)
	}
	old := s.agents[agent.GetAgent()]
	newest := max(old.GetIncarnation(), s.ended.latest(wire.Role_ROLE_AGENT, agent.GetAgent()))
	if agent.GetIncarnation() < newest {
		return refuse(result.AttemptSuperseded, "incarnation %d of agent %s came before", newest, agent.GetAgent())
	}
	if old == nil && len(s.agents) >= s.limits.Instances {
		return refuse(result.QueueFull, "there are %d agents already", len(s.agents))
	}
	agent = proto.CloneOf(agent)
	slices.SortFunc(agent.Servers, compareServers)
	s.clearDrainingOfUnlisted(old, agent)
	s.markDraining(agent)
	if proto.Equal(old, agent) {
		return accepted()
	}
	s.agents[agent.GetAgent()] = agent
	s.advanceDirectoryVersion(agentPrefix + agent.GetAgent())
	return accepted()
}

// checkAgent returns what is wrong with an agent record, or "".
func (s *State) checkAgent(agent *wire.AgentRecord) string {
	if problem := checkInstance(agent.GetAgent(), agent.GetIncarnation()); problem != "" {
		return problem
	}
	if len(agent.GetServers()) > s.limits.ServersPerAgent {
		return "too many servers for one agent"
	}
	names := make(map[string]bool, len(agent.GetServers()))
	for _, server := range agent.GetServers() {
		if name := server.GetServer(); name == "" || len(name) > maxName || names[name] {
			return "a server without a name, with a long one, or listed twice"
		}
		names[server.GetServer()] = true
	}
	return ""
}

// checkInstance returns what is wrong with the name or incarnation of an instance, or "".
func checkInstance(name string, incarnation uint64) string {
	if name == "" || len(name) > maxName {
		return "an instance without a name, or with a long one"
	}
	if incarnation == 0 {
		return "incarnation 0"
	}
	return ""
}

func compareServers(a, b *wire.ServerRecord) int {
	return cmp.Compare(a.GetServer(), b.GetServer())
}

// clearDrainingOfUnlisted ends the draining of servers that the same incarnation of their agent has stopped listing:
// they have left. A new incarnation may start with an empty list before its servers announce themselves again, so its
// list proves nothing.
func (s *State) clearDrainingOfUnlisted(old, agent *wire.AgentRecord) {
	if old.GetIncarnation() != agent.GetIncarnation() {
		return
	}
	for _, server := range old.GetServers() {
		if findServer(agent, server.GetServer()) == nil {
			delete(s.draining, server.GetServer())
		}
	}
}

// markDraining sets the condition of draining servers that their agent registers as accepting work, since the agent
// may not have learnt of the drain yet.
func (s *State) markDraining(agent *wire.AgentRecord) {
	for _, server := range agent.GetServers() {
		if s.draining[server.GetServer()] && acceptsNewWork(server.GetCondition()) {
			server.Condition = wire.ServerCondition_SERVER_CONDITION_DRAINING
		}
	}
}

// acceptsNewWork reports whether a server in the condition may get new work.
func acceptsNewWork(c wire.ServerCondition) bool {
	return c <= wire.ServerCondition_SERVER_CONDITION_SUSPECT
}

// removeAgent removes an agent only if its current incarnation is the named one. The proposer found that incarnation
// silent; by the time the command is applied, a newer one may have registered.
func (s *State) removeAgent(cmd *wire.RemoveAgent) *wire.CommandResult {
	old := s.agents[cmd.GetAgent()]
	if old == nil || old.GetIncarnation() != cmd.GetIncarnation() {
		return accepted()
	}
	delete(s.agents, cmd.GetAgent())
	s.ended.add(wire.Role_ROLE_AGENT, cmd.GetAgent(), cmd.GetIncarnation(), s.limits.EndedIncarnations)
	s.advanceDirectoryVersion(agentPrefix + cmd.GetAgent())
	return accepted()
}

// registerEntry puts an entry into the directory. From then on, open records of an older incarnation may be taken
// over, see isUnregistered.
//
// An incarnation that has ended cannot register again: its requests may have been taken over, and agents that know of
// its end refuse it permanently, while agents that have restarted since would let it run those requests again.
func (s *State) registerEntry(entry *wire.EntryRecord) *wire.CommandResult {
	if problem := checkInstance(entry.GetEntry(), entry.GetIncarnation()); problem != "" {
		return refuse(result.BadMessage, "%s", problem)
	}
	old := s.entries[entry.GetEntry()]
	ended := s.ended.latest(wire.Role_ROLE_ENTRY, entry.GetEntry())
	if entry.GetIncarnation() < old.GetIncarnation() || entry.GetIncarnation() <= ended {
		return refuse(result.AttemptSuperseded, "incarnation %d of entry %s was ended or replaced", entry.GetIncarnation(), entry.GetEntry())
	}
	if old == nil && len(s.entries) >= s.limits.Instances {
		return refuse(result.QueueFull, "there are %d entries already", len(s.entries))
	}
	record := proto.CloneOf(entry)
	record.First = s.isFirst(entry, ended)
	if proto.Equal(old, record) {
		return accepted()
	}
	s.entries[entry.GetEntry()] = record
	s.endReplacedHolders(entry.GetEntry(), entry.GetIncarnation())
	s.advanceDirectoryVersion(entryPrefix + entry.GetEntry())
	return accepted()
}

// isFirst reports whether no earlier incarnation of an entry is known. The only entry of a deployment that has had others may
// have taken the place of one under another name, so it isn't first.
func (s *State) isFirst(entry *wire.EntryRecord, ended uint64) bool {
	old := s.entries[entry.GetEntry()]
	switch {
	case old != nil:
		return old.GetFirst() && old.GetIncarnation() == entry.GetIncarnation()
	case len(s.entries) == 0:
		return !s.ended.hasAny(wire.Role_ROLE_ENTRY)
	default:
		return ended == 0
	}
}

// endEntry removes an entry only if its current incarnation is the named one, see removeAgent.
func (s *State) endEntry(cmd *wire.EndEntry) *wire.CommandResult {
	old := s.entries[cmd.GetEntry()]
	if old == nil || old.GetIncarnation() != cmd.GetIncarnation() {
		return accepted()
	}
	delete(s.entries, cmd.GetEntry())
	s.endShareHolder(cmd.GetEntry(), cmd.GetIncarnation())
	s.ended.add(wire.Role_ROLE_ENTRY, cmd.GetEntry(), cmd.GetIncarnation(), s.limits.EndedIncarnations)
	s.advanceDirectoryVersion(entryPrefix + cmd.GetEntry())
	return accepted()
}

// drainServer marks a server as draining. Its agent and the entries see the condition in the directory.
func (s *State) drainServer(cmd *wire.DrainServer) *wire.CommandResult {
	agent, server := s.lookUpServer(cmd.GetServer())
	if server == nil {
		return refuse(result.UnknownServer, "")
	}
	if s.draining[cmd.GetServer()] {
		return accepted()
	}
	if len(s.draining) >= s.limits.Draining {
		return refuse(result.ServerBusy, "%d servers are draining already", len(s.draining))
	}
	s.draining[cmd.GetServer()] = true
	changed := proto.CloneOf(agent)
	s.markDraining(changed)
	s.agents[agent.GetAgent()] = changed
	s.advanceDirectoryVersion(agentPrefix + agent.GetAgent())
	return accepted()
}

// lookUpServer returns a backend server and its agent, or nil. While a server moves from one agent to another, both
// may list it; the agent with the newer incarnation then takes precedence.
func (s *State) lookUpServer(name string) (*wire.AgentRecord, *wire.ServerRecord) {
	var foundAgent *wire.AgentRecord
	var found *wire.ServerRecord
	for _, agent := range s.agents {
		server := findServer(agent, name)
		if server != nil && hasNewerIncarnation(agent, foundAgent) {
			foundAgent, found = agent, server
		}
	}
	return foundAgent, found
}

// hasNewerIncarnation reports whether agent a has a newer incarnation than b. Equal incarnations are ordered by name.
func hasNewerIncarnation(a, b *wire.AgentRecord) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetAgent() > b.GetAgent()
}

// findServer returns the record of a server in that of an agent, nil if the agent does not list it.
func findServer(agent *wire.AgentRecord, name string) *wire.ServerRecord {
	for _, server := range agent.GetServers() {
		if server.GetServer() == name {
			return server
		}
	}
	return nil
}

// advanceDirectoryVersion makes the index of the current command the version of the directory and records the changed
// name.
func (s *State) advanceDirectoryVersion(name string) {
	s.directoryHistory.add(s.directoryVersion, s.index, name)
	s.directoryVersion = s.index
}
