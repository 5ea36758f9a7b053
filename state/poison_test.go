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

// poisonRecord returns a record with a key and nothing else.
func poisonRecord(organisation string, fingerprint int) *wire.PoisonRecord {
	return poison.Key{Organisation: organisation, Fingerprint: poison.Fingerprint(fingerprint)}.NewRecord()
}

// crash applies a crash of a server that was running the given requests. A single request is reported as having run
// alone.
func (l *log) crash(server string, ran ...*wire.PoisonRecord) {
	l.accept(&wire.Command{Kind: &wire.Command_NoteCrash{NoteCrash: &wire.NoteCrash{
		Crash: &wire.Crash{Id: fmt.Sprint("crash-", l.index), Server: server, Alone: len(ran) == 1}, Ran: ran,
	}}})
}

// quarantine applies as many crashes of a request as lead to its quarantine.
func (l *log) quarantine(record *wire.PoisonRecord) {
	for i := range poison.QuarantineThreshold {
		l.crash(fmt.Sprint("server-", i), record)
	}
}

func (l *log) standing(record *wire.PoisonRecord) poison.Standing {
	return poison.StandingOf(l.state.poisonRecords.records[poison.KeyOf(record).String()])
}

// clear applies the clearance of a request, based on a version of its record.
func (l *log) clear(version uint64, record *wire.PoisonRecord) {
	cleared := poison.KeyOf(record).NewRecord()
	cleared.Version = version
	l.accept(&wire.Command{Kind: &wire.Command_ClearPoison{ClearPoison: &wire.ClearPoison{Cleared: []*wire.PoisonRecord{cleared}}}})
}

// Crashes must be in snapshots and, once a request is watched, in deltas. Otherwise entries run a request that has
// crashed servers elsewhere.
func TestCrashesAreInSnapshotsAndDeltas(t *testing.T) {
	l := newLog(t)
	l.replica = New()
	a, b := poisonRecord("org", 1), poisonRecord("org", 2)
	l.crash("s1", a, b)
	require.Zero(t, l.state.DirectoryVersion(), "a single crash is not published")
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
	require.Equal(t, before, l.state.DirectoryVersion(), "a further crash of a quarantined request changes nothing")
	l.restart()
}

// An entry that received an answer proposes to clear the request, and another crash is recorded before that commits.
// The clearance must be valid only for the version it is based on, or a request that crashed a server again would
// run.
func TestClearanceOfOlderVersionIsIgnored(t *testing.T) {
	l := newLog(t)
	a := poisonRecord("org", 1)
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

// A quarantine must end in steps that are all published, or a request would be refused permanently.
func TestPoisonExpires(t *testing.T) {
	l := newLog(t)
	a, b := poisonRecord("org", 1), poisonRecord("org", 2)
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
		require.Greater(t, l.state.DirectoryVersion(), before, "each step is published")
		require.NotEqual(t, poison.Quarantined, l.standing(a))
	}
	require.Empty(t, l.state.poisonRecords.counts)
	l.restart()
}

// An organisation that keeps sending requests that crash servers must not evict the records of other organisations,
// or their requests would crash servers again. A shared limit that evicts the oldest record would allow that.
func TestOrganisationDoesNotEvictPoisonOfOthers(t *testing.T) {
	limits := DefaultLimits
	limits.PoisonRecords, limits.PoisonPerOrganisation = 12, 8
	l := newLog(t)
	l.state = newState(limits)
	victim := poisonRecord("mine", 1)
	l.quarantine(victim)
	for i := range 5 {
		l.crash("s1", poisonRecord("other", i+1))
	}
	ofRival := poisonRecord("rival", 1)
	l.quarantine(ofRival)
	for i := range 100 {
		l.crash("s1", poisonRecord("rival", i+2))
		require.LessOrEqual(t, len(l.state.PoisonRecords()), limits.PoisonRecords)
		require.LessOrEqual(t, l.state.poisonRecords.counts["rival"], limits.PoisonPerOrganisation)
	}
	require.Equal(t, poison.Quarantined, l.standing(victim))
	require.Equal(t, poison.Quarantined, l.standing(ofRival), "of its own records, those with the fewest crashes are evicted first")
	require.Positive(t, l.state.poisonRecords.counts["other"])
	l.restart()
}

// Crash reports without an ID, a server or a fingerprint must not create records.
func TestMalformedCrashesAreRefused(t *testing.T) {
	l := newLog(t)
	for _, crash := range []*wire.Crash{nil, {Id: "a"}, {Server: "s"}} {
		l.refuse(result.BadMessage, &wire.Command{Kind: &wire.Command_NoteCrash{NoteCrash: &wire.NoteCrash{Crash: crash}}})
	}
	l.crash("s1", &wire.PoisonRecord{Organisation: "org"})
	require.Empty(t, l.state.PoisonRecords(), "a report without a fingerprint identifies no request")
}

