package state

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawaypitch/carawaypitch/wire"
)

// announceRun is an announcement of one start of a server.
func announceRun(server string, started uint64, address string, sequence uint64, draining bool) *wire.Command {
	command := announce(server, address, sequence, draining)
	command.GetAnnounceServers().Announcements[0].StartedUnixMs = started
	return command
}

func endRun(server string, started uint64) *wire.Command {
	command := endServer(server)
	command.GetEndServer().StartedUnixMs = started
	return command
}

// runsOf are the names of the runs in the directory.
func runsOf(s *State) []string {
	var names []string
	for _, a := range s.Announcements() {
		names = append(names, a.Run().String())
	}
	return names
}

// Symptom: a sound server gets no work for as long as its last start had lived. Sequence: it drains and ends, or crashes, and
// starts again under its id, at its address or another; its counts start anew, so its announcements look late; or its id has
// ended. Cause: starts of a server told apart by nothing.
func TestServerThatStartsAgainUnderItsIDIsTakenAtOnce(t *testing.T) {
	before := map[string][]*wire.Command{
		"crashed":                    {announceRun("s", 100, "10.0.0.1:1", 40, false)},
		"drains":                     {announceRun("s", 100, "10.0.0.1:1", 40, false), announceRun("s", 100, "10.0.0.1:1", 41, true)},
		"ended":                      {announceRun("s", 100, "10.0.0.1:1", 40, false), endRun("s", 100)},
		"ended by its id alone":      {announceRun("s", 100, "10.0.0.1:1", 40, false), endServer("s")},
		"never said when it started": {announce("s", "10.0.0.1:1", 40, false)},
	}
	for name, commands := range before {
		for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1"} {
			t.Run(name+" at "+address, func(t *testing.T) {
				l := newLog(t)
				l.other = New()
				for _, command := range commands {
					l.accept(command)
				}
				l.restart()
				l.accept(announceRun("s", 200, address, 1, false))
				require.Equal(t, []string{"s@200"}, runsOf(l.state))
				require.False(t, l.state.Announcements()[0].GetDraining())
				require.Equal(t, address, l.state.Announcements()[0].GetAddress())
				update := l.state.DirectorySince(1)
				if !update.GetFull() { // which replaces all that was known
					earlier := commands[0].GetAnnounceServers().GetAnnouncements()[0].Run().String()
					require.Contains(t, update.GetRemovedAnnouncements(), earlier)
				}
			})
		}
	}
}

// Symptom: a server that has just started loses its work again. Sequence: a word of its earlier start was held up, and arrives:
// that it is ready, at its old address; that it drains; that it has ended. Cause: a word that goes by the id.
func TestLateWordOfAnEarlierRunChangesNothing(t *testing.T) {
	late := map[string]*wire.Command{
		"ready":  announceRun("s", 100, "10.0.0.1:1", 900, false),
		"drains": announceRun("s", 100, "10.0.0.1:1", 900, true),
		"ended":  endRun("s", 100),
	}
	for name, command := range late {
		t.Run(name, func(t *testing.T) {
			l := newLog(t)
			l.other = New()
			l.accept(announceRun("s", 100, "10.0.0.1:1", 40, false))
			l.accept(announceRun("s", 200, "10.0.0.2:1", 1, false))
			l.restart()
			version := l.state.DirectoryVersion()
			l.accept(command)
			require.Equal(t, []string{"s@200"}, runsOf(l.state))
			require.Equal(t, version, l.state.DirectoryVersion())
		})
	}
}

// Symptom: a server is lost for good. Sequence: its machine's clock is set back, and it starts again: by its time it started
// before the start that is held. Cause: the later time taken for the later start. A word that was held up looks alike, but
// comes once or a few times, while one that lives goes on and the other says nothing between.
func TestRunWithAnEarlierTimeIsTakenOnceItGoesOn(t *testing.T) {
	l := newLog(t)
	l.other = New()
	l.accept(announceRun("s", 200, "10.0.0.1:1", 40, false))
	for sequence := range uint64(runReturns) {
		require.Equal(t, []string{"s@200"}, runsOf(l.state))
		l.accept(announceRun("s", 100, "10.0.0.1:1", sequence+1, false))
		l.restart()
	}
	require.Equal(t, []string{"s@100"}, runsOf(l.state))
	l.accept(announceRun("s", 200, "10.0.0.1:1", 41, false))
	require.Equal(t, []string{"s@100"}, runsOf(l.state), "a late word of the one before")

	// Were the other the one that lives, it would go on, and have the place back.
	for sequence := range uint64(runReturns) {
		l.accept(announceRun("s", 200, "10.0.0.1:1", 42+sequence, false))
	}
	require.Equal(t, []string{"s@200"}, runsOf(l.state))
}

