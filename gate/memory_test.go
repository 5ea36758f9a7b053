package gate

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// startable returns how many dispatches of the work start at a server with a memory.
func startable(t *testing.T, upperOutput bool, capacity int, w func(i int) *wire.Work) int {
	t.Helper()
	b := newReadyHarnessWith(t, Config{NoPredecessor: true, UpperOutput: upperOutput}, sampleRecord(200))
	b.step(EngineLoad{Load: engine.Load{KVCapacity: capacity}})
	for i := range 100 {
		b.receive(entryA, &wire.EntryMessage{Kind: &wire.EntryMessage_Dispatch{Dispatch: &wire.Dispatch{
			Attempt: id("r"+strconv.Itoa(i), 1), Server: sampleServer, Work: w(i),
		}}})
	}
	return len(b.gate.held)
}

// A server crashes if what it holds exceeds its memory, and answers are often longer than expected. Counting the upper
// length of each answer would leave a good part of the memory unused.
func TestUncertainOutputTakesMemory(t *testing.T) {
	uncertain := func(int) *wire.Work {
		return workOf(func(w *wire.Work) { w.PromptTokens, w.OutputTokens, w.OutputTokensUpper = 10, 40, 80 })
	}
	certain := func(int) *wire.Work {
		return workOf(func(w *wire.Work) { w.PromptTokens, w.OutputTokens = 10, 40 })
	}
	const capacity = 2000 // 1900 may be given out
	require.Equal(t, 38, startable(t, false, capacity, uncertain), "without the setting the expected output counts")
	require.Equal(t, 38, startable(t, true, capacity, certain), "an unknown upper length is the expected one")
	// 28 x 50 + 2 x 40 x sqrt(28) = 1823, with 30: 1938.
	require.Equal(t, 29, startable(t, true, capacity, uncertain))
}

// A request that is larger than a whole server would wait for room until its deadline, or be sent and crash the server.
func TestRequestLargerThanTheServerIsRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		upperOutput bool
		prompt      uint32
		refused     bool
	}{{true, 1961, true}, {true, 1960, false}, {false, 1961, false}} {
		b := newReadyHarnessWith(t, Config{NoPredecessor: true, UpperOutput: c.upperOutput}, sampleRecord(2))
		b.step(EngineLoad{Load: engine.Load{KVCapacity: 2000}})
		b.receive(entryA, &wire.EntryMessage{Kind: &wire.EntryMessage_Reserve{Reserve: &wire.Reserve{
			Attempt: id("r", 1), Server: sampleServer, Work: workOf(func(w *wire.Work) { w.PromptTokens, w.OutputTokens = c.prompt, 40 }),
		}}})
		var over *wire.Over
		for _, action := range b.actions {
			if sent, ok := action.(Send); ok && sent.Message.GetOver() != nil {
				over = sent.Message.GetOver()
			}
		}
		require.Equal(t, c.refused, over != nil)
		if c.refused {
			require.EqualValues(t, result.LargerThanServer, over.GetCode())
			require.Equal(t, wire.Proof_PROOF_NEVER_STARTED, over.GetProof())
		}
	}
}
