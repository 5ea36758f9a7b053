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
func usagePoll(used uint64) *wire.Poll {
	word := &wire.Usage{Organisation: "org", Used: used / wire.LeavingSteps * wire.LeavingSteps}
	for range wire.LeavingSteps {
		word.Leaving = append(word.Leaving, used/wire.LeavingSteps)
	}
	return &wire.Poll{UsageWindowMs: 8000, Usage: []*wire.Usage{word}}
}

// usageTable is a ledger with a cap of 900 in a window, and three entries.
func usageTable() (*quota.Ledger, []quota.Incarnation) {
	entries := []quota.Incarnation{{Instance: "e1", Number: 1}, {Instance: "e2", Number: 1}, {Instance: "e3", Number: 1}}
	return quota.NewLedger(
		func(string, time.Duration) float64 { return 900 },
		func(quota.Incarnation, string) uint64 { return 0 },
	), entries
}

func usageFileOn(disk *journaltest.FS) *usageFile { return &usageFile{fs: disk, dir: "/data"} }

// Symptom: callers of an organisation near its cap are refused for eight seconds after a loss of all processes. Sequence: all
// processes are killed, or lose their power, and are back within a second; what the dead entries held is held on, and nobody
// knows when their use leaves the window. Cause: use that was kept in memory only.
func TestUseCountsAfterARestartOfEverything(t *testing.T) {
	for name, stop := range map[string]func(*journaltest.FS){
		"killed":        (*journaltest.FS).Kill,
		"loss of power": func(disk *journaltest.FS) { disk.Crash(func(int) int { return 0 }) },
	} {
		t.Run(name, func(t *testing.T) {
			disk := journaltest.New()
			before, e := usageTable()
			now := time.Unix(1_700_000_000, 0)
			before.Record(e[0], usagePoll(400), now)
			before.Record(e[1], usagePoll(400), now)
			require.NoError(t, usageFileOn(disk).save(before, now))
			stop(disk)

			now = now.Add(time.Second)
			after, _ := usageTable()
			require.NoError(t, usageFileOn(disk).load(after, now))
			next := quota.Incarnation{Instance: "e1", Number: 2}
			require.EqualValues(t, 768-96, after.Record(next, usagePoll(0), now)[0].GetUsed(), "what has left the window is gone")

			// What dead entries held is freed as the saved words tell that their use leaves the window.
			releases := quota.NewReleaser(after)
			dead := []*wire.HeldShares{{
				Entry: "e1", Incarnation: 1, Ended: true, Replaced: true, WindowMs: 8000,
				Shares: []*wire.Share{{Organisation: "org", Units: 450}},
			}}
			require.Empty(t, releases.Due(now, dead))
			freed := releases.Due(now.Add(4*time.Second), dead)
			require.Len(t, freed, 1)
			require.EqualValues(t, 450-15*12, freed[0].GetShares()[0].GetUnits(), "16 steps, less the one at the death")

			// An entry that lives on tells its use again, and it counts once.
			after.Record(e[0], usagePoll(400), now)
			after.Record(e[1], usagePoll(400), now)
			require.EqualValues(t, 768, after.Record(next, usagePoll(0), now)[0].GetUsed())
			require.Zero(t, after.Record(next, usagePoll(0), now.Add(8*time.Second))[0].GetUsed())
		})
	}
}

// A cap of which little is used can't be used up by a window more, and costs no write.
func TestUseFarBelowItsCapIsNotSaved(t *testing.T) {
	disk := journaltest.New()
	u, e := usageTable()
	now := time.Unix(1_700_000_000, 0)
	u.Record(e[0], usagePoll(100), now)
	steps := disk.Steps()
	require.NoError(t, usageFileOn(disk).save(u, now))
	require.Equal(t, steps, disk.Steps())
}

// Symptom: a control instance ends, or never starts, for the sake of a file that it could do without. Cause: errors of that
// file passed on as those of the journal.
func TestUnusableUsageFileStopsNothing(t *testing.T) {
	u, e := usageTable()
	now := time.Unix(1_700_000_000, 0)
	u.Record(e[0], usagePoll(800), now)
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
		require.Zero(t, after.Len(), "a clock that was set tells no age")
	}
}
