package entry

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

const engineHost = "10.0.2.1"

// A request would run on two engines if "unknown attempt" were taken as proof while the agent's process may be alive:
// the link is lost after the dispatch, the engine doesn't know the attempt yet, and the agent passes it on just after
// the query.
func TestProofAtEngine(t *testing.T) {
	const confirmed, unknown = `{"id":"r.1","state":"cancelled"}`, `{"error":{"type":"unknown_stream"}}`
	cases := map[string]struct {
		agent  func(*harness, *fakeAgent)
		status int // of the engine; 0 if it is down
		body   string
		want   wire.Proof
	}{
		"agent alive, confirmed":   {func(*harness, *fakeAgent) {}, 200, confirmed, wire.Proof_PROOF_CANCELLED},
		"agent alive, unknown":     {func(*harness, *fakeAgent) {}, 404, unknown, wire.Proof_PROOF_UNPROVEN},
		"agent cut off, unknown":   {func(h *harness, a *fakeAgent) { h.net.Cut(entryHost(1), a.host) }, 404, unknown, wire.Proof_PROOF_UNPROVEN},
		"agent dead, unknown":      {func(_ *harness, a *fakeAgent) { a.crash() }, 404, unknown, wire.Proof_PROOF_NEVER_STARTED},
		"agent dead, confirmed":    {func(_ *harness, a *fakeAgent) { a.crash() }, 200, confirmed, wire.Proof_PROOF_CANCELLED},
		"agent dead, engine fails": {func(_ *harness, a *fakeAgent) { a.crash() }, 500, `{}`, wire.Proof_PROOF_UNPROVEN},
		"agent dead, engine dead":  {func(_ *harness, a *fakeAgent) { a.crash() }, 0, "", wire.Proof_PROOF_UNPROVEN},
		"agent comes back": {func(_ *harness, a *fakeAgent) {
			a.crash()
			time.AfterFunc(residualDataWait/2, a.start)
		}, 404, unknown, wire.Proof_PROOF_UNPROVEN},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 1)
				agent := h.addService(1)
				h.startEngine(c.status, c.body)
				c.agent(h, agent)
				ctx, cancel := context.WithTimeout(context.Background(), proveTimeout)
				defer cancel()
				proof := h.entries[0].prover.obtainProof(ctx, sched.ProveAtEngine{
					Attempt: &wire.AttemptID{Request: "r", Number: 1},
					Server:  agent.server,
					Address: "http://" + engineHost + ":9000",
				})
				require.Equal(t, c.want, proof)
			})
		})
	}
}

// startEngine starts an engine that answers every cancel call with the same response.
func (h *harness) startEngine(status int, body string) {
	if status == 0 {
		return
	}
	listener, err := h.net.Host(engineHost).Listen(engineHost + ":9000")
	require.NoError(h.t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		require.Equal(h.t, "/v1/streams/r.1/cancel", request.URL.Path)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	})}
	go func() { _ = server.Serve(listener) }()
	h.t.Cleanup(func() { server.Close() })
}
