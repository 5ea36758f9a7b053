package settings

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

// Guards against accepting an entry without a URL scheme, which the operator commands can't send requests to.
func TestOperatorEntryURL(t *testing.T) {
	const prefix = `{"role": "operator", "controls": ["http://127.0.0.1:8090"], "key": "k", "entry": `
	got, err := Load[Operator](writeFile(t, "right", prefix+`"http://127.0.0.1:8080"}`))
	require.NoError(t, err)
	require.Equal(t, "http://127.0.0.1:8080", got.Entry)
	_, err = Load[Operator](writeFile(t, "wrong", prefix+`"127.0.0.1:8080"}`))
	var diagnostics *Diagnostics
	require.True(t, errors.As(err, &diagnostics), "%v", err)
	require.Equal(t, "entry", diagnostics.List[0].Path)
	require.Equal(t, result.SettingsBadAddress, diagnostics.List[0].Code)
}
