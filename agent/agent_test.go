package agent

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/wire"
)

func TestServiceCall(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent()
		options := standin.ServiceDefaults()
		options.Server = "server-1"
		service := env.startEngine(options)
		env.waitReady()
		entry := env.startEntry(entryHost, "entry-1")
		entry.awaitRoom("server-1")

		entry.dispatch(serviceDispatch("r1", 1))
		over := entry.awaitOver("r1", 1)

		assert.Equal(t, wire.Proof_PROOF_COMPLETED, over.GetProof())
		assert.Equal(t, uint32(200), over.GetAnswer().GetStatus())
		assert.Equal(t, "application/json", over.GetAnswer().GetContentType())
		assert.Equal(t, map[string]int{"key-r1": 1}, service.Runs())
		var answer standin.ServiceAnswer
		require.NoError(t, json.Unmarshal([]byte(entry.text("r1", 1)), &answer))
		assert.Equal(t, "key-r1", answer.Key)
	})
}

func TestCompletion(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent()
		options := standin.ModelDefaults()
		options.Server = "server-1"
		env.startEngine(options)
		env.waitReady()
		entry := env.startEntry(entryHost, "entry-1")
		entry.awaitRoom("server-1")

		entry.dispatch(completionDispatch("r1", 1))
		over := entry.awaitOver("r1", 1)

		assert.Equal(t, wire.Proof_PROOF_COMPLETED, over.GetProof())
		assert.Equal(t, uint32(20), over.GetAnswer().GetOutputTokens())
		assert.Equal(t, uint64(entry.eventCount("r1", 1)), over.GetAnswer().GetEvents())
		assert.NotContains(t, entry.text("r1", 1), `"usage":{`, "the caller didn't ask for the usage event")
		assert.Equal(t, 1, entry.startCount("r1", 1))
	})
}
