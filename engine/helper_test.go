package engine_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/network/memory"
)

const chatBody = `{"model":"sample","messages":[{"role":"user","content":"May I appeal the refusal of my permit for the site?"}],"max_tokens":8}`

// fixture is a network of stand-ins that share a ledger. It is used in a synctest bubble.
type fixture struct {
	t       *testing.T
	network *memory.Network
	servers int
	ledger  *standin.Ledger
}

func newFixture(t *testing.T) *fixture {
	return &fixture{
		t:       t,
		network: memory.New(),
		ledger:  standin.NewLedger(1000),
	}
}

// start runs a stand-in and returns it with a client. Both are stopped when the test ends.
func (f *fixture) start(options standin.Options) (*standin.Server, *engine.HTTP) {
	f.servers++
	host := fmt.Sprintf("10.0.1.%d", f.servers)
	options.Network = f.network.Host(host)
	options.Listen = host + ":0"
	options.Ledger = f.ledger
	server := standin.New(options)
	ctx, stop := context.WithCancel(f.t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	<-server.Ready()
	client := f.client(server.URL())
	f.t.Cleanup(func() {
		client.Close()
		stop()
		require.NoError(f.t, <-done)
	})
	return server, client
}

func (f *fixture) client(url string) *engine.HTTP {
	client, err := engine.NewHTTP(url, engine.HTTPOptions{
		Network:        f.network.Host("10.0.0.1"),
		MaxAnswerBytes: 1 << 16,
	})
	require.NoError(f.t, err)
	return client
}

// recorder is a sink that stores its input.
type recorder struct {
	chunks   []engine.Chunk
	payloads []string
	answers  []engine.Answer
	// onToken is called after each token unless nil.
	onToken func(index int) error
}

func (r *recorder) Chunk(chunk engine.Chunk) error {
	r.payloads = append(r.payloads, string(chunk.Data))
	chunk.Data = nil
	r.chunks = append(r.chunks, chunk)
	if chunk.Tokens > 0 && r.onToken != nil {
		return r.onToken(chunk.Index)
	}
	return nil
}

func (r *recorder) Answer(answer engine.Answer) error {
	r.answers = append(r.answers, answer)
	return nil
}

// text returns the concatenated contents of the chunks. The stand-in's words contain no JSON
// escapes.
func (r *recorder) text() string {
	var joined strings.Builder
	for i, payload := range r.payloads {
		if r.chunks[i].Tokens == 0 {
			continue
		}
		_, rest, found := strings.Cut(payload, `"content":"`)
		if !found {
			_, rest, _ = strings.Cut(payload, `"text":"`)
		}
		content, _, _ := strings.Cut(rest, `"`)
		joined.WriteString(content)
	}
	return joined.String()
}

func chatRequest(id engine.AttemptID) engine.Request {
	return engine.Request{ID: id, Kind: engine.KindModel, Path: "/v1/chat/completions", Body: []byte(chatBody)}
}

func passRequest(id engine.AttemptID) engine.Request {
	return engine.Request{
		ID:             id,
		Kind:           engine.KindService,
		Path:           "/v1/services/registry/passes",
		Body:           []byte(`{"pass":"A 17"}`),
		IdempotencyKey: "key-1",
	}
}

func expectedText(t *testing.T, count int) string {
	text, err := standin.CompletionText([]byte(chatBody), "sample", count)
	require.NoError(t, err)
	return text
}