// Three servers crash and their agents report it; an entry that is cut off from control reports the same crashes 5 s
// later. The delayed report must not count as another crash, or harmless requests are run alone. It is recognised
// even if the server's name has no start time.
func TestDelayedCrashReportIsDuplicate(t *testing.T) {
	for name, crash := range map[string]*wire.Crash{
		"by the entry that the agent informed":               {Id: "s1@5", Server: "s1", Reporter: "agent-1"},
		"by another agent, of a server whose name is unique": {Id: "s1@7", Server: "s1", Reporter: "agent-2", Once: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLog(t)
			a := poisonRecord("org", 1)
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

// drawPoisonCommand draws a valid or invalid command about a few requests and servers.
func drawPoisonCommand(t *rapid.T, l *log) *wire.Command {
	record := poisonRecord(drawName(t, "organisation"), rapid.IntRange(0, 3).Draw(t, "fingerprint"))
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return &wire.Command{Kind: &wire.Command_ExpirePoison{ExpirePoison: &wire.ExpirePoison{}}}
	case 1:
		record.Version = l.index - min(l.index, drawNumber(t, "age"))
		return &wire.Command{Kind: &wire.Command_ClearPoison{ClearPoison: &wire.ClearPoison{Cleared: []*wire.PoisonRecord{record}}}}
	default:
		ran := []*wire.PoisonRecord{record}
		if rapid.Bool().Draw(t, "beside") {
			ran = append(ran, poisonRecord(drawName(t, "other"), rapid.IntRange(1, 3).Draw(t, "other fingerprint")))
		}
		return &wire.Command{Kind: &wire.Command_NoteCrash{NoteCrash: &wire.NoteCrash{Ran: ran, Crash: &wire.Crash{
			Id: fmt.Sprint(drawNumber(t, "id")), Server: drawName(t, "server"), Reporter: drawName(t, "reporter"),
			Alone: len(ran) == 1 && rapid.Bool().Draw(t, "alone"), Once: rapid.Bool().Draw(t, "once"),
		}}}}
	}
}

// Replicas, and clients that apply deltas, must hold the same records after any crashes, clearances and expiries,
// with a restore at any point. They differ if something is missing in a snapshot or a delta, or depends on an order
// that the log does not define.
func TestPoisonIsEqualOnReplicasAndClients(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limits := DefaultLimits
		limits.PoisonRecords, limits.PoisonPerOrganisation, limits.History = 5, 2, 3
		l := newLog(rt)
		l.state, l.replica = newState(limits), newState(limits)
		received, version := make(map[string]*wire.PoisonRecord), uint64(0)
		for range rapid.IntRange(1, 80).Draw(rt, "length") {
			l.now += drawNumber(rt, "hours") * uint64(time.Hour.Milliseconds()) / 2
			l.apply(proto.CloneOf(drawPoisonCommand(rt, l)))
			requirePoison(rt, l.state)
			if rapid.IntRange(0, 9).Draw(rt, "restart") == 0 {
				l.restart()
			}
			if u := l.state.DirectorySince(version); u != nil && rapid.Bool().Draw(rt, "update") {
				if u.GetFull() {
					clear(received)
				}
				replaceAll(received, u.GetPoison(), func(r *wire.PoisonRecord) string { return poison.KeyOf(r).String() }, u.GetRemovedPoison())
				version = u.GetVersion()
				want, got := &wire.Snapshot{Poison: l.state.PublishedPoisonRecords()}, &wire.Snapshot{Poison: sortedValues(received)}
				require.True(rt, proto.Equal(want, got), "a client differs from the state after its deltas:\n%v\n%v", want, got)
			}
		}
		l.restart()
	})
}

// requirePoison checks the invariants of all records.
func requirePoison(t require.TestingT, s *State) {
	require.LessOrEqual(t, len(s.PoisonRecords()), s.limits.PoisonRecords)
	counts := make(map[string]int)
	for _, record := range s.PoisonRecords() {
		counts[record.GetOrganisation()]++
		ids := make(map[string]bool)
		alone := false
		for _, crash := range record.GetCrashes() {
			require.False(t, ids[crash.GetId()], "a crash is counted twice")
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
	require.Equal(t, counts, s.poisonRecords.counts)
	for _, n := range counts {
		require.LessOrEqual(t, n, s.limits.PoisonPerOrganisation)
	}
}
