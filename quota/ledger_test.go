package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// evenUsagePoll returns a poll that reports use spread evenly over the window.
func evenUsagePoll(used, wanted uint64) *wire.Poll {
	usage := &wire.Usage{Organisation: "org", Used: used, Wanted: wanted}
	for range wire.LeavingSteps {
		usage.Leaving = append(usage.Leaving, used/wire.LeavingSteps)
	}
	return &wire.Poll{UsageWindowMs: 8000, Usage: []*wire.Usage{usage}}
}

// testLedger returns a ledger with three entries and a cap of 900 in a window, of which the other entries always hold
// 300.
func testLedger() (*Ledger, []Incarnation) {
	entries := []Incarnation{{"e1", 1}, {"e2", 1}, {"e3", 1}}
	return NewLedger(
		func(string, time.Duration) float64 { return 900 },
		func(Incarnation, string) (others, ended uint64) { return 300, 0 },
	), entries
}

// The state returned to an entry must sum the use and demand of all other entries, without its own.
func TestLedgerReturnsStateOfOtherEntries(t *testing.T) {
	l, e := testLedger()
	now := time.Unix(1_700_000_000, 0)
	l.Record(e[0], evenUsagePoll(128, 10), now)
	l.Record(e[1], evenUsagePoll(32, 4), now)
	got := l.Record(e[2], evenUsagePoll(64, 1), now)
	require.Len(t, got, 1)
	require.EqualValues(t, 160, got[0].GetUsed())
	require.EqualValues(t, 14, got[0].GetWanted())
	require.EqualValues(t, 300, got[0].GetHeld())
	got = l.Record(e[0], evenUsagePoll(128, 10), now)
	require.EqualValues(t, 96, got[0].GetUsed())
	require.EqualValues(t, 5, got[0].GetWanted())
}

// The demand of a killed entry must expire, while its use stays in the window.
func TestDemandOfSilentEntryExpires(t *testing.T) {
	l, e := testLedger()
	now := time.Unix(1_700_000_000, 0)
	l.Record(e[0], evenUsagePoll(128, 10), now)
	got := l.Record(e[1], evenUsagePoll(0, 0), now.Add(demandExpiry))
	require.Zero(t, got[0].GetWanted())
	require.InDelta(t, 128*5.5/8, got[0].GetUsed(), 1)
}

// The use of an earlier incarnation must count after an entry was killed and replaced, or the cap seems to be free.
func TestUseOfAnEarlierIncarnationCounts(t *testing.T) {
	l, e := testLedger()
	now := time.Unix(1_700_000_000, 0)
	l.Record(e[0], evenUsagePoll(800, 0), now)
	l.Record(e[1], evenUsagePoll(0, 0), now)
	l.Record(e[2], evenUsagePoll(0, 0), now)
	now = now.Add(2 * time.Second)
	got := l.Record(Incarnation{"e1", 2}, evenUsagePoll(0, 0), now)
	require.InDelta(t, 600, got[0].GetUsed(), 1, "a quarter of the window has passed")
}

// Use must not count for longer than a window, and its entry must be evicted from the ledger.
func TestUseOfSilentEntryExpires(t *testing.T) {
	l, e := testLedger()
	now := time.Unix(1_700_000_000, 0)
	l.Record(e[0], evenUsagePoll(800, 100), now)
	got := l.Record(e[1], evenUsagePoll(0, 0), now.Add(8*time.Second))
	require.Zero(t, got[0].GetUsed())
	l.Record(e[1], evenUsagePoll(0, 0), now.Add(16*time.Second))
	require.Equal(t, 1, l.Len())
}

// A poll without usage must not be stored as a report.
func TestPollWithoutUsageIsNotStored(t *testing.T) {
	l, e := testLedger()
	require.Nil(t, l.Record(e[0], &wire.Poll{}, time.Unix(1_700_000_000, 0)))
	require.Zero(t, l.Len())
}
