package journal_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/quorum/journal"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
)

// Guards against an older snapshot that is saved late replacing a newer one.
func TestVolatileKeepsTheNewestSnapshot(t *testing.T) {
	v := journal.NewVolatile()
	none, err := v.ReadSnapshot()
	require.NoError(t, err)
	require.Nil(t, none)
	for _, index := range []uint64{3, 9, 5} {
		require.NoError(t, v.SaveSnapshot(&quorumpb.Snapshot{Meta: &quorumpb.SnapshotMeta{Index: index}}))
	}
	kept, err := v.ReadSnapshot()
	require.NoError(t, err)
	require.Equal(t, uint64(9), kept.GetMeta().GetIndex())
	require.NoError(t, v.Save(&quorumpb.HardState{Term: 1}, nil))
	require.Zero(t, v.Stats())
}

// Guards against a restarted replica without a disk being mistaken for the one
// before the restart, whose log it does not hold.
func TestVolatileHasNewIdentityAtEachStart(t *testing.T) {
	require.NotEqual(t, journal.NewVolatile().Disk(), journal.NewVolatile().Disk())
}

// Guards against a replica that continues to write after its journal was closed.
func TestClosedVolatileRejectsWrites(t *testing.T) {
	v := journal.NewVolatile()
	require.NoError(t, v.Close())
	require.ErrorIs(t, v.Save(nil, nil), journal.ErrClosed)
	require.ErrorIs(t, v.Reset(nil), journal.ErrClosed)
	require.ErrorIs(t, v.Release(1), journal.ErrClosed)
	require.ErrorIs(t, v.SaveSnapshot(nil), journal.ErrClosed)
}
