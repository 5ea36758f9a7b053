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

func announcedServers(s *State) []string {
	var names []string
	for _, a := range s.Announcements() {
		names = append(names, a.GetServer())
	}
	return names
}

// An announcement from before a drain that arrives after it must not make the server accept work again. Announcements
// are ordered by sequence number, not by arrival.
func TestDelayedAnnouncementIsIgnored(t *testing.T) {
	l := newLog(t)
	l.replica = New()
	l.accept(announce("s1", "10.0.0.1:1", 1, false))
	l.accept(announce("s1", "10.0.0.1:1", 5, true))
	version := l.state.DirectoryVersion()
	l.accept(announce("s1", "10.0.0.1:1", 4, false))
	require.True(t, l.state.Announcement("s1").GetDraining())
	require.Equal(t, version, l.state.DirectoryVersion())
	l.accept(announce("s1", "10.0.0.1:1", 6, true))
	require.Equal(t, version, l.state.DirectoryVersion(), "a repeated announcement does not change the directory version")
	l.restart()
	require.True(t, l.state.Announcement("s1").GetDraining())
}

// A server that crashes and restarts at its address under a new name must replace its old name in the directory.
// Otherwise requests for the old name reach the new server, which refuses them with 421, until the retry budget is
// used up.
func TestRestartedServerReplacesPredecessorAtAddress(t *testing.T) {
	l := newLog(t)
	l.accept(announce("old", "10.0.0.1:1", 9, false))
	l.accept(announce("other", "10.0.0.2:1", 1, false))
	l.accept(announce("new", "10.0.0.1:1", 1, false))
	require.Equal(t, []string{"new", "other"}, announcedServers(l.state))
	require.Contains(t, l.state.DirectorySince(1).GetRemovedAnnouncements(), "old")
	// The old name has not ended: if the announcement of "new" was the delayed one, "old" must regain the address.
	l.accept(announce("old", "10.0.0.1:1", 10, false))
	require.Equal(t, []string{"old", "other"}, announcedServers(l.state))
}

// An announcement that was delayed past the end of its server must not restore the server, also after a restart from
// a snapshot. Otherwise requests go to an address at which another service may run.
func TestEndedServerStaysEnded(t *testing.T) {
	l := newLog(t)
	l.replica = New()
	l.accept(announce("s1", "10.0.0.1:1", 1, false))
	l.accept(endServer("s1"))
	l.accept(endServer("never-heard-of"))
	l.restart()
	l.accept(announce("s1", "10.0.0.1:1", 2, false))
	l.accept(announce("never-heard-of", "10.0.0.3:1", 1, false))
	require.Empty(t, l.state.Announcements())
	require.True(t, l.state.HasRunEnded("s1"))
}

// Without a bound, the names of ended servers would grow the state indefinitely. The oldest are evicted first.
func TestEndedRunsAreBounded(t *testing.T) {
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
