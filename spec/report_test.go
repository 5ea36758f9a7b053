package spec

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// reportVariable asks for the report, which the other tests cover: it explores everything once more.
const reportVariable = "CARAWAYPITCH_SPEC_REPORT"

// TestReport prints the table of docs/SPEC.md.
func TestReport(t *testing.T) {
	if os.Getenv(reportVariable) == "" {
		t.Skip("set " + reportVariable + "=1 for the table")
	}
	var out bytes.Buffer
	require.NoError(t, Report(&out))
	t.Logf("\n%s", out.String())
}
