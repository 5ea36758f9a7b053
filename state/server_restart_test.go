package state

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawaypitch/carawaypitch/wire"
)

// announceRun returns the announcement of one run of a server.
func announceRun(server string, started uint64, address string, sequence uint64, draining bool) *wire.Command {
	command := announce(server, address, sequence, draining)
	command.GetAnnounceServers().Announcements[0].StartedUnixMs = started
	return command
}

// endRun returns the command that ends one run of a server.
func endRun(server string, started uint64) *wire.Command {
	command := endServer(server)
	command.GetEndServer().StartedUnixMs = started
	return command
}

// announcedRuns returns the names of the runs in the directory.
func announcedRuns(s *State) []string {
	var names []string
	for _, a := range s.Announcements() {
		names = append(names, a.Run().String())
	}
	return names
}

// A server drains and ends, or crashes, and restarts under its ID, at its address or another one. Its sequence
// numbers start again, and its ID may have ended. Unless runs are distinguished, its announcements look stale, and it
// gets no work for as long as the previous run had lasted.
func TestRestartUnderSameIDIsAcceptedAtOnce(t *testing.T) {
	before := map[string][]*wire.Command{
		"crashed":              {announceRun("s", 100, "10.0.0.1:1", 40, false)},
		"drains":               {announceRun("s", 100, "10.0.0.1:1", 40, false), announceRun("s", 100, "10.0.0.1:1", 41, true)},
		"ended":                {announceRun("s", 100, "10.0.0.1:1", 40, false), endRun("s", 100)},
		"ended by ID only":     {announceRun("s", 100, "10.0.0.1:1", 40, false), endServer("s")},
		"without a start time": {announce("s", "10.0.0.1:1", 40, false)},
	}
	for name, commands := range before {
		for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1"} {
			t.Run(name+" at "+address, func(t *testing.T) {
				l := newLog(t)
				l.replica = New()
				for _, command := range commands {
					l.accept(command)
				}
				l.restart()
				l.accept(announceRun("s", 200, address, 1, false))
				require.Equal(t, []string{"s@200"}, announcedRuns(l.state))
				require.False(t, l.state.Announcements()[0].GetDraining())
				require.Equal(t, address, l.state.Announcements()[0].GetAddress())
				update := l.state.DirectorySince(1)
				if !update.GetFull() { // a full update replaces everything and lists no removals
					earlier := commands[0].GetAnnounceServers().GetAnnouncements()[0].Run().String()
					require.Contains(t, update.GetRemovedAnnouncements(), earlier)
				}
			})
		}
	}
}

// A delayed command of an earlier run arrives after a server has restarted: that it is ready at its old address, is
// draining, or has ended. It must not affect the new run, which has the same ID.
func TestDelayedCommandOfEarlierRunIsIgnored(t *testing.T) {
	delayed := map[string]*wire.Command{
		"ready":  announceRun("s", 100, "10.0.0.1:1", 900, false),
		"drains": announceRun("s", 100, "10.0.0.1:1", 900, true),
		"ended":  endRun("s", 100),
	}
	for name, command := range delayed {
		t.Run(name, func(t *testing.T) {
			l := newLog(t)
			l.replica = New()
			l.accept(announceRun("s", 100, "10.0.0.1:1", 40, false))
			l.accept(announceRun("s", 200, "10.0.0.2:1", 1, false))
			l.restart()
			version := l.state.DirectoryVersion()
			l.accept(command)
			require.Equal(t, []string{"s@200"}, announcedRuns(l.state))
			require.Equal(t, version, l.state.DirectoryVersion())
		})
	}
}

// The clock of a server's machine is set back and the server restarts, so that its start time is before that of the
// current run. The new run must become current once it keeps announcing itself, or the server would be lost
// permanently. Delayed announcements look the same, but arrive only once or a few times, while a running server
// continues and the other run is silent in between.
func TestRunWithEarlierStartTimeIsConfirmedByRepetition(t *testing.T) {
	l := newLog(t)
	l.replica = New()
	l.accept(announceRun("s", 200, "10.0.0.1:1", 40, false))
	for sequence := range uint64(contenderConfirmations) {
		require.Equal(t, []string{"s@200"}, announcedRuns(l.state))
		l.accept(announceRun("s", 100, "10.0.0.1:1", sequence+1, false))
		l.restart()
	}
	require.Equal(t, []string{"s@100"}, announcedRuns(l.state))
	l.accept(announceRun("s", 200, "10.0.0.1:1", 41, false))
	require.Equal(t, []string{"s@100"}, announcedRuns(l.state), "a delayed announcement of the previous run")

	// If the other run is the one that is running, it continues and becomes current again.
	for sequence := range uint64(contenderConfirmations) {
		l.accept(announceRun("s", 200, "10.0.0.1:1", 42+sequence, false))
	}
	require.Equal(t, []string{"s@200"}, announcedRuns(l.state))
}

// An announcement of the current run resets the count of a contender, and a repeated announcement of a contender
// counts once. Otherwise delayed announcements could replace a run that is alive.
func TestAnnouncementOfCurrentRunResetsContender(t *testing.T) {
	l := newLog(t)
	l.accept(announceRun("s", 200, "10.0.0.1:1", 40, false))
	for i := range uint64(10) {
		l.accept(announceRun("s", 100, "10.0.0.1:1", 50+i, false))
		require.True(t, l.state.IsContested("s"))
		l.accept(announceRun("s", 200, "10.0.0.1:1", 41+i, false))
		require.False(t, l.state.IsContested("s"))
	}
	require.Equal(t, []string{"s@200"}, announcedRuns(l.state))
	for range 2 * contenderConfirmations {
		l.accept(announceRun("s", 100, "10.0.0.1:1", 70, false))
	}
	require.Equal(t, []string{"s@200"}, announcedRuns(l.state), "a repeated announcement counts once")
}

