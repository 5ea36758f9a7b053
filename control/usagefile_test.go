package control

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/quorum/journal/journaltest"
	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/wire"
)

// usagePoll tells of use that is spread over the window evenly.
func usagePoll(used, rate uint64) *wire.Poll {
	return &wire.Poll{UsageWindowMs: 8000, Usage: []*wire.Usage{
		{Organisation: "org", Used: used, Rate: rate, Leaving: used / 8},
	}}
}

// usageTable is a table of three listed entries and a cap of 900 in a window.
func usageTable() (*quota.Ledger, []quota.Incarnation) {
	entries := []quota.Incarnation{{Instance: "e1", Number: 1}, {Instance: "e2", Number: 1}, {Instance: "e3", Number: 1}}
	return quota.NewLedger(
		func(string, time.Duration) float64 { return 900 },
		func() map[string]uint64 { return map[string]uint64{"e1": 1, "e2": 1, "e3": 1} },
	), entries
}

func usageFileOn(disk *journaltest.FS) *usageFile { return &usageFile{fs: disk, dir: "/data"} }

// Symptom: an organisation uses its cap twice within one window. Sequence: an organisation at several times its usual has used
// up its cap; all processes are killed, or lose their power, and are back within a second; nobody knows of its use any more.
// Cause: use that was kept in memory only, at entries and control instances alike.
func TestUseCountsAfterARestartOfEverything(t *testing.T) {
	for name, stop := range map[string]func(*journaltest.FS){
		"killed":        (*journaltest.FS).Kill,
		"loss of power": func(disk *journaltest.FS) { disk.Crash(func(int) int { return 0 }) },
	} {
		t.Run(name, func(t *testing.T) {
			disk := journaltest.New()
			before, e := usageTable()
			now := time.Unix(1_700_000_000, 0)
			before.Take(e[0], usagePoll(400, 50), now)
			before.Take(e[1], usagePoll(400, 50), now)
			require.NoError(t, usageFileOn(disk).save(before, now))
			stop(disk)

			now = now.Add(1300 * time.Millisecond)
			after, _ := usageTable()
			require.NoError(t, usageFileOn(disk).load(after, now))
			sum := after.Others(quota.Incarnation{Instance: "e1", Number: 2}, "org", now)
			require.InDelta(t, 800+100-130, float64(sum.GetUsed()), 15, "what has left the window is gone, and the last second is assumed")
			require.Zero(t, sum.GetRate(), "nobody goes on")

			got := after.Take(quota.Incarnation{Instance: "e1", Number: 2}, usagePoll(0, 0), now)
			require.GreaterOrEqual(t, got[0].GetOldestMs(), uint32(1300), "no benefit of the doubt on the strength of it")

			// An entry that lives on tells its use again, and it counts once.
			after.Take(e[0], usagePoll(400, 50), now)
			sum = after.Others(quota.Incarnation{Instance: "e3", Number: 1}, "org", now)
			require.InDelta(t, 400+400+50-65, float64(sum.GetUsed()), 15)
			after.Take(e[1], usagePoll(400, 50), now)
			sum = after.Others(quota.Incarnation{Instance: "e3", Number: 1}, "org", now)
			require.EqualValues(t, 800, sum.GetUsed())
			now = now.Add(2500 * time.Millisecond)
			require.Zero(t, after.Others(quota.Incarnation{Instance: "e1", Number: 2}, "org", now.Add(8*time.Second)).GetUsed())
		})
	}
}

// A cap of which little is used can't be used up by a window more, and costs no write.
func TestUseFarBelowItsCapIsNotSaved(t *testing.T) {
	disk := journaltest.New()
	u, e := usageTable()
	now := time.Unix(1_700_000_000, 0)
	u.Take(e[0], usagePoll(100, 10), now)
	steps := disk.Steps()
	require.NoError(t, usageFileOn(disk).save(u, now))
	require.Equal(t, steps, disk.Steps())
}

// Symptom: a control instance ends, or never starts, for the sake of a file that it could do without. Cause: errors of that
// file passed on as those of the journal.
func TestUnusableUsageFileStopsNothing(t *testing.T) {
	u, e := usageTable()
	now := time.Unix(1_700_000_000, 0)
	u.Take(e[0], usagePoll(800, 10), now)
	full := journaltest.New()
	full.Fault(func(string, string) error { return syscall.ENOSPC })
	require.ErrorIs(t, usageFileOn(full).save(u, now), syscall.ENOSPC)

	damaged := journaltest.New()
	require.NoError(t, usageFileOn(damaged).write([]byte("no record")))
	require.Error(t, usageFileOn(damaged).load(u, now))

	old := journaltest.New()
	require.NoError(t, usageFileOn(old).save(u, now))
	after, _ := usageTable()
	for _, at := range []time.Duration{time.Hour, -time.Hour} {
		require.NoError(t, usageFileOn(old).load(after, now.Add(at)))
		require.Zero(t, after.Entries(), "a clock that was set tells no age")
	}
}
