package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

func announce(server, address string, sequence uint64, draining bool) *wire.Command {
	return &wire.Command{Kind: &wire.Command_AnnounceServers{AnnounceServers: &wire.AnnounceServers{
		Announcements: []*wire.Announcement{{
			Server: server, Pool: "models", Address: address, Slots: 4, Sequence: sequence, Draining: draining,
		}},
	}}}
}

func endServer(server string) *wire.Command {
	return &wire.Command{Kind: &wire.Command_EndServer{EndServer: &wire.EndServer{Server: server}}}
}

func serversOf(s *State) []string {
	var names []string
	for _, a := range s.Announcements() {
		names = append(names, a.GetServer())
	}
	return names
}

// Symptom: a server that drains gets new work. Sequence: it announces that it drains; an announcement from before, held
// up on the way, arrives after it. Cause: announcements taken in order of arrival.
func TestLateAnnouncementChangesNothing(t *testing.T) {
	l := newLog(t)
	l.other = New()
	l.accept(announce("s1", "10.0.0.1:1", 1, false))
	l.accept(announce("s1", "10.0.0.1:1", 5, true))
	version := l.state.DirectoryVersion()
	l.accept(announce("s1", "10.0.0.1:1", 4, false))
	require.True(t, l.state.Announcement("s1").GetDraining())
	require.Equal(t, version, l.state.DirectoryVersion())
	l.accept(announce("s1", "10.0.0.1:1", 6, true))
	require.Equal(t, version, l.state.DirectoryVersion(), "a repeated announcement is no news")
	l.restart()
	require.True(t, l.state.Announcement("s1").GetDraining())
}

// Symptom: each request for a model server is refused by it (421) and sent on to the next one, until the retry budget is
// gone. Sequence: the server crashes and starts again at its address with a new name; its old name, which nobody ended,
// stays in the directory beside the new one. Cause: announcements kept by name alone.
func TestServerThatStartsAgainTakesItsAddress(t *testing.T) {
	l := newLog(t)
	l.accept(announce("old", "10.0.0.1:1", 9, false))
	l.accept(announce("other", "10.0.0.2:1", 1, false))
	l.accept(announce("new", "10.0.0.1:1", 1, false))
	require.Equal(t, []string{"new", "other"}, serversOf(l.state))
	require.Contains(t, l.state.DirectorySince(1).GetRemovedAnnouncements(), "old")
	// The name wasn't ended: were "new" the one that was held up, its successor must get the address back.
	l.accept(announce("old", "10.0.0.1:1", 10, false))
	require.Equal(t, []string{"old", "other"}, serversOf(l.state))
}

// Symptom: requests go to an address at which another service runs. Sequence: a server leaves and is ended; one of its
// announcements was held up and arrives afterwards, also after a restart of the group. Cause: an end that isn't kept.
func TestEndedServerStaysEnded(t *testing.T) {
	l := newLog(t)
	l.other = New()
	l.accept(announce("s1", "10.0.0.1:1", 1, false))
	l.accept(endServer("s1"))
	l.accept(endServer("never-heard-of"))
	l.restart()
	l.accept(announce("s1", "10.0.0.1:1", 2, false))
	l.accept(announce("never-heard-of", "10.0.0.3:1", 1, false))
	require.Empty(t, l.state.Announcements())
	require.True(t, l.state.HasRunEnded("s1"))
}

func TestEndedNamesAreBounded(t *testing.T) {
	limits := DefaultLimits
	limits.EndedServers = 2
	l := newLog(t)
	l.state = newState(limits)
	for _, name := range []string{"a", "b", "c"} {
		l.accept(endServer(name))
	}
	require.False(t, l.state.HasRunEnded("a"))
	require.True(t, l.state.HasRunEnded("b"))
	require.Equal(t, []string{"b", "c"}, l.state.Snapshot().GetEndedServers())
}
