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

// usagePoll returns a poll that reports usage spread evenly over the window.
func usagePoll(used uint64) *wire.Poll {
	usage := &wire.Usage{Organisation: "org", Used: used / wire.LeavingSteps * wire.LeavingSteps}
	for range wire.LeavingSteps {
		usage.Leaving = append(usage.Leaving, used/wire.LeavingSteps)
	}
	return &wire.Poll{UsageWindowMs: 8000, Usage: []*wire.Usage{usage}}
}

// newTestLedger returns a ledger with a cap of 900 in a window, and three entries.
func newTestLedger() (*quota.Ledger, []quota.Incarnation) {
	entries := []quota.Incarnation{{Instance: "e1", Number: 1}, {Instance: "e2", Number: 1}, {Instance: "e3", Number: 1}}
	return quota.NewLedger(
		func(string, time.Duration) float64 { return 900 },
		func(quota.Incarnation, string) (others, ended uint64) { return 0, 0 },
	), entries
}

func usageFileOn(disk *journaltest.FS) *usageFile { return &usageFile{fs: disk, dir: "/data"} }

// Guards against usage that is kept in memory only. All processes are killed, or lose power, and are back within a
// second. The shares of the ended entries stay held, and callers of an organisation near its cap would be refused for 8
// s, because it is not known when the usage leaves the window.
func TestUsageSurvivesRestartOfAllProcesses(t *testing.T) {
	for name, stop := range map[string]func(*journaltest.FS){
		"killed":     (*journaltest.FS).Kill,
		"power loss": func(disk *journaltest.FS) { disk.Crash(func(int) int { return 0 }) },
	} {
		t.Run(name, func(t *testing.T) {
			disk := journaltest.New()
			before, e := newTestLedger()
			now := time.Unix(1_700_000_000, 0)
			before.Record(e[0], usagePoll(400), now)
			before.Record(e[1], usagePoll(400), now)
			require.NoError(t, usageFileOn(disk).save(before, now))
			stop(disk)

			now = now.Add(time.Second)
			after, _ := newTestLedger()
			require.NoError(t, usageFileOn(disk).load(after, now))
			next := quota.Incarnation{Instance: "e1", Number: 2}
			require.EqualValues(t, 768-96, after.Record(next, usagePoll(0), now)[0].GetUsed(), "usage that has left the window is not counted")

			// Shares of ended entries are released as their saved usage leaves the window.
			releases := quota.NewReleaser(after)
			dead := []*wire.HeldShares{{
				Entry: "e1", Incarnation: 1, Ended: true, Replaced: true, WindowMs: 8000,
				Shares: []*wire.Share{{Organisation: "org", Units: 450}},
			}}
			require.Empty(t, releases.Due(now, dead))
			freed := releases.Due(now.Add(4*time.Second), dead)
			require.Len(t, freed, 1)
			require.EqualValues(t, 450-15*12, freed[0].GetShares()[0].GetUnits(), "16 steps, less the one at the restart")

			// An entry that is still running reports its usage again, and it is counted once.
			after.Record(e[0], usagePoll(400), now)
			after.Record(e[1], usagePoll(400), now)
			require.EqualValues(t, 768, after.Record(next, usagePoll(0), now)[0].GetUsed())
			require.Zero(t, after.Record(next, usagePoll(0), now.Add(8*time.Second))[0].GetUsed())
		})
	}
}

// An organisation that has used little of a cap cannot exceed it by a whole window, so nothing is written.
func TestUsageFarBelowCapIsNotSaved(t *testing.T) {
	disk := journaltest.New()
	u, e := newTestLedger()
	now := time.Unix(1_700_000_000, 0)
	u.Record(e[0], usagePoll(100), now)
	steps := disk.Steps()
	require.NoError(t, usageFileOn(disk).save(u, now))
	require.Equal(t, steps, disk.Steps())
}

// Guards against a control instance that stops, or does not start, because of errors of a file that it can do without.
func TestUsageFileErrorsAreNotFatal(t *testing.T) {
	u, e := newTestLedger()
	now := time.Unix(1_700_000_000, 0)
	u.Record(e[0], usagePoll(800), now)
	full := journaltest.New()
	full.SetFault(func(string, string) error { return syscall.ENOSPC })
	require.ErrorIs(t, usageFileOn(full).save(u, now), syscall.ENOSPC)

	damaged := journaltest.New()
	require.NoError(t, usageFileOn(damaged).write([]byte("no record")))
	require.Error(t, usageFileOn(damaged).load(u, now))

	old := journaltest.New()
	require.NoError(t, usageFileOn(old).save(u, now))
	after, _ := newTestLedger()
	for _, at := range []time.Duration{time.Hour, -time.Hour} {
		require.NoError(t, usageFileOn(old).load(after, now.Add(at)))
		require.Zero(t, after.Len(), "the age is unknown if the clock was set")
	}
}
