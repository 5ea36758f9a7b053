package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

// Guards against bounds that can't hold, such as a total below a single window, and against a default that bounds anything.
func TestEntryMemorySettings(t *testing.T) {
	withMemory := func(memory string) string {
		return strings.Replace(entryText, `"controls":`, `"memory": {`+memory+`}, "controls":`, 1)
	}
	entry, err := Load[Entry](writeFile(t, "e", withMemory(`"held_bytes": "28MiB", "organisation_share": 0.5, "reader_window_bytes": "32KiB", "reader_timeout": "1s"`)))
	require.NoError(t, err)
	require.Equal(t, EntryMemory{HeldBytes: 28 * MiB, OrganisationShare: 0.5, ReaderWindowBytes: 32 * KiB, ReaderTimeout: time.Second}, entry.Memory)
	require.Zero(t, DefaultEntry().Memory.HeldBytes)
	for setting, path := range map[string]string{
		`"organisation_share": 0`:     "memory.organisation_share",
		`"organisation_share": 1.1`:   "memory.organisation_share",
		`"reader_window_bytes": "0B"`: "memory.reader_window_bytes",
		`"reader_timeout": "0s"`:      "memory.reader_timeout",
		`"held_bytes": "4095KiB"`:     "memory.held_bytes",
	} {
		got := diagnosticsOf[Entry](t, withMemory(setting))
		require.Len(t, got.List, 1, setting)
		require.True(t, got.Has(result.SettingsOutOfRange, path), "%s\n%s", setting, got)
	}
}

// A body at the limit has to fit into the part that bodies may take, or it would never be sent.
func TestAgentMemorySettings(t *testing.T) {
	withMemory := func(memory string) string {
		return strings.Replace(agentText, `"controls":`, `"memory": {`+memory+`}, "controls":`, 1)
	}
	agent, err := Load[Agent](writeFile(t, "a", withMemory(`"held_bytes": "6MiB", "upper_output": true`)))
	require.NoError(t, err)
	require.Equal(t, AgentMemory{HeldBytes: 6 * MiB, ReaderTimeout: 2 * time.Second, UpperOutput: true}, agent.Memory)
	for setting, path := range map[string]string{
		`"held_bytes": "5MiB"`:   "memory.held_bytes",
		`"reader_timeout": "0s"`: "memory.reader_timeout",
	} {
		got := diagnosticsOf[Agent](t, withMemory(setting))
		require.Len(t, got.List, 1, setting)
		require.True(t, got.Has(result.SettingsOutOfRange, path), "%s\n%s", setting, got)
	}
}
