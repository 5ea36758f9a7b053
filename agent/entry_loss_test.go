package agent

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Symptom: an engine works for nobody, and a caller's retry at another entry runs beside it.
// Sequence: an entry dies while its repeatable attempt runs.
// Cause: nobody cancelled the attempt when its entry stopped renewing the lease.
func TestEntryCrashCancelsRepeatableAttempt(t *testing.T) {
	withModelEnv(t, func(w *testEnv, _ *standin.Server, entry *fakeEntry) {
		entry.dispatch(longCompletionDispatch("r1", 1))
		w.waitUntil("the stream runs", func() bool { return entry.eventCount("r1", 1) > 3 })
		entry.kill()
		w.waitUntil("the engine is free", func() bool { return w.ledger.Running() == 0 })
		_, metrics := w.call("GET", "/metrics", nil)
		assert.Contains(t, metrics, metricLeases+" 1")
		assert.Empty(t, w.control.completed())
	})
}

// Symptom: a resident is charged, and the answer is lost for ever.
// Sequence: an entry dies while its non-repeatable call runs; the service finishes it; control can't be reached at
// first.
// Cause: the call was tied to its entry's link, or its outcome was proposed only once.
func TestEntryCrashReportsNonRepeatableOutcome(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.startAgent()
		service := w.startEngine(slowService())
		w.waitReady()
		entry := w.startEntry(entryHost, "entry-1")
		entry.awaitRoom("server-1")
		w.control.setView(&session.View{
			ConfigVersion: 1,
			Entries:       map[string]*wire.EntryRecord{"entry-1": {Entry: "entry-1", Incarnation: 1}},
		})
		entry.dispatch(serviceDispatch("r1", 1))
		w.waitUntil("the call runs", func() bool { return w.ledger.Running() == 1 })
		w.control.setFailures(3)
		entry.kill()
		time.Sleep(time.Second)
		w.control.setView(&session.View{ConfigVersion: 1})

		w.waitUntil("the outcome is committed", func() bool {
			return len(w.control.completed()) == 4 && w.agent.reports.Pending() == 0
		})
		outcome := w.control.completed()[3]
		assert.Equal(t, "org-1", outcome.GetOrganisation())
		assert.Equal(t, "key-r1", outcome.GetKey())
		assert.Equal(t, uint32(200), outcome.GetAnswer().GetStatus())
		assert.Equal(t, "application/json", outcome.GetAnswer().GetContentType())
		var answer standin.ServiceAnswer
		require.NoError(t, json.Unmarshal(outcome.GetAnswer().GetBody(), &answer))
		assert.Equal(t, 1, answer.Run)
		assert.Equal(t, map[string]int{"key-r1": 1}, service.Runs())
	})
}

// Symptom: a stream stops in the middle, or an engine is cancelled, because of a blink of the network.
// Sequence: the link of an entry is lost and comes back while its attempt runs.
// Cause: the run was tied to the link instead of the lease.
func TestRunSurvivesLostLink(t *testing.T) {
	withModelEnv(t, func(w *testEnv, _ *standin.Server, entry *fakeEntry) {
		entry.dispatch(completionDispatch("r1", 1))
		w.waitUntil("the stream runs", func() bool { return entry.eventCount("r1", 1) > 3 })
		w.network.Reset(entryHost)
		over := entry.awaitOver("r1", 1)
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, over.GetProof())
		links, _ := entry.links()
		assert.Equal(t, 2, links)
		assert.Equal(t, 1, w.ledger.Starts()["r1.1"])
	})
}
