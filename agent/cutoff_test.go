package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// An agent that is cut off from control must take no new work, since its configuration may have been replaced. Entries
// may go on dispatching to it.
func TestCutOffAgentTakesNoNewWork(t *testing.T) {
	withModelEnv(t, func(env *testEnv, _ *standin.Server, entry *fakeEntry) {
		entry.dispatch(withBody(completionDispatch("r1", 1), `{"model":"sample","prompt":"a","max_tokens":100}`))
		env.waitUntil("the stream runs", func() bool { return entry.eventCount("r1", 1) > 3 })
		env.control.setReady(result.New(result.CutOffFromControl, ""))

		entry.dispatch(completionDispatch("r2", 1))
		over := entry.awaitOver("r2", 1)
		assert.Equal(t, wire.Proof_PROOF_NEVER_STARTED, over.GetProof())
		assert.Equal(t, uint32(result.CutOffFromControl), over.GetCode())
		entry.send(&wire.EntryMessage{Kind: &wire.EntryMessage_Reserve{Reserve: &wire.Reserve{
			Attempt: &wire.AttemptID{Request: "r3", Number: 1},
			Server:  "server-1",
			Work:    completionDispatch("r3", 1).GetWork(),
		}}})
		over = entry.awaitOver("r3", 1)
		assert.Equal(t, wire.Proof_PROOF_NEVER_STARTED, over.GetProof())
		assert.Equal(t, uint32(result.CutOffFromControl), over.GetCode())
		env.control.orders <- loadOrder(1, 5, "new")
		assert.Equal(t, uint32(result.CutOffFromControl), env.awaitResult(1).GetCode())

		status, body := env.call("GET", "/readyz", nil)
		assert.Equal(t, 503, status)
		assert.Contains(t, body, `"code":1403`)
		_, metrics := env.call("GET", "/metrics", nil)
		assert.Contains(t, metrics, metricGateRefusals+`{code="1403",tier="2"} 2`)
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, entry.awaitOver("r1", 1).GetProof(), "attempts in flight continue")

		env.control.setReady(nil)
		entry.dispatch(completionDispatch("r2", 1)) // a copy of the refused dispatch
		time.Sleep(5 * time.Second)
		assert.Zero(t, env.ledger.Starts()["r2.1"], "an attempt reported as never started must not run")
		entry.dispatch(completionDispatch("r2", 2))
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, entry.awaitOver("r2", 2).GetProof())
	})
}
