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

// When an entry crashes, its repeatable attempt must be cancelled once the lease is not renewed. Otherwise the engine
// computes an answer that is not read, and a retry at another entry runs beside it.
func TestEntryCrashCancelsRepeatableAttempt(t *testing.T) {
	withModelEnv(t, func(env *testEnv, _ *standin.Server, entry *fakeEntry) {
		entry.dispatch(longCompletionDispatch("r1", 1))
		env.waitUntil("the stream runs", func() bool { return entry.eventCount("r1", 1) > 3 })
		entry.kill()
		env.waitUntil("the engine has no running stream", func() bool { return env.ledger.Running() == 0 })
		_, metrics := env.call("GET", "/metrics", nil)
		assert.Contains(t, metrics, metricLeases+" 1")
		assert.Empty(t, env.control.completed())
	})
}

// When an entry crashes during a non-repeatable call, the call must finish and its outcome must reach control, also if
// control is unreachable at first. Otherwise the call takes effect and its answer is lost.
func TestEntryCrashReportsNonRepeatableOutcome(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent()
		service := env.startEngine(slowService())
		env.waitReady()
		entry := env.startEntry(entryHost, "entry-1")
		entry.awaitRoom("server-1")
		env.control.setView(&session.View{
			ConfigVersion: 1,
			Entries:       map[string]*wire.EntryRecord{"entry-1": {Entry: "entry-1", Incarnation: 1}},
		})
		entry.dispatch(serviceDispatch("r1", 1))
		env.waitUntil("the call runs", func() bool { return env.ledger.Running() == 1 })
		env.control.setFailures(3)
		entry.kill()
		time.Sleep(time.Second)
		env.control.setView(&session.View{ConfigVersion: 1})

		env.waitUntil("the outcome is committed", func() bool {
			return len(env.control.completed()) == 4 && env.agent.reports.Pending() == 0
		})
		outcome := env.control.completed()[3]
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

// A short loss of an entry's link must not cancel or interrupt its attempt: a run depends on the lease, not on the
// link.
func TestRunSurvivesLostLink(t *testing.T) {
	withModelEnv(t, func(env *testEnv, _ *standin.Server, entry *fakeEntry) {
		entry.dispatch(completionDispatch("r1", 1))
		env.waitUntil("the stream runs", func() bool { return entry.eventCount("r1", 1) > 3 })
		env.network.Reset(entryHost)
		over := entry.awaitOver("r1", 1)
		assert.Equal(t, wire.Proof_PROOF_COMPLETED, over.GetProof())
		links, _ := entry.links()
		assert.Equal(t, 2, links)
		assert.Equal(t, 1, env.ledger.Starts()["r1.1"])
	})
}
