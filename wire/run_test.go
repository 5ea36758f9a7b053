package wire_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Guards against names that parse to another run, when an ID contains the separator or the start time is absent.
func TestRunNameRoundTrip(t *testing.T) {
	for name, run := range map[string]wire.Run{
		"i-7":               {ID: "i-7"},
		"i-7@1760000000123": {ID: "i-7", StartedMS: 1760000000123},
		"a@b@0":             {ID: "a@b"},
		"a@5@7":             {ID: "a@5", StartedMS: 7},
	} {
		require.Equal(t, name, run.String())
		require.Equal(t, run, wire.ParseRun(name))
	}
	require.Equal(t, wire.Run{ID: "a@b"}, wire.ParseRun("a@b"), "a name without a start time")
}

// Guards against two runs with the same name, whose stored data would be mixed. It occurs when an ID contains the
// separator or digits that look like a start time.
func TestRunNamesAreUnique(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) wire.Run {
			return wire.Run{
				ID:        rapid.StringMatching(`[a@0-9]{1,4}`).Draw(t, label),
				StartedMS: rapid.SampledFrom([]uint64{0, 1, 10, 1760000000123}).Draw(t, label+" started"),
			}
		}
		one, other := draw("one"), draw("other")
		require.Equal(t, one, wire.ParseRun(one.String()))
		require.Equal(t, one == other, one.String() == other.String())
	})
}
