package poison

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// partRecord returns the record of a part with a crash for each organisation given, those with a star alone.
func partRecord(crashes ...string) *wire.PoisonRecord {
	record := PartKey("sample", 7).NewRecord()
	for i, organisation := range crashes {
		alone := organisation[0] == '*'
		if alone {
			organisation = organisation[1:]
		}
		AddCrash(record, &wire.Crash{Id: fmt.Sprint(i), Server: fmt.Sprint("s", i), Alone: alone, Organisations: []string{organisation}}, uint64(i)*milliseconds(crashBurst))
	}
	return record
}

// Guards against an organisation whose crashes have another's requests refused, and against a part that is harmful for all but
// refused for one.
func TestPartIsHeldForThoseWhoseCrashesProveIt(t *testing.T) {
	for _, c := range []struct {
		crashes []string
		a, b    Standing
	}{
		{[]string{"a"}, Clear, Clear},
		{[]string{"a", "a"}, Watched, Watched},
		{[]string{"a", "a", "a"}, Watched, Watched},
		{[]string{"a", "a", "*a"}, Quarantined, Watched},
		{[]string{"a", "b", "*a", "*b"}, Quarantined, Quarantined},
		{[]string{"c", "c", "*c", "*d"}, Quarantined, Quarantined},
		{[]string{"a", "a", "a", "a", "a", "a"}, Quarantined, Watched},
		{[]string{"b", "a", "a", "a", "a", "a"}, Watched, Watched},
	} {
		record := partRecord(c.crashes...)
		require.Equal(t, c.a, StandingFor(record, "a"), c.crashes)
		require.Equal(t, c.b, StandingFor(record, "b"), c.crashes)
	}
}

// Guards against a sound part that stays refused with a harmful one because both were at the same crashes.
func TestPartIsExplainedByOthersThatWereAtAllItsCrashes(t *testing.T) {
	few, many := partRecord("a", "a", "*a"), partRecord("a", "a", "*a", "*a")
	require.True(t, IsExplained(few, []*wire.PoisonRecord{many}))
	require.True(t, IsExplained(few, []*wire.PoisonRecord{partRecord("a", "a", "*a")}))
	require.False(t, IsExplained(many, []*wire.PoisonRecord{few}))
	require.False(t, IsExplained(few, nil))
	rest := PartKey("sample", 8).NewRecord()
	AddCrash(rest, many.GetCrashes()[3], 9)
	require.True(t, IsExplained(many, []*wire.PoisonRecord{few, rest}), "two harmful parts together")
	for len(few.GetCrashes()) < maxPartCrashes {
		few.Crashes = append(few.Crashes, &wire.Crash{Id: "x"})
	}
	require.False(t, IsExplained(few, []*wire.PoisonRecord{few}), "a record that takes no more crashes")
}

// Guards against a part that many requests share and that is held because the servers of a rack end together.
func TestServersThatEndTogetherCountOnce(t *testing.T) {
	record := PartKey("sample", 7).NewRecord()
	for i := range 3 * sharedQuarantineThreshold {
		at := uint64(i/9) * 60_000
		AddCrash(record, &wire.Crash{Id: fmt.Sprint(i), Server: fmt.Sprint("s", i), Organisations: []string{"a"}}, at)
	}
	require.Equal(t, Watched, StandingFor(record, "a"))
}

// Guards against records of parts that grow without a bound while requests with the part go on to come.
func TestCrashesOfPartAreBounded(t *testing.T) {
	record := partRecord("a", "a", "*a")
	until := record.GetUntilUnixMs()
	for i := range 100 {
		AddCrash(record, &wire.Crash{Id: fmt.Sprint("late", i), Server: fmt.Sprint("late", i), Alone: true, Organisations: []string{"a"}}, 5)
	}
	require.Len(t, record.GetCrashes(), maxPartCrashes)
	require.Equal(t, until, record.GetUntilUnixMs(), "requests that were on their way don't extend the quarantine")
	require.True(t, AddCrash(partRecord("a"), &wire.Crash{Id: "0", Organisations: []string{"b"}}, 1), "the same crash under another organisation")
}
