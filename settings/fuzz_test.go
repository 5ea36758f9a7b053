package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParse checks that parsing never panics, and that accepted settings are equal after Marshal and parsing again.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		entryText, agentText, withDigest(controlText), "{}", "[", `{"role": "entry", "listen": null}`,
		strings.Replace(entryText, `"role"`, `"log": {"level": "debug"}, "limits": {"max_body": "1KiB"}, "role"`, 1),
		`{"role": "operator", "controls": ["http://127.0.0.1:8090"], "key": "\ud800"}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		checkRoundTrip[Entry](t, data)
		checkRoundTrip[Agent](t, data)
		checkRoundTrip[Control](t, data)
		checkRoundTrip[Operator](t, data)
	})
}

func checkRoundTrip[T any](t *testing.T, data []byte) {
	t.Helper()
	const path = "/etc/s.jsonc"
	first, err := parse[T](data, path, noFile)
	if err != nil {
		require.NotEmpty(t, err.(*Diagnostics).List)
		return
	}
	text, err := Marshal(first)
	require.NoError(t, err)
	second, err := parse[T](text, path, noFile)
	require.NoError(t, err, string(text))
	require.Equal(t, first, second)
}
