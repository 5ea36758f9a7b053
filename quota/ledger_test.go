package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// usagePoll tells of use that is spread over the window evenly.
func usagePoll(used, rate uint64) *wire.Poll {
	return &wire.Poll{UsageWindowMs: 8000, Usage: []*wire.Usage{
		{Organisation: "org", Used: used, Rate: rate, Leaving: used / 8},
	}}
}

// usageTable is a table of three listed entries and a cap of 900 in a window.
func usageTable() (*Ledger, []Incarnation) {
	entries := []Incarnation{{"e1", 1}, {"e2", 1}, {"e3", 1}}
	return NewLedger(
		func(string, time.Duration) float64 { return 900 },
		func() map[string]uint64 { return map[string]uint64{"e1": 1, "e2": 1, "e3": 1} },
	), entries
}

func TestEntryHearsWhatTheOthersUse(t *testing.T) {
	u, e := usageTable()
	now := time.Unix(1_700_000_000, 0)
	u.Take(e[0], usagePoll(100, 10), now)
	u.Take(e[1], usagePoll(40, 4), now)
	got := u.Take(e[2], usagePoll(7, 1), now)
	require.Len(t, got, 1)
	require.EqualValues(t, 140, got[0].GetUsed())
	require.EqualValues(t, 14, got[0].GetRate())
	got = u.Take(e[0], usagePoll(100, 10), now)
	require.EqualValues(t, 47, got[0].GetUsed())
}

func TestEntryHearsHowOldTheOldestWordIs(t *testing.T) {
	u, e := usageTable()
	now := time.Unix(1_700_000_000, 0)
	u.Take(e[0], usagePoll(0, 0), now)
	require.EqualValues(t, neverHeard.Milliseconds(), u.Take(e[1], usagePoll(0, 0), now)[0].GetOldestMs())
	u.Take(e[2], usagePoll(0, 0), now)
	now = now.Add(700 * time.Millisecond)
	require.EqualValues(t, 700, u.Take(e[1], usagePoll(0, 0), now)[0].GetOldestMs())
}

// Symptom: an organisation uses more than its cap while entries are cut off. Sequence: an entry falls silent; it goes on
// admitting, up to its equal part; the others believe that it uses nothing any more. Cause: silence taken for no use.
func TestPartIsSetAsideForSilentEntries(t *testing.T) {
	u, e := usageTable()
	now := time.Unix(1_700_000_000, 0)
	for _, one := range e {
		u.Take(one, usagePoll(0, 0), now)
	}
	require.Zero(t, u.Take(e[0], usagePoll(0, 0), now)[0].GetUsed())
	now = now.Add(rateStale + time.Second)
	u.Take(e[1], usagePoll(0, 0), now)
	require.EqualValues(t, 300, u.Take(e[0], usagePoll(0, 0), now)[0].GetUsed())
}

// Symptom: a cap is overrun after an entry was killed. Sequence: it has used up much of a cap and dies; its successor, a
// new incarnation, begins with none. Cause: use that is forgotten with the process.
func TestUseOfAnEarlierIncarnationCounts(t *testing.T) {
	u, e := usageTable()
	now := time.Unix(1_700_000_000, 0)
	u.Take(e[0], usagePoll(800, 0), now)
	u.Take(e[1], usagePoll(0, 0), now)
	u.Take(e[2], usagePoll(0, 0), now)
	now = now.Add(2 * time.Second)
	got := u.Take(Incarnation{"e1", 2}, usagePoll(0, 0), now)
	require.InDelta(t, 600, got[0].GetUsed(), 1, "a fourth of the window has passed")
}

func TestSilentUseIsForgotten(t *testing.T) {
	u, e := usageTable()
	now := time.Unix(1_700_000_000, 0)
	u.Take(e[0], usagePoll(800, 100), now)
	u.Take(e[1], usagePoll(0, 0), now.Add(8*time.Second))
	require.Len(t, u.entries, 1)
}

func TestPollWithoutUsageIsNoEntryOfTheTable(t *testing.T) {
	u, e := usageTable()
	require.Nil(t, u.Take(e[0], &wire.Poll{}, time.Unix(1_700_000_000, 0)))
	require.Empty(t, u.entries)
}
