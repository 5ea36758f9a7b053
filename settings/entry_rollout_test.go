package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

// Guards against a bound of roll-outs that is left unchecked: with a share of 0 no version is ever tried, and with a negative one
// the bound of a bad version is undefined.
func TestEntryRolloutSettings(t *testing.T) {
	withRollout := func(rollout string) string {
		return strings.Replace(entryText, `"controls":`, `"rollout": {`+rollout+`}, "controls":`, 1)
	}
	entry, err := Load[Entry](writeFile(t, "e", withRollout(`"exposure_share": 0.2, "exposure_allowance": 7, "rollback": "3s"`)))
	require.NoError(t, err)
	require.Equal(t, EntryRollout{ExposureShare: 0.2, ExposureAllowance: 7, Rollback: 3 * time.Second}, entry.Rollout)
	for setting, path := range map[string]string{
		`"exposure_share": 0`:      "rollout.exposure_share",
		`"exposure_share": 1.1`:    "rollout.exposure_share",
		`"exposure_allowance": -1`: "rollout.exposure_allowance",
		`"rollback": "0s"`:         "rollout.rollback",
	} {
		got := diagnosticsOf[Entry](t, withRollout(setting))
		require.Len(t, got.List, 1, setting)
		require.True(t, got.Has(result.SettingsOutOfRange, path), "%s\n%s", setting, got)
	}
}
