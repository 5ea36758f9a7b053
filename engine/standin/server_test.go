package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/network/memory"
)

// fakeAgent responds with draining until drained is set.
type fakeAgent struct {
	mu      sync.Mutex
	calls   []string
	bodies  []string
	drained bool
}

func (a *fakeAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls = append(a.calls, r.Method+" "+r.URL.Path)
	a.bodies = append(a.bodies, string(body))
	state := engine.LeaveDraining
	if a.drained {
		state = engine.LeaveDrained
	}
	_, _ = io.WriteString(w, string(state))
}

func (a *fakeAgent) count(call string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, made := range a.calls {
		if made == call {
			count++
		}
	}
	return count
}

// Guards against a graceful stop that cuts off requests. The stand-in is stopped while a stream
// runs and its agent still admits and finishes work; the listener must stay open until the
// agent has drained.
func TestGracefulStopWaitsForAgentAndStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memNetwork := memory.New()
		agent := new(fakeAgent)
		listener, err := memNetwork.Host("10.0.0.1").Listen(":80")
		require.NoError(t, err)
		agentServer := &http.Server{Handler: agent}
		go func() { _ = agentServer.Serve(listener) }()
		defer func() { _ = agentServer.Close() }()

		options := slowOptions()
		options.Server = "engine-1"
		options.Agent = "http://10.0.0.1:80"
		options.Network = memNetwork.Host(testHost)
		options.Listen = testHost + ":0"
		server := New(options)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- server.Run(ctx) }()
		time.Sleep(3500 * time.Millisecond)
		assert.Equal(t, 4, agent.count("POST /v1/announce"))
		assert.JSONEq(t, fmt.Sprintf(`{"server":"engine-1","kind":"model","address":%q,"models":["sample"],"slots":16,
			"capabilities":{"fencing":"refuses","kv":true,"resume":true,"on_disconnect":"continues"},
			"suspended_ms":5000}`, server.URL()), agent.bodies[0])

		client, err := engine.NewHTTP(server.URL(), engine.HTTPOptions{Network: memNetwork.Host("10.0.0.2")})
		require.NoError(t, err)
		defer client.Close()
		ended := make(chan engine.Outcome, 1)
		go func() {
			outcome, err := client.Run(t.Context(), completionRequest("a.1", 100, 300), tokenSink{})
			assert.NoError(t, err)
			ended <- outcome
		}()
		time.Sleep(time.Second)
		stop()
		time.Sleep(time.Second)
		assert.Positive(t, agent.count("POST /v1/leave"))
		_, err = client.Streams(t.Context())
		require.NoError(t, err, "the server must listen while the agent drains")
		agent.mu.Lock()
		agent.drained = true
		agent.mu.Unlock()
		require.NoError(t, <-done)
		assert.Equal(t, engine.EndCompleted, (<-ended).End)
		assert.Equal(t, 5, agent.count("POST /v1/announce"))
	})
}

// Guards against invalid options or faults that are accepted, and against an error that names
// only the first of several problems.
func TestRunRejectsInvalidOptions(t *testing.T) {
	cases := map[string]Options{
		"kind":         {Kind: "other"},
		"slots":        {Slots: -1},
		"output":       {MinOutput: 5, MaxOutput: 4},
		"cache gap":    {CacheGap: 1.5},
		"jitter":       {ServiceJitter: -0.1},
		"capabilities": {Capabilities: engine.Capabilities{KV: true}},
		"lose_answer":  {Faults: Faults{LoseAnswer: 2}},
		"slow":         {Faults: Faults{Slow: -1}},
		"times":        {Faults: Faults{DownMs: -1}},
	}
	for name, options := range cases {
		assert.ErrorContains(t, New(options).Run(t.Context()), name)
	}
	require.NoError(t, Options{}.Validate())
	require.NoError(t, ModelDefaults().Validate())
	require.NoError(t, ServiceDefaults().Validate())
	both := Options{Slots: -1, CacheGap: 2}.Validate()
	assert.ErrorContains(t, both, "slots")
	assert.ErrorContains(t, both, "cache gap")
}

func post(server *Server, path, body string) *httptest.ResponseRecorder {
	recorded := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	server.Handler().ServeHTTP(recorded, request)
	return recorded
}

