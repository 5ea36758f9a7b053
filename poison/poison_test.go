package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

const startMS = 1_000_000

func crash(id, server string) *wire.Crash { return &wire.Crash{Id: id, Server: server} }

func reported(id, server, reporter string) *wire.Crash {
	return &wire.Crash{Id: id, Server: server, Reporter: reporter}
}

func crashAlone(id, server string) *wire.Crash {
	return &wire.Crash{Id: id, Server: server, Alone: true}
}

func TestThirdCrashMakesAQuarantine(t *testing.T) {
	key := Key{Organisation: "org", Fingerprint: 7}
	record := key.NewRecord()
	require.Equal(t, Clear, StandingOf(nil))
	for i, want := range []Standing{Clear, Watched, Quarantined} {
		require.True(t, AddCrash(record, crashAlone(string(rune('a'+i)), string(rune('x'+i))), startMS))
		require.Equal(t, want, StandingOf(record))
	}
	require.Equal(t, []string{"x", "y", "z"}, CrashedServers(record))
	require.EqualValues(t, startMS+milliseconds(firstQuarantine), record.GetUntilUnixMs())
	require.False(t, AddCrash(record, crash("d", "w"), startMS+1), "it was on its way when that was decided")
	require.Equal(t, key, KeyOf(record))
}

// Symptom: a request is quarantined that was beside others at each crash. Sequence: several poison requests crash server after
// server, and it happens to be there. Cause: crashes beside others counted like those alone.
func TestOnlyACrashAloneMakesAQuarantine(t *testing.T) {
	record := Key{}.NewRecord()
	for i := range quarantinedBeside - 1 {
		require.True(t, AddCrash(record, crash(string(rune('a'+i)), string(rune('A'+i))), startMS))
	}
	require.Equal(t, Watched, StandingOf(record))
	require.True(t, AddCrash(record, crashAlone("z", "Z"), startMS))
	require.Equal(t, Quarantined, StandingOf(record))

	t.Run("noted in another order", func(t *testing.T) {
		record := Key{}.NewRecord()
		for _, one := range []*wire.Crash{crashAlone("z", "Z"), crash("a", "A"), crash("b", "B")} {
			require.True(t, AddCrash(record, one, startMS))
		}
		require.Equal(t, Quarantined, StandingOf(record))
	})
}

// Symptom: a request goes on to crash servers, each after it has run for a while. Sequence: others are let in beside it by then,
// so no crash is one alone. Cause: only crashes alone counted.
func TestRequestThatCrashesServersLaterIsQuarantinedToo(t *testing.T) {
	record := Key{}.NewRecord()
	crashes := 0
	for ; StandingOf(record) != Quarantined; crashes++ {
		require.True(t, AddCrash(record, crash(string(rune('a'+crashes)), string(rune('A'+crashes))), startMS))
	}
	require.LessOrEqual(t, crashes-QuarantineThreshold, 3, "retries after the third crash")
}

// Symptom: a request is quarantined after one crash. Sequence: several entries were connected to the server and report its end,
// and one of them reports it twice, since the first answer of control was lost. Cause: reports counted and not crashes.
func TestOneCrashCountsOnce(t *testing.T) {
	once := func(id string) *wire.Crash { return &wire.Crash{Id: id, Server: "i-1", Once: true} }
	for name, test := range map[string]struct {
		first, second *wire.Crash
		later         time.Duration
		changes       bool
	}{
		"a resend":                          {crash("a", "s"), crash("a", "s"), time.Hour, false},
		"told by another at the same time":  {crash("a", "s"), crash("b", "s"), time.Second, false},
		"the same name, later":              {crash("a", "s"), crash("b", "s"), 3 * time.Second, true},
		"by the same reporter, soon after":  {reported("a", "s", "agent"), reported("b", "s", "agent"), time.Second, true},
		"by another reporter":               {reported("a", "s", "agent"), reported("b", "s", "other"), time.Second, false},
		"a name of one start, later":        {once("a"), once("b"), time.Hour, false},
		"another server at the same moment": {crash("a", "s"), crash("b", "t"), 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			record := Key{}.NewRecord()
			require.True(t, AddCrash(record, test.first, startMS))
			require.Equal(t, test.changes, AddCrash(record, test.second, startMS+milliseconds(test.later)))
		})
	}
	t.Run("clocks that differ", func(t *testing.T) {
		record := Key{}.NewRecord()
		require.True(t, AddCrash(record, crash("a", "s"), startMS))
		require.False(t, AddCrash(record, crash("b", "s"), startMS-milliseconds(time.Second)))
	})
}

// Symptom: a request that crashes servers reaches more than three of them within a day after it was first quarantined. Cause:
// quarantines that are all of one length.
func TestQuarantinesGetLonger(t *testing.T) {
	record := Key{}.NewRecord()
	now, crashes := uint64(startMS), 0
	fall := func() {
		crashes++
		require.True(t, AddCrash(record, crashAlone(string(rune(crashes)), string(rune(1000+crashes))), now))
	}
	for range QuarantineThreshold {
		fall()
	}
	begun := now
	for now = record.GetUntilUnixMs(); now < begun+milliseconds(24*time.Hour); now = record.GetUntilUnixMs() {
		require.True(t, Downgrade(record, now), "it is watched")
		require.Equal(t, Watched, StandingOf(record))
		fall()
		require.Equal(t, Quarantined, StandingOf(record), "one more crash is enough")
	}
	require.LessOrEqual(t, crashes-QuarantineThreshold, 3)

	require.True(t, Downgrade(record, now))
	require.False(t, Downgrade(record, record.GetUntilUnixMs()), "nothing is left of it in the end")
}
