package settings

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

func TestOperatorNamesAnEntry(t *testing.T) {
	const start = `{"role": "operator", "controls": ["http://127.0.0.1:8090"], "key": "k", "entry": `
	got, err := Load[Operator](write(t, "right", start+`"http://127.0.0.1:8080"}`))
	require.NoError(t, err)
	require.Equal(t, "http://127.0.0.1:8080", got.Entry)
	_, err = Load[Operator](write(t, "wrong", start+`"127.0.0.1:8080"}`))
	var mistakes *Diagnostics
	require.True(t, errors.As(err, &mistakes), "%v", err)
	require.Equal(t, "entry", mistakes.List[0].Path)
	require.Equal(t, result.SettingsBadAddress, mistakes.List[0].Code)
}
