package origin

import (
	"fmt"
	"iter"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

var (
	start = time.Unix(1_700_000_000, 0)
	v1    = Origin{"m", "v1"}
	v2    = Origin{"m", "v2"}
)

// Guards against an origin that is forgotten before Retention, one that is kept for good, and a wrong age.
func TestTableKeepsOriginsForRetention(t *testing.T) {
	table := NewTable(1000)
	now := start
	require.True(t, table.Put(now, 1, v1))
	for range 6 {
		now = now.Add(Retention / 6)
		table.Put(now, 2, v2)
		got, age, ok := table.Get(now, 1)
		require.True(t, ok)
		require.Equal(t, v1, got)
		require.Equal(t, now.Sub(start), age)
	}
	now = now.Add(2 * Retention)
	_, _, ok := table.Get(now, 1)
	require.False(t, ok)
	require.Zero(t, table.Len())
	require.Empty(t, table.origins)
}

// Guards against a table that grows with its streams, or with the versions that were ever seen.
func TestTableIsBounded(t *testing.T) {
	table := NewTable(400)
	for i := range 10_000 {
		table.Put(start.Add(time.Duration(i)*time.Millisecond), Key(i), v1)
		require.LessOrEqual(t, table.Len(), 400)
	}
	_, _, ok := table.Get(start.Add(10*time.Second), 9_999)
	require.True(t, ok)
	for i := range 2 * maxOrigins {
		table.Put(start.Add(10*time.Second), Key(i), Origin{"m", fmt.Sprint(i)})
	}
	require.LessOrEqual(t, len(table.origins), maxOrigins)
}

// Guards against origins that are lost or mixed up on the way to a control instance.
func TestTableAsMessage(t *testing.T) {
	table, other := NewTable(100), NewTable(100)
	require.Nil(t, table.All(start))
	table.Put(start, 1, v1)
	table.Put(start, 2, v2)
	table.Put(start.Add(span), 3, v1)
	other.Record(start, table.All(start.Add(span)))
	for key, want := range map[Key]Origin{1: v1, 2: v2, 3: v1} {
		got, _, ok := other.Get(start, key)
		require.True(t, ok)
		require.Equal(t, want, got)
	}
	require.NotEqual(t, KeyOf("a", "bc"), KeyOf("ab", "c"))
}

func servers(versions ...string) iter.Seq[*wire.Announcement] {
	var all []*wire.Announcement
	for _, version := range versions {
		all = append(all, &wire.Announcement{Pool: "m", Version: version})
	}
	return slices.Values(append(all, &wire.Announcement{Pool: "other", Version: "v9"}))
}

// Guards against a pool that counts as one of a single version while streams of another may still be resumed.
func TestHistoryRemembersVersionsThatLeft(t *testing.T) {
	h := NewHistory()
	h.Observe(start, servers("v1", "v1"))
	require.True(t, h.Versions(start).GetComplete())
	require.Empty(t, h.Versions(start).GetMixed())
	h.Observe(start, servers("v1", "v2"))
	require.Equal(t, []string{"m"}, h.Versions(start).GetMixed())
	h.Observe(start.Add(time.Second), servers("v2"))
	require.Equal(t, []string{"m"}, h.Versions(start.Add(Retention)).GetMixed())
	require.Empty(t, h.Versions(start.Add(Retention+2*time.Second)).GetMixed())
	h.Restart(start, servers("v2"))
	require.False(t, h.Versions(start.Add(Retention)).GetComplete(), "what served before isn't known")
	require.True(t, h.Versions(start.Add(2*Retention)).GetComplete())
}

// Guards against a pool of two versions that counts as one of a single version, while both are listed and while streams of the one
// that left may still be resumed.
func TestSoleVersions(t *testing.T) {
	h := NewHistory()
	h.Observe(start, servers("v1", "v1"))
	require.Equal(t, map[string]string{"m": "v1", "other": "v9"}, h.Sole(start))
	h.Observe(start, servers("v1", "v2", "v1"))
	require.Equal(t, map[string]string{"other": "v9"}, h.Sole(start))
	h.Observe(start.Add(time.Second), servers("v2"))
	require.Equal(t, map[string]string{"other": "v9"}, h.Sole(start.Add(Retention)))
	require.Equal(t, map[string]string{"m": "v2", "other": "v9"}, h.Sole(start.Add(Retention+2*time.Second)))
}
