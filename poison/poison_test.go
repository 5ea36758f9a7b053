package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

const startMS = 1_000_000

func crash(id, server string) *wire.Crash { return &wire.Crash{Id: id, Server: server} }

func reportedCrash(id, server, reporter string) *wire.Crash {
	return &wire.Crash{Id: id, Server: server, Reporter: reporter}
}

func crashAlone(id, server string) *wire.Crash {
	return &wire.Crash{Id: id, Server: server, Alone: true}
}

// Three crashes while a request runs alone must quarantine it, and a crash that is reported after that must not prolong
// the quarantine.
func TestThirdCrashQuarantines(t *testing.T) {
	key := Key{Organisation: "org", Fingerprint: 7}
	record := key.NewRecord()
	require.Equal(t, Clear, StandingOf(nil))
	for i, want := range []Standing{Clear, Watched, Quarantined} {
		require.True(t, AddCrash(record, crashAlone(string(rune('a'+i)), string(rune('x'+i))), startMS))
		require.Equal(t, want, StandingOf(record))
	}
	require.Equal(t, []string{"x", "y", "z"}, CrashedServers(record))
	require.EqualValues(t, startMS+milliseconds(initialQuarantine), record.GetUntilUnixMs())
	require.False(t, AddCrash(record, crash("d", "w"), startMS+1), "it was dispatched before the quarantine")
	require.Equal(t, key, KeyOf(record))
}

// A request that happens to run on each server that other requests crash must not be quarantined as early as one that
// crashes a server while it runs alone.
func TestSharedCrashesDoNotQuarantineEarly(t *testing.T) {
	record := Key{}.NewRecord()
	for i := range sharedQuarantineThreshold - 1 {
		require.True(t, AddCrash(record, crash(string(rune('a'+i)), string(rune('A'+i))), startMS))
	}
	require.Equal(t, Watched, StandingOf(record))
	require.True(t, AddCrash(record, crashAlone("z", "Z"), startMS))
	require.Equal(t, Quarantined, StandingOf(record))

	t.Run("added in another order", func(t *testing.T) {
		record := Key{}.NewRecord()
		for _, one := range []*wire.Crash{crashAlone("z", "Z"), crash("a", "A"), crash("b", "B")} {
			require.True(t, AddCrash(record, one, startMS))
		}
		require.Equal(t, Quarantined, StandingOf(record))
	})
}

// A request that crashes servers only after it has run for a while must be quarantined too. Other requests run next to
// it by then, so that none of its crashes happens while it is alone.
func TestRequestThatCrashesServersLateIsQuarantined(t *testing.T) {
	record := Key{}.NewRecord()
	crashes := 0
	for ; StandingOf(record) != Quarantined; crashes++ {
		require.True(t, AddCrash(record, crash(string(rune('a'+crashes)), string(rune('A'+crashes))), startMS))
	}
	require.LessOrEqual(t, crashes-QuarantineThreshold, 3, "retries after the third crash")
}

// Several reports of one crash must count as one crash. They come from several peers of the server, or from one that
// sends its report again because the response of control was lost.
func TestOneCrashCountsOnce(t *testing.T) {
	once := func(id string) *wire.Crash { return &wire.Crash{Id: id, Server: "i-1", Once: true} }
	for name, test := range map[string]struct {
		first, second *wire.Crash
		later         time.Duration
		changes       bool
	}{
		"same report sent again":          {crash("a", "s"), crash("a", "s"), time.Hour, false},
		"second report 1 s later":         {crash("a", "s"), crash("b", "s"), time.Second, false},
		"same server 3 s later":           {crash("a", "s"), crash("b", "s"), 3 * time.Second, true},
		"same reporter 1 s later":         {reportedCrash("a", "s", "agent"), reportedCrash("b", "s", "agent"), time.Second, true},
		"another reporter 1 s later":      {reportedCrash("a", "s", "agent"), reportedCrash("b", "s", "other"), time.Second, false},
		"name unique to one start, later": {once("a"), once("b"), time.Hour, false},
		"another server at the same time": {crash("a", "s"), crash("b", "t"), 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			record := Key{}.NewRecord()
			require.True(t, AddCrash(record, test.first, startMS))
			require.Equal(t, test.changes, AddCrash(record, test.second, startMS+milliseconds(test.later)))
		})
	}
	t.Run("report with an earlier time", func(t *testing.T) {
		record := Key{}.NewRecord()
		require.True(t, AddCrash(record, crash("a", "s"), startMS))
		require.False(t, AddCrash(record, crash("b", "s"), startMS-milliseconds(time.Second)))
	})
}

// Quarantines must get longer. Otherwise a request that is repeated all the time would crash more than three servers
// within a day after its first quarantine.
func TestQuarantinesGetLonger(t *testing.T) {
	record := Key{}.NewRecord()
	now, crashes := uint64(startMS), 0
	addCrash := func() {
		crashes++
		require.True(t, AddCrash(record, crashAlone(string(rune(crashes)), string(rune(1000+crashes))), now))
	}
	for range QuarantineThreshold {
		addCrash()
	}
	begun := now
	for now = record.GetUntilUnixMs(); now < begun+milliseconds(24*time.Hour); now = record.GetUntilUnixMs() {
		require.True(t, Downgrade(record, now), "it becomes watched")
		require.Equal(t, Watched, StandingOf(record))
		addCrash()
		require.Equal(t, Quarantined, StandingOf(record), "one more crash is enough")
	}
	require.LessOrEqual(t, crashes-QuarantineThreshold, 3)

	require.True(t, Downgrade(record, now))
	require.False(t, Downgrade(record, record.GetUntilUnixMs()), "the record is dropped after the watch period")
}
