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

func TestDocsEqualTable(t *testing.T) {
	if *update {
		require.NoError(t, os.WriteFile(docsPath, []byte(result.Markdown()), 0o644))
	}
	docs, err := os.ReadFile(docsPath)
	require.NoError(t, err)
	require.Equal(t, result.Markdown(), string(docs), "run go test ./result -update")
}

func TestTableIsSortedAndWhole(t *testing.T) {
	snake := regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)
	names := map[string]bool{}
	last := result.Code(0)
	for _, info := range result.Table() {
		require.Greater(t, info.Code, last)
		require.Regexp(t, snake, info.Name)
		require.False(t, names[info.Name], info.Name)
		require.GreaterOrEqual(t, info.Status, http.StatusBadRequest, info.Name)
		require.NotZero(t, info.Ran, info.Name)
		require.NotEmpty(t, info.Message, info.Name)
		require.NotEmpty(t, info.Advice, info.Name)
		require.Equal(t, info, info.Code.Info())
		names[info.Name] = true
		last = info.Code
	}
}

// Symptom: a caller sees "unknown_code" for a code that the program itself sent.
// Sequence: a constant is added to codes.go; its row in table.go is forgotten.
// Cause: Go doesn't tie the two together.
func TestEachConstantHasARow(t *testing.T) {
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

func TestJSONForm(t *testing.T) {
	e := result.New(result.QueueFull, "class %s", "summary").WithRetryAfter(1500 * time.Microsecond)
	data, err := json.Marshal(e)
	require.NoError(t, err)
	require.JSONEq(t, `{"error": {"code": 1203, "name": "queue_full", "message": "class summary",
		"ran": "no", "retry_after_ms": 2}}`, string(data))

	var back result.Error
	require.NoError(t, json.Unmarshal(data, &back))
	require.Equal(t, 2*time.Millisecond, back.RetryAfter)
	require.Equal(t, result.RanNo, back.Ran)
	require.Equal(t, e.Code, back.Code)
}

func TestUnmarshalRefuses(t *testing.T) {
	for _, text := range []string{`{}`, `[]`, `{"error": {"ran": "perhaps"}}`} {
		require.Error(t, json.Unmarshal([]byte(text), new(result.Error)), text)
	}
}

// Symptom: a caller is told "ran: no" and sends again work that ran.
// Sequence: a code path takes an error of a lost engine and stamps "no" on it.
// Cause: nothing tied the promise to codes whose meaning proves it.
func TestRanIsOnlyWhatTheCodeProves(t *testing.T) {
	cases := []struct {
		code result.Code
		say  result.Ran
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
		require.Equal(t, c.want, result.New(c.code, "").WithRan(c.say).Ran, "%s %s", c.code, c.say)
	}
	require.Equal(t, result.RanUnknown, result.New(result.Cancelled, "").Ran)
	require.Equal(t, result.RanUnknown, (&result.Error{}).Ran)
}

func TestChain(t *testing.T) {
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
