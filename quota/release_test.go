package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// held is a start of an entry that holds units of the one organisation's cap and has ended.
func held(from Incarnation, units uint64, replaced bool) []*wire.HeldShares {
	return []*wire.HeldShares{{
		Entry: from.Instance, Incarnation: from.Number, Ended: true, Replaced: replaced, WindowMs: 8000,
		Shares: []*wire.Share{{Organisation: "org", Units: units}},
	}}
}

// keeps returns what is left of a share of so many units a while after its holder was seen dead.
func keeps(releases *Releaser, now time.Time, units uint64, replaced bool) uint64 {
	for _, command := range releases.Due(now, held(Incarnation{"e1", 1}, units, replaced)) {
		return command.GetShares()[0].GetUnits()
	}
	return units
}

// Symptom: a cap is overrun after an entry was killed. Sequence: the entry has used all of its share in the moment before; its
// last word is a second old and tells of half of it; the share is freed as what the word tells of leaves the window, or for
// want of a word at once. Cause: use that the last word doesn't cover, taken for none. It counts as used in the last moment.
func TestShareOfADeadEntryStaysWhileItsUseMayBeInTheWindow(t *testing.T) {
	ledger, e := usageTable()
	now := time.Unix(1_700_000_000, 0)
	ledger.Record(e[0], usagePoll(320, 0), now.Add(-time.Second))
	releases := NewReleaser(ledger)
	require.EqualValues(t, 640, keeps(releases, now, 640, true), "it has just died")
	for after, want := range map[time.Duration]uint64{
		200 * time.Millisecond:  640,
		2 * time.Second:         640 - 70,
		4 * time.Second:         640 - 150,
		7900 * time.Millisecond: 640 - 270, // all that the word tells of has left, less the step at the death
		8 * time.Second:         0,
	} {
		require.Equal(t, want, keeps(releases, now.Add(after), 640, true), after.String())
	}

	silent := NewReleaser(ledger)
	other := held(Incarnation{"e9", 4}, 640, true)
	require.Empty(t, silent.Due(now, other))
	require.Empty(t, silent.Due(now.Add(7900*time.Millisecond), other), "nobody knows when its use leaves")
	require.Zero(t, silent.Due(now.Add(8*time.Second), other)[0].GetShares()[0].GetUnits())
}

// Symptom: a cap is overrun during a long cut. Sequence: control ends an entry that it hears nothing of; the entry lives, serves
// its callers, and its share is given to others a window later. Cause: silence taken for death. The entry uses its share until
// its lease is over.
func TestShareOfASilentEntryStaysUntilItsLeaseIsOver(t *testing.T) {
	ledger, e := usageTable()
	now := time.Unix(1_700_000_000, 0)
	ledger.Record(e[0], usagePoll(320, 0), now)
	releases := NewReleaser(ledger)
	require.EqualValues(t, 640, keeps(releases, now, 640, false))
	require.EqualValues(t, 640, keeps(releases, now.Add(ShareLease), 640, false))
	require.EqualValues(t, 640, keeps(releases, now.Add(ShareLease+7900*time.Millisecond), 640, false))
	require.Zero(t, keeps(releases, now.Add(ShareLease+8*time.Second), 640, false))
}

// Once a later start of the same entry is there, the earlier one is dead, and the lease need not be awaited.
func TestLaterStartShortensTheWait(t *testing.T) {
	ledger, _ := usageTable()
	now := time.Unix(1_700_000_000, 0)
	releases := NewReleaser(ledger)
	keeps(releases, now, 640, false)
	now = now.Add(time.Second)
	require.EqualValues(t, 640, keeps(releases, now, 640, true))
	require.Zero(t, keeps(releases, now.Add(8*time.Second), 640, true))
}

// Small steps would be a command each; they are put together.
func TestSharesAreReleasedInSteps(t *testing.T) {
	ledger, e := usageTable()
	now := time.Unix(1_700_000_000, 0)
	ledger.Record(e[0], usagePoll(640, 0), now)
	releases := NewReleaser(ledger)
	units, commands := uint64(640), 0
	for at := time.Duration(0); at <= 8*time.Second; at += 50 * time.Millisecond {
		if next := keeps(releases, now.Add(at), units, true); next != units {
			units = next
			commands++
		}
	}
	require.Zero(t, units)
	require.LessOrEqual(t, commands, releaseStep+1)
	require.Empty(t, releases.Due(now.Add(9*time.Second), nil))
	require.Empty(t, releases.seen, "what is gone is forgotten")
}
