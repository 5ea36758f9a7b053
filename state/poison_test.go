package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

func printOf(organisation string, fingerprint int) *wire.PoisonRecord {
	return poison.Key{Organisation: organisation, Fingerprint: poison.Fingerprint(fingerprint)}.NewRecord()
}

// crash notes that a server crashed while it ran these. One that ran a single request is taken to have run it alone.
func (l *log) crash(server string, ran ...*wire.PoisonRecord) {
	l.accept(&wire.Command{Kind: &wire.Command_NoteCrash{NoteCrash: &wire.NoteCrash{
		Crash: &wire.Crash{Id: fmt.Sprint("crash-", l.index), Server: server, Alone: len(ran) == 1}, Ran: ran,
	}}})
}

func (l *log) quarantine(record *wire.PoisonRecord) {
	for i := range poison.QuarantineThreshold {
		l.crash(fmt.Sprint("server-", i), record)
	}
}

func (l *log) standing(record *wire.PoisonRecord) poison.Standing {
	return poison.StandingOf(l.state.poisoned.records[poison.KeyOf(record).String()])
}

func (l *log) clear(version uint64, record *wire.PoisonRecord) {
	cleared := poison.KeyOf(record).NewRecord()
	cleared.Version = version
	l.accept(&wire.Command{Kind: &wire.Command_ClearPoison{ClearPoison: &wire.ClearPoison{Cleared: []*wire.PoisonRecord{cleared}}}})
}

func TestCrashesAreKeptAndToldToClients(t *testing.T) {
	l := newLog(t)
	l.other = New()
	a, b := printOf("org", 1), printOf("org", 2)
	l.crash("s1", a, b)
	require.Zero(t, l.state.DirectoryVersion(), "one crash is nobody's business")
	l.crash("s2", a)
	watched := l.state.DirectorySince(0).GetPoison()
	require.Len(t, watched, 1)
	require.Equal(t, poison.Watched, poison.StandingOf(watched[0]))
	before := l.state.DirectoryVersion()
	l.restart()
	l.crash("s3", a)
	require.Equal(t, poison.Quarantined, l.standing(a))
	require.Equal(t, poison.Clear, l.standing(b))
	update := l.state.DirectorySince(before)
	require.False(t, update.GetFull())
	require.Len(t, update.GetPoison(), 1)
	require.Equal(t, []string{"s1", "s2", "s3"}, poison.CrashedServers(update.GetPoison()[0]))

	before = l.state.DirectoryVersion()
	l.crash("s4", a)
	require.Equal(t, before, l.state.DirectoryVersion(), "a crash that was on its way tells nothing new")
	l.restart()
}

// Symptom: a request that was answered stays refused, or one that crashed a server again since runs free. Sequence: an entry that
// had an answer clears it; its proposal is late, and meanwhile another crash was noted. Cause: a clearance that names no version.
func TestAnswerClearsWhatItWasAnsweredAfter(t *testing.T) {
	l := newLog(t)
	a := printOf("org", 1)
	l.crash("s1", a)
	l.crash("s2", a)
	version := l.state.PoisonRecords()[0].GetVersion()
	l.crash("s3", a)
	l.clear(version, a)
	require.Equal(t, poison.Quarantined, l.standing(a), "the proposal is older than the last crash")
	before := l.state.DirectoryVersion()
	l.clear(l.state.PoisonRecords()[0].GetVersion(), a)
	require.Empty(t, l.state.PoisonRecords())
	require.Equal(t, []string{poison.KeyOf(a).String()}, l.state.DirectorySince(before).GetRemovedPoison())
	l.clear(version, a)
	l.restart()
}

