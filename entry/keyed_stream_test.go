package entry

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Two engines would write one summary, or a resend would receive a fragment, if a stream that has begun were not
// treated as in progress, or the second call were joined to it midway. The caller resends to the same entry or another
// one after the first event.
func TestKeyedCallDuringStreamGetsWholeAnswer(t *testing.T) {
	for name, second := range map[string]int{"same entry": 1, "other entry": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 2)
				agents := []*fakeAgent{h.addModel(1), h.addModel(2)}
				for _, agent := range agents {
					agent.setHandlers(func(d *receivedDispatch) { d.sendFrame(0, chatEvent("Hel")) }, nil)
				}
				a := h.callAsync(1, chatPath, streamBody, keyHeader("k"))
				synctest.Wait()
				b := h.callAsync(second, chatPath, streamBody, keyHeader("k"))
				time.Sleep(2 * time.Second)
				require.Equal(t, 1, dispatchCountOf(agents))
				d := dispatchesOf(agents)[0]
				d.sendFrame(1, chatEvent("lo"))
				d.sendFrame(2, chatEnd)
				d.sendEnd("text/event-stream", chatEvent("Hel"), chatEvent("lo"), chatEnd)
				first, again := <-a, <-b
				require.Equal(t, 200, first.status)
				require.Contains(t, first.body, "data: [DONE]\n\n")
				require.Equal(t, first.body, again.body, "the resend gets the complete answer")
				require.Equal(t, 1, dispatchCountOf(agents))
			})
		})
	}
}

// Two engines would work on one summary if the key were released as soon as the caller's connection is lost, while the
// engine has not confirmed the cancel.
func TestKeyedCallAfterLostStreamWaitsForProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		agents := []*fakeAgent{h.addModel(1), h.addModel(2)}
		for _, agent := range agents {
			agent.setHandlers(func(d *receivedDispatch) { d.sendFrame(0, chatEvent("Hel")) }, func(link.EntryID, *wire.Cancel) {})
		}
		ctx, disconnect := context.WithCancel(context.Background())
		go func() { _, _ = h.do(h.request(ctx, 1, http.MethodPost, chatPath, streamBody, keyHeader("k"))) }()
		synctest.Wait()
		require.Equal(t, 1, dispatchCountOf(agents))
		disconnect()
		b := h.callAsync(2, chatPath, streamBody, keyHeader("k"))
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, dispatchCountOf(agents), "the first attempt is not proven to have ended")
		d := dispatchesOf(agents)[0]
		require.NotZero(t, d.agent.cancelCount())
		for _, agent := range agents {
			agent.setHandlers(nil, nil)
		}
		d.sendOver(&wire.Over{Proof: wire.Proof_PROOF_CANCELLED})
		again := <-b
		require.Equal(t, 200, again.status, again.body)
		require.Contains(t, again.body, "data: [DONE]\n\n")
		require.Equal(t, 2, dispatchCountOf(agents), "runs once more after the proof")
	})
}

// dispatchCountOf returns how many attempts were dispatched to any of the agents.
func dispatchCountOf(agents []*fakeAgent) int {
	return len(dispatchesOf(agents))
}

func dispatchesOf(agents []*fakeAgent) []*receivedDispatch {
	var all []*receivedDispatch
	for _, agent := range agents {
		all = append(all, agent.dispatchList()...)
	}
	return all
}
