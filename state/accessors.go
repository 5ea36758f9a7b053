package state

import (
	"strings"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Index returns the index of the last applied command.
func (s *State) Index() uint64 { return s.index }

// LeaderUnixMS returns the highest leader time seen, in milliseconds since 1970.
func (s *State) LeaderUnixMS() uint64 { return s.leaderUnixMS }

// ConfigVersion returns the version of the configuration: the log index of its last change, 0 before the first.
func (s *State) ConfigVersion() uint64 { return s.configVersion }

// DirectoryVersion returns the version of the directory: the log index of its last change, 0 before the first.
func (s *State) DirectoryVersion() uint64 { return s.directoryVersion }

// Fence returns the current leader's fence number, 0 before the first leader.
func (s *State) Fence() uint64 { return s.fence }

// Class returns a class, nil if there is none of that name.
func (s *State) Class(name string) *wire.Class { return s.classes[name] }

// Classes returns all classes, sorted by name.
func (s *State) Classes() []*wire.Class { return sortedValues(s.classes) }

// Agent returns an agent's record, nil if it is not registered.
func (s *State) Agent(name string) *wire.AgentRecord { return s.agents[name] }

// Agents returns all agents, sorted by name.
func (s *State) Agents() []*wire.AgentRecord { return sortedValues(s.agents) }

// Entry returns an entry's record, nil if it is not registered.
func (s *State) Entry(name string) *wire.EntryRecord { return s.entries[name] }

// Entries returns all entries, sorted by name.
func (s *State) Entries() []*wire.EntryRecord { return sortedValues(s.entries) }

// EntryCount returns the number of registered entries.
func (s *State) EntryCount() int { return len(s.entries) }

// Orders returns the open orders, sorted by server.
func (s *State) Orders() []*wire.Order { return sortedValues(s.orders) }

// Operation returns the record of a keyed request, nil if there is none.
func (s *State) Operation(organisation, key string) *wire.Operation {
	op := s.operations.byKey[operationKey{organisation, key}]
	if op == nil {
		return nil
	}
	return op.record()
}

// AgentOf returns the name of the agent of a backend server, "" if no agent lists the server.
func (s *State) AgentOf(server string) string {
	agent, _ := s.lookUpServer(server)
	return agent.GetAgent()
}

// Counts are the sizes of the parts of the state.
type Counts struct {
	// Operations is the number of records of keyed requests.
	Operations int
	// AnswerBytes is the total size of the bodies of stored answers, in bytes.
	AnswerBytes int
	// ExpiredKeys is the number of digests of expired keys.
	ExpiredKeys int
	// Changes is the number of stored results of operator changes.
	Changes int
	// OldestUnixMS is when the oldest record of a keyed request was begun, in milliseconds since 1970, 0 if there is
	// none.
	OldestUnixMS uint64
}

// Counts returns the current sizes.
func (s *State) Counts() Counts {
	c := Counts{
		Operations:  len(s.operations.byKey),
		AnswerBytes: s.operations.answerBytes,
		ExpiredKeys: len(s.operations.expiredDigests),
		Changes:     len(s.changes.order),
	}
	if s.operations.first != nil {
		c.OldestUnixMS = s.operations.first.begunUnixMS
	}
	return c
}

// ConfigSince returns the update that takes a client from a version to the current configuration, nil if the client
// is up to date. The update is full if version is 0 or the history does not reach back to it.
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

		Rollouts: s.rolloutsSince(version),
	}
	for _, name := range names {
		if name == desiredStateName || name == rolloutsName {
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

		Rollouts: s.rolloutsSince(0),
	}
}

// DirectorySince returns the update that takes a client from a version to the current directory, nil if the client is
// up to date. The update is full if version is 0 or the history does not reach back to it.
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

// addToUpdate adds the record of a name in the directory history, or its removal, to an update.
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
		s.appendPoisonUpdate(out, key)
		return
	}
	if server, ok := strings.CutPrefix(name, advicePrefix); ok {
		s.appendAdviceUpdate(out, server)
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

// DirectorySize returns the number of agents, entries and announcements in the directory.
func (s *State) DirectorySize() int {
	return len(s.agents) + len(s.entries) + len(s.announcements.byRun)
}