func TestPoisonExpires(t *testing.T) {
	l := newLog(t)
	a, b := printOf("org", 1), printOf("org", 2)
	l.quarantine(a)
	l.crash("s1", b)
	expire := func() {
		l.accept(&wire.Command{Kind: &wire.Command_ExpirePoison{ExpirePoison: &wire.ExpirePoison{}}})
	}
	expire()
	require.Len(t, l.state.PoisonRecords(), 2)
	require.False(t, l.state.HasExpiredPoison(l.now))
	for steps := 0; len(l.state.PoisonRecords()) > 0; steps++ {
		require.Less(t, steps, 10)
		l.now += uint64((2 * time.Hour).Milliseconds())
		require.True(t, l.state.HasExpiredPoison(l.now))
		before := l.state.DirectoryVersion()
		expire()
		require.Greater(t, l.state.DirectoryVersion(), before, "clients hear of each step")
		require.NotEqual(t, poison.Quarantined, l.standing(a))
	}
	require.Empty(t, l.state.poisoned.counts)
	l.restart()
}

// Symptom: what is known of one organisation's requests is lost, and they crash servers again. Sequence: another organisation
// sends requests without end that are under crashes. Cause: one bound for all organisations, the oldest first.
func TestNoOrganisationPushesOutWhatIsKnownOfOthers(t *testing.T) {
	limits := DefaultLimits
	limits.PoisonRecords, limits.PoisonPerOrganisation = 12, 8
	l := newLog(t)
	l.state = newState(limits)
	mine := printOf("mine", 1)
	l.quarantine(mine)
	for i := range 5 {
		l.crash("s1", printOf("other", i+1))
	}
	theirs := printOf("rival", 1)
	l.quarantine(theirs)
	for i := range 100 {
		l.crash("s1", printOf("rival", i+2))
		require.LessOrEqual(t, len(l.state.PoisonRecords()), limits.PoisonRecords)
		require.LessOrEqual(t, l.state.poisoned.counts["rival"], limits.PoisonPerOrganisation)
	}
	require.Equal(t, poison.Quarantined, l.standing(mine))
	require.Equal(t, poison.Quarantined, l.standing(theirs), "of its own, those with the fewest crashes go first")
	require.Positive(t, l.state.poisoned.counts["other"])
	l.restart()
}

func TestMalformedCrashesAreRefused(t *testing.T) {
	l := newLog(t)
	for _, crash := range []*wire.Crash{nil, {Id: "a"}, {Server: "s"}} {
		l.refuse(result.BadMessage, &wire.Command{Kind: &wire.Command_NoteCrash{NoteCrash: &wire.NoteCrash{Crash: crash}}})
	}
	l.crash("s1", &wire.PoisonRecord{Organisation: "org"})
	require.Empty(t, l.state.PoisonRecords(), "without a fingerprint it is of no request")
}

// Symptom: requests that harmed nobody have to begin alone. Sequence: three servers crash; their agents report it; an entry that is cut
// off from control reports the same crashes five seconds later. Cause: seen on a played day: a crash that came late was taken for
// another one, since the names of its servers tell no time of start.
func TestCrashThatIsReportedLateIsTheSame(t *testing.T) {
	for name, crash := range map[string]*wire.Crash{
		"by the entry that its agent told":                   {Id: "s1@5", Server: "s1", Reporter: "agent-1"},
		"by another agent, of a server whose name is unique": {Id: "s1@7", Server: "s1", Reporter: "agent-2", Once: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLog(t)
			a := printOf("org", 1)
			note := func(crash *wire.Crash) {
				l.accept(&wire.Command{Kind: &wire.Command_NoteCrash{NoteCrash: &wire.NoteCrash{
					Crash: crash, Ran: []*wire.PoisonRecord{a},
				}}})
			}
			note(&wire.Crash{Id: "s1@5", Server: "s1", Reporter: "agent-1", Once: crash.GetOnce()})
			l.now += uint64((5 * time.Second).Milliseconds())
			note(crash)
			require.Len(t, l.state.PoisonRecords()[0].GetCrashes(), 1)
		})
	}
}

