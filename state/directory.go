package state

import (
	"cmp"
	"slices"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
	"google.golang.org/protobuf/proto"
)

// Kinds of names in the directory's history.
const (
	agentPrefix = "a/"
	entryPrefix = "e/"
)

// registerAgent puts an agent with its servers into the directory. An older incarnation than the last known one is
// refused: entries take a newer incarnation as proof that the older one's attempts are over, so the directory must
// never go back to the older.
func (s *State) registerAgent(agent *wire.AgentRecord) *wire.CommandResult {
	if problem := s.checkAgent(agent); problem != "" {
		return refuse(result.BadMessage, "%s", problem)
	}
	old := s.agents[agent.GetAgent()]
	newest := max(old.GetIncarnation(), s.ended.newest(wire.Role_ROLE_AGENT, agent.GetAgent()))
	if agent.GetIncarnation() < newest {
		return refuse(result.AttemptSuperseded, "incarnation %d of agent %s came before", newest, agent.GetAgent())
	}
	if old == nil && len(s.agents) >= s.limits.Instances {
		return refuse(result.QueueFull, "there are %d agents already", len(s.agents))
	}
	agent = proto.CloneOf(agent)
	slices.SortFunc(agent.Servers, compareServers)
	s.forgetLeft(old, agent)
	s.markDraining(agent)
	if proto.Equal(old, agent) {
		return accepted()
	}
	s.agents[agent.GetAgent()] = agent
	s.raiseDirectory(agentPrefix + agent.GetAgent())
	return accepted()
}

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

// forgetLeft ends the draining of servers that the same incarnation of their agent lists no longer: they have left.
// A new incarnation may start with an empty list before its servers announce themselves again, and shows nothing.
func (s *State) forgetLeft(old, agent *wire.AgentRecord) {
	if old.GetIncarnation() != agent.GetIncarnation() {
		return
	}
	for _, server := range old.GetServers() {
		if findServer(agent, server.GetServer()) == nil {
			delete(s.draining, server.GetServer())
		}
	}
}

// markDraining keeps a server draining that its agent registers as ready, since the agent may not know yet.
func (s *State) markDraining(agent *wire.AgentRecord) {
	for _, server := range agent.GetServers() {
		if s.draining[server.GetServer()] && mayTakeWork(server.GetCondition()) {
			server.Condition = wire.ServerCondition_SERVER_CONDITION_DRAINING
		}
	}
}

func mayTakeWork(c wire.ServerCondition) bool {
	return c <= wire.ServerCondition_SERVER_CONDITION_SUSPECT
}

// removeAgent removes only the named incarnation. The one who proposed it saw that incarnation silent; by the time
// the command is applied a newer one may have registered.
func (s *State) removeAgent(cmd *wire.RemoveAgent) *wire.CommandResult {
	old := s.agents[cmd.GetAgent()]
	if old == nil || old.GetIncarnation() != cmd.GetIncarnation() {
		return accepted()
	}
	delete(s.agents, cmd.GetAgent())
	s.ended.add(wire.Role_ROLE_AGENT, cmd.GetAgent(), cmd.GetIncarnation(), s.limits.EndedIncarnations)
	s.raiseDirectory(agentPrefix + cmd.GetAgent())
	return accepted()
}

// registerEntry puts an entry into the directory. Open records of an older incarnation may be taken over from then
// on, see isGone.
//
// An incarnation that was ended doesn't come back: its requests may have been taken over, and agents that know of its
// end refuse it for good, while those that restarted since would let it run them again.
func (s *State) registerEntry(entry *wire.EntryRecord) *wire.CommandResult {
	if problem := checkInstance(entry.GetEntry(), entry.GetIncarnation()); problem != "" {
		return refuse(result.BadMessage, "%s", problem)
	}
	old := s.entries[entry.GetEntry()]
	ended := s.ended.newest(wire.Role_ROLE_ENTRY, entry.GetEntry())
	if entry.GetIncarnation() < old.GetIncarnation() || entry.GetIncarnation() <= ended {
		return refuse(result.AttemptSuperseded, "incarnation %d of entry %s was ended or replaced", entry.GetIncarnation(), entry.GetEntry())
	}
	if old == nil && len(s.entries) >= s.limits.Instances {
		return refuse(result.QueueFull, "there are %d entries already", len(s.entries))
	}
	if proto.Equal(old, entry) {
		return accepted()
	}
	s.entries[entry.GetEntry()] = proto.CloneOf(entry)
	s.replaceShares(entry.GetEntry(), entry.GetIncarnation())
	s.raiseDirectory(entryPrefix + entry.GetEntry())
	return accepted()
}

// endEntry removes only the named incarnation, see removeAgent.
func (s *State) endEntry(cmd *wire.EndEntry) *wire.CommandResult {
	old := s.entries[cmd.GetEntry()]
	if old == nil || old.GetIncarnation() != cmd.GetIncarnation() {
		return accepted()
	}
	delete(s.entries, cmd.GetEntry())
	s.endShares(cmd.GetEntry(), cmd.GetIncarnation())
	s.ended.add(wire.Role_ROLE_ENTRY, cmd.GetEntry(), cmd.GetIncarnation(), s.limits.EndedIncarnations)
	s.raiseDirectory(entryPrefix + cmd.GetEntry())
	return accepted()
}

// drainServer asks a server to leave. Its agent and the entries see the condition in the directory.
func (s *State) drainServer(cmd *wire.DrainServer) *wire.CommandResult {
	agent, server := s.server(cmd.GetServer())
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
	s.raiseDirectory(agentPrefix + agent.GetAgent())
	return accepted()
}

// server finds a backend server and its agent. While a server moves from one agent to another, both may list it;
// the agent with the newer incarnation has it then.
func (s *State) server(name string) (*wire.AgentRecord, *wire.ServerRecord) {
	var foundAgent *wire.AgentRecord
	var found *wire.ServerRecord
	for _, agent := range s.agents {
		server := findServer(agent, name)
		if server != nil && isNewer(agent, foundAgent) {
			foundAgent, found = agent, server
		}
	}
	return foundAgent, found
}

func isNewer(a, b *wire.AgentRecord) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetAgent() > b.GetAgent()
}

func findServer(agent *wire.AgentRecord, name string) *wire.ServerRecord {
	for _, server := range agent.GetServers() {
		if server.GetServer() == name {
			return server
		}
	}
	return nil
}

func (s *State) raiseDirectory(name string) {
	s.directoryHistory.add(s.directoryVersion, s.index, name)
	s.directoryVersion = s.index
}
