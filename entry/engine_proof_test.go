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

// Symptom: a request runs on two engines. Sequence: the link to an agent is lost with a dispatch in its hands; the entry
// asks the engine, which doesn't know the attempt; the agent, alive, hands it over a moment later. Cause: "unknown" is
// taken for an end while the agent's process may live.
func TestProofAtTheEngine(t *testing.T) {
	const confirmed, unknown = `{"id":"r.1","state":"cancelled"}`, `{"error":{"type":"unknown_stream"}}`
	cases := map[string]struct {
		agent  func(*rig, *fakeAgent)
		status int // of the engine, 0: it is down
		body   string
		want   wire.Proof
	}{
		"agent alive, confirmed":   {func(*rig, *fakeAgent) {}, 200, confirmed, wire.Proof_PROOF_CANCELLED},
		"agent alive, unknown":     {func(*rig, *fakeAgent) {}, 404, unknown, wire.Proof_PROOF_UNPROVEN},
		"agent cut off, unknown":   {func(r *rig, a *fakeAgent) { r.net.Cut(entryHost(1), a.host) }, 404, unknown, wire.Proof_PROOF_UNPROVEN},
		"agent dead, unknown":      {func(_ *rig, a *fakeAgent) { a.die() }, 404, unknown, wire.Proof_PROOF_NEVER_STARTED},
		"agent dead, confirmed":    {func(_ *rig, a *fakeAgent) { a.die() }, 200, confirmed, wire.Proof_PROOF_CANCELLED},
		"agent dead, engine fails": {func(_ *rig, a *fakeAgent) { a.die() }, 500, `{}`, wire.Proof_PROOF_UNPROVEN},
		"agent dead, engine dead":  {func(_ *rig, a *fakeAgent) { a.die() }, 0, "", wire.Proof_PROOF_UNPROVEN},
		"agent comes back": {func(_ *rig, a *fakeAgent) {
			a.die()
			time.AfterFunc(settleTime/2, a.start)
		}, 404, unknown, wire.Proof_PROOF_UNPROVEN},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1)
				agent := r.addService(1)
				r.serveEngine(c.status, c.body)
				c.agent(r, agent)
				ctx, cancel := context.WithTimeout(context.Background(), proveTimeout)
				defer cancel()
				proof := r.entries[0].prover.proofOf(ctx, sched.ProveAtEngine{
					Attempt: &wire.AttemptID{Request: "r", Number: 1},
					Server:  agent.server,
					Address: "http://" + engineHost + ":9000",
				})
				require.Equal(t, c.want, proof)
			})
		})
	}
}

// serveEngine starts an engine that answers every cancel alike.
func (r *rig) serveEngine(status int, body string) {
	if status == 0 {
		return
	}
	listener, err := r.net.Host(engineHost).Listen(engineHost + ":9000")
	require.NoError(r.t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		require.Equal(r.t, "/v1/streams/r.1/cancel", request.URL.Path)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	})}
	go func() { _ = server.Serve(listener) }()
	r.t.Cleanup(func() { server.Close() })
}
