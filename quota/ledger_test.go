package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// usagePoll tells of use that is spread over the window evenly.
func usagePoll(used, wanted uint64) *wire.Poll {
	word := &wire.Usage{Organisation: "org", Used: used, Wanted: wanted}
	for range wire.LeavingSteps {
		word.Leaving = append(word.Leaving, used/wire.LeavingSteps)
	}
	return &wire.Poll{UsageWindowMs: 8000, Usage: []*wire.Usage{word}}
}

// usageTable is a table of three entries and a cap of 900 in a window, of which all others hold 300.
func usageTable() (*Ledger, []Incarnation) {
	entries := []Incarnation{{"e1", 1}, {"e2", 1}, {"e3", 1}}
	return NewLedger(
		func(string, time.Duration) float64 { return 900 },
		func(Incarnation, string) uint64 { return 300 },
	), entries
}

func TestEntryHearsHowTheOthersStand(t *testing.T) {
	l, e := usageTable()
	now := time.Unix(1_700_000_000, 0)
	l.Record(e[0], usagePoll(128, 10), now)
	l.Record(e[1], usagePoll(32, 4), now)
	got := l.Record(e[2], usagePoll(64, 1), now)
	require.Len(t, got, 1)
	require.EqualValues(t, 160, got[0].GetUsed())
	require.EqualValues(t, 14, got[0].GetWanted())
	require.EqualValues(t, 300, got[0].GetHeld())
	got = l.Record(e[0], usagePoll(128, 10), now)
	require.EqualValues(t, 96, got[0].GetUsed())
	require.EqualValues(t, 5, got[0].GetWanted())
}

// An entry that was killed wants nothing any more; what it used stays in the window.
func TestEntryThatIsSilentWantsNothing(t *testing.T) {
	l, e := usageTable()
	now := time.Unix(1_700_000_000, 0)
	l.Record(e[0], usagePoll(128, 10), now)
	got := l.Record(e[1], usagePoll(0, 0), now.Add(reportStale))
	require.Zero(t, got[0].GetWanted())
	require.InDelta(t, 128*5.5/8, got[0].GetUsed(), 1)
}

// Symptom: a cap looks free after an entry was killed. Sequence: it has used up much of a cap and dies; its successor, a new
// incarnation, begins with none. Cause: use that is forgotten with the process.
func TestUseOfAnEarlierIncarnationCounts(t *testing.T) {
	l, e := usageTable()
	now := time.Unix(1_700_000_000, 0)
	l.Record(e[0], usagePoll(800, 0), now)
	l.Record(e[1], usagePoll(0, 0), now)
	l.Record(e[2], usagePoll(0, 0), now)
	now = now.Add(2 * time.Second)
	got := l.Record(Incarnation{"e1", 2}, usagePoll(0, 0), now)
	require.InDelta(t, 600, got[0].GetUsed(), 1, "a fourth of the window has passed")
}

func TestSilentUseIsForgotten(t *testing.T) {
	l, e := usageTable()
	now := time.Unix(1_700_000_000, 0)
	l.Record(e[0], usagePoll(800, 100), now)
	got := l.Record(e[1], usagePoll(0, 0), now.Add(8*time.Second))
	require.Zero(t, got[0].GetUsed())
	l.Record(e[1], usagePoll(0, 0), now.Add(16*time.Second))
	require.Equal(t, 1, l.Len())
}

func TestPollWithoutUsageIsNoEntryOfTheTable(t *testing.T) {
	l, e := usageTable()
	require.Nil(t, l.Record(e[0], &wire.Poll{}, time.Unix(1_700_000_000, 0)))
	require.Zero(t, l.Len())
}