func TestWordsOfTheRunThatIsHeldEndTheOthersClaim(t *testing.T) {
	l := newLog(t)
	l.accept(announceRun("s", 200, "10.0.0.1:1", 40, false))
	for i := range uint64(10) {
		l.accept(announceRun("s", 100, "10.0.0.1:1", 50+i, false))
		require.True(t, l.state.IsContested("s"))
		l.accept(announceRun("s", 200, "10.0.0.1:1", 41+i, false))
		require.False(t, l.state.IsContested("s"))
	}
	require.Equal(t, []string{"s@200"}, runsOf(l.state))
	for range 2 * runReturns {
		l.accept(announceRun("s", 100, "10.0.0.1:1", 70, false))
	}
	require.Equal(t, []string{"s@200"}, runsOf(l.state), "one word that comes again and again is one word")
}

// Symptom: a server that leaves gets work again, or one that lives is lost. Sequence: an end names the id alone; it may be of the
// start that is held, or a late one of the start before. Cause: an end that can't be told from the other. It holds at once, and
// the server that goes on to announce itself after it is back.
func TestEndByTheIDAloneHoldsUntilTheRunGoesOn(t *testing.T) {
	l := newLog(t)
	l.other = New()
	l.accept(announceRun("s", 200, "10.0.0.1:1", 40, false))
	l.accept(endServer("s"))
	require.Empty(t, runsOf(l.state))
	l.accept(announceRun("s", 200, "10.0.0.1:1", 41, false))
	l.restart()
	require.Empty(t, runsOf(l.state), "a word that was on its way")
	l.accept(endServer("s"))
	l.accept(announceRun("s", 200, "10.0.0.1:1", 42, true))
	l.accept(announceRun("s", 200, "10.0.0.1:1", 43, true))
	l.accept(announceRun("s", 200, "10.0.0.1:1", 44, true))
	l.accept(announceRun("s", 200, "10.0.0.1:1", 45, true))
	require.Empty(t, runsOf(l.state), "it leaves")
	for sequence := range uint64(runReturns) {
		l.accept(announceRun("s", 200, "10.0.0.1:1", 50+sequence, false))
	}
	require.Equal(t, []string{"s@200"}, runsOf(l.state))
	l.accept(endRun("s", 200))
	for sequence := range uint64(2 * runReturns) {
		l.accept(announceRun("s", 200, "10.0.0.1:1", 60+sequence, false))
	}
	require.Empty(t, runsOf(l.state), "an end that names the run is for good")
}

// Symptom: a server is refused for good by the start that it doesn't name. Sequence: a word under its id comes from another
// writer, without a time of start. Cause: a word that may be anybody's, taken for the newest.
func TestWordWithoutATimeIsNotOfARunThatHasOne(t *testing.T) {
	l := newLog(t)
	l.accept(announceRun("s", 200, "10.0.0.1:1", 40, false))
	require.NotZero(t, l.apply(announce("s", "10.0.0.9:1", 900, false)).GetEach()[0].GetCode())
	require.Equal(t, []string{"s@200"}, runsOf(l.state))
	require.Equal(t, "10.0.0.1:1", l.state.Announcements()[0].GetAddress())
}

// Symptom: a sound server is gone from the directory. Sequence: somebody else announces a service that isn't known at its
// address. Cause: an address that went to whoever named it last.
func TestAnnouncementOfAnUnknownServiceNamesNoServer(t *testing.T) {
	l := newLog(t)
	l.accept(&wire.Command{Kind: &wire.Command_PutDesiredState{PutDesiredState: &wire.PutDesiredState{
		Desired: &wire.DesiredState{Version: 1, Pools: []*wire.Pool{{Name: "models", Kind: "model"}}},
	}}})
	l.accept(announceRun("s", 200, "10.0.0.1:1", 40, false))
	foreign := announceRun("t", 300, "10.0.0.1:1", 1, false)
	foreign.GetAnnounceServers().Announcements[0].Pool = "nobody"
	require.NotZero(t, l.apply(foreign).GetEach()[0].GetCode())
	require.Equal(t, []string{"s@200"}, runsOf(l.state))

	// A server of a service that an operator has taken away may still say that it leaves.
	l.accept(&wire.Command{Kind: &wire.Command_PutDesiredState{PutDesiredState: &wire.PutDesiredState{
		Desired: &wire.DesiredState{Version: 2, Pools: []*wire.Pool{{Name: "others", Kind: "model"}}},
	}}})
	l.accept(announceRun("s", 200, "10.0.0.1:1", 41, true))
	require.True(t, l.state.Announcements()[0].GetDraining())
}

// In whichever order the words of several starts of one server arrive, doubled and late, the one that goes on is held in the
// end, and there is never more than one.
func TestTheRunThatLivesIsHeldInTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLog(t)
		l.other = New()
		last := map[uint64]uint64{}
		for range rapid.IntRange(0, 40).Draw(t, "words") {
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
			require.LessOrEqual(t, len(runsOf(l.state)), 1)
		}
		lives := rapid.SampledFrom([]uint64{100, 200, 300}).Draw(t, "lives")
		for i := range uint64(runReturns) {
			l.accept(announceRun("s", lives, "10.0.0.1:1", last[lives]+1+i, false))
		}
		require.Len(t, runsOf(l.state), 1)
		require.Equal(t, lives, l.state.Announcements()[0].GetStartedUnixMs())
	})
}
