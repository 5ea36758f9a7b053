package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

// Guards against a part of admission that is on by default, or that a misspelt or mistyped setting leaves off unnoticed.
func TestEntryAdmissionSettings(t *testing.T) {
	require.Equal(t, Admission{}, DefaultEntry().Admission)
	withAdmission := func(admission string) string {
		return strings.Replace(entryText, `"controls":`, `"admission": {`+admission+`}, "controls":`, 1)
	}
	entry, err := Load[Entry](writeFile(t, "e", withAdmission(`"fleet_demand": true`)))
	require.NoError(t, err)
	require.Equal(t, Admission{FleetDemand: true}, entry.Admission)
	got := diagnosticsOf[Entry](t, withAdmission(`"fleet_demand": "yes"`))
	require.True(t, got.Has(result.SettingsWrongType, "admission.fleet_demand"), "%s", got)
	got = diagnosticsOf[Entry](t, withAdmission(`"fleet_demands": true`))
	require.True(t, got.Has(result.SettingsUnknownField, "admission.fleet_demands"), "%s", got)
}
