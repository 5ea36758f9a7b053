package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

func eventsOf(texts ...string) [][]byte {
	var events [][]byte
	for _, text := range texts {
		events = append(events, []byte(text))
	}
	return events
}

func TestAssembleText(t *testing.T) {
	body, err := assemble("/v1/completions", eventsOf(
		`{"id":"a","model":"m","choices":[{"index":1,"text":"x"}]}`,
		`{"id":"a","choices":[{"index":0,"text":"y","finish_reason":"stop"},{"index":1,"text":"z","finish_reason":"length"}]}`,
		`{"id":"a","choices":[],"usage":{"prompt_tokens":9,"completion_tokens":3,"total_tokens":12}}`,
	), &wire.AnswerEnd{PromptTokens: 1})
	require.NoError(t, err)
	require.JSONEq(t, `{"id":"a","object":"text_completion","created":0,"model":"m","choices":[
		{"index":0,"text":"y","logprobs":null,"finish_reason":"stop"},
		{"index":1,"text":"xz","logprobs":null,"finish_reason":"length"}],
		"usage":{"prompt_tokens":9,"completion_tokens":3,"total_tokens":12,"prompt_tokens_details":{"cached_tokens":0}}}`, string(body))
}

func TestAssembleToolCalls(t *testing.T) {
	body, err := assemble(chatPath, eventsOf(
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"t1","type":"function","function":{"name":"check","arguments":""}}]}}]}`,
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"{\"pass\""}}]}}]}`,
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]}`,
	), &wire.AnswerEnd{})
	require.NoError(t, err)
	require.Contains(t, string(body), `"tool_calls":[{"index":0,"id":"t1","type":"function","function":{"name":"check","arguments":"{\"pass\":1}"}}]`)
}

func TestAssembleErrors(t *testing.T) {
	for name, events := range map[string][][]byte{
		"nothing":        nil,
		"not JSON":       eventsOf(`{`),
		"an error":       eventsOf(`{"error":{"type":"internal_error"}}`),
		"a large choice": eventsOf(`{"choices":[{"index":100000}]}`),
		"a large call":   eventsOf(`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":-1}]}}]}`),
	} {
		_, err := assemble(chatPath, events, &wire.AnswerEnd{})
		require.Error(t, err, name)
	}
}