// Guards against fault switches that cannot be changed while the server is frozen, and against
// invalid switches that are accepted.
func TestFaultsAreSetAtRunTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := New(ServiceDefaults())
		assert.Equal(t, http.StatusOK, post(server, "/v1/faults", `{"slow":2,"freeze_ms":60000}`).Code)
		assert.Equal(t, http.StatusOK, post(server, "/v1/faults", `{"lose_answer":0.5}`).Code, "also while frozen")
		assert.Equal(t, Faults{Slow: 2, LoseAnswer: 0.5}, server.Faults())
		for _, body := range []string{`{"slow":-1}`, `{"lose_anser":1}`, `{`} {
			assert.Equal(t, http.StatusBadRequest, post(server, "/v1/faults", body).Code, body)
		}
		require.NoError(t, server.SetFaults(Faults{Slow: 2}))
		started := time.Now()
		assert.Equal(t, http.StatusOK, post(server, "/v1/services/registry/x", `not JSON`).Code)
		assert.Equal(t, time.Minute+2*server.options.ServiceTime, time.Since(started))
	})
}

// Guards against faults that differ between runs with the same seed or miss the configured
// share.
func TestFaultsFollowTheSeed(t *testing.T) {
	decide := func(seed uint64) (lost int, decisions []bool) {
		faults := &faultSet{seed: seed}
		faults.set(Faults{LoseAnswer: 0.3})
		for number := range 10_000 {
			injected := faults.draw(fmt.Sprint(number), 1)
			decisions = append(decisions, injected.loseAnswer)
			if injected.loseAnswer {
				lost++
			}
		}
		return lost, decisions
	}
	lost, first := decide(1)
	assert.InDelta(t, 3000, lost, 200)
	_, again := decide(1)
	assert.Equal(t, first, again)
	_, other := decide(2)
	assert.NotEqual(t, first, other)
}

// Guards against a completion without streaming that does not have the format of the protocol.
func TestCompletionWithoutStreaming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := New(ModelDefaults())
		defer server.Close()
		body := `{"messages":[{"role":"user","content":"May I?"}],"max_tokens":3}`
		recorded := post(server, "/v1/chat/completions", body)
		content, err := CompletionText([]byte(body), "sample", 3)
		require.NoError(t, err)
		assert.JSONEq(t, fmt.Sprintf(`{"id":"cmpl-anonymous-1","object":"chat.completion","created":%d,"model":"sample",
			"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"length"}],
			"usage":{"prompt_tokens":3,"completion_tokens":3,"total_tokens":6,"prompt_tokens_details":{"cached_tokens":0}}}`,
			time.Now().Unix(), content), recorded.Body.String())
	})
}

// Guards against treating a lost connection as proof that a call did not run. A connection
// breaks while its call waits for a slot or runs: one kind of service continues, and the other
// does not start what still waits.
func TestServiceAfterLostConnection(t *testing.T) {
	for behaviour, want := range map[engine.OnDisconnect]map[string]int{
		engine.DisconnectContinues: {"running": 1, "waiting": 1},
		engine.DisconnectCancels:   {"running": 1},
	} {
		t.Run(string(behaviour), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				options := ServiceDefaults()
				options.Slots = 1
				options.ServiceTime = time.Second
				options.Capabilities.OnDisconnect = behaviour
				server, client := startServer(t, options)
				begin := func(key string) context.CancelFunc {
					ctx, stop := context.WithCancel(t.Context())
					go func() {
						_, err := client.Run(ctx, serviceRequest(engine.AttemptID(key+".1"), key), tokenSink{})
						assert.ErrorIs(t, err, engine.ErrOutcomeUnknown)
					}()
					synctest.Wait()
					return stop
				}
				stopRunning, stopWaiting := begin("running"), begin("waiting")
				stopWaiting()
				synctest.Wait() // otherwise the slot may be free before the disconnect is noticed
				stopRunning()
				time.Sleep(10 * time.Second)
				assert.Equal(t, want, server.Runs())
			})
		})
	}
}

// Guards against a second run of an idempotency key that goes uncounted, and against a service
// time without jitter.
func TestServiceCountsRepeatedRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := ServiceDefaults()
		options.ServiceTime = time.Second
		options.ServiceJitter = 0.5
		server, client := startServer(t, options)
		for _, id := range []engine.AttemptID{"a.1", "a.2"} {
			started := time.Now()
			_, err := client.Run(t.Context(), serviceRequest(id, "ključ 1"), tokenSink{})
			require.NoError(t, err)
			assert.InDelta(t, 1, time.Since(started).Seconds(), 0.5)
			assert.NotEqual(t, time.Second, time.Since(started))
		}
		assert.Equal(t, map[string]int{"ključ 1": 2}, server.Runs())
		assert.Zero(t, server.Stats().Overlaps)
	})
}
