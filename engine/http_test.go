package engine

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// countingSink counts the calls that it receives.
type countingSink struct{ answers, chunks int }

func (s *countingSink) Chunk(Chunk) error   { s.chunks++; return nil }
func (s *countingSink) Answer(Answer) error { s.answers++; return nil }

// closingServer answers the first request of each connection, and closes the connection after
// it has read the second.
type closingServer struct {
	listener net.Listener
	requests atomic.Int32
}

func startClosingServer(t *testing.T) *closingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	server := &closingServer{listener: listener}
	go server.accept()
	return server
}

func (s *closingServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *closingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = bufio.NewReader(request.Body).WriteTo(new(strings.Builder))
		s.requests.Add(1)
		if number == 0 {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
		}
	}
}

// Guards against a call that runs twice. The service runs a call with an Idempotency-Key from
// an idle connection and closes the connection before it responds; net/http takes the key as
// permission to send the call again on a new connection.
func TestRunIsNotRetriedByTransport(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for _, body := range []string{"", `{"pass":1}`} {
			t.Run(method+" "+body, func(t *testing.T) {
				server := startClosingServer(t)
				client, err := NewHTTP("http://"+server.listener.Addr().String(), HTTPOptions{})
				require.NoError(t, err)
				defer client.Close()
				request := Request{
					ID:             "r.1",
					Kind:           KindService,
					Method:         method,
					Path:           "/passes",
					Body:           []byte(body),
					IdempotencyKey: "key-1",
					Header:         http.Header{"X-Idempotency-Key": {"key-1"}},
				}
				_, err = client.Run(t.Context(), request, new(countingSink))
				require.NoError(t, err)
				_, err = client.Run(t.Context(), request, new(countingSink))
				require.ErrorIs(t, err, ErrOutcomeUnknown)
				assert.EqualValues(t, 2, server.requests.Load())
			})
		}
	}
}

// Guards against reporting an unknown outcome for a call that never left the process, because
// the connection was refused, its context had ended or its path was rejected.
func TestNeverSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := "http://" + listener.Addr().String()
	require.NoError(t, listener.Close())
	cancelled, stop := context.WithCancel(t.Context())
	stop()
	cases := map[string]struct {
		ctx  context.Context
		path string
		body string
	}{
		"refused":         {ctx: t.Context(), path: "/p"},
		"context ended":   {ctx: cancelled, path: "/p"},
		"other host":      {ctx: t.Context(), path: "http://127.0.0.2/p"},
		"relative":        {ctx: t.Context(), path: "p"},
		"climbing":        {ctx: t.Context(), path: "/v1/services/x/../../streams/y/cancel"},
		"climbing hidden": {ctx: t.Context(), path: "/v1/services/x/%2e%2E/streams/y/cancel"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client, err := NewHTTP(address, HTTPOptions{})
			require.NoError(t, err)
			_, err = client.Run(c.ctx, Request{ID: "r.1", Kind: KindService, Path: c.path}, new(countingSink))
			assert.ErrorIs(t, err, ErrNeverSent)
			assert.NotErrorIs(t, err, ErrOutcomeUnknown)
		})
	}
}

// Guards against a report call that reaches the server twice, which its prices and counts would not show.
func TestReportIsNotRetriedByTransport(t *testing.T) {
	server := startClosingServer(t)
	client, err := NewHTTP("http://"+server.listener.Addr().String(), HTTPOptions{})
	require.NoError(t, err)
	defer client.Close()
	_, err = client.Load(t.Context())
	require.NoError(t, err)
	_, err = client.Load(t.Context())
	require.ErrorIs(t, err, ErrOutcomeUnknown)
	assert.EqualValues(t, 2, server.requests.Load())
}

// Guards against sending a model request whose body is not a JSON object.
func TestModelBodyMustBeAnObject(t *testing.T) {
	client, err := NewHTTP("http://127.0.0.1:1", HTTPOptions{})
	require.NoError(t, err)
	for _, body := range []string{"", "null", "[]", "{", `"x"`} {
		request := Request{ID: "r.1", Kind: KindModel, Path: "/v1/completions", Body: []byte(body)}
		_, err := client.Run(t.Context(), request, new(countingSink))
		assert.ErrorIs(t, err, ErrInvalid, body)
		assert.ErrorIs(t, err, ErrNeverSent, body)
	}
}

