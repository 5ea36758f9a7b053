package jsonc_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/settings/jsonc"
)

type sample struct {
	A int      `json:"a"`
	B []string `json:"b"`
}

// Guards against rejecting comments or trailing commas.
func TestDecode(t *testing.T) {
	var got sample
	require.NoError(t, jsonc.Decode([]byte("{\"a\": 1, // one\n /* two */ \"b\": [\"x\",],\n}"), &got))
	require.Equal(t, sample{A: 1, B: []string{"x"}}, got)
}

// Guards against accepting duplicate keys, unknown fields or trailing data, and against errors with a wrong position.
func TestDecodeRefuses(t *testing.T) {
	cases := map[string]string{
		"{\n\"a\": 1, \"a\": 2}":         `line 2, column 9: the key "a" stands twice`,
		"{\"b\": [\n{\"c\":1,\"c\":2}]}": `line 2, column 8: the key "c" stands twice`,
		"{\n  \"a\": \"x\"}":             "line 2, column 1",
		`{"c": 1}`:                       `unknown field "c"`,
		`{} {}`:                          "after top-level value",
		"{\n":                            "line 2, column 1",
		"":                               "line 1, column 1",
	}
	for text, want := range cases {
		require.ErrorContains(t, jsonc.Decode([]byte(text), new(sample)), want, text)
	}
}

// Guards against a wrong position for offsets at the start and end of a line and after an empty line.
func TestPosition(t *testing.T) {
	doc, err := jsonc.Parse([]byte("[\n1,\n\n2]"))
	require.NoError(t, err)
	for offset, want := range map[int][2]int{0: {1, 1}, 1: {1, 2}, 2: {2, 1}, 6: {4, 1}, 8: {4, 3}} {
		line, column := doc.Position(offset)
		require.Equal(t, want, [2]int{line, column}, offset)
	}
}
