package standin

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/network/memory"
)

const testHost = "10.0.1.1"

// startServer runs a stand-in in a synctest bubble until the test ends, and returns it with a
// client.
func startServer(t *testing.T, options Options) (*Server, *engine.HTTP) {
	wires := memory.New()
	options.Network = wires.Host(testHost)
	options.Listen = testHost + ":0"
	server := New(options)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	<-server.Ready()
	client, err := engine.NewHTTP(server.URL(), engine.HTTPOptions{Network: wires.Host("10.0.0.1")})
	require.NoError(t, err)
	t.Cleanup(func() {
		client.Close()
		stop()
		require.NoError(t, <-done)
	})
	return server, client
}

// tokenSink calls onToken for each token unless it is nil.
type tokenSink struct{ onToken func(index int) error }

func (s tokenSink) Chunk(chunk engine.Chunk) error {
	if chunk.Tokens == 0 || s.onToken == nil {
		return nil
	}
	return s.onToken(chunk.Index)
}

func (tokenSink) Answer(engine.Answer) error { return nil }

// completionRequest requests output tokens for a prompt of the given length in tokens, which
// begins with its ID.
func completionRequest(id engine.AttemptID, prompt, output int) engine.Request {
	text := string(id) + strings.Repeat(".", prompt*engine.BytesPerToken)
	return engine.Request{
		ID:   id,
		Kind: engine.KindModel,
		Path: "/v1/completions",
		Body: fmt.Appendf(nil, `{"prompt":%q,"max_tokens":%d}`, text[:prompt*engine.BytesPerToken], output),
	}
}

func serviceRequest(id engine.AttemptID, key string) engine.Request {
	return engine.Request{
		ID:             id,
		Kind:           engine.KindService,
		Path:           "/v1/services/registry/passes",
		Body:           []byte(`{}`),
		IdempotencyKey: key,
	}
}
