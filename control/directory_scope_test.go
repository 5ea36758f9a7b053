package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

const ownAddress = "10.3.0.1:8000"

func agentHello() *wire.ClientHello {
	return &wire.ClientHello{Instance: "me", Role: wire.Role_ROLE_AGENT, ServerAddress: ownAddress}
}

// cachedUpdates returns a cache that holds the given updates, keyed by their base version.
func cachedUpdates(byBase map[uint64]*wire.DirectoryUpdate) *updateCache {
	return &updateCache{directories: byBase}
}

// Guards against agents that get records of other agents or servers, or miss the end of their own server.
func TestAgentGetsFilteredDirectory(t *testing.T) {
	s := newDirectoryScope(agentHello())
	part := s.filter(&wire.DirectoryUpdate{
		Version: 9, Full: true,
		Agents:        []*wire.AgentRecord{{Agent: "other"}, {Agent: "me"}},
		Entries:       []*wire.EntryRecord{{Entry: "entry"}},
		Announcements: []*wire.Announcement{{Server: "far", Address: "10.3.0.2:8000"}, {Server: "own", Address: ownAddress}},
	})
	require.Equal(t, "me", part.GetAgents()[0].GetAgent())
	require.Len(t, part.GetAgents(), 1)
	require.Len(t, part.GetEntries(), 1)
	require.Equal(t, "own", part.GetAnnouncements()[0].GetServer())
	require.Len(t, part.GetAnnouncements(), 1)

	part = s.filter(&wire.DirectoryUpdate{Version: 10, RemovedAnnouncements: []string{"far", "own"}, Removed: []string{"other"}})
	require.Equal(t, []string{"own"}, part.GetRemovedAnnouncements())
	require.Empty(t, part.GetRemoved())
}

// Guards against entries that miss a part of the directory.
func TestEntryGetsWholeDirectory(t *testing.T) {
	u := &wire.DirectoryUpdate{
		Version: 9, Agents: []*wire.AgentRecord{{Agent: "a"}, {Agent: "b"}}, Removed: []string{"c"},
		Announcements: []*wire.Announcement{{Server: "s", Address: ownAddress}}, RemovedAnnouncements: []string{"t"},
	}
	part := newDirectoryScope(&wire.ClientHello{Instance: "me", Role: wire.Role_ROLE_ENTRY}).filter(u)
	require.Equal(t, u.GetAgents(), part.GetAgents())
	require.Equal(t, u.GetRemoved(), part.GetRemoved())
	require.Equal(t, u.GetAnnouncements(), part.GetAnnouncements())
	require.Equal(t, u.GetRemovedAnnouncements(), part.GetRemovedAnnouncements())
}

// A version that changes nothing for the client is sent once, with the answer to its poll.
func TestVersionWithoutChangesIsSentWithPollAnswer(t *testing.T) {
	f := directorySubscription{scope: newDirectoryScope(agentHello())}
	f.applyPoll(&wire.Poll{Sequence: 1, Follow: true, DirectoryVersion: 5})
	cache := cachedUpdates(map[uint64]*wire.DirectoryUpdate{
		0: {Version: 6, Full: true, Entries: []*wire.EntryRecord{{Entry: "e"}}},
		5: {Version: 6, Base: 5, Announcements: []*wire.Announcement{{Server: "far", Address: "10.3.0.2:8000"}}},
		6: {Version: 7, Base: 6, Announcements: []*wire.Announcement{{Server: "farther", Address: "10.3.0.3:8000"}}},
		7: nil,
	})
	whole := f.next(cache, false)
	require.True(t, whole.GetFull(), "a filtered subscription starts with a full update")
	require.Nil(t, f.next(cache, false), "a version without changes")
	told := f.next(cache, true)
	require.EqualValues(t, 7, told.GetVersion())
	require.EqualValues(t, 6, told.GetBase())
	require.Nil(t, f.next(cache, true))
}

// Guards against an old poll that ends a new subscription. A poll without follow is held back for want of a leader and
// answered after the next poll, which follows. The client would get no directory updates for a second.
func TestEarlierPollDoesNotEndSubscription(t *testing.T) {
	f := directorySubscription{scope: newDirectoryScope(agentHello())}
	f.applyPoll(&wire.Poll{Sequence: 2, Follow: true, DirectoryVersion: 5})
	f.applyPoll(&wire.Poll{Sequence: 1, DirectoryVersion: 5})
	require.True(t, f.active)
	f.applyPoll(&wire.Poll{Sequence: 3, DirectoryVersion: 5})
	require.False(t, f.active)
	require.Nil(t, f.next(cachedUpdates(nil), true))
}
