package result_test

import (
	"encoding/json"
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

const docsPath = "../docs/CODES.md"

var update = flag.Bool("update", false, "rewrite "+docsPath)

// Guards against a docs/CODES.md that differs from the table, when a row changes and the page is not generated again.
func TestDocsMatchTable(t *testing.T) {
	if *update {
		require.NoError(t, os.WriteFile(docsPath, []byte(result.Markdown()), 0o644))
	}
	docs, err := os.ReadFile(docsPath)
	require.NoError(t, err)
	require.Equal(t, result.Markdown(), string(docs), "run go test ./result -update")
}

// Guards against rows that are out of order, incomplete, or share a code or a name.
func TestTableIsSortedAndComplete(t *testing.T) {
	snakeCase := regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)
	names := map[string]bool{}
	previous := result.Code(0)
	for _, info := range result.Table() {
		require.Greater(t, info.Code, previous)
		require.Regexp(t, snakeCase, info.Name)
		require.False(t, names[info.Name], info.Name)
		require.GreaterOrEqual(t, info.Status, http.StatusBadRequest, info.Name)
		require.NotZero(t, info.Ran, info.Name)
		require.NotEmpty(t, info.Message, info.Name)
		require.NotEmpty(t, info.Advice, info.Name)
		require.Equal(t, info, info.Code.Info())
		names[info.Name] = true
		previous = info.Code
	}
}

// Guards against "unknown_code" in a reply with a code of this version. It occurs when a constant is added without a
// row in the table, which the compiler doesn't detect.
func TestEachCodeHasATableRow(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "codes.go", nil, 0)
	require.NoError(t, err)
	count := 0
	ast.Inspect(file, func(n ast.Node) bool {
		lit, ok := n.(*ast.BasicLit)
		if !ok {
			return true
		}
		number, err := strconv.Atoi(lit.Value)
		require.NoError(t, err)
		require.NotEqual(t, "unknown_code", result.Code(number).String(), number)
		count++
		return true
	})
	require.Len(t, result.Table(), count)
}

// Guards against changes of the JSON form that callers decode, and against a retry_after_ms that is rounded down, so
// that callers retry too early.
func TestJSONForm(t *testing.T) {
	e := result.New(result.QueueFull, "class %s", "summary").WithRetryAfter(1500 * time.Microsecond)
	data, err := json.Marshal(e)
	require.NoError(t, err)
	require.JSONEq(t, `{"error": {"code": 1203, "name": "queue_full", "message": "class summary",
		"ran": "no", "retry_after_ms": 2}}`, string(data))

	var decoded result.Error
	require.NoError(t, json.Unmarshal(data, &decoded))
	require.Equal(t, 2*time.Millisecond, decoded.RetryAfter)
	require.Equal(t, result.RanNo, decoded.Ran)
	require.Equal(t, e.Code, decoded.Code)
}

// Guards against malformed input being decoded as an error with zero values.
func TestUnmarshalRejectsMalformedErrors(t *testing.T) {
	for _, text := range []string{`{}`, `[]`, `{"error": {"ran": "perhaps"}}`} {
		require.Error(t, json.Unmarshal([]byte(text), new(result.Error)), text)
	}
}

// Guards against work that runs twice because a caller receives "ran: no" for work that ran and sends it again. It occurs
// when a code path sets RanNo on the error of a lost engine, whose code doesn't prove it.
func TestWithRanRejectsValuesTheCodeDisallows(t *testing.T) {
	cases := []struct {
		code result.Code
		ran  result.Ran
		want result.Ran
	}{
		{result.EngineLost, result.RanNo, result.RanUnknown},
		{result.EngineLost, result.RanYes, result.RanYes},
		{result.QueueFull, result.RanNo, result.RanNo},
		{result.QueueFull, result.RanUnknown, result.RanUnknown},
		{result.Cancelled, result.RanNo, result.RanNo},
		{result.OutcomeUnknown, result.RanYes, result.RanUnknown},
		{result.Code(9999), result.RanNo, result.RanUnknown},
	}
	for _, c := range cases {
		require.Equal(t, c.want, result.New(c.code, "").WithRan(c.ran).Ran, "%s %s", c.code, c.ran)
	}
	require.Equal(t, result.RanUnknown, result.New(result.Cancelled, "").Ran)
	require.Equal(t, result.RanUnknown, (&result.Error{}).Ran)
}

// Guards against a code or cause that is lost when an error is wrapped, and against a cause in the JSON form, which could
// reveal internal addresses to callers.
func TestErrorChain(t *testing.T) {
	cause := errors.New("disk")
	wrapped := errors.Wrap(result.Wrap(cause, result.SyncFailed, "journal %d", 3), "append")
	require.ErrorIs(t, wrapped, cause)
	require.True(t, result.Is(wrapped, result.SyncFailed))
	require.False(t, result.Is(nil, 0))
	require.Equal(t, "sync_failed (1703): journal 3: disk", result.From(wrapped).Error())

	require.Nil(t, result.From(nil))
	require.Equal(t, result.Internal, result.CodeOf(cause))
	require.Equal(t, result.RanUnknown, result.From(cause).Ran)

	data, err := json.Marshal(result.From(wrapped))
	require.NoError(t, err)
	require.NotContains(t, string(data), "disk")
}
