package state

import (
	"strings"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Index returns the index of the last applied command.
func (s *State) Index() uint64 { return s.index }

// LeaderUnixMS returns the highest leader's clock seen, in milliseconds since 1970.
func (s *State) LeaderUnixMS() uint64 { return s.unixMS }

// ConfigVersion returns the version of the configuration: the log index of its last change, 0 before the first.
func (s *State) ConfigVersion() uint64 { return s.configVersion }

// DirectoryVersion returns the version of the directory: the log index of its last change, 0 before the first.
func (s *State) DirectoryVersion() uint64 { return s.directoryVersion }

// Fence returns the current leader's fence number, 0 before the first leader.
func (s *State) Fence() uint64 { return s.fence }

// Class returns a class, or nil.
func (s *State) Class(name string) *wire.Class { return s.classes[name] }

// Classes returns all classes, sorted by name.
func (s *State) Classes() []*wire.Class { return sorted(s.classes) }

// Agent returns an agent's record, or nil.
func (s *State) Agent(name string) *wire.AgentRecord { return s.agents[name] }

// Agents returns all agents, sorted by name.
func (s *State) Agents() []*wire.AgentRecord { return sorted(s.agents) }

// Entry returns an entry's record, or nil.
func (s *State) Entry(name string) *wire.EntryRecord { return s.entries[name] }

// Entries returns all entries, sorted by name.
func (s *State) Entries() []*wire.EntryRecord { return sorted(s.entries) }

// Orders returns the open orders, sorted by server.
func (s *State) Orders() []*wire.Order { return sorted(s.orders) }

// Operation returns the record of a keyed request, or nil.
func (s *State) Operation(organisation, key string) *wire.Operation {
	op := s.operations.byKey[operationKey{organisation, key}]
	if op == nil {
		return nil
	}
	return op.record()
}

// AgentOf returns the name of the agent of a backend server, "" if there is none.
func (s *State) AgentOf(server string) string {
	agent, _ := s.server(server)
	return agent.GetAgent()
}

// Counts tells how much the state holds.
type Counts struct {
	// Operations is the number of records of keyed requests.
	Operations int
	// AnswerBytes is the size of the kept answers' bodies.
	AnswerBytes int
	// ExpiredKeys is the number of digests of expired keys.
	ExpiredKeys int
	// Changes is the number of remembered changes of operators.
	Changes int
	// OldestUnixMS is when the oldest record of a keyed request was begun, 0 if there is none.
	OldestUnixMS uint64
}

// Counts returns how much the state holds.
func (s *State) Counts() Counts {
	c := Counts{
		Operations:  len(s.operations.byKey),
		AnswerBytes: s.operations.answerBytes,
		ExpiredKeys: len(s.operations.expired),
		Changes:     len(s.changes.order),
	}
	if s.operations.first != nil {
		c.OldestUnixMS = s.operations.first.begunMS
	}
	return c
}

// ConfigSince returns what brings a client from version to the present configuration, nil if it has it already.
func (s *State) ConfigSince(version uint64) *wire.ConfigUpdate {
	if version >= s.configVersion {
		return nil
	}
	names, ok := s.configHistory.since(version)
	if !ok || version == 0 {
		return s.fullConfig()
	}
	out := &wire.ConfigUpdate{
		Version: s.configVersion,
		Base:    version,
		Fence:   s.fence,
		Desired: s.desiredSince(version),
	}
	for _, name := range names {
		if name == desiredName {
			continue
		}
		if class := s.classes[name]; class != nil {
			out.Classes = append(out.Classes, class)
		} else {
			out.Removed = append(out.Removed, name)
		}
	}
	return out
}

func (s *State) fullConfig() *wire.ConfigUpdate {
	return &wire.ConfigUpdate{
		Version: s.configVersion,
		Full:    true,
		Classes: s.Classes(),
		Fence:   s.fence,
		Desired: s.desiredSince(0),
	}
}

// DirectorySince returns what brings a client from version to the present directory, nil if it has it already.
func (s *State) DirectorySince(version uint64) *wire.DirectoryUpdate {
	if version >= s.directoryVersion {
		return nil
	}
	names, ok := s.directoryHistory.since(version)
	if !ok || version == 0 {
		return s.fullDirectory()
	}
	out := &wire.DirectoryUpdate{Version: s.directoryVersion, Base: version}
	for _, name := range names {
		s.addToUpdate(out, name)
	}
	return out
}

func (s *State) addToUpdate(out *wire.DirectoryUpdate, name string) {
	if entry, ok := strings.CutPrefix(name, entryPrefix); ok {
		if e := s.entries[entry]; e != nil {
			out.Entries = append(out.Entries, e)
		} else {
			out.RemovedEntries = append(out.RemovedEntries, entry)
		}
		return
	}
	if server, ok := strings.CutPrefix(name, announcementPrefix); ok {
		if a := s.announcements.byRun[server]; a != nil {
			out.Announcements = append(out.Announcements, a)
		} else {
			out.RemovedAnnouncements = append(out.RemovedAnnouncements, server)
		}
		return
	}
	if key, ok := strings.CutPrefix(name, poisonPrefix); ok {
		s.addPoisonTo(out, key)
		return
	}
	if server, ok := strings.CutPrefix(name, advicePrefix); ok {
		s.addAdviceTo(out, server)
		return
	}
	agent := strings.TrimPrefix(name, agentPrefix)
	if a := s.agents[agent]; a != nil {
		out.Agents = append(out.Agents, a)
	} else {
		out.Removed = append(out.Removed, agent)
	}
}

func (s *State) fullDirectory() *wire.DirectoryUpdate {
	return &wire.DirectoryUpdate{
		Version: s.directoryVersion,
		Full:    true,
		Agents:  s.Agents(),
		Entries: s.Entries(),

		Announcements: s.Announcements(),
		Poison:        s.PublishedPoisonRecords(),
		Advice:        s.ServerAdvice(),
	}
}