// Guards against delivering a truncated or oversized response. The engine's response stops
// before its end, never ends, or is a redirect; the end of the connection alone must not count
// as the end of the response.
func TestIncompleteAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	const stream = head + "Content-Type: text/event-stream\r\n\r\n"
	const tokenEvent = `data: {"choices":[{"text":"a"}]}` + "\n\n"
	cases := map[string]struct {
		kind     Kind
		answer   string
		cause    error
		complete bool
	}{
		"short of its length":       {kind: KindService, answer: head + "Content-Length: 9\r\n\r\n{}", cause: ErrIncomplete},
		"no last chunk":             {kind: KindService, answer: head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", cause: ErrIncomplete},
		"no length, cut JSON":       {kind: KindService, answer: head + "\r\n" + `{"a":`, cause: ErrIncomplete},
		"no length, a number":       {kind: KindService, answer: head + "\r\n12", cause: ErrIncomplete},
		"no length, whole JSON":     {kind: KindService, answer: head + "\r\n{}", complete: true},
		"too large":                 {kind: KindService, answer: head + "\r\n" + strings.Repeat("[", 99), cause: ErrTooLarge},
		"redirect":                  {kind: KindService, answer: "HTTP/1.1 307 T\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n", complete: true},
		"stream without done":       {kind: KindModel, answer: stream + tokenEvent, cause: ErrIncomplete},
		"done without line end":     {kind: KindModel, answer: stream + tokenEvent + "data: [DONE]", cause: ErrIncomplete},
		"done without an empty one": {kind: KindModel, answer: stream + tokenEvent + "data: [DONE]\n", cause: ErrIncomplete},
		"fewer tokens than counted": {kind: KindModel, answer: stream + tokenEvent + `data: {"choices":[],"usage":{"completion_tokens":2}}` + "\n\ndata: [DONE]\n\n", cause: ErrIncomplete},
		"long event":                {kind: KindModel, answer: stream + "data: " + strings.Repeat("x", 200), cause: ErrTooLarge},
		"long event in parts":       {kind: KindModel, answer: stream + strings.Repeat("data: xxxxxxxxx\n", 20), cause: ErrTooLarge},
		"no JSON":                   {kind: KindModel, answer: stream + "data: x\n\n"},
		"whole stream":              {kind: KindModel, answer: stream + tokenEvent + "data: [DONE]\n\n", complete: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = fmt.Fprint(conn, c.answer)
				_ = conn.Close()
			}))
			defer server.Close()
			client, err := NewHTTP(server.URL, HTTPOptions{MaxAnswerBytes: 64, MaxEventBytes: 128})
			require.NoError(t, err)
			sink := new(countingSink)
			request := Request{ID: "r.1", Kind: c.kind, Path: "/p", Body: []byte("{}")}
			outcome, err := client.Run(t.Context(), request, sink)
			if c.complete {
				require.NoError(t, err)
				assert.Equal(t, EndCompleted, outcome.End)
				return
			}
			require.ErrorIs(t, err, ErrOutcomeUnknown)
			assert.Equal(t, EndUnknown, outcome.End)
			assert.Zero(t, sink.answers)
			if c.cause != nil {
				assert.ErrorIs(t, err, c.cause)
			}
		})
	}
}

// Guards against reporting a running stream as ended. The cancel call reaches a server that
// does not know the call, such as an engine of another version; neither a plain 404 nor an
// arbitrary 200 confirms the end.
func TestCancelRequiresEngineConfirmation(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		class  error
	}{
		"bare 404":       {status: 404, body: "404 page not found", class: ErrUnsupported},
		"empty 200":      {status: 200, body: "{}", class: ErrOutcomeUnknown},
		"other stream":   {status: 200, body: `{"id":"r.2","state":"cancelled"}`, class: ErrOutcomeUnknown},
		"still running":  {status: 200, body: `{"id":"r.1","state":"running"}`, class: ErrOutcomeUnknown},
		"server error":   {status: 500, body: "", class: ErrOutcomeUnknown},
		"no permission":  {status: 403, body: "", class: ErrRefused},
		"unknown stream": {status: 404, body: `{"error":{"type":"unknown_stream"}}`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = fmt.Fprint(w, c.body)
			}))
			defer server.Close()
			client, err := NewHTTP(server.URL, HTTPOptions{})
			require.NoError(t, err)
			result, err := client.Cancel(t.Context(), "r.1")
			if c.class == nil {
				require.NoError(t, err)
				assert.Equal(t, CancelUnknownID, result)
				return
			}
			require.ErrorIs(t, err, c.class)
			assert.Equal(t, CancelNone, result)
		})
	}
}

// Guards against changes to the caller's fields, such as a loss of digits in large numbers,
// when the streaming fields are set.
func TestStreamingBodyPreservesCallerFields(t *testing.T) {
	cases := map[string]string{
		`{"prompt":"a<b","seed":12345678901234567890}`:   `{"prompt":"a<b","seed":12345678901234567890,"stream":true,"stream_options":{"include_usage":true}}`,
		`{"stream":false,"stream_options":{"x":1}}`:      `{"stream":true,"stream_options":{"include_usage":true,"x":1}}`,
		`{"stream_options":null,"temperature":1.50}`:     `{"stream":true,"stream_options":{"include_usage":true},"temperature":1.50}`,
		`{"stream_options":{"include_usage":false}}`:     `{"stream":true,"stream_options":{"include_usage":true}}`,
		`{"tools":[{"type":"function"}],"stream":"yes"}`: `{"stream":true,"stream_options":{"include_usage":true},"tools":[{"type":"function"}]}`,
	}
	for body, want := range cases {
		got, err := streamingBody([]byte(body))
		require.NoError(t, err)
		assert.Equal(t, want, string(got))
	}
}

// Guards against equal hashes for different models or prefixes, and against hashes of
// incomplete blocks.
func TestPrefixBlockHashes(t *testing.T) {
	long := PrefixBlockHashes("m", strings.Repeat("abcdefgh", 16), 16)
	assert.Len(t, long, 2)
	assert.Equal(t, long[:1], PrefixBlockHashes("m", strings.Repeat("abcdefgh", 15), 16))
	assert.NotEqual(t, long[0], PrefixBlockHashes("other", strings.Repeat("abcdefgh", 16), 16)[0])
	assert.NotEqual(t, long[1], PrefixBlockHashes("m", "X"+strings.Repeat("abcdefgh", 16), 16)[1])
}
