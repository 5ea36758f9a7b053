package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/origin"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

func countOrigins(m *wire.StreamOrigins) int {
	n := 0
	for _, group := range m.GetGroups() {
		n += len(group.GetStreams())
	}
	return n
}

// Guards against origins that a control instance needs and isn't told, and against messages where each pool has one version: an
// instance is told what was kept when it is linked or stops knowing all versions, and nothing else.
func TestOriginsAreToldWhereControlMayNeedThem(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	told := 0
	o := newStreamOrigins(func() time.Time { return now })
	o.tell = func(m *wire.StreamOrigins) { told += countOrigins(m) }
	versions := func(complete bool, mixed ...string) session.Versions {
		v := session.Versions{Complete: complete, Mixed: map[string]bool{}}
		for _, pool := range mixed {
			v.Mixed[pool] = true
		}
		return v
	}
	o.note(1, origin.Origin{Pool: "m", Version: "v1"})
	require.Equal(t, 1, countOrigins(o.all()), "nothing is known of the versions yet")

	o.versionsChanged(versions(true, "other"))
	require.Nil(t, o.all(), "its own pool has one version")
	o.note(2, origin.Origin{Pool: "m", Version: "v1"})
	require.Zero(t, told)

	o.versionsChanged(versions(true, "m"))
	require.Equal(t, 2, told, "a second version has come")
	o.versionsChanged(versions(true, "m"))
	require.Equal(t, 2, told)
	require.Equal(t, 2, countOrigins(o.all()), "for an instance that is linked now")

	o.versionsChanged(versions(true))
	o.note(3, origin.Origin{Pool: "m", Version: "v2"})
	o.versionsChanged(versions(false))
	require.Equal(t, 5, told, "control began anew and doesn't know all versions")
}