// drawPoisonCommand draws a command about few requests and few servers, sensible or not.
func drawPoisonCommand(t *rapid.T, l *log) *wire.Command {
	record := printOf(drawName(t, "organisation"), rapid.IntRange(0, 3).Draw(t, "fingerprint"))
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return &wire.Command{Kind: &wire.Command_ExpirePoison{ExpirePoison: &wire.ExpirePoison{}}}
	case 1:
		record.Version = l.index - min(l.index, drawNumber(t, "age"))
		return &wire.Command{Kind: &wire.Command_ClearPoison{ClearPoison: &wire.ClearPoison{Cleared: []*wire.PoisonRecord{record}}}}
	default:
		ran := []*wire.PoisonRecord{record}
		if rapid.Bool().Draw(t, "beside") {
			ran = append(ran, printOf(drawName(t, "other"), rapid.IntRange(1, 3).Draw(t, "other fingerprint")))
		}
		return &wire.Command{Kind: &wire.Command_NoteCrash{NoteCrash: &wire.NoteCrash{Ran: ran, Crash: &wire.Crash{
			Id: fmt.Sprint(drawNumber(t, "id")), Server: drawName(t, "server"), Reporter: drawName(t, "reporter"),
			Alone: len(ran) == 1 && rapid.Bool().Draw(t, "alone"), Once: rapid.Bool().Draw(t, "once"),
		}}}}
	}
}

// Symptom: replicas, or a client after its deltas, know of different requests. Sequence: any crashes, clearances and times, with a
// restore at any point. Cause: something that isn't in the snapshot, an order that the log doesn't give, or a change that isn't told.
func TestPoisonIsEqualOnReplicasAndClients(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limits := DefaultLimits
		limits.PoisonRecords, limits.PoisonPerOrganisation, limits.History = 5, 2, 3
		l := newLog(rt)
		l.state, l.other = newState(limits), newState(limits)
		told, version := make(map[string]*wire.PoisonRecord), uint64(0)
		for range rapid.IntRange(1, 80).Draw(rt, "length") {
			l.now += drawNumber(rt, "hours") * uint64(time.Hour.Milliseconds()) / 2
			l.apply(proto.CloneOf(drawPoisonCommand(rt, l)))
			requirePoison(rt, l.state)
			if rapid.IntRange(0, 9).Draw(rt, "restart") == 0 {
				l.restart()
			}
			if u := l.state.DirectorySince(version); u != nil && rapid.Bool().Draw(rt, "update") {
				if u.GetFull() {
					clear(told)
				}
				replaceAll(told, u.GetPoison(), func(r *wire.PoisonRecord) string { return poison.KeyOf(r).String() }, u.GetRemovedPoison())
				version = u.GetVersion()
				want, got := &wire.Snapshot{Poison: l.state.PublishedPoisonRecords()}, &wire.Snapshot{Poison: sorted(told)}
				require.True(rt, proto.Equal(want, got), "a client after its deltas:\n%v\n%v", want, got)
			}
		}
		l.restart()
	})
}

// requirePoison checks what holds of all records at any time.
func requirePoison(t require.TestingT, s *State) {
	require.LessOrEqual(t, len(s.PoisonRecords()), s.limits.PoisonRecords)
	counts := make(map[string]int)
	for _, record := range s.PoisonRecords() {
		counts[record.GetOrganisation()]++
		ids := make(map[string]bool)
		alone := false
		for _, crash := range record.GetCrashes() {
			require.False(t, ids[crash.GetId()], "a crash counts once")
			ids[crash.GetId()] = true
			alone = alone || crash.GetAlone()
		}
		if poison.StandingOf(record) == poison.Quarantined {
			require.GreaterOrEqual(t, len(ids), poison.QuarantineThreshold)
			require.True(t, alone || len(ids) > poison.QuarantineThreshold)
			require.Positive(t, record.GetQuarantines())
		}
		require.Greater(t, record.GetUntilUnixMs(), record.GetCrashes()[0].GetUnixMs())
	}
	require.Equal(t, counts, s.poisoned.counts)
	for _, n := range counts {
		require.LessOrEqual(t, n, s.limits.PoisonPerOrganisation)
	}
}
