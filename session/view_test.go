package session

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/wire"
)

func configUpdate(version, base uint64, full bool, names ...string) *wire.ConfigUpdate {
	u := &wire.ConfigUpdate{Version: version, Base: base, Full: full}
	for _, name := range names {
		u.Classes = append(u.Classes, &wire.Class{Name: name, Version: version})
	}
	return u
}

// Guards against a class that reverts to its state before an accepted change. A control instance that was cut off sends an
// old configuration after another instance has sent a newer one.
func TestConfigVersionNeverDecreases(t *testing.T) {
	v, err := newView().withConfig(configUpdate(10, 0, true, "a"))
	require.NoError(t, err)
	older, err := v.withConfig(configUpdate(9, 0, true, "b"))
	require.NoError(t, err)
	require.Same(t, v, older)
	same, err := v.withConfig(&wire.ConfigUpdate{Version: 10, Base: 10, Fence: 12})
	require.NoError(t, err)
	require.Equal(t, uint64(12), same.Fence)
	require.Contains(t, same.Classes, "a")
	lowerFence, err := same.withConfig(&wire.ConfigUpdate{Version: 10, Base: 10, Fence: 3})
	require.NoError(t, err)
	require.Equal(t, uint64(12), lowerFence.Fence)
}

// Guards against two processes with different classes at the same version. An update is lost with its link, and the next
// delta, whose base is newer, must not be applied.
func TestDeltas(t *testing.T) {
	v, _ := newView().withConfig(configUpdate(10, 0, true, "a", "b"))
	_, err := v.withConfig(configUpdate(14, 12, false, "c"))
	require.ErrorIs(t, err, errGap)
	removed := configUpdate(14, 8, false, "c")
	removed.Removed = []string{"b"}
	next, err := v.withConfig(removed)
	require.NoError(t, err)
	require.Len(t, next.Classes, 2)
	require.Contains(t, next.Classes, "c")
	require.Contains(t, v.Classes, "b", "an update must not change the old view")

	d, err := newView().withDirectory(&wire.DirectoryUpdate{
		Version: 5, Full: true,
		Agents:  []*wire.AgentRecord{{Agent: "x"}, {Agent: "y"}},
		Entries: []*wire.EntryRecord{{Entry: "e"}},
	})
	require.NoError(t, err)
	_, err = d.withDirectory(&wire.DirectoryUpdate{Version: 9, Base: 6})
	require.ErrorIs(t, err, errGap)
	d2, err := d.withDirectory(&wire.DirectoryUpdate{
		Version: 9, Base: 5, Removed: []string{"x"}, RemovedEntries: []string{"e"},
	})
	require.NoError(t, err)
	require.Len(t, d2.Agents, 1)
	require.Empty(t, d2.Entries)
	same, err := d2.withDirectory(&wire.DirectoryUpdate{Version: 8, Full: true})
	require.NoError(t, err)
	require.Same(t, d2, same)
	full, err := d2.withDirectory(&wire.DirectoryUpdate{Version: 10, Full: true})
	require.NoError(t, err)
	require.Empty(t, full.Agents, "a full update replaces everything")
}

func TestPoisonFollowsDirectoryUpdates(t *testing.T) {
	one := poison.Key{Organisation: "org", Fingerprint: 1}
	two := poison.Key{Organisation: "org", Fingerprint: 2}
	v, err := newView().withDirectory(&wire.DirectoryUpdate{
		Version: 5, Full: true, Poison: []*wire.PoisonRecord{one.NewRecord(), two.NewRecord()},
	})
	require.NoError(t, err)
	v, err = v.withDirectory(&wire.DirectoryUpdate{Version: 6, Base: 5, RemovedPoison: []string{one.String()}})
	require.NoError(t, err)
	require.Len(t, v.Poison, 1)
	require.Contains(t, v.Poison, two.String())
	v, err = v.withDirectory(&wire.DirectoryUpdate{Version: 7, Full: true})
	require.NoError(t, err)
	require.Empty(t, v.Poison)
}
