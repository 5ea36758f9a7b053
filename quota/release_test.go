package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// endedHolder returns an incarnation of an entry that has ended while holding units of the only organisation's cap.
func endedHolder(from Incarnation, units uint64, replaced bool) []*wire.HeldShares {
	return []*wire.HeldShares{{
		Entry: from.Instance, Incarnation: from.Number, Ended: true, Replaced: replaced, WindowMs: 8000,
		Shares: []*wire.Share{{Organisation: "org", Units: units}},
	}}
}

// remainingAfterRelease returns what is left of a share of the given units after the releases that are due at a time.
func remainingAfterRelease(releaser *Releaser, now time.Time, units uint64, replaced bool) uint64 {
	for _, command := range releaser.Due(now, endedHolder(Incarnation{"e1", 1}, units, replaced)) {
		return command.GetShares()[0].GetUnits()
	}
	return units
}

// The share of a dead entry must be kept while its use may be in the window. The entry may have used all of its share
// in the last moment, after its latest report: use not covered by the report must count as made then, and without any
// report the whole share counts.
func TestShareOfDeadEntryIsReleasedAsUseLeaves(t *testing.T) {
	ledger, e := testLedger()
	now := time.Unix(1_700_000_000, 0)
	ledger.Record(e[0], evenUsagePoll(320, 0), now.Add(-time.Second))
	releaser := NewReleaser(ledger)
	require.EqualValues(t, 640, remainingAfterRelease(releaser, now, 640, true), "the entry has just died")
	for after, want := range map[time.Duration]uint64{
		200 * time.Millisecond:  640,
		2 * time.Second:         640 - 70,
		4 * time.Second:         640 - 150,
		7900 * time.Millisecond: 640 - 270, // the reported use has left, except the step that includes the death
		8 * time.Second:         0,
	} {
		require.Equal(t, want, remainingAfterRelease(releaser, now.Add(after), 640, true), after.String())
	}

	unreported := NewReleaser(ledger)
	other := endedHolder(Incarnation{"e9", 4}, 640, true)
	require.Empty(t, unreported.Due(now, other))
	require.Empty(t, unreported.Due(now.Add(7900*time.Millisecond), other), "the entry has sent no report")
	require.Zero(t, unreported.Due(now.Add(8*time.Second), other)[0].GetShares()[0].GetUnits())
}

// The share of a silent entry must be kept until its lease has expired and its use has left the window. Control ends an
// entry that it doesn't hear from, but a disconnected entry keeps serving its callers until then.
func TestShareOfSilentEntryIsKeptUntilLeaseExpires(t *testing.T) {
	ledger, e := testLedger()
	now := time.Unix(1_700_000_000, 0)
	ledger.Record(e[0], evenUsagePoll(320, 0), now)
	releaser := NewReleaser(ledger)
	require.EqualValues(t, 640, remainingAfterRelease(releaser, now, 640, false))
	require.EqualValues(t, 640, remainingAfterRelease(releaser, now.Add(ShareLease), 640, false))
	require.EqualValues(t, 640, remainingAfterRelease(releaser, now.Add(ShareLease+7900*time.Millisecond), 640, false))
	require.Zero(t, remainingAfterRelease(releaser, now.Add(ShareLease+8*time.Second), 640, false))
}

// If a later incarnation of the same entry has started, the earlier one is dead, and its lease must not delay the
// release.
func TestLaterIncarnationShortensRelease(t *testing.T) {
	ledger, _ := testLedger()
	now := time.Unix(1_700_000_000, 0)
	releaser := NewReleaser(ledger)
	remainingAfterRelease(releaser, now, 640, false)
	now = now.Add(time.Second)
	require.EqualValues(t, 640, remainingAfterRelease(releaser, now, 640, true))
	require.Zero(t, remainingAfterRelease(releaser, now.Add(8*time.Second), 640, true))
}

// A share must be released in a bounded number of steps, since each step is a command to be committed.
func TestSharesAreReleasedInSteps(t *testing.T) {
	ledger, e := testLedger()
	now := time.Unix(1_700_000_000, 0)
	ledger.Record(e[0], evenUsagePoll(640, 0), now)
	releaser := NewReleaser(ledger)
	units, commands := uint64(640), 0
	for at := time.Duration(0); at <= 8*time.Second; at += 50 * time.Millisecond {
		if next := remainingAfterRelease(releaser, now.Add(at), units, true); next != units {
			units = next
			commands++
		}
	}
	require.Zero(t, units)
	require.LessOrEqual(t, commands, releaseDivisor+1)
	require.Empty(t, releaser.Due(now.Add(9*time.Second), nil))
	require.Empty(t, releaser.holders, "holders without shares are dropped")
}