// An end command that names only the ID may be meant for the current run or be a delayed one for the previous run. It
// must take effect at once, or a server that leaves gets work; but a server that keeps announcing itself must return,
// or a running one is lost.
func TestEndByIDHoldsUntilRunIsConfirmed(t *testing.T) {
	l := newLog(t)
	l.replica = New()
	l.accept(announceRun("s", 200, "10.0.0.1:1", 40, false))
	l.accept(endServer("s"))
	require.Empty(t, announcedRuns(l.state))
	l.accept(announceRun("s", 200, "10.0.0.1:1", 41, false))
	l.restart()
	require.Empty(t, announcedRuns(l.state), "an announcement that was in flight")
	l.accept(endServer("s"))
	l.accept(announceRun("s", 200, "10.0.0.1:1", 42, true))
	l.accept(announceRun("s", 200, "10.0.0.1:1", 43, true))
	l.accept(announceRun("s", 200, "10.0.0.1:1", 44, true))
	l.accept(announceRun("s", 200, "10.0.0.1:1", 45, true))
	require.Empty(t, announcedRuns(l.state), "the server is draining")
	for sequence := range uint64(contenderConfirmations) {
		l.accept(announceRun("s", 200, "10.0.0.1:1", 50+sequence, false))
	}
	require.Equal(t, []string{"s@200"}, announcedRuns(l.state))
	l.accept(endRun("s", 200))
	for sequence := range uint64(2 * contenderConfirmations) {
		l.accept(announceRun("s", 200, "10.0.0.1:1", 60+sequence, false))
	}
	require.Empty(t, announcedRuns(l.state), "an end that names the run is permanent")
}

// Another writer sends an announcement under a server's ID without a start time. It must be refused, or it would take
// the place of the run that has one, whose own announcements would then be refused.
func TestAnnouncementWithoutStartTimeIsRefused(t *testing.T) {
	l := newLog(t)
	l.accept(announceRun("s", 200, "10.0.0.1:1", 40, false))
	require.NotZero(t, l.apply(announce("s", "10.0.0.9:1", 900, false)).GetEach()[0].GetCode())
	require.Equal(t, []string{"s@200"}, announcedRuns(l.state))
	require.Equal(t, "10.0.0.1:1", l.state.Announcements()[0].GetAddress())
}

// A process announces an unknown service at the address of a working server. It must be refused, or the server would
// be removed from the directory.
func TestAnnouncementOfUnknownServiceIsRefused(t *testing.T) {
	l := newLog(t)
	l.accept(&wire.Command{Kind: &wire.Command_PutDesiredState{PutDesiredState: &wire.PutDesiredState{
		Desired: &wire.DesiredState{Version: 1, Pools: []*wire.Pool{{Name: "models", Kind: "model"}}},
	}}})
	l.accept(announceRun("s", 200, "10.0.0.1:1", 40, false))
	foreign := announceRun("t", 300, "10.0.0.1:1", 1, false)
	foreign.GetAnnounceServers().Announcements[0].Pool = "nobody"
	require.NotZero(t, l.apply(foreign).GetEach()[0].GetCode())
	require.Equal(t, []string{"s@200"}, announcedRuns(l.state))

	// A server of a service that an operator has removed may still announce that it is draining.
	l.accept(&wire.Command{Kind: &wire.Command_PutDesiredState{PutDesiredState: &wire.PutDesiredState{
		Desired: &wire.DesiredState{Version: 2, Pools: []*wire.Pool{{Name: "others", Kind: "model"}}},
	}}})
	l.accept(announceRun("s", 200, "10.0.0.1:1", 41, true))
	require.True(t, l.state.Announcements()[0].GetDraining())
}

// In whatever order the announcements of several runs of one server arrive, duplicated and delayed, the run that
// continues must become current in the end, and there must never be more than one.
func TestRunThatKeepsAnnouncingBecomesCurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLog(t)
		l.replica = New()
		last := map[uint64]uint64{}
		for range rapid.IntRange(0, 40).Draw(t, "announcements") {
			started := rapid.SampledFrom([]uint64{100, 200, 300}).Draw(t, "started")
			sequence := rapid.Uint64Range(1, 50).Draw(t, "sequence")
			last[started] = max(last[started], sequence)
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				l.accept(endServer("s"))
			case 1:
				l.restart()
			default:
				l.accept(announceRun("s", started, "10.0.0.1:1", sequence, rapid.Bool().Draw(t, "draining")))
			}
			require.LessOrEqual(t, len(announcedRuns(l.state)), 1)
		}
		continuing := rapid.SampledFrom([]uint64{100, 200, 300}).Draw(t, "continuing")
		for i := range uint64(contenderConfirmations) {
			l.accept(announceRun("s", continuing, "10.0.0.1:1", last[continuing]+1+i, false))
		}
		require.Len(t, announcedRuns(l.state), 1)
		require.Equal(t, continuing, l.state.Announcements()[0].GetStartedUnixMs())
	})
}
