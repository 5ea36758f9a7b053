package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Symptom: an agent serves by a configuration that was replaced long ago.
// Sequence: the agent is silently cut off from control; entries go on dispatching to it.
// Cause: it took new work although nothing told it that its view is fresh.
func TestCutOffAgentTakesNoNewWork(t *testing.T) {
	withModelEnv(t, func(w *testEnv, _ *standin.Server, entry *fakeEntry) {
		entry.dispatch(withBody(completionDispatch("r1", 1), `{"model":"sample","prompt":"a","max_tokens":100}`))
		w.waitUntil("the stream runs", func() bool { return entry.eventCount("r1", 1) > 3 })
		w.control.setReady(result.New(result.CutOffFromControl, ""))

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
		w.control.orders <- loadOrder(1, 5, "new")
		assert.Equal(t, uint32(result.CutOffFromControl), w.awaitResult(1).GetCode())

		status, body := w.call("GET", "/readyz", nil)
		assert.Equal(t, 503, status)
		assert.Contains(t, body, `"code":1403`)
		_, metrics := w.call("GET", "/metrics", nil)
		assert.Contains(t, metrics, metricGateRefusals+`{code="1403",tier="2"} 2`)
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, entry.awaitOver("r1", 1).GetProof(), "in flight goes on")

		w.control.setReady(nil)
		entry.dispatch(completionDispatch("r2", 1)) // a copy of the refused one
		time.Sleep(5 * time.Second)
		assert.Zero(t, w.ledger.Starts()["r2.1"], "never started means never")
		entry.dispatch(completionDispatch("r2", 2))
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, entry.awaitOver("r2", 2).GetProof())
	})
}
